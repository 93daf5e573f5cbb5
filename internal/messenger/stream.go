package messenger

import (
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// Stream is one request with its answer. Both directions carry a message and
// may carry a body after it.
type Stream struct {
	stream   *quic.Stream
	request  Envelope
	answered bool
	stop     func() bool
}

// Decode decodes the request at the serving side.
func (s *Stream) Decode(v any) error {
	if err := cbor.Unmarshal(s.request.Body, v); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// Answer sends the answer of the serving side.
func (s *Stream) Answer(v any) error {
	s.answered = true
	return s.send(s.request.Kind, v)
}

// Receive waits for the answer at the calling side.
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

// Exchange sends the body, if there is one, ends the request and waits for the answer.
// An error of reading the body aborts the request.
func (s *Stream) Exchange(body io.Reader, answer any) error {
	// A server may answer before it has read the whole request. It then stops reading,
	// and sending or Close reports a canceled stream although the answer is there. A
	// stream that really ended fails in Receive.
	if body != nil {
		source := &source{Reader: body}
		if err := s.SendBody(source); err != nil && source.err != nil {
			s.Abort()
			return err
		}
	}
	_ = s.stream.Close()
	return s.Receive(answer)
}

// source notes an error of reading, which io.Copy does not tell from one of writing.
type source struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *source) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF { // a wrapped io.EOF is a broken body, not its end
		r.err = err
	}
	return n, err
}

// SendBody sends a whole body after the message.
func (s *Stream) SendBody(r io.Reader) error {
	w := newBodyWriter(s.stream)
	if _, err := io.Copy(w, r); err != nil {
		return Error.Wrap(err)
	}
	return w.Close()
}

// Body returns the body that follows the message. It returns ErrTruncated
// instead of io.EOF when the body is not whole.
func (s *Stream) Body() io.Reader {
	return newBodyReader(s.stream)
}

// Close ends the stream after the data that was sent.
func (s *Stream) Close() {
	if s.stop != nil {
		s.stop()
	}
	s.stream.CancelRead(codeCanceled)
	_ = s.stream.Close()
}

// Abort ends both directions at once; the peer sees an error instead of the end of the data.
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

func (s *Stream) fail(text string) error {
	s.answered = true
	return writeMessage(s.stream, frameMessage, Envelope{
		Version: Version,
		Kind:    s.request.Kind,
		Error:   text,
	})
}

func (s *Stream) receive() error {
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
