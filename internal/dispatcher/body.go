package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// maxReplayBytes is the size of the largest request body that is buffered for retries.
const maxReplayBytes = 64 << 10

// closer runs a function once when the body is closed.
type closer struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.onClose)
	return err
}

// answerBody records whether the answer was read to its end. If it was not, its task may still
// run.
type answerBody struct {
	io.ReadCloser
	complete bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// replayableBody is a request body. A body of up to maxReplayBytes can be read again for a
// retry; a larger one is streamed once.
type replayableBody struct {
	head   []byte
	rest   io.Reader // nil when head is the whole body
	opened bool
}

func newReplayableBody(r io.Reader) (*replayableBody, error) {
	s := &replayableBody{}
	if r == nil {
		return s, nil
	}
	head, err := io.ReadAll(io.LimitReader(r, maxReplayBytes+1))
	if err != nil {
		return nil, err
	}
	s.head = head
	if len(head) > maxReplayBytes {
		s.rest = r
	}
	return s, nil
}

// canOpen tells whether open would return the whole body.
func (s *replayableBody) canOpen() bool {
	return s.rest == nil || !s.opened
}

func (s *replayableBody) open() io.Reader {
	s.opened = true
	if s.rest == nil {
		return bytes.NewReader(s.head)
	}
	return io.MultiReader(bytes.NewReader(s.head), s.rest)
}

// readLimited reads a whole body. If it is longer than limit bytes, the error is an
// http.MaxBytesError.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return body, nil
}

// bodyErrorResult returns the refusal of a request whose body could not be read. Nothing of it
// has run.
func bodyErrorResult(err error) Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NotRun(ReasonBodyTooLarge, err.Error())
	}
	if errors.Is(err, budgeter.ErrNoRoom) {
		return NotRun(ReasonNoRoom, err.Error())
	}
	return NotRun(ReasonBadRequest, "the request body broke off")
}
