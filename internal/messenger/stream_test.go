package messenger

import (
	"context"
	"testing"
)

// Guards against a call that fails because the server answered and stopped reading before
// the caller had sent the end of the request.
func TestAnswerBeforeEndOfRequest(t *testing.T) {
	ca := authority(t)
	server := start(t, credentials(t, "b", ca, ca), map[Kind]Handler{
		"echo": func(_ context.Context, _ string, s *Stream) error {
			return s.Answer(echo{Text: "x"})
		},
	})
	client := start(t, credentials(t, "a", ca, ca), nil)
	s, err := client.Open(t.Context(), server.Addr(), "echo", echo{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	<-s.stream.Context().Done() // the server has stopped reading
	var got echo
	if err := s.Exchange(nil, &got); err != nil || got.Text != "x" {
		t.Errorf("got %q, %v", got.Text, err)
	}
}
