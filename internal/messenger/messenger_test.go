package messenger

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type echo struct {
	Text string `cbor:"text"`
}

// credentials returns a TLS configuration with a certificate for name that authority signed.
// It trusts the authorities in trusted.
func credentials(t *testing.T, name string, authority *Authority, trusted ...*Authority) *tls.Config {
	t.Helper()
	dir := t.TempDir()
	files := TLSFiles{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
	for i, a := range trusted {
		file := filepath.Join(dir, "ca"+string(rune('0'+i))+".pem")
		if err := a.WriteCertificate(file); err != nil {
			t.Fatal(err)
		}
		files.CAs = append(files.CAs, file)
	}
	if _, err := authority.Issue(name, files.Certificate, files.Key, time.Now()); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func start(t *testing.T, cfg *tls.Config, handlers map[Kind]Handler) *Messenger {
	t.Helper()
	m, err := New(Config{
		Listen:   "127.0.0.1:0",
		TLS:      cfg,
		Handlers: handlers,
		Logger:   hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- m.Serve(context.Background()) }()
	t.Cleanup(func() {
		if err := m.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

func handlers() map[Kind]Handler {
	return map[Kind]Handler{
		"echo": Unary(func(_ context.Context, peer string, request echo) (echo, error) {
			if request.Text == "fail" {
				return echo{}, errors.New("refused by handler")
			}
			return echo{Text: peer + ":" + request.Text}, nil
		}),
		"body": func(_ context.Context, _ string, s *Stream) error {
			body, err := io.ReadAll(s.Body())
			if err != nil {
				return err
			}
			if err := s.Answer(echo{Text: "ok"}); err != nil {
				return err
			}
			return s.SendBody(bytes.NewReader(body))
		},
		"cut": func(_ context.Context, _ string, s *Stream) error {
			if err := s.Answer(echo{Text: "ok"}); err != nil {
				return err
			}
			if err := writeFrame(s.stream, frameData, []byte("half")); err != nil {
				return err
			}
			return nil // ends the stream without the end frame
		},
	}
}

func TestCallFailsWithTypedErrors(t *testing.T) {
	ca := authority(t)
	server := start(t, credentials(t, "b", ca, ca), handlers())
	unknown := authority(t)
	next := authority(t)
	cases := []struct {
		name string
		cfg  *tls.Config
		addr string
		kind Kind
		text string
		want string
		err  error
	}{
		{
			name: "peer's name comes from its certificate",
			cfg:  credentials(t, "a", ca, ca),
			addr: server.Addr(),
			kind: "echo",
			text: "x",
			want: "a:x",
		},
		{
			name: "two authorities are trusted during a rotation",
			cfg:  credentials(t, "a", ca, next, ca),
			addr: server.Addr(),
			kind: "echo",
			text: "x",
			want: "a:x",
		},
		{
			name: "server with a certificate of an untrusted authority",
			cfg:  credentials(t, "a", ca, unknown),
			addr: server.Addr(),
			kind: "echo",
			err:  ErrUnreachable,
		},
		{
			name: "kind that the server does not know",
			cfg:  credentials(t, "a", ca, ca),
			addr: server.Addr(),
			kind: "later",
			err:  ErrUnsupported,
		},
		{
			name: "error of the handler",
			cfg:  credentials(t, "a", ca, ca),
			addr: server.Addr(),
			kind: "echo",
			text: "fail",
			err:  ErrRemote,
		},
		{
			name: "nothing listens at the address",
			cfg:  credentials(t, "a", ca, ca),
			addr: "127.0.0.1:1",
			kind: "echo",
			err:  ErrUnreachable,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := start(t, c.cfg, nil)
			got, err := Call[echo, echo](context.Background(), client, c.addr, c.kind, echo{Text: c.text})
			if !errors.Is(err, c.err) {
				t.Fatalf("got error %v, want %v", err, c.err)
			}
			if got.Text != c.want {
				t.Fatalf("got %q, want %q", got.Text, c.want)
			}
		})
	}
}

func TestClientWithUntrustedCertificateIsRefused(t *testing.T) {
	ca := authority(t)
	unknown := authority(t)
	server := start(t, credentials(t, "b", ca, ca), handlers())
	client := start(t, credentials(t, "a", unknown, ca), nil)
	answer, err := Call[echo, echo](context.Background(), client, server.Addr(), "echo", echo{Text: "x"})
	if err == nil {
		t.Fatalf("got answer %q, want an error", answer.Text)
	}
}

func TestTruncatedBodyIsDetected(t *testing.T) {
	ca := authority(t)
	server := start(t, credentials(t, "b", ca, ca), handlers())
	client := start(t, credentials(t, "a", ca, ca), nil)
	cases := []struct {
		name string
		kind Kind
		n    int
		err  error
	}{
		{
			name: "empty",
			kind: "body",
		},
		{
			name: "several frames",
			kind: "body",
			n:    3*maxDataFrameBytes + 7,
		},
		{
			name: "truncated",
			kind: "cut",
			err:  ErrTruncated,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want := bytes.Repeat([]byte("x"), c.n)
			s, err := client.Open(context.Background(), server.Addr(), c.kind, echo{})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if err := s.SendBody(bytes.NewReader(want)); err != nil {
				t.Fatal(err)
			}
			if err := s.stream.Close(); err != nil {
				t.Fatal(err)
			}
			var answer echo
			if err := s.Receive(&answer); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(s.Body())
			if !errors.Is(err, c.err) {
				t.Fatalf("got error %v, want %v", err, c.err)
			}
			if c.err == nil && !bytes.Equal(got, want) {
				t.Fatalf("got %d bytes, want %d", len(got), len(want))
			}
		})
	}
}

func TestCanceledCallReachesHandler(t *testing.T) {
	ca := authority(t)
	canceled := make(chan struct{})
	started := make(chan struct{})
	server := start(t, credentials(t, "b", ca, ca), map[Kind]Handler{
		"wait": func(ctx context.Context, _ string, _ *Stream) error {
			close(started)
			<-ctx.Done()
			close(canceled)
			return ctx.Err()
		},
	})
	client := start(t, credentials(t, "a", ca, ca), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	if _, err := Call[echo, echo](ctx, client, server.Addr(), "wait", echo{}); err == nil {
		t.Fatal("got an answer, want an error")
	}
	<-canceled
}

// relay forwards datagrams between a client and a server. After a call of silence it drops
// the datagrams of all existing flows and forwards those of new flows, like a stateful
// middlebox that has lost its table of flows.
type relay struct {
	front  *net.UDPConn
	server *net.UDPAddr

	mu    sync.Mutex
	flows map[string]*flow
	conns []*net.UDPConn // of all flows, including replaced ones
}

type flow struct {
	conn   *net.UDPConn
	silent bool
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		front:  front,
		server: addr,
		flows:  map[string]*flow{},
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(&wg) })
	t.Cleanup(func() {
		_ = front.Close()
		r.mu.Lock()
		for _, conn := range r.conns {
			_ = conn.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}

// forward sends the client's datagrams to the server. A flow is identified by the client's
// address; a handshake packet starts a new flow if the existing one is silent.
func (r *relay) forward(wg *sync.WaitGroup) {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		const longHeader = 0x80
		first := buffer[0]&longHeader != 0 // handshake packets have long headers
		r.mu.Lock()
		f := r.flows[from.String()]
		if f == nil || f.silent && first {
			conn, err := net.DialUDP("udp", nil, r.server)
			if err != nil {
				r.mu.Unlock()
				return
			}
			f = &flow{conn: conn}
			r.flows[from.String()] = f
			r.conns = append(r.conns, conn)
			wg.Go(func() { r.returnDatagrams(f, from) })
		}
		silent := f.silent
		r.mu.Unlock()
		if !silent {
			_, _ = f.conn.Write(buffer[:n])
		}
	}
}

// returnDatagrams sends the server's datagrams of a flow to the client.
func (r *relay) returnDatagrams(f *flow, client *net.UDPAddr) {
	buffer := make([]byte, 2048)
	for {
		n, err := f.conn.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		silent := f.silent
		r.mu.Unlock()
		if !silent {
			_, _ = r.front.WriteToUDP(buffer[:n], client)
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.silent = true
	}
}

// Guards against calls that wait indefinitely on a connection whose packets a middlebox
// drops, while new connections would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ca := authority(t)
	server := start(t, credentials(t, "b", ca, ca), handlers())
	r := newRelay(t, server.Addr())
	client := start(t, credentials(t, "a", ca, ca), nil)
	addr := r.front.LocalAddr().String()
	if _, err := Call[echo, echo](context.Background(), client, addr, "echo", echo{Text: "x"}); err != nil {
		t.Fatal(err)
	}
	r.silence()
	if _, err := Call[echo, echo](context.Background(), client, addr, "echo", echo{Text: "x"}); err == nil {
		t.Fatal("got an answer over a silent connection")
	}
	// On a busy machine a handshake may take longer than dialTimeout. That is allowed:
	// ErrUnreachable says that nothing was delivered, so the caller can repeat the call.
	for {
		_, err := Call[echo, echo](context.Background(), client, addr, "echo", echo{Text: "x"})
		if err == nil {
			return
		}
		if !errors.Is(err, ErrUnreachable) {
			t.Fatalf("the call after the silence failed: %v", err)
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{frameMessage, 0, 0, 0, 1, 0xa0})
	f.Add([]byte{frameData, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{frameEnd, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		body, err := io.ReadAll(newBodyReader(bytes.NewReader(content)))
		if len(body) > len(content) {
			t.Fatalf("read %d bytes of %d", len(body), len(content))
		}
		if err != nil {
			return
		}
		var buffer bytes.Buffer
		w := newBodyWriter(&buffer)
		if _, err := w.Write(body); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		again, err := io.ReadAll(newBodyReader(&buffer))
		if err != nil || !bytes.Equal(again, body) {
			t.Fatalf("got %d bytes and %v, want the same %d bytes", len(again), err, len(body))
		}
	})
}

// Guards against the loss of an answer that arrives before the caller has closed its sending
// direction: the peer has then already stopped reading.
func TestFastAnswersAreNotLost(t *testing.T) {
	ca := authority(t)
	server := start(t, credentials(t, "b", ca, ca), handlers())
	client := start(t, credentials(t, "a", ca, ca), nil)
	text := strings.Repeat("x", 4096) // several packets, so that the caller is slower than the peer
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if _, err := Call[echo, echo](t.Context(), client, server.Addr(), "echo", echo{Text: text}); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}
