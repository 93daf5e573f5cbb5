package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connection is one HTTP/2 connection. It sends a health request at each interval, so
// that a connection on which the worker has fallen silent is noticed even during a long
// request, also when new connections still work.
type connection struct {
	cfg        *ClientConfig
	http       *http.ClientConn
	socket     *readTimeConn
	cancel     context.CancelFunc
	onResponse func(*http.Response) // called for every answer

	mu        sync.Mutex
	requests  int       // outstanding, health requests included
	busySince time.Time // when requests last rose from zero
	lastUsed  time.Time // when a caller last reserved a request
	closed    bool
}

// readTimeConn records when bytes last arrived.
type readTimeConn struct {
	net.Conn
	lastRead atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *readTimeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(&now)
	}
	return n, err
}

// connect opens a connection. changed is called when it can take more requests or has ended.
func connect(ctx context.Context, cfg *ClientConfig, onResponse func(*http.Response), changed func()) (*connection, error) { //nolint:contextcheck // a connection outlives the request that opened it
	c := &connection{
		cfg:        cfg,
		onResponse: onResponse,
		lastUsed:   time.Now(),
	}
	// ClientConn hides its net.Conn, so each connection has a Transport of its own.
	transport := &http.Transport{
		Protocols: new(http.Protocols),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := cfg.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.socket = &readTimeConn{Conn: conn}
			return c.socket, nil
		},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithTimeout(ctx, cfg.SilenceLimit)
	defer cancel()
	conn, err := transport.NewClientConn(ctx, "http", cfg.Address)
	if err != nil {
		if c.socket != nil {
			c.socket.Close() //nolint:errcheck // the connection has failed already
		}
		return nil, err
	}
	c.http = conn
	watchCtx, stop := context.WithCancel(context.Background())
	c.cancel = stop
	conn.SetStateHook(func(conn *http.ClientConn) {
		if conn.Err() != nil {
			stop()
		}
		changed()
	})
	go func() {
		c.watch(watchCtx)
		changed()
	}()
	return c, nil
}

// reserve reserves a request on the connection. It returns false if the connection has
// ended or is full.
func (c *connection) reserve(forCaller bool) bool {
	if err := c.http.Reserve(); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.http.Release()
		return false
	}
	now := time.Now()
	if c.requests == 0 {
		c.busySince = now
	}
	c.requests++
	if forCaller {
		c.lastUsed = now
	}
	return true
}

func (c *connection) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
}

// ended reports whether the connection takes no more requests because it is closed.
func (c *connection) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.http.Err() != nil
}

// load returns the number of outstanding requests.
func (c *connection) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// roundTrip sends a request for which reserve returned true. The caller calls release
// after the body of the answer.
func (c *connection) roundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	c.onResponse(resp)
	return resp, nil
}

// watch sends health requests and closes the connection when it is silent, idle or broken.
func (c *connection) watch(ctx context.Context) {
	defer c.close()
	next := time.Now().Add(c.cfg.HealthInterval)
	var pending atomic.Bool
	for {
		wake := next
		if silent := c.silenceDeadline(); !silent.IsZero() && silent.Before(wake) {
			wake = silent
		}
		timer := time.NewTimer(time.Until(wake))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		now := time.Now()
		if silent := c.silenceDeadline(); !silent.IsZero() && !now.Before(silent) {
			return
		}
		if c.http.Err() != nil || c.idle(now) {
			return
		}
		if now.Before(next) {
			continue
		}
		next = now.Add(c.cfg.HealthInterval)
		if pending.CompareAndSwap(false, true) {
			go func() {
				defer pending.Store(false)
				c.health(ctx)
			}()
		}
	}
}

func (c *connection) health(ctx context.Context) {
	if !c.reserve(false) {
		return
	}
	defer c.release()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+"/v1/health", nil)
	if err != nil {
		return
	}
	resp, err := c.roundTrip(req)
	if err != nil {
		return // watch notices the end of the connection
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return
	}
}

// silenceDeadline returns the time at which the connection counts as silent unless a byte
// arrives before it, or zero when no request is outstanding.
func (c *connection) silenceDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == 0 {
		return time.Time{}
	}
	base := c.busySince
	if last := c.socket.lastRead.Load(); last != nil && last.After(base) {
		base = *last
	}
	return base.Add(c.cfg.SilenceLimit)
}

func (c *connection) idle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests == 0 && now.Sub(c.lastUsed) > c.cfg.IdleTimeout
}

// close ends the connection; its outstanding requests fail.
func (c *connection) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	// The socket is closed first, because closing the HTTP/2 layer would wait for a silent peer.
	c.socket.Close() //nolint:errcheck // the connection may have ended already
	c.http.Close()   //nolint:errcheck // the socket is closed already
}
