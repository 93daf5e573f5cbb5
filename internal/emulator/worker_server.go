package emulator

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// connKey is the context key of the *workerConn of a request.
type connKey struct{}

// WorkerServer serves a Worker over the network: HTTP/1.1 for people and scripts,
// and HTTP/2 without TLS for entry daemons, on one listener.
type WorkerServer struct {
	worker   *Worker
	listener *workerListener
	server   *http.Server
}

// NewWorkerServer returns a server on l. The parameter connections limits its open connections
// and must be at least 1.
func NewWorkerServer(w *Worker, l net.Listener, connections int) (*WorkerServer, error) {
	if connections < 1 {
		return nil, fmt.Errorf("%w: the limit of connections is %d, want at least 1", errBadRequest, connections)
	}
	s := &WorkerServer{
		worker:   w,
		listener: newWorkerListener(l, connections),
	}
	s.server = &http.Server{
		Handler:   s.handler(),
		Protocols: new(http.Protocols),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ReadHeaderTimeout: 10 * time.Second,
		MaxHeaderBytes:    4 * runner.MaxTaskBytes,
	}
	s.server.Protocols.SetHTTP1(true)
	s.server.Protocols.SetUnencryptedHTTP2(true)
	return s, nil
}

// Serve serves requests until Close and then returns nil.
func (s *WorkerServer) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections.
func (s *WorkerServer) Close() error {
	return s.server.Close()
}

// Silence makes all open connections silent until they are closed. With mute, connections that
// are opened before Unmute are silent too.
func (s *WorkerServer) Silence(mute bool) {
	s.listener.silence(nil, mute)
}

// Unmute lets new connections work again after Silence.
func (s *WorkerServer) Unmute() {
	s.listener.unmute()
}

// Reboot restarts the worker and refuses connections for a duration.
func (s *WorkerServer) Reboot(duration time.Duration) {
	s.reboot(nil, duration)
}

func (s *WorkerServer) reboot(except *workerConn, duration time.Duration) {
	s.listener.refuseFor(except, duration)
	s.worker.Reboot()
}

func (s *WorkerServer) handler() http.Handler {
	mux := http.NewServeMux()
	s.routeSessions(mux)
	s.routeTasks(mux)
	s.routeReports(mux)
	s.routeFaults(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.worker.Draining() {
			w.Header().Set(runner.HeaderDraining, "true")
		}
		// The admin API also answers on silent connections, so that a muted worker can be unmuted.
		if conn := connOf(r); conn != nil && strings.HasPrefix(r.URL.Path, "/admin/") {
			conn.silent.Store(false)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *WorkerServer) routeSessions(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/sessions/{id}", func(w http.ResponseWriter, r *http.Request) {
		ttl, err := parseMilliseconds(r.URL.Query().Get("ttl_ms"), maxDelay)
		if err != nil {
			writeRefusal(w, fmt.Errorf("%w: ttl_ms: %w", runner.ErrInvalid, err))
			return
		}
		boot, err := s.worker.OpenSession(r.Context(), r.PathValue("id"), ttl)
		writeWorkerResult(w, map[string]string{"boot": boot}, err)
	})
	mux.HandleFunc("POST /v1/sessions/{id}/renew", func(w http.ResponseWriter, r *http.Request) {
		ttl, err := parseMilliseconds(r.URL.Query().Get("ttl_ms"), maxDelay)
		if err != nil {
			writeRefusal(w, fmt.Errorf("%w: ttl_ms: %w", runner.ErrInvalid, err))
			return
		}
		err = s.worker.RenewSession(r.Context(), r.PathValue("id"), r.URL.Query().Get("boot"), ttl)
		writeWorkerResult(w, struct{}{}, err)
	})
	mux.HandleFunc("DELETE /v1/sessions/{id}", func(w http.ResponseWriter, r *http.Request) {
		revocation, err := s.worker.RevokeSession(r.Context(), r.PathValue("id"))
		writeWorkerResult(w, revocation, err)
	})
}

func (s *WorkerServer) routeTasks(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/tasks/{id}", s.start)
	mux.HandleFunc("GET /v1/tasks/{id}", func(w http.ResponseWriter, r *http.Request) {
		status, err := s.worker.Status(r.Context(), r.PathValue("id"))
		writeWorkerResult(w, status, err)
	})
	mux.HandleFunc("GET /v1/tasks/{id}/answer", func(w http.ResponseWriter, r *http.Request) {
		answer, err := s.worker.Answer(r.Context(), r.PathValue("id"))
		writeAnswer(w, answer, err)
	})
	changes := []struct {
		name   string
		change func(r *http.Request, id string) error
	}{
		{"adopt", func(r *http.Request, id string) error {
			return s.worker.Adopt(r.Context(), id, r.URL.Query().Get("session"))
		}},
		{"stop", func(r *http.Request, id string) error { return s.worker.Stop(r.Context(), id) }},
		{"checkpoint", func(r *http.Request, id string) error { return s.worker.Checkpoint(r.Context(), id) }},
		{"resume", func(r *http.Request, id string) error { return s.worker.Resume(r.Context(), id) }},
		{"throttle", func(r *http.Request, id string) error {
			percent, err := strconv.Atoi(r.URL.Query().Get("percent"))
			if err != nil {
				return fmt.Errorf("%w: percent: %w", runner.ErrInvalid, err)
			}
			return s.worker.Throttle(r.Context(), id, percent)
		}},
	}
	for _, c := range changes {
		mux.HandleFunc("POST /v1/tasks/{id}/"+c.name, func(w http.ResponseWriter, r *http.Request) {
			writeWorkerResult(w, struct{}{}, c.change(r, r.PathValue("id")))
		})
	}
}

func (s *WorkerServer) start(w http.ResponseWriter, r *http.Request) {
	task, err := parseTask(r.Header.Get(runner.HeaderTask))
	if err == nil && task.ID != r.PathValue("id") {
		err = fmt.Errorf("%w: the task id differs from that of the path", runner.ErrInvalid)
	}
	if err != nil {
		writeRefusal(w, runner.MarkNotRun(err))
		return
	}
	answer, err := s.worker.Start(r.Context(), task, r.Body)
	writeAnswer(w, answer, err)
}

// parseTask reads the value of runner.HeaderTask.
func parseTask(header string) (runner.Task, error) {
	var task runner.Task
	data, err := base64.StdEncoding.DecodeString(header)
	if err != nil {
		return task, fmt.Errorf("%w: %s: %w", runner.ErrInvalid, runner.HeaderTask, err)
	}
	if len(data) > runner.MaxTaskBytes {
		return task, fmt.Errorf("%w: %s is larger than %d bytes", runner.ErrInvalid, runner.HeaderTask, runner.MaxTaskBytes)
	}
	if err := json.Unmarshal(data, &task); err != nil {
		return task, fmt.Errorf("%w: %s: %w", runner.ErrInvalid, runner.HeaderTask, err)
	}
	return task, nil
}

func (s *WorkerServer) routeReports(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/usage", func(w http.ResponseWriter, r *http.Request) {
		usage, err := s.worker.Usage(r.Context())
		writeWorkerResult(w, usage, err)
	})
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"draining": s.worker.Draining()})
	})
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.worker.Runs())
	})
}

func (s *WorkerServer) routeFaults(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.worker.Faults())
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := readAdminJSON[WorkerFaults](r)
		if err == nil {
			err = s.worker.SetFaults(faults)
		}
		writeAdminResult(w, err)
	})
	mux.HandleFunc("POST /admin/drain", func(w http.ResponseWriter, _ *http.Request) {
		s.worker.SetDraining(true)
		writeAdminResult(w, nil)
	})
	mux.HandleFunc("POST /admin/undrain", func(w http.ResponseWriter, _ *http.Request) {
		s.worker.SetDraining(false)
		writeAdminResult(w, nil)
	})
	mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, r *http.Request) {
		s.listener.silence(connOf(r), r.URL.Query().Get("mute") == "true")
		writeAdminResult(w, nil)
	})
	mux.HandleFunc("POST /admin/unmute", func(w http.ResponseWriter, _ *http.Request) {
		s.Unmute()
		writeAdminResult(w, nil)
	})
	mux.HandleFunc("POST /admin/reboot", func(w http.ResponseWriter, r *http.Request) {
		duration, err := parseMilliseconds(r.URL.Query().Get("duration_ms"), maxDelay)
		if err != nil {
			writeAdminResult(w, fmt.Errorf("%w: duration_ms: %w", errBadRequest, err))
			return
		}
		w.Header().Set("Connection", "close")
		s.reboot(connOf(r), duration)
		writeAdminResult(w, nil)
	})
}

func connOf(r *http.Request) *workerConn {
	conn, _ := r.Context().Value(connKey{}).(*workerConn)
	return conn
}

func writeWorkerResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeRefusal(w http.ResponseWriter, err error) {
	refusal := runner.RefusalOf(err)
	status := http.StatusServiceUnavailable
	switch refusal.Reason {
	case runner.ReasonInvalid:
		status = http.StatusBadRequest
	case runner.ReasonUnknownTask:
		status = http.StatusNotFound
	case runner.ReasonTaskEnded, runner.ReasonTaskStopped, runner.ReasonSessionEnded:
		status = http.StatusConflict
	}
	writeJSON(w, status, refusal)
}

// writeAnswer streams the application's answer with length and digest in trailers.
func writeAnswer(w http.ResponseWriter, answer *runner.Answer, err error) {
	if err != nil {
		writeRefusal(w, err)
		return
	}
	defer answer.Body.Close()
	header := w.Header()
	header.Set("Trailer", runner.TrailerLength+", "+runner.TrailerDigest)
	header.Set("Content-Type", answer.ContentType)
	header.Set(runner.HeaderStatus, strconv.Itoa(answer.Status))
	w.WriteHeader(http.StatusOK)
	hash := xxhash.New()
	n, err := copyAnswer(w, hash, answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller must not take the answer as complete
	}
	length, sum := runner.Digest{
		Length: n,
		Sum:    hash.Sum64(),
	}.Trailers()
	header.Set(runner.TrailerLength, length)
	header.Set(runner.TrailerDigest, sum)
}
