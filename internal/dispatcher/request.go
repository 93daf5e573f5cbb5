// Package dispatcher takes a request from its admission to its answer: queue,
// limit, placement, run, retry, and for journaled work the journal.
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

// JobAction is what a caller wants of accepted work.
type JobAction string

// The actions on accepted work.
const (
	JobState  JobAction = "state"
	JobResult JobAction = "result"
	JobCancel JobAction = "cancel"
)

// JobRequest asks about or cancels accepted work. Only the team that handed
// the work in may do so; on open queues Team is empty.
type JobRequest struct {
	Action   JobAction
	Identity string
	Team     string
	Hops     int
}
