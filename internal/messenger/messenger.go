// Package messenger carries messages between entry daemons over QUIC.
//
// Each request uses its own stream, so an answer can't reach another request.
// Both sides prove their name with a certificate. A connection that has gone
// silent is closed by its idle timeout and replaced by the next call.
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

// Version is the version of the messages. A message of a neighbouring release
// decodes: unknown fields are ignored and unknown kinds are answered with ErrUnsupported.
const Version = 1

const (
	idleTimeout     = 2 * time.Second        // a silent connection is closed after this time
	keepAlivePeriod = 500 * time.Millisecond // a quarter of the idle timeout, so that three packets may be lost
	dialTimeout     = time.Second
	headerTimeout   = 5 * time.Second // a peer that sends its request slower is dropped
	maxStreams      = 4096            // concurrent requests per connection

	codeShutdown quic.ApplicationErrorCode = 1
	codeCanceled quic.StreamErrorCode      = 1
)

// Error is the class of all errors of this package.
var Error = errs.Class("messenger")

var (
	// ErrUnreachable means that no connection could be made: the request was not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnsupported means that the peer does not know the message kind.
	ErrUnsupported = errors.New("unsupported message kind")
	// ErrRemote wraps the error text of a peer's handler.
	ErrRemote = errors.New("peer error")
)

// Kind names a message.
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

// Handler serves one request. The peer's name comes from its certificate.
type Handler func(ctx context.Context, peer string, s *Stream) error

// Config configures a Messenger.
type Config struct {
	Listen   string // UDP address, IP and port
	TLS      *tls.Config
	Handlers map[Kind]Handler
	Logger   hclog.Logger
}

// Messenger listens for peers and calls them.
type Messenger struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex
	conns map[string]*dialing // by address
}

// dialing is one connection, possibly still being made.
type dialing struct {
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
		conns:     map[string]*dialing{},
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

// Serve answers peers until ctx is done or Close is called.
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
	for _, d := range m.conns {
		if d.conn != nil {
			_ = d.conn.CloseWithError(codeShutdown, "shutdown")
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
	if err := qs.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return
	}
	if err := s.receive(); err != nil {
		m.cfg.Logger.Warn("request dropped", "peer", peer, "error", err)
		return
	}
	if err := qs.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	handler := m.cfg.Handlers[s.request.Kind]
	if handler == nil {
		_ = s.fail(errorUnsupported)
		return
	}
	// The context of the stream's send side ends when the peer cancels the
	// request or the connection ends.
	if err := handler(qs.Context(), peer, s); err != nil {
		m.cfg.Logger.Debug("request failed", "peer", peer, "kind", string(s.request.Kind), "error", err)
		if !s.answered {
			_ = s.fail(err.Error())
			return
		}
		s.Abort()
	}
}

// Open sends a request and returns its stream, on which the answer comes.
// An error that wraps ErrUnreachable proves that the request was not delivered.
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
	s.stop = context.AfterFunc(ctx, s.Abort)
	if err := s.send(kind, request); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// Call sends a request without a body and returns the answer.
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

// Unary makes a Handler of a function without bodies.
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

// connect returns the open connection to addr, or makes one. Concurrent callers share it.
func (m *Messenger) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	m.mu.Lock()
	d := m.conns[addr]
	if d == nil || d.ended() {
		d = &dialing{ready: make(chan struct{})}
		m.conns[addr] = d
		m.wg.Go(func() { m.dial(addr, d) })
	}
	m.mu.Unlock()
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Messenger) dial(addr string, d *dialing) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	conn, err := m.dialQUIC(ctx, addr)
	m.mu.Lock()
	d.conn = conn
	d.err = err
	m.mu.Unlock()
	close(d.ready)
}

func (m *Messenger) dialQUIC(ctx context.Context, addr string) (*quic.Conn, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return m.transport.Dial(ctx, remote, m.cfg.TLS, quicConfig())
}

func (d *dialing) ended() bool {
	select {
	case <-d.ready:
	default:
		return false
	}
	return d.err != nil || d.conn.Context().Err() != nil
}
