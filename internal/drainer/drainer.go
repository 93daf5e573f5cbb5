// Package drainer provides an HTTP server that stops without interrupting a request.
//
// http.Server.Shutdown closes idle connections at once. A request that is on its way on
// such a connection is then reset, and its caller can't tell whether it was processed.
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

// IdleTime is how long a stopping server must have had no open request before it closes
// its connections. It is longer than a round trip between availability zones.
const IdleTime = 200 * time.Millisecond

// Config configures a Server.
type Config struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	ErrorLog          *log.Logger // nil: the standard logger
}

// Server is an HTTP server that counts its open requests.
type Server struct {
	handler          http.Handler
	server           *http.Server
	listener         *listener
	open             atomic.Int64
	closeAfterAnswer atomic.Bool
}

// New listens on the TCP address. The error wraps that of package net if the address is
// in use or malformed.
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

// Address returns the address of the listener.
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
	if s.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// OpenRequests returns the number of requests that are being answered.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// CloseAfterAnswer makes each further answer ask its caller to close the connection. New
// connections are still accepted.
func (s *Server) CloseAfterAnswer() { s.closeAfterAnswer.Store(true) }

// AwaitIdle waits until no request has been open for IdleTime. It returns an error with
// the number of open requests if ctx is done first.
func (s *Server) AwaitIdle(ctx context.Context) error {
	idleSince := time.Now()
	for time.Since(idleSince) < IdleTime {
		if s.open.Load() > 0 {
			idleSince = time.Now()
		}
		if !sleeper.Sleep(ctx, IdleTime/10) {
			return Error.New("%d requests still open: %w", s.open.Load(), ctx.Err())
		}
	}
	return nil
}

// Stop refuses new connections, answers the requests that arrive on the open ones and closes
// them once no request has been open for IdleTime. If ctx is done first, it returns an error
// and leaves the connections open for Close. A caller that connects at the moment of the stop
// may be reset, so a load balancer has to stop sending callers here before.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	s.CloseAfterAnswer()
	if err := s.AwaitIdle(ctx); err != nil {
		return err
	}
	return Error.Wrap(s.server.Shutdown(ctx))
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return Error.Wrap(errors.Join(s.listener.Close(), s.server.Close()))
}
