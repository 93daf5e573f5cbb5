package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// DefaultTimeout bounds one call. A healthy service answers within milliseconds.
	DefaultTimeout = 2 * time.Second
	// maxItemBytes bounds an answer with one item: MaxValueBytes in base64 and other fields.
	maxItemBytes = 2 * MaxValueBytes
	// maxListBytes bounds the answer of List.
	maxListBytes = 64 << 20
	// maxIdleConns bounds the idle connections that one Client keeps.
	maxIdleConns = 16
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the host and port of the service.
	Address string
	// Timeout bounds each call; the wait of a watch is added. Zero means DefaultTimeout.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a Store that calls the platform's service with JSON over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client; it connects at the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{
		base:    "http://" + cfg.Address,
		timeout: cfg.Timeout,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         cfg.Dial,
				MaxIdleConns:        maxIdleConns,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.call(ctx, request{
		method: http.MethodGet,
		path:   "/v1/kv?key=" + url.QueryEscape(key),
		limit:  maxItemBytes,
	}, &item)
	return item, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	var items []Item
	err := c.call(ctx, request{
		method: http.MethodGet,
		path:   "/v1/kv/list?prefix=" + url.QueryEscape(prefix),
		limit:  maxListBytes,
	}, &items)
	return items, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, w Write) (Version, error) {
	if len(w.Value) > MaxValueBytes {
		return 0, Error.Wrap(ErrTooLarge)
	}
	var answer WriteAnswer
	err := c.call(ctx, request{
		method: http.MethodPost,
		path:   "/v1/kv/compare_and_swap",
		body:   WriteRequest(w),
		write:  true,
		limit:  maxItemBytes,
	}, &answer)
	if err == nil && answer.Version == 0 {
		return 0, Error.New("%w: the answer has no version", ErrOutcomeUnknown)
	}
	return answer.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected Version) error {
	return c.call(ctx, request{
		method: http.MethodPost,
		path:   "/v1/kv/delete",
		body: WriteRequest{
			Key:      key,
			Expected: expected,
		},
		write: true,
		limit: maxItemBytes,
	}, &struct{}{})
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, known Version, wait time.Duration) (Item, error) {
	query := url.Values{}
	query.Set("key", key)
	query.Set("known", strconv.FormatUint(uint64(known), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var item Item
	err := c.call(ctx, request{
		method: http.MethodGet,
		path:   "/v1/kv/watch?" + query.Encode(),
		limit:  maxItemBytes,
		wait:   wait,
	}, &item)
	return item, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer LeaseAnswer
	err := c.call(ctx, request{
		method: http.MethodPost,
		path:   "/v1/leases",
		body:   LeaseRequest{TTLMS: ttl.Milliseconds()},
		write:  true,
		limit:  maxItemBytes,
	}, &answer)
	if err == nil && answer.ID == 0 {
		return 0, Error.New("%w: the answer has no lease", ErrOutcomeUnknown)
	}
	return answer.ID, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	return c.call(ctx, request{
		method: http.MethodPost,
		path:   fmt.Sprintf("/v1/leases/%d/renew", id),
		write:  true,
		limit:  maxItemBytes,
	}, &struct{}{})
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, request{
		method: http.MethodDelete,
		path:   fmt.Sprintf("/v1/leases/%d", id),
		write:  true,
		limit:  maxItemBytes,
	}, &struct{}{})
}

type request struct {
	method string
	path   string
	body   any
	write  bool
	limit  int64
	wait   time.Duration
}

func (c *Client) call(ctx context.Context, req request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+req.wait)
	defer cancel()
	// Without a connection the request was not written, so the service has not seen
	// the call. Later events of the trace prove less: they may be reported only after
	// the call was cancelled while another goroutine was writing the request.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	failed := func(err error) error {
		if req.write && sent.Load() {
			return Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
		}
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	httpReq, err := c.request(ctx, req)
	if err != nil {
		return failed(err)
	}
	resp, err := c.http.Do(httpReq)
	if err != nil {
		// If this connection is dead, the idle ones may be too. The next call opens a new one.
		c.http.CloseIdleConnections()
		return failed(err)
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body, req.limit)
	if err != nil {
		return failed(err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.StatusCode, body, failed)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return failed(err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, req request) (*http.Request, error) {
	var body io.Reader
	if req.body != nil {
		data, err := json.Marshal(req.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, c.base+req.path, body)
	if err != nil {
		return nil, err
	}
	if req.body != nil {
		httpReq.Header.Set("Content-Type", "application/json")
	}
	return httpReq, nil
}

// refusal returns the error for an answer with a status other than 200. Only an error
// code of the service proves that nothing was written.
func refusal(status int, body []byte, failed func(error) error) error {
	var answer ErrorAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return failed(fmt.Errorf("status %d without an error code", status))
	}
	if err := answer.Code.Err(); err != nil {
		return Error.Wrap(err)
	}
	return failed(fmt.Errorf("status %d with error code %q", status, answer.Code))
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("answer larger than " + strconv.FormatInt(limit, 10) + " bytes")
	}
	return body, nil
}
