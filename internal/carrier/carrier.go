// Package carrier carries calls of callers from one daemon to another over HTTP, for daemons that
// the store turns away. It decides nothing; package forwarder does.
package carrier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/drainer"
	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/budgeter"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("carrier")

// Path is the path at which a daemon takes calls from others.
const Path = "/neighbor/call"

const (
	// maxRequestBytes bounds a carried call: the largest body that callers may send, and the rest.
	maxRequestBytes = 512 << 10
	// maxAnswerBytes bounds an answer, which has no list.
	maxAnswerBytes = 16 << 10
	// callCopies is how often the text of a call is held beside its body: decoded, encoded for the
	// store, and in the call to the store.
	callCopies = 6
	// maxOpen bounds the calls that a daemon answers for others at a time.
	maxOpen = 64
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 5 * time.Second
	// maxIdlePerNeighbor bounds the idle connections to one daemon.
	maxIdlePerNeighbor = 4
)

// request is a call as it is carried.
type request struct {
	Kind   manager.CallKind `cbor:"1,keyasint"`
	Host   string           `cbor:"2,keyasint"`
	Path   string           `cbor:"3,keyasint"`
	Key    string           `cbor:"4,keyasint,omitempty"`
	LeftMS int64            `cbor:"5,keyasint"` // until the caller's deadline
	Job    *jobkeeper.Job   `cbor:"6,keyasint,omitempty"`
	// Revision is that of the configuration of the daemon that hands the call on.
	Revision storer.Version `cbor:"7,keyasint,omitempty"`
}

// answer is a result as it is carried.
type answer struct {
	Verdict      manager.Verdict `cbor:"1,keyasint"`
	Reason       string          `cbor:"2,keyasint,omitempty"`
	State        jobkeeper.State `cbor:"3,keyasint,omitempty"`
	WaitingJobs  int             `cbor:"4,keyasint,omitempty"`
	RetryAfterMS int64           `cbor:"5,keyasint,omitempty"`
	// Revision is that of the configuration of the daemon that answers.
	Revision storer.Version `cbor:"6,keyasint,omitempty"`
}

// Client hands calls to other daemons.
type Client struct {
	transport *http.Transport
}

var _ manager.CallCarrier = (*Client)(nil)

// NewClient returns a Client.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // disabled: every call has a timeout
	}
	return &Client{
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerNeighbor,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Carry implements manager.CallCarrier.
func (c *Client) Carry(ctx context.Context, address string, kind manager.CallKind, call manager.Call) (manager.Result, error) {
	data, err := cbor.Marshal(request{
		Kind:     kind,
		Host:     call.Host,
		Path:     call.Path,
		Key:      call.Key,
		LeftMS:   time.Until(call.Deadline).Milliseconds(),
		Job:      call.Job,
		Revision: call.Revision,
	})
	if err != nil {
		return manager.Result{}, Error.New("%w: %w", manager.ErrNotSent, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(data))
	if err != nil {
		return manager.Result{}, Error.New("%w: %w", manager.ErrNotSent, err)
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		// The connections to this address may have gone silent.
		c.transport.CloseIdleConnections()
		if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
			err = fmt.Errorf("%w: %w", manager.ErrNotSent, err)
		}
		return manager.Result{}, Error.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return manager.Result{}, Error.Wrap(err)
	case response.StatusCode != http.StatusOK:
		// The daemon has not begun with the call.
		return manager.Result{}, Error.New("%w: status %d", manager.ErrNotSent, response.StatusCode)
	}
	var a answer
	if err := cbor.Unmarshal(body, &a); err != nil || a.Verdict == "" {
		return manager.Result{}, Error.New("answer not readable: %w", err)
	}
	return manager.Result{
		Verdict:     a.Verdict,
		Reason:      a.Reason,
		State:       a.State,
		WaitingJobs: a.WaitingJobs,
		RetryAfter:  time.Duration(a.RetryAfterMS) * time.Millisecond,
		Revision:    a.Revision,
	}, nil
}

// Server answers calls that other daemons hand on.
type Server interface {
	ServeNeighbor(ctx context.Context, kind manager.CallKind, call manager.Call) manager.Result
}

// NewHandler returns the handler of calls from other daemons. A status other than 200 means that
// nothing was begun.
func NewHandler(server Server) http.Handler {
	open := make(chan struct{}, maxOpen)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case open <- struct{}{}:
			defer func() { <-open }()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		data, err := drainer.ReadBody(w, r, maxRequestBytes)
		if err == nil {
			err = drainer.Reserve(r.Context(), int64(len(data)*callCopies))
		}
		switch {
		case errors.Is(err, budgeter.ErrNoRoom):
			drainer.Refuse(w)
			return
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var q request
		if err := cbor.Unmarshal(data, &q); err != nil || q.LeftMS <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		result := server.ServeNeighbor(r.Context(), q.Kind, manager.Call{
			Host:     q.Host,
			Path:     q.Path,
			Key:      q.Key,
			Deadline: time.Now().Add(time.Duration(q.LeftMS) * time.Millisecond),
			Job:      q.Job,
			Revision: q.Revision,
		})
		body, err := cbor.Marshal(answer{
			Verdict:      result.Verdict,
			Reason:       result.Reason,
			State:        result.State,
			WaitingJobs:  result.WaitingJobs,
			RetryAfterMS: result.RetryAfter.Milliseconds(),
			Revision:     result.Revision,
		})
		if err != nil {
			panic(http.ErrAbortHandler) // the call was answered, so that its outcome is unknown
		}
		w.Write(body) //nolint:errcheck // fails only if the other daemon has gone
	})
}
