package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

const (
	// DefaultTimeout is the default of ClientConfig.Timeout.
	DefaultTimeout = 2 * time.Second
	// maxAnswerBytes limits the body of an answer: 13,000 VMs of about 200 bytes are 2.6 MB.
	maxAnswerBytes = 16 << 20
)

// The error codes of the platform's VM list.
const (
	CodeUnknownVM       = "unknown_vm"
	CodeOperationReused = "operation_reused"
	CodeInvalid         = "invalid"
)

// ErrorAnswer is the body of an answer whose status is not 200.
type ErrorAnswer struct {
	Code string `json:"error"`
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the host and port of the platform.
	Address string
	// Timeout limits each call. Zero means DefaultTimeout.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a Lister that calls the platform over HTTP with JSON bodies.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Lister = (*Client)(nil)

// NewClient returns a client; it connects at the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{
		base:    "http://" + cfg.Address,
		timeout: cfg.Timeout,
		http:    &http.Client{Transport: &http.Transport{DialContext: cfg.Dial}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var vms []VM
	if err := c.call(ctx, http.MethodGet, "/v1/vms", &vms); err != nil {
		return nil, err
	}
	for _, vm := range vms {
		if err := vm.Validate(); err != nil {
			return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
	}
	return vms, nil
}

// Reboot implements Lister.
func (c *Client) Reboot(ctx context.Context, vm, operation string) error {
	if vm == "" || operation == "" {
		return Error.New("%w: VM name and operation id must not be empty", ErrInvalid)
	}
	query := url.Values{}
	query.Set("vm", vm)
	query.Set("operation", operation)
	return c.call(ctx, http.MethodPost, "/v1/reboot?"+query.Encode(), &struct{}{})
}

func (c *Client) call(ctx context.Context, method, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	unavailable := func(err error) error { return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err)) }
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return unavailable(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// The idle connections may be dead as well. Closing them makes the next call open a new one.
		c.http.CloseIdleConnections()
		return unavailable(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return unavailable(err)
	}
	if len(body) > maxAnswerBytes {
		return unavailable(fmt.Errorf("answer larger than %d bytes", maxAnswerBytes))
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return unavailable(err)
	}
	return nil
}

func answerError(status int, body []byte) error {
	var answer ErrorAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Error.New("%w: status %d without an error code", ErrUnavailable, status)
	}
	switch answer.Code {
	case CodeUnknownVM:
		return Error.Wrap(ErrUnknownVM)
	case CodeOperationReused:
		return Error.Wrap(ErrOperationReused)
	case CodeInvalid:
		return Error.Wrap(ErrInvalid)
	}
	return Error.New("%w: status %d with error code %q", ErrUnavailable, status, answer.Code)
}
