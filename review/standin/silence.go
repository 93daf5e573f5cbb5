package standin

import (
	"net"
	"sync"
)

// silencer is a listener whose connections can go silent: they stay open and carry nothing
// further, while new ones work.
type silencer struct {
	net.Listener

	mu   sync.Mutex
	open map[*silentConn]bool
}

func newSilencer(l net.Listener) *silencer {
	return &silencer{
		Listener: l,
		open:     map[*silentConn]bool{},
	}
}

// Accept implements net.Listener.
func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silentConn{
		Conn:     c,
		listener: s,
		silent:   make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = true
	return conn, nil
}

// silence makes the connections silent that are open now, and returns how many there are.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.open)
	for c := range s.open {
		close(c.silent)
	}
	s.open = map[*silentConn]bool{}
	return n
}

// silentConn is a connection of a silencer.
type silentConn struct {
	net.Conn

	listener *silencer
	silent   chan struct{} // closed when it goes silent
}

// Read implements net.Conn. What arrives on a silent connection is dropped.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		select {
		case <-c.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is dropped.
func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
