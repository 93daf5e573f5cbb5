// Package dispatcher runs the requests of callers: it admits, queues, places, starts and
// retries them, and records deferrable and non-idempotent ones in the journal.
package dispatcher

import (
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatcher")

// Request is one request of a caller, already authenticated.
type Request struct {
	Queue       string
	Method      string
	Path        string // path and query for the application
	ContentType string
	Identity    string // Idempotency-Key; empty when the caller sent none
	Team        string // empty when the caller sent no key
	KeyID       string
	KeyRefusal  Reason    // why the key that came with the request was not accepted; ignored on open queues
	Deadline    time.Time // zero: the default of the queue's class
	Body        io.Reader
	Hops        int // times the request was forwarded between entry daemons
}

// Idempotent tells whether the request may run more than once, by its HTTP method (RFC 9110, 9.2.2).
func (r Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// JobAction is an operation on accepted work.
type JobAction string

// The operations on accepted work.
const (
	JobState  JobAction = "state"
	JobResult JobAction = "result"
	JobCancel JobAction = "cancel"
)

// JobRequest asks for the state or the result of accepted work, or cancels it. Only the team
// that submitted the work may do so; on open queues Team is empty.
type JobRequest struct {
	Action   JobAction
	Identity string
	Team     string
	Hops     int
}
