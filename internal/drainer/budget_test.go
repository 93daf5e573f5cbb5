package drainer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// startBudgeted starts a server whose handler answers with the body that it has read.
func startBudgeted(t *testing.T, budget budgeter.Config, limit int64) *Server {
	t.Helper()
	s, err := New("127.0.0.1:0", Config{
		Budget: budget,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := ReadBody(w, r, limit)
			var tooLarge *http.MaxBytesError
			switch {
			case errors.Is(err, budgeter.ErrNoRoom):
				Refuse(w)
			case errors.As(err, &tooLarge):
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			case err != nil:
				w.WriteHeader(http.StatusBadRequest)
			default:
				w.Write(data) //nolint:errcheck // the caller reports it
			}
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	serving := make(chan error, 1)
	go func() { serving <- s.Serve() }()
	t.Cleanup(func() {
		if err := errors.Join(s.Close(), <-serving); err != nil {
			t.Error(err)
		}
	})
	return s
}

// post sends a body, chunked if its length is not stated.
func post(t *testing.T, client *http.Client, s *Server, body string, chunked bool) (status int, answer string) {
	t.Helper()
	var source io.Reader = strings.NewReader(body)
	if chunked {
		source = io.NopCloser(source)
	}
	res, err := client.Post("http://"+s.Address().String(), "text/plain", source)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(data)
}

// Guards against bodies that are cut or mixed up where segments meet, and against a limit that is
// off by one.
func TestReadBodyReturnsTheWholeBody(t *testing.T) {
	const limit = 3 * segment
	s := startBudgeted(t, budgeter.Limits{}.Callers(), limit)
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	for _, size := range []int{0, 1, segment - 1, segment, segment + 1, 2*segment + 7, limit, limit + 1} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, chunked %t", size, chunked), func(t *testing.T) {
				var b strings.Builder
				for i := range size {
					b.WriteByte(byte('a' + i%23))
				}
				status, answer := post(t, client, s, b.String(), chunked)
				switch {
				case size > limit && status != http.StatusRequestEntityTooLarge:
					t.Errorf("status %d for a body beyond the limit", status)
				case size <= limit && (status != http.StatusOK || answer != b.String()):
					t.Errorf("status %d, %d bytes of answer", status, len(answer))
				}
			})
		}
	}
	if held := s.Usage().Bytes; held != 0 {
		t.Errorf("%d bytes are held after the last answer", held)
	}
}

// Guards against a receive buffer that grows with what a caller sends: accepted connections inherit
// the size of the listener's.
func TestAcceptedConnectionsHaveBoundedReceiveBuffers(t *testing.T) {
	l, err := listen("127.0.0.1:0", budgeter.ReceiveBuffer)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // ends with the test
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close() //nolint:errcheck // ends with the test
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // ends with the test
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	if controlErr := raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	if size > 2*budgeter.ReceiveBuffer {
		t.Errorf("the buffer has %d bytes", size)
	}
}

// Guards against a refusal that comes only when the caller has sent a body that nobody reads, and
// against one that does not say when to come back.
func TestRefusalComesBeforeTheBody(t *testing.T) {
	s := startBudgeted(t, budgeter.Config{
		Bytes:       1 << 20,
		Connections: 10,
	}, 16<<20)
	conn, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // ends with the test
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") != "1" || !res.Close {
		t.Errorf("status %d, Retry-After %q, closes %t", res.StatusCode, res.Header.Get("Retry-After"), res.Close)
	}
}

// Guards against an answer that is lost with the connection: a caller that asks for the close is
// reset if it is still sending when the answer comes.
func TestAnswerBeforeTheEndOfTheBodyIsNotReset(t *testing.T) {
	tests := []struct {
		name   string
		budget budgeter.Config
		limit  int64
		status int
	}{
		{
			name: "refused for want of room",
			budget: budgeter.Config{
				Bytes:       1 << 20,
				Connections: 10,
			},
			limit:  16 << 20,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "larger than the limit",
			budget: budgeter.Limits{}.Callers(),
			limit:  segment,
			status: http.StatusRequestEntityTooLarge,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startBudgeted(t, tt.budget, tt.limit)
			conn, err := net.Dial("tcp", s.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close() //nolint:errcheck // ends with the test
			head := "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 900000\r\n\r\n"
			if _, err := io.WriteString(conn, head+strings.Repeat("a", segment)); err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(conn)
			if err != nil {
				t.Errorf("after %q: %v", answer, err)
			}
			if want := fmt.Sprintf("HTTP/1.1 %d ", tt.status); !strings.HasPrefix(string(answer), want) {
				t.Errorf("answer %q", answer)
			}
		})
	}
}

// Guards against a caller that loses its connection while the process works on its request: the
// caller has sent all of it, and net/http reads on to notice whether the caller leaves. All requests
// come on one connection, so that no other one can expire.
func TestCallerIsNotWaitedForWhileItsRequestIsHandled(t *testing.T) {
	var s *Server
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 1<<20); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Millisecond) // lets the read begin
		if expired := s.budget.Expire(time.Now().Add(time.Hour)); len(expired) > 0 {
			t.Error("the process waits for a caller that has sent its request")
		}
	})
	s, err := New("127.0.0.1:0", Config{
		Budget:  budgeter.Limits{}.Callers(),
		Handler: handler,
	})
	if err != nil {
		t.Fatal(err)
	}
	serving := make(chan error, 1)
	go func() { serving <- s.Serve() }()
	t.Cleanup(func() {
		if err := errors.Join(s.Close(), <-serving); err != nil {
			t.Error(err)
		}
	})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
	}
	for i := range 300 {
		if status, _ := post(t, client, s, strings.Repeat("a", 100*i), i%2 == 0); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, status)
		}
		if t.Failed() {
			return
		}
	}
}
