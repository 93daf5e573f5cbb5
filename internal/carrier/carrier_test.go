package carrier_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/carrier"
	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// recordingServer answers all calls alike and keeps the last one.
type recordingServer struct {
	result manager.Result
	kind   manager.CallKind
	call   manager.Call
}

func (s *recordingServer) ServeNeighbor(_ context.Context, kind manager.CallKind, call manager.Call) manager.Result {
	s.kind, s.call = kind, call
	return s.result
}

func submission() manager.Call {
	return manager.Call{
		Host:     "desk.example",
		Path:     "/quotes/5c0e7a21d94b36f8",
		Key:      "k1",
		Deadline: time.Now().Add(3 * time.Second),
		Revision: 8,
		Job: &jobkeeper.Job{
			Spec: "s",
			Steps: []jobkeeper.Step{{
				Count:      2,
				EstimateMS: 300,
			}},
		},
	}
}

// A call arrives as it was made, and its answer as it was given.
func TestCallAndAnswerAreCarriedWhole(t *testing.T) {
	server := &recordingServer{
		result: manager.Result{
			Verdict:     manager.VerdictNotRun,
			Reason:      "the queue is too long for this job",
			State:       jobkeeper.StateRunning,
			WaitingJobs: 7,
			RetryAfter:  1500 * time.Millisecond,
			Revision:    9,
		},
	}
	daemon := httptest.NewServer(carrier.NewHandler(server))
	defer daemon.Close()
	call := submission()
	result, err := carrier.NewClient().Carry(t.Context(), address(daemon), manager.CallSubmit, call)
	if err != nil || result != server.result {
		t.Errorf("got %+v, %v, want %+v", result, err, server.result)
	}
	got := server.call
	if left := time.Until(got.Deadline); left <= 0 || left > 3*time.Second {
		t.Errorf("%s left until the deadline, want a part of 3 s", left)
	}
	got.Deadline = call.Deadline
	if server.kind != manager.CallSubmit || !reflect.DeepEqual(got, call) {
		t.Errorf("got %s %+v, want %+v", server.kind, got, call)
	}
}

// Only a call that certainly has not begun is "not sent": a caller may be told that it has not run.
func TestFailedCallTellsWhetherItWasSent(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	tests := []struct {
		name    string
		handler http.HandlerFunc // nil: nobody listens
		notSent bool
	}{
		{
			name:    "nobody listens",
			notSent: true,
		},
		{
			name:    "busy",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			notSent: true,
		},
		{
			name:    "connection reset after the call",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		},
		{
			name: "silent",
			handler: func(_ http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body) //nolint:errcheck // so that the end of the call is noticed
				<-r.Context().Done()
			},
		},
		{
			name:    "answer not readable",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("\xff")) }, //nolint:errcheck // test
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to := strings.TrimPrefix(closed.URL, "http://")
			if tt.handler != nil {
				daemon := httptest.NewServer(tt.handler)
				defer daemon.Close()
				to = address(daemon)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := carrier.NewClient().Carry(ctx, to, manager.CallSubmit, submission())
			if err == nil || errors.Is(err, manager.ErrNotSent) != tt.notSent {
				t.Errorf("got %v, want an error that says not sent: %v", err, tt.notSent)
			}
		})
	}
}

// Guards against a process that ends by what it reads.
func TestMalformedCallIsRefused(t *testing.T) {
	server := &recordingServer{}
	daemon := httptest.NewServer(carrier.NewHandler(server))
	defer daemon.Close()
	for _, body := range [][]byte{nil, []byte("\xff\xff"), []byte("\xa0"), bytes.Repeat([]byte{0x41}, 1<<20)} {
		r, err := http.Post(daemon.URL+carrier.Path, "", bytes.NewReader(body)) //nolint:noctx // bounded by the test
		if err != nil {
			var op *net.OpError
			if !errors.As(err, &op) {
				t.Fatal(err)
			}
			continue // the connection was closed before the whole body was sent
		}
		r.Body.Close()
		if r.StatusCode != http.StatusBadRequest {
			t.Errorf("status %d for %d bytes, want 400", r.StatusCode, len(body))
		}
	}
	if server.kind != "" {
		t.Error("a malformed call was begun")
	}
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
