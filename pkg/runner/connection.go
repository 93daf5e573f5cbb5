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

// connection is one HTTP/2 connection. It carries a health request at each
// interval, so that silence is noticed while a long request is outstanding
// although new connections work.
type connection struct {
	cfg    *ClientConfig
	http   *http.ClientConn
	raw    *countingConn
	cancel context.CancelFunc
	notice func(*http.Response) // sees every answer

	mu       sync.Mutex
	requests int       // outstanding, health requests included
	since    time.Time // when requests last left zero
	used     time.Time // last request of a caller
	closed   bool
}

// countingConn remembers when bytes last arrived.
type countingConn struct {
	net.Conn
	lastRead atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(&now)
	}
	return n, err
}

// connect opens a connection. changed is called when it can take more requests or has ended.
func connect(ctx context.Context, cfg *ClientConfig, notice func(*http.Response), changed func()) (*connection, error) { //nolint:contextcheck // a connection outlives the request that opened it
	c := &connection{
		cfg:    cfg,
		notice: notice,
		used:   time.Now(),
	}
	// ClientConn hides its net.Conn, so each connection has a Transport of its own.
	transport := &http.Transport{
		Protocols: new(http.Protocols),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := cfg.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.raw = &countingConn{Conn: conn}
			return c.raw, nil
		},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithTimeout(ctx, cfg.SilenceLimit)
	defer cancel()
	conn, err := transport.NewClientConn(ctx, "http", cfg.Address)
	if err != nil {
		if c.raw != nil {
			c.raw.Close() //nolint:errcheck // the connection has failed already
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

// begin reserves a request on the connection; false means that it has ended or is full.
func (c *connection) begin(caller bool) bool {
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
		c.since = now
	}
	c.requests++
	if caller {
		c.used = now
	}
	return true
}

func (c *connection) end() {
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

// roundTrip sends a request for which begin returned true. The caller calls end
// after the body of the answer.
func (c *connection) roundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	c.notice(resp)
	return resp, nil
}

// watch sends health requests until the connection has ended.
func (c *connection) watch(ctx context.Context) {
	defer c.close()
	next := time.Now().Add(c.cfg.HealthInterval)
	var pending atomic.Bool
	for {
		wake := next
		if silent := c.silentAt(); !silent.IsZero() && silent.Before(wake) {
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
		if silent := c.silentAt(); !silent.IsZero() && !now.Before(silent) {
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
	if !c.begin(false) {
		return
	}
	defer c.end()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+"/v1/health", nil)
	if err != nil {
		return
	}
	resp, err := c.roundTrip(req)
	if err != nil {
		return // watch sees the end of the connection
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return
	}
}

// silentAt returns when the connection counts as silent if no byte arrives
// before, or zero when nothing is outstanding.
func (c *connection) silentAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == 0 {
		return time.Time{}
	}
	base := c.since
	if last := c.raw.lastRead.Load(); last != nil && last.After(base) {
		base = *last
	}
	return base.Add(c.cfg.SilenceLimit)
}

func (c *connection) idle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests == 0 && now.Sub(c.used) > c.cfg.IdleTimeout
}

// close ends the connection; its outstanding requests fail.
func (c *connection) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	// The socket is closed first: a close of the HTTP/2 layer would wait for a silent peer.
	c.raw.Close()  //nolint:errcheck // the connection may have ended already
	c.http.Close() //nolint:errcheck // the socket is closed already
}
