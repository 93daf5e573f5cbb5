package messenger

import (
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// Stream carries one request and its answer. Each direction carries a message, which a body
// may follow.
type Stream struct {
	stream    *quic.Stream
	request   Envelope
	answered  bool
	stopAbort func() bool // detaches the stream from the context that was passed to Open
}

// Decode decodes the message of the request into v, on the serving side.
func (s *Stream) Decode(v any) error {
	if err := cbor.Unmarshal(s.request.Body, v); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// Answer sends the message of the answer, on the serving side.
func (s *Stream) Answer(v any) error {
	s.answered = true
	return s.send(s.request.Kind, v)
}

// Receive waits for the message of the answer and decodes it into v, on the calling side. An
// error that the peer answered with wraps ErrUnsupported or ErrRemote.
func (s *Stream) Receive(v any) error {
	kind, content, err := readFrame(s.stream)
	if err != nil {
		return Error.Wrap(err)
	}
	if kind != frameMessage {
		return Error.New("unexpected frame kind %d", kind)
	}
	var envelope Envelope
	if err := cbor.Unmarshal(content, &envelope); err != nil {
		return Error.Wrap(err)
	}
	if envelope.Error == errorUnsupported {
		return Error.Wrap(ErrUnsupported)
	}
	if envelope.Error != "" {
		return Error.Wrap(errors.Join(ErrRemote, errors.New(envelope.Error)))
	}
	if err := cbor.Unmarshal(envelope.Body, v); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// Exchange sends the body unless it is nil, ends the request and waits for the answer. If
// the body cannot be read, it aborts the request.
func (s *Stream) Exchange(body io.Reader, answer any) error {
	// A server may answer before it has read the whole request. It then stops reading, and
	// sending or closing fails although the answer can be received. Such errors are ignored:
	// if the stream has failed, Receive returns an error.
	if body != nil {
		source := &trackingReader{Reader: body}
		if err := s.SendBody(source); err != nil && source.err != nil {
			s.Abort()
			return err
		}
	}
	_ = s.stream.Close()
	return s.Receive(answer)
}

// trackingReader records a read error, because io.Copy returns read and write errors alike.
type trackingReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *trackingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF { // a wrapped io.EOF is an error, not the end of the body
		r.err = err
	}
	return n, err
}

// SendBody sends everything in r as the body that follows the message.
func (s *Stream) SendBody(r io.Reader) error {
	w := newBodyWriter(s.stream)
	if _, err := io.Copy(w, r); err != nil {
		return Error.Wrap(err)
	}
	return w.Close()
}

// Body returns a reader of the body that follows the message. Its Read returns an error that
// wraps ErrTruncated instead of io.EOF if the body is incomplete or has another digest.
func (s *Stream) Body() io.Reader {
	return newBodyReader(s.stream)
}

// Close ends the sending direction after the data sent so far and stops receiving.
func (s *Stream) Close() {
	if s.stopAbort != nil {
		s.stopAbort()
	}
	s.stream.CancelRead(codeCanceled)
	_ = s.stream.Close()
}

// Abort cancels both directions immediately. The peer gets an error instead of the end of the
// data.
func (s *Stream) Abort() {
	s.stream.CancelRead(codeCanceled)
	s.stream.CancelWrite(codeCanceled)
}

func (s *Stream) send(kind Kind, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	return writeMessage(s.stream, frameMessage, Envelope{
		Version: Version,
		Kind:    kind,
		Body:    body,
	})
}

func (s *Stream) sendError(text string) error {
	s.answered = true
	return writeMessage(s.stream, frameMessage, Envelope{
		Version: Version,
		Kind:    s.request.Kind,
		Error:   text,
	})
}

// receiveRequest reads the message of the request, on the serving side.
func (s *Stream) receiveRequest() error {
	kind, content, err := readFrame(s.stream)
	if err != nil {
		return Error.Wrap(err)
	}
	if kind != frameMessage {
		return Error.New("unexpected frame kind %d", kind)
	}
	if err := cbor.Unmarshal(content, &s.request); err != nil {
		return Error.Wrap(err)
	}
	return nil
}
