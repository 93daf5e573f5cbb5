// Package drainer provides an HTTP server that stops without interrupting a request.
//
// http.Server.Shutdown closes idle connections at once. A request that is on its way on
// such a connection is then reset, and its caller can't tell whether it was processed.
package drainer

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// Error is the class of all errors of this package.
var Error = errs.Class("drainer")

// IdleTime is how long AwaitIdle wants no request to be open. It is longer than a round trip
// between availability zones.
const IdleTime = 200 * time.Millisecond

// RefusalRetryAfter is when callers without room are told to come back, in seconds: by then those
// that make no progress have given way.
const RefusalRetryAfter = 1

// Config configures a Server.
type Config struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// KeepTime is how long after CloseAfterAnswer Stop keeps idle connections whose callers
	// have not been asked to close them. It bounds the pause between two requests that is
	// safe for a caller, and the time that a silent caller delays Stop.
	KeepTime time.Duration
	ErrorLog *log.Logger // nil: the standard logger
	// Budget bounds what callers hold. Without Connections there is no bound.
	Budget budgeter.Config
	// HeldBodyBytes is how much of a body a handler holds that does not read it by ReadBody. Room
	// for it is reserved as it is read; Read returns budgeter.ErrNoRoom when it does not fit.
	HeldBodyBytes int64
	// Refuse answers a request that does not fit; nil: Refuse of this package. The answer must close
	// the connection, because the rest of the request is not read.
	Refuse func(w http.ResponseWriter)
	// MaxHeaderBytes bounds the header of a request; zero: the bound of net/http.
	MaxHeaderBytes int
	// ReceiveBuffer bounds the bytes that a caller has sent and nobody has read, for each connection;
	// zero: the bound of the system.
	ReceiveBuffer int
	// Refused is called for each caller that is refused or disconnected for want of room; it must
	// not block. It may be nil.
	Refused func(Refusal)
}

// Refusal is a caller that is refused or disconnected for want of room.
type Refusal struct {
	Reason string // a Reason constant
	Origin string // address of the caller
	Usage  budgeter.Usage
}

// Server is an HTTP server that counts its open requests and connections.
type Server struct {
	handler     http.Handler
	server      *http.Server
	listener    *listener
	keepTime    time.Duration
	open        atomic.Int64
	connections atomic.Int64
	served      chan struct{}             // closed when no further connection is accepted
	closeSince  atomic.Pointer[time.Time] // when CloseAfterAnswer was called first
	budget      *budgeter.Budget[*connection]
	heldBody    int64
	refuse      func(w http.ResponseWriter)
	onRefused   func(Refusal)
	expiring    atomic.Bool // expire is going to be called
}

// New listens on the TCP address. The error wraps that of package net if the address is
// in use or malformed.
func New(address string, cfg Config) (*Server, error) {
	l, err := listen(address, cfg.ReceiveBuffer)
	if err != nil {
		return nil, err
	}
	s := &Server{
		handler:   cfg.Handler,
		listener:  l,
		keepTime:  cfg.KeepTime,
		served:    make(chan struct{}),
		heldBody:  cfg.HeldBodyBytes,
		refuse:    cfg.Refuse,
		onRefused: cfg.Refused,
	}
	if s.refuse == nil {
		s.refuse = Refuse
	}
	if cfg.Budget.Connections == 0 {
		cfg.Budget.Connections, cfg.Budget.Bytes = math.MaxInt32, math.MaxInt64
	}
	s.budget = budgeter.New[*connection](cfg.Budget)
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ConnState:         s.countConnection,
		ErrorLog:          cfg.ErrorLog,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve serves until Stop or Close and then returns nil. It must be called at most once.
func (s *Server) Serve() error {
	defer close(s.served)
	if err := s.server.Serve(&budgetedListener{
		Listener: s.listener,
		server:   s,
	}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.closeSince.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		s.handler.ServeHTTP(w, r)
		return
	}
	defer c.end()
	if r.Close && r.ContentLength > 0 {
		unread := &countedBody{
			ReadCloser: r.Body,
			left:       r.ContentLength,
		}
		closing := *r
		closing.Body = unread
		r = &closing
		defer unread.lingerIfLeft(w)
	}
	if !c.begin(r) {
		s.refuse(w)
		return
	}
	if s.heldBody > 0 && r.Body != http.NoBody {
		// net/http looks at the body of its own request when the handler has returned.
		wrapped := *r
		wrapped.Body = &body{
			ReadCloser: r.Body,
			connection: c,
			unreserved: s.heldBody,
		}
		r = &wrapped
	}
	s.handler.ServeHTTP(w, r)
}

// Refuse answers a request that has not run for want of room. The connection is closed, because the
// rest of the request is not read.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(RefusalRetryAfter))
	http.Error(w, budgeter.ErrNoRoom.Error(), http.StatusServiceUnavailable)
}

func (s *Server) refused(reason, origin string) {
	if s.onRefused != nil {
		s.onRefused(Refusal{
			Reason: reason,
			Origin: origin,
			Usage:  s.budget.Usage(),
		})
	}
}

// Usage returns what callers hold.
func (s *Server) Usage() budgeter.Usage { return s.budget.Usage() }

func (s *Server) countConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	case http.StateIdle:
		if c, ok := conn.(*connection); ok {
			c.idle()
		}
	case http.StateActive:
	}
}

// OpenRequests returns the number of requests that are being answered.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// CloseAfterAnswer makes each further answer ask its caller to close the connection. New
// connections are still accepted.
func (s *Server) CloseAfterAnswer() {
	now := time.Now()
	s.closeSince.CompareAndSwap(nil, &now)
}

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

// awaitClosed waits until all connections are closed. It returns false if KeepTime is over or
// ctx is done first.
func (s *Server) awaitClosed(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, s.closeSince.Load().Add(s.keepTime))
	defer cancel()
	select {
	case <-s.served:
	case <-ctx.Done():
		return false
	}
	for s.connections.Load() > 0 {
		if !sleeper.Sleep(ctx, IdleTime/10) {
			return false
		}
	}
	return true
}

// Stop refuses new connections, answers the requests that arrive on the open ones and asks
// their callers to close them. It returns once all are closed. After KeepTime it closes the
// rest itself as soon as no request has been open for IdleTime. If ctx is done first, it
// returns an error and leaves the connections open for Close. A caller that connects at the
// moment of the stop may be reset, so a load balancer has to stop sending callers here before.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	s.CloseAfterAnswer()
	if !s.awaitClosed(ctx) {
		if err := s.AwaitIdle(ctx); err != nil {
			return err
		}
	}
	return Error.Wrap(s.server.Shutdown(ctx))
}

// Shutdown reads no further request: it closes the listener and the connections without an open
// request. It returns when the open requests are answered, or an error if ctx is done first. New
// connections that send no request are kept for IdleTime.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if s.AwaitIdle(ctx) == nil {
			cancel()
		}
	}()
	err := s.server.Shutdown(ctx)
	if err != nil && s.open.Load() == 0 {
		err = s.server.Close()
	}
	return Error.Wrap(err)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return Error.Wrap(errors.Join(s.listener.Close(), s.server.Close()))
}
