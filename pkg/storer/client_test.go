package storer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// TestClientMapsFaults guards against reporting a write that may have taken effect as not
// made, and a write that was not made as one with an unknown outcome.
func TestClientMapsFaults(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			w.Write([]byte(body)) //nolint:errcheck // the client may have gone
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		write   error
		read    error
	}{
		{"answer lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) //nolint:errcheck // the server notices a lost client only after the body
			<-r.Context().Done()
		}, storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"answer cut", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte(`{"version":`)) //nolint:errcheck // the client may have gone
		}, storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"answer is not JSON", status(200, "<html>"), storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"answer too large", status(200, `{"version":1}`+strings.Repeat(" ", 3<<20)), storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"redirect", status(302, ""), storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"error from a proxy", status(503, "busy"), storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"unknown error code", status(500, `{"error":"new"}`), storer.ErrOutcomeUnknown, storer.ErrUnavailable},
		{"service refuses", status(503, `{"error":"unavailable"}`), storer.ErrUnavailable, storer.ErrUnavailable},
		{"write without a version", status(200, `{}`), storer.ErrOutcomeUnknown, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := serve(t, tt.handler)
				_, err := client.CompareAndSwap(t.Context(), storer.Write{Key: "a"})
				wantOnly(t, err, tt.write)
				_, err = client.Get(t.Context(), "a")
				wantOnly(t, err, tt.read)
			})
		})
	}
}

func wantOnly(t *testing.T, got, want error) {
	t.Helper()
	for _, err := range []error{storer.ErrUnavailable, storer.ErrOutcomeUnknown, storer.ErrConflict} {
		if errors.Is(got, err) != errors.Is(want, err) {
			t.Fatalf("error is %v, want %v", got, want)
		}
	}
}

// TestClientReportsUnsentWriteAsUnavailable guards against reporting an unknown outcome
// for writes that could not be sent: callers would look for the outcome in vain.
func TestClientReportsUnsentWriteAsUnavailable(t *testing.T) {
	dials := []struct {
		name string
		dial func(ctx context.Context, network, address string) (net.Conn, error)
	}{
		{"refused", func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }},
		{"no route", func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}},
	}
	for _, tt := range dials {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := storer.NewClient(storer.ClientConfig{
					Address: "platform",
					Dial:    tt.dial,
				})
				defer client.Close()
				start := time.Now()
				_, err := client.CompareAndSwap(t.Context(), storer.Write{Key: "a"})
				wantOnly(t, err, storer.ErrUnavailable)
				if time.Since(start) > storer.DefaultTimeout {
					t.Fatalf("took %v", time.Since(start))
				}
			})
		})
	}
}

// TestLostAnswerTookEffect guards against a platform that loses writes instead of answers.
func TestLostAnswerTookEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, platform := openClient(t)
		if err := platform.SetFaults(emulator.PlatformFaults{LoseWriteAnswers: 1}); err != nil {
			t.Fatal(err)
		}
		_, err := client.CompareAndSwap(t.Context(), storer.Write{Key: "a", Value: []byte("1")})
		wantOnly(t, err, storer.ErrOutcomeUnknown)
		if got := mustGet(t, client, "a"); string(got.Value) != "1" {
			t.Fatalf("value is %q", got.Value)
		}
	})
}

// TestOutageTakesNoWrite guards against an outage during which writes still take effect.
func TestOutageTakesNoWrite(t *testing.T) {
	for _, outage := range []emulator.Outage{emulator.OutageRefuse, emulator.OutageHang} {
		t.Run(string(outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, platform := openClient(t)
				if err := platform.SetFaults(emulator.PlatformFaults{Outage: outage}); err != nil {
					t.Fatal(err)
				}
				if _, err := client.CompareAndSwap(t.Context(), storer.Write{Key: "a"}); err == nil {
					t.Fatal("a write succeeded during the outage")
				}
				if err := platform.SetFaults(emulator.PlatformFaults{}); err != nil {
					t.Fatal(err)
				}
				if got := mustGet(t, client, "a"); got.Version != 0 {
					t.Fatal("a write took effect during the outage")
				}
			})
		})
	}
}

// TestCallsAreCounted guards against call counts that omit waiting watches or put calls of
// different seconds together.
func TestCallsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, platform := openClient(t)
		for range 3 {
			mustGet(t, client, "a")
		}
		time.Sleep(time.Second)
		mustGet(t, client, "a")
		go client.Watch(t.Context(), "a", 0, time.Second) //nolint:errcheck // only its count matters
		synctest.Wait()
		calls := platform.Calls()
		want := emulator.CallCount{Total: 4, LastSecond: 3, MaxPerSecond: 3}
		if calls["get"] != want {
			t.Fatalf("get: %+v, want %+v", calls["get"], want)
		}
		if calls["watch"].InProgress != 1 || calls["watch"].Total != 1 {
			t.Fatalf("watch: %+v", calls["watch"])
		}
		if reads := calls[emulator.KindAllReads]; reads.Total != 5 || reads.MaxPerSecond != 3 || reads.InProgress != 1 {
			t.Fatalf("all reads: %+v", reads)
		}
		time.Sleep(2 * time.Second)
	})
}

// lostConn simulates a connection whose state a middlebox drops. Once it is lost, writes
// succeed without effect and reads block until it is closed.
type lostConn struct {
	net.Conn
	lost   <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *lostConn) isLost() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}

func (c *lostConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isLost() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *lostConn) Write(p []byte) (int, error) {
	if c.isLost() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *lostConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestClientReplacesSilentConnections guards against one time-out for each idle connection
// when all of them are dead.
func TestClientReplacesSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := emulator.NewMemoryListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Millisecond)       // so that concurrent calls need connections of their own
			io.WriteString(w, `{"version":1}`) //nolint:errcheck // the client may have gone
		})}
		go server.Serve(listener) //nolint:errcheck // ends with Close
		lost := make(chan struct{})
		current := lost
		client := storer.NewClient(storer.ClientConfig{
			Address: "platform",
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := listener.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &lostConn{
					Conn:   conn,
					lost:   current,
					closed: make(chan struct{}),
				}, nil
			},
		})
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				if _, err := client.Get(t.Context(), "a"); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		close(lost)
		current = make(chan struct{})
		if _, err := client.Get(t.Context(), "a"); !errors.Is(err, storer.ErrUnavailable) {
			t.Fatalf("error over a silent connection is %v, want %v", err, storer.ErrUnavailable)
		}
		if _, err := client.Get(t.Context(), "a"); err != nil {
			t.Fatalf("the call after the time-out failed: %v", err)
		}
		client.Close()
		server.Close()
		synctest.Wait()
	})
}
