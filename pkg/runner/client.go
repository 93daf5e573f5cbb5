package runner

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// DefaultConnections is the limit of connections per target. A worker accepts 64
	// connections, which 8 entry daemons share today.
	DefaultConnections = 2
	// DefaultStreams is the number of outstanding requests at which a connection counts as
	// full, so that another one is opened.
	DefaultStreams = 32
	// DefaultHealthInterval is the time between health requests on one connection.
	DefaultHealthInterval = time.Second
	// DefaultSilenceLimit is the time without any received byte after which a connection with
	// outstanding requests is closed.
	DefaultSilenceLimit = 2 * time.Second
	// DefaultIdleTimeout is the time without a request after which a connection is closed.
	DefaultIdleTimeout = time.Minute
	// DefaultTimeout bounds the calls that do not wait for a task.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxBodyBytes bounds the body of an application's answer.
	DefaultMaxBodyBytes = 16 << 20
	// maxAnswerBytes bounds the worker's own answers; a session has at most a few hundred tasks.
	maxAnswerBytes = 1 << 20
)

// ClientConfig configures a Client. Zero values mean the defaults of this package.
type ClientConfig struct {
	// Address is the host and port of the worker.
	Address string
	// Connections is the largest number of connections.
	Connections int
	// Streams is the number of outstanding requests at which a connection counts as full.
	Streams        int
	HealthInterval time.Duration
	SilenceLimit   time.Duration
	IdleTimeout    time.Duration
	Timeout        time.Duration
	MaxBodyBytes   int64
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (cfg ClientConfig) withDefaults() ClientConfig {
	setDefault(&cfg.Connections, DefaultConnections)
	setDefault(&cfg.Streams, DefaultStreams)
	setDefault(&cfg.HealthInterval, DefaultHealthInterval)
	setDefault(&cfg.SilenceLimit, DefaultSilenceLimit)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.Timeout, DefaultTimeout)
	setDefault(&cfg.MaxBodyBytes, DefaultMaxBodyBytes)
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return cfg
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Client is a Target over HTTP/2 without TLS.
type Client struct {
	cfg          ClientConfig
	conns        *connections
	draining     atomic.Bool
	lastResponse atomic.Pointer[time.Time] // time of the latest answer, with its monotonic reading
}

var _ Target = (*Client)(nil)

// NewClient returns a client; it connects at the first call.
func NewClient(cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg}
	c.conns = &connections{
		cfg:        &cfg,
		onResponse: c.recordResponse,
	}
	return c
}

// Close closes all connections; outstanding calls fail.
func (c *Client) Close() {
	c.conns.close()
}

// Draining reports whether the latest answer said that the worker is draining.
func (c *Client) Draining() bool {
	return c.draining.Load()
}

// LastResponse returns the time of the latest answer of any kind, or zero.
func (c *Client) LastResponse() time.Time {
	if last := c.lastResponse.Load(); last != nil {
		return *last
	}
	return time.Time{}
}

// OpenSession implements Target.
func (c *Client) OpenSession(ctx context.Context, id string, ttl time.Duration) (string, error) {
	var answer struct {
		Boot string `json:"boot"`
	}
	path := "/v1/sessions/" + url.PathEscape(id) + "?ttl_ms=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	err := c.call(ctx, http.MethodPut, path, &answer)
	if err == nil && answer.Boot == "" {
		return "", Error.New("%w: the answer has no boot id", ErrOutcomeUnknown)
	}
	return answer.Boot, err
}

// RenewSession implements Target.
func (c *Client) RenewSession(ctx context.Context, id, boot string, ttl time.Duration) error {
	query := url.Values{}
	query.Set("boot", boot)
	query.Set("ttl_ms", strconv.FormatInt(ttl.Milliseconds(), 10))
	path := "/v1/sessions/" + url.PathEscape(id) + "/renew?" + query.Encode()
	return c.call(ctx, http.MethodPost, path, &struct{}{})
}

// RevokeSession implements Target.
func (c *Client) RevokeSession(ctx context.Context, id string) (Revocation, error) {
	var revocation Revocation
	err := c.call(ctx, http.MethodDelete, "/v1/sessions/"+url.PathEscape(id), &revocation)
	if err == nil && revocation.Boot == "" {
		return Revocation{}, Error.New("%w: the answer has no boot id", ErrOutcomeUnknown)
	}
	return revocation, err
}

// Start implements Target. After an error, body may still be read for a short
// time; a caller that starts the task again uses a new reader.
func (c *Client) Start(ctx context.Context, task Task, body io.Reader) (*Answer, error) {
	header, err := json.Marshal(task)
	if err != nil {
		return nil, Error.Wrap(MarkNotRun(err))
	}
	if len(header) > MaxTaskBytes {
		return nil, Error.New("%w: task larger than %d bytes", ErrNotRun, MaxTaskBytes)
	}
	return c.answer(ctx, func(ctx context.Context) (*http.Request, error) {
		req, err := c.request(ctx, http.MethodPost, taskPath(task.ID, ""), body)
		if err != nil {
			return nil, err
		}
		req.Header.Set(HeaderTask, base64.StdEncoding.EncodeToString(header))
		return req, nil
	}, true)
}

// Answer implements Target.
func (c *Client) Answer(ctx context.Context, task string) (*Answer, error) {
	return c.answer(ctx, func(ctx context.Context) (*http.Request, error) {
		return c.request(ctx, http.MethodGet, taskPath(task, "/answer"), nil)
	}, false)
}

// Status implements Target.
func (c *Client) Status(ctx context.Context, task string) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, taskPath(task, ""), &status)
	return status, err
}

// Adopt implements Target.
func (c *Client) Adopt(ctx context.Context, task, session string) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/adopt?session="+url.QueryEscape(session)), &struct{}{})
}

// Stop implements Target.
func (c *Client) Stop(ctx context.Context, task string) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/stop"), &struct{}{})
}

// Checkpoint implements Target.
func (c *Client) Checkpoint(ctx context.Context, task string) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/checkpoint"), &struct{}{})
}

// Resume implements Target.
func (c *Client) Resume(ctx context.Context, task string) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/resume"), &struct{}{})
}

// Throttle implements Target.
func (c *Client) Throttle(ctx context.Context, task string, percent int) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/throttle?percent="+strconv.Itoa(percent)), &struct{}{})
}

// Usage implements Target.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodGet, "/v1/usage", &usage)
	return usage, err
}

// Health implements Target.
func (c *Client) Health(ctx context.Context) error {
	var answer struct {
		Draining bool `json:"draining"`
	}
	if err := c.call(ctx, http.MethodGet, "/v1/health", &answer); err != nil {
		return err
	}
	if answer.Draining {
		return Error.Wrap(ErrDraining)
	}
	return nil
}

func taskPath(task, rest string) string {
	return "/v1/tasks/" + url.PathEscape(task) + rest
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, body)
}

// call makes a short call and reads its JSON answer.
func (c *Client) call(ctx context.Context, method, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	unknown := func(err error) error { return Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)) }
	req, err := c.request(ctx, method, path, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	conn, err := c.conns.acquire(ctx)
	if err != nil {
		return unknown(err)
	}
	defer conn.release()
	resp, err := conn.roundTrip(req)
	if err != nil {
		return unknown(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return unknown(err)
	}
	if len(data) > maxAnswerBytes {
		return unknown(fmt.Errorf("answer larger than %d bytes", maxAnswerBytes))
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return unknown(err)
	}
	return nil
}

// answer makes a call whose answer is the application's. If isStart is set, an error
// before the request was sent is marked as not run.
func (c *Client) answer(ctx context.Context, build func(context.Context) (*http.Request, error), isStart bool) (*Answer, error) {
	unsent := func(err error) error {
		if isStart {
			return Error.Wrap(MarkNotRun(err))
		}
		return Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	req, err := build(ctx)
	if err != nil {
		return nil, unsent(err)
	}
	conn, err := c.conns.acquire(ctx)
	if err != nil {
		return nil, unsent(err)
	}
	resp, err := conn.roundTrip(req)
	if err != nil {
		conn.release()
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	status, err := applicationStatus(resp)
	if err != nil {
		resp.Body.Close()
		conn.release()
		return nil, err
	}
	return &Answer{
		Status:      status,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        newVerifiedBody(resp, c.cfg.MaxBodyBytes, conn.release),
	}, nil
}

func applicationStatus(resp *http.Response) (int, error) {
	if resp.StatusCode != http.StatusOK {
		return 0, readRefusal(resp)
	}
	status, err := strconv.Atoi(resp.Header.Get(HeaderStatus))
	if err != nil || status < 200 || status > 599 {
		return 0, Error.New("%w: %s is %q", ErrOutcomeUnknown, HeaderStatus, resp.Header.Get(HeaderStatus))
	}
	return status, nil
}

func readRefusal(resp *http.Response) error {
	var refusal Refusal
	err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&refusal)
	if err != nil {
		return Error.New("%w: HTTP status %d without a readable refusal", ErrOutcomeUnknown, resp.StatusCode)
	}
	if err := refusal.Err(); err != nil {
		return err
	}
	return Error.New("%w: status %d, reason %q, %s", ErrOutcomeUnknown, resp.StatusCode, refusal.Reason, refusal.Detail)
}

// recordResponse records the time of an answer and whether it says that the worker is draining.
func (c *Client) recordResponse(resp *http.Response) {
	now := time.Now()
	c.lastResponse.Store(&now)
	c.draining.Store(resp.Header.Get(HeaderDraining) == "true")
}
