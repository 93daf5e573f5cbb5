// Package messenger carries messages between entry daemons over QUIC.
//
// Each request uses its own stream, so an answer can't be taken for that of another request.
// Both sides authenticate with a certificate. A connection on which nothing arrives is closed
// after its idle timeout, and the next call opens a new one.
package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"
)

// Version is the version of the message format. Adjacent releases can exchange messages:
// unknown fields are ignored, and a request of an unknown kind fails with ErrUnsupported.
const Version = 1

const (
	idleTimeout     = 2 * time.Second        // a connection on which nothing arrives is closed after this time
	keepAlivePeriod = 500 * time.Millisecond // a quarter of idleTimeout: tolerates the loss of three packets in a row
	dialTimeout     = time.Second
	requestTimeout  = 5 * time.Second // limit on receiving the first message of a request
	maxStreams      = 4096            // concurrent requests per connection

	codeShutdown quic.ApplicationErrorCode = 1
	codeCanceled quic.StreamErrorCode      = 1
)

// Error is the class of all errors of this package.
var Error = errs.Class("messenger")

var (
	// ErrUnreachable means that no connection or stream could be opened, so the request was
	// not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnsupported means that the peer does not know the message kind.
	ErrUnsupported = errors.New("unsupported message kind")
	// ErrRemote is joined with the error text that a peer's handler returned.
	ErrRemote = errors.New("peer error")
)

// Kind names the type of a request and selects its Handler.
type Kind string

// Envelope is the first message of each direction of a stream.
type Envelope struct {
	Version int             `cbor:"version"`
	Kind    Kind            `cbor:"kind"`
	Body    cbor.RawMessage `cbor:"body,omitempty"`
	Error   string          `cbor:"error,omitempty"` // set in an answer instead of Body
}

// errorUnsupported is Envelope.Error for an unknown kind.
const errorUnsupported = "unsupported"

// Handler serves one request. peer is the name in the certificate of the caller. The text
// of an error is sent to the caller, unless the handler has already answered.
type Handler func(ctx context.Context, peer string, s *Stream) error

// Config configures a Messenger.
type Config struct {
	Listen   string // UDP address, IP and port
	TLS      *tls.Config
	Handlers map[Kind]Handler
	Logger   hclog.Logger
}

// Messenger serves requests of peers and sends requests to them.
type Messenger struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex
	conns map[string]*peerConn // by address
}

// peerConn is a connection to a peer. conn and err are set once ready is closed.
type peerConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// New listens on cfg.Listen. Serve must be called to answer peers.
func New(cfg Config) (*Messenger, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.Listen(cfg.TLS, quicConfig())
	if err != nil {
		return nil, Error.Wrap(errors.Join(err, conn.Close()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		cfg:       cfg,
		transport: transport,
		listener:  listener,
		ctx:       ctx,
		cancel:    cancel,
		conns:     map[string]*peerConn{},
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		HandshakeIdleTimeout: dialTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// Addr returns the address on which the messenger listens.
func (m *Messenger) Addr() string {
	return m.listener.Addr().String()
}

// Serve accepts connections of peers until ctx is done or Close is called, and then
// returns nil.
func (m *Messenger) Serve(ctx context.Context) error {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || m.ctx.Err() != nil {
				return nil
			}
			return Error.Wrap(err)
		}
		m.wg.Go(func() { m.serveConn(conn) })
	}
}

// Close closes all connections and waits for the handlers to return.
func (m *Messenger) Close() error {
	m.cancel()
	err := m.listener.Close()
	m.mu.Lock()
	for _, c := range m.conns {
		if c.conn != nil {
			_ = c.conn.CloseWithError(codeShutdown, "shutdown")
		}
	}
	m.mu.Unlock()
	err = errors.Join(err, m.transport.Close(), m.transport.Conn.Close())
	m.wg.Wait()
	return Error.Wrap(err)
}

func (m *Messenger) serveConn(conn *quic.Conn) {
	peer := PeerName(conn.ConnectionState().TLS)
	for {
		s, err := conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.wg.Go(func() { m.serveStream(peer, s) })
	}
}

func (m *Messenger) serveStream(peer string, qs *quic.Stream) {
	s := &Stream{stream: qs}
	defer s.Close()
	if err := qs.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	if err := s.receiveRequest(); err != nil {
		m.cfg.Logger.Warn("cannot read the request of a peer", "peer", peer, "error", err)
		return
	}
	if err := qs.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	handler := m.cfg.Handlers[s.request.Kind]
	if handler == nil {
		_ = s.sendError(errorUnsupported)
		return
	}
	// The context of a stream is that of its sending side. It ends when the peer cancels the
	// request or when the connection is closed.
	if err := handler(qs.Context(), peer, s); err != nil {
		m.cfg.Logger.Debug("handler of a peer's request failed", "peer", peer, "kind", string(s.request.Kind), "error", err)
		if !s.answered {
			_ = s.sendError(err.Error())
			return
		}
		s.Abort()
	}
}

// Open sends a request and returns its stream, on which the answer is received. An error
// that wraps ErrUnreachable means that the request was not delivered; after any other error
// it may have been.
func (m *Messenger) Open(ctx context.Context, addr string, kind Kind, request any) (*Stream, error) {
	conn, err := m.connect(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrUnreachable, err))
	}
	qs, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrUnreachable, err))
	}
	s := &Stream{stream: qs}
	s.stopAbort = context.AfterFunc(ctx, s.Abort)
	if err := s.send(kind, request); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// Call sends a request without a body and waits for the answer.
func Call[Request, Answer any](ctx context.Context, m *Messenger, addr string, kind Kind, request Request) (Answer, error) {
	var answer Answer
	s, err := m.Open(ctx, addr, kind, request)
	if err != nil {
		return answer, err
	}
	defer s.Close()
	if err := s.Exchange(nil, &answer); err != nil {
		s.Abort()
		return answer, err
	}
	return answer, nil
}

// Unary returns a Handler for requests that have a message but no body, in either direction.
func Unary[Request, Answer any](f func(ctx context.Context, peer string, request Request) (Answer, error)) Handler {
	return func(ctx context.Context, peer string, s *Stream) error {
		var request Request
		if err := s.Decode(&request); err != nil {
			return err
		}
		answer, err := f(ctx, peer, request)
		if err != nil {
			return err
		}
		return s.Answer(answer)
	}
}

// connect returns the open connection to addr, or opens one. Concurrent callers share it.
func (m *Messenger) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	m.mu.Lock()
	c := m.conns[addr]
	if c == nil || c.closed() {
		c = &peerConn{ready: make(chan struct{})}
		m.conns[addr] = c
		m.wg.Go(func() { m.dial(addr, c) })
	}
	m.mu.Unlock()
	select {
	case <-c.ready:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Messenger) dial(addr string, c *peerConn) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	conn, err := m.dialQUIC(ctx, addr)
	m.mu.Lock()
	c.conn = conn
	c.err = err
	m.mu.Unlock()
	close(c.ready)
}

func (m *Messenger) dialQUIC(ctx context.Context, addr string) (*quic.Conn, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return m.transport.Dial(ctx, remote, m.cfg.TLS, quicConfig())
}

// closed reports whether the connection could not be opened or has ended.
func (c *peerConn) closed() bool {
	select {
	case <-c.ready:
	default:
		return false
	}
	return c.err != nil || c.conn.Context().Err() != nil
}
