package emulator

import (
	"context"
	"net"
	"sync"
)

// MemoryListener is a net.Listener in memory, without a socket. It is needed under the virtual
// time of testing/synctest, which does not advance while a goroutine waits on a socket.
type MemoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewMemoryListener returns an open listener.
func NewMemoryListener() *MemoryListener {
	return &MemoryListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
}

var _ net.Listener = (*MemoryListener)(nil)

// DialContext opens a connection; network and address are ignored.
func (l *MemoryListener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *MemoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *MemoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *MemoryListener) Addr() net.Addr {
	return memoryAddr{}
}

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "memory" }
