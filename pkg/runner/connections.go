package runner

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// connections is the pool of connections to one target.
type connections struct {
	cfg        *ClientConfig
	onResponse func(*http.Response)
	changed    notifier // a request or a connection has ended, or a connection was opened

	mu      sync.Mutex
	open    []*connection
	dialing int
	closed  bool
}

// acquire returns the least loaded connection with a request reserved on it. If all
// connections are fully loaded, it opens another one if the limit allows it, or waits.
func (c *connections) acquire(ctx context.Context) (*connection, error) {
	for {
		changed := c.changed.wait()
		conn, dial, err := c.choose()
		switch {
		case err != nil:
			return nil, err
		case conn != nil:
			return conn, nil
		case dial:
			if err := c.dial(ctx); err != nil {
				return nil, err
			}
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// choose returns a connection, or dial if the caller is to open one. With neither, the
// caller waits for a change.
func (c *connections) choose() (conn *connection, dial bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false, net.ErrClosed
	}
	c.open = slices.DeleteFunc(c.open, (*connection).ended)
	least := c.leastLoaded()
	full := least == nil || least.load() >= c.cfg.Streams
	if full && len(c.open)+c.dialing < c.cfg.Connections {
		c.dialing++
		return nil, true, nil
	}
	if least != nil && least.reserve(true) {
		return least, false, nil
	}
	return nil, false, nil
}

func (c *connections) leastLoaded() *connection {
	var least *connection
	for _, conn := range c.open {
		if conn.http.Available() == 0 {
			continue
		}
		if least == nil || conn.load() < least.load() {
			least = conn
		}
	}
	return least
}

// dial opens the connection that choose has counted in dialing.
func (c *connections) dial(ctx context.Context) error {
	conn, err := connect(ctx, c.cfg, c.onResponse, c.changed.notify)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.notify()
	c.dialing--
	if err != nil {
		return err
	}
	if c.closed {
		conn.cancel()
		return net.ErrClosed
	}
	c.open = append(c.open, conn)
	return nil
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		conn.cancel()
	}
	c.changed.notify()
}
