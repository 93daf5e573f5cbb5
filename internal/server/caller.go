// Package server implements the HTTP APIs of an entry daemon: the callers' API and the
// operator API.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// Headers of the caller's API.
const (
	HeaderKey            = "Comfreyford-Key"
	HeaderOutcome        = "Comfreyford-Outcome"
	HeaderTimeout        = "Comfreyford-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxTimeout      = 24 * time.Hour
	writeTimeout    = 30 * time.Second // for each write of a response; a slower reader is disconnected
	bodyReadTimeout = 30 * time.Second // for the whole request body; a slow sender must not hold it open
	copyBufferBytes = 32 << 10
)

// Credential identifies the team and the key of a request whose key was accepted. Both
// fields are empty without a key.
type Credential struct {
	Team  string
	KeyID string
}

// Dispatcher carries out requests.
type Dispatcher interface {
	// Submit runs or accepts a request. The result's body must be closed.
	Submit(ctx context.Context, r dispatcher.Request) dispatcher.Result
	// Job returns the state or the result of an accepted job, or cancels it. The result's
	// body must be closed.
	Job(ctx context.Context, r dispatcher.JobRequest) dispatcher.Result
}

// CallerHandlerConfig configures the caller's API.
type CallerHandlerConfig struct {
	Dispatcher Dispatcher
	// Authenticate checks the value of HeaderKey. It returns a reason other than "" if the
	// key is not accepted; the request is then refused, unless it is for a queue that needs
	// no key.
	Authenticate    func(key string) (Credential, dispatcher.Reason)
	MaxRequestBytes int64
	Logger          hclog.Logger
}

// RefuseCaller answers a request for which the entry daemon has no room. The connection is closed,
// because the rest of the request is not read.
func RefuseCaller(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	c := callerHandler{
		cfg: CallerHandlerConfig{
			Logger: hclog.NewNullLogger(),
		},
	}
	c.writeResult(w, dispatcher.NotRun(dispatcher.ReasonNoRoom, budgeter.ErrNoRoom.Error()))
}

type callerHandler struct {
	cfg CallerHandlerConfig
	// buffers holds *[copyBufferBytes]byte. Allocating one for each response caused most of
	// the garbage.
	buffers sync.Pool
}

// NewCallerHandler returns the handler of the caller's API: submitting requests to queues, and
// reading and cancelling jobs.
func NewCallerHandler(cfg CallerHandlerConfig) http.Handler {
	c := &callerHandler{
		cfg:     cfg,
		buffers: sync.Pool{New: func() any { return new([copyBufferBytes]byte) }},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/queues/{queue}/{path...}", c.submit)
	mux.HandleFunc("GET /v1/jobs/{identity}", c.job(dispatcher.JobState))
	mux.HandleFunc("GET /v1/jobs/{identity}/result", c.job(dispatcher.JobResult))
	mux.HandleFunc("DELETE /v1/jobs/{identity}", c.job(dispatcher.JobCancel))
	return mux
}

func (c *callerHandler) submit(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	deadline, err := parseDeadline(r, now)
	if err != nil {
		c.writeResult(w, dispatcher.NotRun(dispatcher.ReasonBadRequest, err.Error()))
		return
	}
	credential, refusal := c.cfg.Authenticate(r.Header.Get(HeaderKey))
	if r.ContentLength > c.cfg.MaxRequestBytes {
		c.writeResult(w, dispatcher.NotRun(dispatcher.ReasonBodyTooLarge, "the body exceeds "+strconv.FormatInt(c.cfg.MaxRequestBytes, 10)+" bytes"))
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(now.Add(bodyReadTimeout)); err != nil {
		c.cfg.Logger.Debug("cannot set the read deadline of a request body", "error", err)
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c.writeResult(w, c.cfg.Dispatcher.Submit(r.Context(), dispatcher.Request{
		Queue:       r.PathValue("queue"),
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Identity:    r.Header.Get(HeaderIdempotencyKey),
		Team:        credential.Team,
		KeyID:       credential.KeyID,
		KeyRefusal:  refusal,
		Deadline:    deadline,
		Body:        http.MaxBytesReader(w, r.Body, c.cfg.MaxRequestBytes),
	}))
}

func (c *callerHandler) job(action dispatcher.JobAction) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, reason := c.cfg.Authenticate(r.Header.Get(HeaderKey))
		if reason != "" {
			c.writeResult(w, dispatcher.NotRun(reason, "the key was not accepted"))
			return
		}
		c.writeResult(w, c.cfg.Dispatcher.Job(r.Context(), dispatcher.JobRequest{
			Action:   action,
			Identity: r.PathValue("identity"),
			Team:     credential.Team,
		}))
	}
}

// refusal is the body of a response that comes from the entry daemon, not from the
// application.
type refusal struct {
	Outcome dispatcher.Outcome `json:"outcome"`
	Reason  dispatcher.Reason  `json:"reason"`
	Detail  string             `json:"detail"`
}

// writeResult writes the result. If the body cannot be copied completely, it aborts the
// connection, so that the caller cannot mistake a truncated response for a complete one.
func (c *callerHandler) writeResult(w http.ResponseWriter, result dispatcher.Result) {
	header := w.Header()
	header.Set(HeaderOutcome, string(result.Outcome))
	if result.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(result.RetryAfter.Round(time.Second)/time.Second)))
	}
	if result.Body == nil {
		header.Set("Content-Type", "application/json")
		w.WriteHeader(result.Status)
		if err := json.NewEncoder(w).Encode(refusal{
			Outcome: result.Outcome,
			Reason:  result.Reason,
			Detail:  result.Detail,
		}); err != nil {
			c.cfg.Logger.Debug("cannot write the response to the caller", "error", err)
		}
		return
	}
	defer result.Body.Close()
	if result.ContentType != "" {
		header.Set("Content-Type", result.ContentType)
	}
	w.WriteHeader(result.Status)
	if err := c.copyBody(w, result.Body); err != nil {
		c.cfg.Logger.Warn("response aborted: the body could not be copied completely", "error", err)
		panic(http.ErrAbortHandler) // net/http's documented way to abort a response
	}
}

// copyBody copies the body to the response and sets a write deadline before each write.
func (c *callerHandler) copyBody(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	pooled := c.buffers.Get().(*[copyBufferBytes]byte)
	defer c.buffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return err
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		// Not errors.Is: a wrapped io.EOF means that a stream ended in the middle of the body.
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func parseDeadline(r *http.Request, now time.Time) (time.Time, error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return time.Time{}, errors.New(HeaderTimeout + ": want whole milliseconds from 1 to " +
			strconv.FormatInt(maxTimeout.Milliseconds(), 10) + ", got " + strconv.Quote(value))
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}
