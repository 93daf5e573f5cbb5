package runner

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// verifiedBody is the body of an answer. It checks length and digest at the end.
type verifiedBody struct {
	resp   *http.Response
	hash   *xxhash.Digest
	length int64
	limit  int64
	err    error
	done   func() // called once, at Close
}

func newVerifiedBody(resp *http.Response, limit int64, done func()) *verifiedBody {
	return &verifiedBody{
		resp:  resp,
		hash:  xxhash.New(),
		limit: limit,
		done:  done,
	}
}

// Read implements io.Reader.
func (b *verifiedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.resp.Body.Read(p)
	b.length += int64(n)
	if b.length > b.limit {
		b.err = Error.New("%w: answer larger than %d bytes", ErrTruncated, b.limit)
		return 0, b.err
	}
	if _, err := b.hash.Write(p[:n]); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(err, io.EOF):
		b.err = b.verify()
	case err != nil:
		b.err = Error.Wrap(fmt.Errorf("%w: %w", ErrTruncated, err))
	}
	return n, b.err
}

// verify returns io.EOF when the answer is complete. The trailers are available
// only after the end of the body was read.
func (b *verifiedBody) verify() error {
	want, err := ParseDigest(b.resp.Trailer.Get(TrailerLength), b.resp.Trailer.Get(TrailerDigest))
	if err != nil {
		return err
	}
	got := Digest{
		Length: b.length,
		Sum:    b.hash.Sum64(),
	}
	if got != want {
		return Error.New("%w: got %d bytes with xxhash %016x, want %d with %016x",
			ErrTruncated, got.Length, got.Sum, want.Length, want.Sum)
	}
	return io.EOF
}

// Close implements io.Closer.
func (b *verifiedBody) Close() error {
	err := b.resp.Body.Close()
	if b.done != nil {
		b.done()
		b.done = nil
	}
	return err
}
