package runner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// serveHandler returns a client of an HTTP/2 server that answers with handler.
func serveHandler(t *testing.T, handler http.HandlerFunc) *runner.Client {
	t.Helper()
	listener := emulator.NewMemoryListener()
	server := &http.Server{
		Handler:   handler,
		Protocols: new(http.Protocols),
	}
	server.Protocols.SetUnencryptedHTTP2(true)
	go server.Serve(listener) //nolint:errcheck // ends with ErrServerClosed
	client := runner.NewClient(runner.ClientConfig{
		Address: "worker:1",
		Dial:    listener.DialContext,
	})
	t.Cleanup(func() {
		client.Close()
		synctest.Wait()
		server.Close()
		synctest.Wait()
	})
	return client
}

// TestClientMapsFaults guards against a start without an answer that is reported as not
// run, and against a truncated answer that is reported as complete.
func TestClientMapsFaults(t *testing.T) {
	const whole = "ok"
	answer := func(length, digest string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(runner.HeaderStatus, "200")
			io.WriteString(w, whole) //nolint:errcheck // the client may have gone
			w.Header().Set(http.TrailerPrefix+runner.TrailerLength, length)
			w.Header().Set(http.TrailerPrefix+runner.TrailerDigest, digest)
		}
	}
	const digest = "a8f6f8a6a4f0d6d9" // not that of whole
	tests := []struct {
		name    string
		handler http.HandlerFunc
		start   error // of Start
		body    error // of the body after a good Start
	}{
		{"connection reset before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			runner.ErrOutcomeUnknown, nil},
		{"status without a reason", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
			runner.ErrOutcomeUnknown, nil},
		{"unknown reason", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(503)
			io.WriteString(w, `{"reason":"new"}`) //nolint:errcheck // the client may have gone
		}, runner.ErrOutcomeUnknown, nil},
		{"unknown reason that proves that the task did not run", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(503)
			io.WriteString(w, `{"reason":"new","not_run":true}`) //nolint:errcheck // the client may have gone
		}, runner.ErrNotRun, nil},
		{"no application status", func(http.ResponseWriter, *http.Request) {}, runner.ErrOutcomeUnknown, nil},
		{"reset within the body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(runner.HeaderStatus, "200")
			io.WriteString(w, whole)              //nolint:errcheck // the client may have gone
			http.NewResponseController(w).Flush() //nolint:errcheck // the client may have gone
			panic(http.ErrAbortHandler)
		}, nil, runner.ErrTruncated},
		{"no trailers", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(runner.HeaderStatus, "200")
			io.WriteString(w, whole) //nolint:errcheck // the client may have gone
		}, nil, runner.ErrTruncated},
		{"other length", answer("3", digest), nil, runner.ErrTruncated},
		{"other digest", answer("2", digest), nil, runner.ErrTruncated},
		{"malformed digest", answer("2", "x"), nil, runner.ErrTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := serveHandler(t, tt.handler)
				answer, err := client.Start(t.Context(), runner.Task{ID: "t1"}, strings.NewReader("body"))
				if tt.start != nil {
					want(t, err, tt.start)
					if tt.start != runner.ErrNotRun && errors.Is(err, runner.ErrNotRun) { //nolint:errorlint // a table entry
						t.Fatalf("%v claims that the task did not run", err)
					}
					return
				}
				must(t, err)
				defer answer.Body.Close()
				_, err = io.Copy(io.Discard, answer.Body)
				want(t, err, tt.body)
			})
		})
	}
}

// TestUnsentStartIsNotRun guards against the loss of work whose target cannot be reached.
func TestUnsentStartIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := runner.NewClient(runner.ClientConfig{
			Address: "worker:1",
			Dial:    func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") },
		})
		defer client.Close()
		_, err := client.Start(t.Context(), runner.Task{ID: "t1"}, strings.NewReader("body"))
		want(t, err, runner.ErrNotRun)
		_, err = client.Status(t.Context(), "t1")
		want(t, err, runner.ErrOutcomeUnknown)
	})
}

// TestSilentConnectionIsReplaced guards against a request that waits until its deadline on
// a connection that stays silent while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newWorker(t)
		client, server := serve(t, worker)
		f := fixture{client, worker}
		f.open(t, "s1")
		result := f.start(t, f.newTask("t1", "/x?duration_ms=8000"))
		time.Sleep(time.Second)
		server.Silence(false)
		start := time.Now()
		err := <-result
		want(t, err, runner.ErrOutcomeUnknown)
		// The limit counts from the last byte, which may have been of a health answer just before.
		if took := time.Since(start); took > 3*time.Second {
			t.Fatalf("silence was noticed after %v", took)
		}
		answer, err := client.Answer(t.Context(), "t1")
		must(t, err)
		must(t, check(answer, "identity of t1", "body"))
		if runs := worker.Runs().Runs; len(runs) != 1 {
			t.Fatalf("runs: %+v", runs)
		}
	})
}

// TestMuteWorkerIsNoticedAndReachedAgain guards against a client that waits without
// end for a worker that accepts connections and never answers.
func TestMuteWorkerIsNoticedAndReachedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := serve(t, newWorker(t))
		must(t, client.Health(t.Context()))
		server.Silence(true)
		for range 2 {
			start := time.Now()
			_, err := client.Answer(t.Context(), "t1")
			want(t, err, runner.ErrOutcomeUnknown)
			if took := time.Since(start); took > 2*time.Second {
				t.Fatalf("silence was noticed after %v", took)
			}
		}
		server.Unmute()
		time.Sleep(2 * time.Second)
		must(t, client.Health(t.Context()))
	})
}

// TestLongTaskIsNotSilent guards against closing a connection on which only a long task
// is outstanding.
func TestLongTaskIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newWorker(t)
		client, _ := serve(t, worker)
		_, err := client.OpenSession(t.Context(), "s1", time.Minute)
		must(t, err)
		must(t, <-fixture{client, worker}.start(t, fixture{client, worker}.newTask("t1", "/x?duration_ms=50000")))
	})
}

// TestConnectionsAreLimited guards against one entry daemon that uses all connections of a worker.
func TestConnectionsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newWorker(t)
		listener := emulator.NewMemoryListener()
		server, err := emulator.NewWorkerServer(worker, listener, emulator.DefaultConnections)
		must(t, err)
		go server.Serve() //nolint:errcheck // ends when the test does
		var dials atomic.Int64
		client := runner.NewClient(runner.ClientConfig{
			Address:     "worker:1",
			Connections: 3,
			Streams:     2,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return listener.DialContext(ctx, network, address)
			},
		})
		f := fixture{client, worker}
		f.open(t, "s1")
		var results []<-chan error
		for i := range emulator.DefaultSlots {
			results = append(results, f.start(t, f.newTask(fmt.Sprint("t", i), "/x?duration_ms=1000")))
		}
		for _, result := range results {
			must(t, <-result)
		}
		if n := dials.Load(); n != 3 {
			t.Fatalf("%d connections", n)
		}
		client.Close()
		synctest.Wait()
		must(t, server.Close())
	})
}

// TestWorkerRefusesConnectionsOverItsLimit guards against a worker emulator without its limit.
func TestWorkerRefusesConnectionsOverItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := emulator.NewMemoryListener()
		server, err := emulator.NewWorkerServer(newWorker(t), listener, 1)
		must(t, err)
		go server.Serve() //nolint:errcheck // ends when the test does
		defer func() { must(t, server.Close()) }()
		first, err := listener.DialContext(t.Context(), "", "")
		must(t, err)
		defer func() { must(t, first.Close()) }()
		second, err := listener.DialContext(t.Context(), "", "")
		must(t, err)
		if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("error is %v", err)
		}
	})
}

// TestDrainingIsNoticedWithoutACall guards against new work for a draining target that the
// list does not show as draining yet.
func TestDrainingIsNoticedWithoutACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newWorker(t)
		client, _ := serve(t, worker)
		must(t, client.Health(t.Context()))
		worker.SetDraining(true)
		if client.Draining() {
			t.Fatal("draining without an answer that said so")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if !client.Draining() || time.Since(client.LastResponse()) > time.Second {
			t.Fatal("draining was not noticed within the health interval")
		}
	})
}

// TestRebootedWorkerIsReachedAgain guards against a client that keeps using closed connections.
func TestRebootedWorkerIsReachedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newWorker(t)
		client, server := serve(t, worker)
		must(t, client.Health(t.Context()))
		server.Reboot(3 * time.Second)
		synctest.Wait()
		if err := client.Health(t.Context()); err == nil {
			t.Fatal("the worker answers during its reboot")
		}
		time.Sleep(3 * time.Second)
		must(t, client.Health(t.Context()))
	})
}

// FuzzParseDigest guards against trailers that are parsed to a value other than the one sent.
func FuzzParseDigest(f *testing.F) {
	for _, seed := range [][2]string{{"0", "ef46db3751d8e999"}, {"", ""}, {"-1", "0"}, {"007", "ef46db3751d8e999"},
		{"9223372036854775807", "FFFFFFFFFFFFFFFF"}, {"9223372036854775808", "0000000000000000"}, {"1", "0x00000000000001"}} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, length, sum string) {
		digest, err := runner.ParseDigest(length, sum)
		if err != nil {
			return
		}
		if l, s := digest.Trailers(); l != length || s != sum {
			t.Fatalf("%q, %q was read as %q, %q", length, sum, l, s)
		}
	})
}
