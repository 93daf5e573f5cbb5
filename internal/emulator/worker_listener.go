package emulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// workerListener limits the number of connections to a worker and can close or silence them.
type workerListener struct {
	net.Listener
	limit int

	mu        sync.Mutex
	conns     map[*workerConn]struct{}
	downUntil time.Time // new connections are closed at once until then
	mute      bool      // new connections are silent
}

func newWorkerListener(l net.Listener, limit int) *workerListener {
	return &workerListener{
		Listener: l,
		limit:    limit,
		conns:    map[*workerConn]struct{}{},
	}
}

// Accept implements net.Listener. Connections over the limit are closed.
func (l *workerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		conn.Close() //nolint:errcheck // the peer sees a closed connection either way
	}
}

func (l *workerListener) admit(conn net.Conn) *workerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit || time.Now().Before(l.downUntil) {
		return nil
	}
	c := &workerConn{
		Conn:     conn,
		listener: l,
	}
	c.silent.Store(l.mute)
	l.conns[c] = struct{}{}
	return c
}

// silence makes all open connections except one silent until they are closed. With mute, new
// connections are silent too.
func (l *workerListener) silence(except *workerConn, mute bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = mute
	for c := range l.conns {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// unmute lets new connections work again. Those that are silent stay silent.
func (l *workerListener) unmute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = false
}

// refuseFor closes all connections except one, and closes new ones at once for a duration.
func (l *workerListener) refuseFor(except *workerConn, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = time.Now().Add(duration)
	for c := range l.conns {
		if c != except {
			c.Conn.Close() //nolint:errcheck // the connection may have ended already
		}
	}
}

func (l *workerListener) remove(c *workerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// workerConn is a connection that can be silent: it then discards what the worker writes.
type workerConn struct {
	net.Conn
	listener *workerListener
	silent   atomic.Bool
}

// Write implements net.Conn.
func (c *workerConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *workerConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
