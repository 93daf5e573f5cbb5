package messenger

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A frame consists of a kind byte, the length of the content as four bytes in network byte
// order, and the content.
const (
	frameMessage byte = 1 // an Envelope in CBOR
	frameData    byte = 2 // part of a body
	frameEnd     byte = 3 // end of a body: a bodyEnd in CBOR
)

const (
	frameHeaderBytes  = 5
	maxMessageBytes   = 2 << 20 // leaves room for a configuration document of at most 1 MiB
	maxDataFrameBytes = 64 << 10
)

// ErrTruncated means that a body ended before its end frame, or that its length or digest
// differs from the one in the end frame.
var ErrTruncated = errors.New("body truncated")

// bodyEnd follows a body, so that the receiver detects a truncated or changed body.
type bodyEnd struct {
	Length int64  `cbor:"length"`
	Digest uint64 `cbor:"digest"` // XXH64 of the body
}

func writeFrame(w io.Writer, kind byte, content []byte) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(content))
	frame[0] = kind
	binary.BigEndian.PutUint32(frame[1:], uint32(len(content)))
	frame = append(frame, content...)
	if _, err := w.Write(frame); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

func writeMessage(w io.Writer, kind byte, v any) error {
	content, err := cbor.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(content) > maxMessageBytes {
		return Error.New("message of %d bytes exceeds %d", len(content), maxMessageBytes)
	}
	return writeFrame(w, kind, content)
}

// readFrame reads one frame. It limits the length by the kind, so that a malformed header
// can't make it allocate much memory.
func readFrame(r io.Reader) (byte, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(header[1:])
	limit := uint32(maxMessageBytes)
	switch header[0] {
	case frameMessage, frameEnd:
	case frameData:
		limit = maxDataFrameBytes
	default:
		return 0, nil, Error.New("unknown frame kind %d", header[0])
	}
	if n > limit {
		return 0, nil, Error.New("frame of %d bytes exceeds %d", n, limit)
	}
	content := make([]byte, n)
	if _, err := io.ReadFull(r, content); err != nil {
		return 0, nil, err
	}
	return header[0], content, nil
}

// bodyWriter splits a body into data frames. Close writes the end frame and leaves the
// underlying writer open.
type bodyWriter struct {
	w      io.Writer
	length int64
	digest *xxhash.Digest
}

func newBodyWriter(w io.Writer) *bodyWriter {
	return &bodyWriter{
		w:      w,
		digest: xxhash.New(),
	}
}

// Write implements io.Writer.
func (b *bodyWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), maxDataFrameBytes)]
		if err := writeFrame(b.w, frameData, part); err != nil {
			return written, err
		}
		_, _ = b.digest.Write(part) // never fails, by its documentation
		b.length += int64(len(part))
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// Close implements io.Closer.
func (b *bodyWriter) Close() error {
	return writeMessage(b.w, frameEnd, bodyEnd{
		Length: b.length,
		Digest: b.digest.Sum64(),
	})
}

// bodyReader reads the frames of a body. It returns io.EOF only after the end frame, if the
// length and the digest in it match.
type bodyReader struct {
	r      io.Reader
	rest   []byte
	length int64
	digest *xxhash.Digest
	err    error
}

func newBodyReader(r io.Reader) *bodyReader {
	return &bodyReader{
		r:      r,
		digest: xxhash.New(),
	}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.err = b.nextFrame()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *bodyReader) nextFrame() error {
	kind, content, err := readFrame(b.r)
	if err != nil {
		return Error.Wrap(errors.Join(ErrTruncated, err))
	}
	switch kind {
	case frameData:
		_, _ = b.digest.Write(content) // never fails, by its documentation
		b.length += int64(len(content))
		b.rest = content
		return nil
	case frameEnd:
		var end bodyEnd
		if err := cbor.Unmarshal(content, &end); err != nil {
			return Error.Wrap(errors.Join(ErrTruncated, err))
		}
		if end.Length != b.length || end.Digest != b.digest.Sum64() {
			return Error.Wrap(ErrTruncated)
		}
		return io.EOF
	default:
		return Error.New("unexpected frame kind %d in a body", kind)
	}
}
