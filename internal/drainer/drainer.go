// Package drainer serves HTTP and stops without interrupting a request.
//
// http.Server.Shutdown closes idle connections at once, and a request may be on its way
// on each of them; its caller then sees a reset and can't tell whether it has run.
package drainer

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/sleeper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("drainer")

// QuietTime is how long no request may be open before a stopping server closes its
// connections. It is longer than a round trip between availability zones.
const QuietTime = 200 * time.Millisecond

// Config configures a Server.
type Config struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	ErrorLog          *log.Logger // nil: the standard logger
}

// Server is an HTTP server that counts its open requests.
type Server struct {
	handler  http.Handler
	server   *http.Server
	listener *listener
	open     atomic.Int64
	leaving  atomic.Bool
}

// New opens the TCP address. It returns the error of the system when the address is
// taken or malformed.
func New(address string, cfg Config) (*Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		handler:  cfg.Handler,
		listener: l,
	}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		ErrorLog:          cfg.ErrorLog,
	}
	return s, nil
}

// Address returns the address that is listened on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve serves until Stop or Close and then returns nil.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Open returns the number of requests that are being answered.
func (s *Server) Open() int64 { return s.open.Load() }

// Leave asks callers to close their connections with the next answer. New connections
// are still taken.
func (s *Server) Leave() { s.leaving.Store(true) }

// AwaitQuiet waits until no request has been open for QuietTime, or ctx is done.
func (s *Server) AwaitQuiet(ctx context.Context) error {
	quiet := time.Now()
	for time.Since(quiet) < QuietTime {
		if s.open.Load() > 0 {
			quiet = time.Now()
		}
		if !sleeper.Sleep(ctx, QuietTime/10) {
			return Error.New("%d requests open: %w", s.open.Load(), ctx.Err())
		}
	}
	return nil
}

// Stop refuses new connections, answers what arrives on the open ones and closes them
// once they are quiet. When ctx ends first it returns an error and leaves the
// connections open; Close ends them. A caller that connects in the very moment of the
// stop may be reset: one that the balancer no longer sends here does not.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	s.Leave()
	if err := s.AwaitQuiet(ctx); err != nil {
		return err
	}
	return Error.Wrap(s.server.Shutdown(ctx))
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return Error.Wrap(errors.Join(s.listener.Close(), s.server.Close()))
}
