package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// replayBytes is the largest request body that is kept to be sent again.
const replayBytes = 64 << 10

// closer runs a function once when the body is closed.
type closer struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.end)
	return err
}

// answerBody notes whether the answer was read to its end. The task of an answer
// that was not may still run.
type answerBody struct {
	io.ReadCloser
	whole bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// source is a request body. Up to replayBytes it can be read again for a retry;
// beyond that it is streamed once.
type source struct {
	head []byte
	rest io.Reader // nil when head is the whole body
	used bool
}

func newSource(r io.Reader) (*source, error) {
	s := &source{}
	if r == nil {
		return s, nil
	}
	head, err := io.ReadAll(io.LimitReader(r, replayBytes+1))
	if err != nil {
		return nil, err
	}
	s.head = head
	if len(head) > replayBytes {
		s.rest = r
	}
	return s, nil
}

// replayable tells whether open may be called again.
func (s *source) replayable() bool {
	return s.rest == nil || !s.used
}

func (s *source) open() io.Reader {
	s.used = true
	if s.rest == nil {
		return bytes.NewReader(s.head)
	}
	return io.MultiReader(bytes.NewReader(s.head), s.rest)
}

// readWhole reads a body that must be kept whole, up to limit bytes.
func readWhole(r io.Reader, limit int64) ([]byte, error) {
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

// bodyRefusal is the refusal for a body that could not be read before anything ran.
func bodyRefusal(err error) Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NotRun(ReasonBodyTooLarge, err.Error())
	}
	return NotRun(ReasonBadRequest, "the request body broke off")
}
