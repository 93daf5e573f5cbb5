package dispatcher

import (
	"io"
	"net/http"
	"time"
)

// Outcome tells a caller whether its work ran.
type Outcome string

// The three outcomes. Every path distinguishes them, also that between entry daemons.
const (
	// OutcomeDone means that the work ran and this is its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the work did not run and will not run for this request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the work may or may not have run.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Reason is the machine-readable reason of an outcome other than a plain answer.
type Reason string

// The reasons of refusals and of unknown outcomes.
const (
	ReasonKeyRequired        Reason = "key_required"
	ReasonKeyRefused         Reason = "key_refused"
	ReasonConfigStale        Reason = "config_stale"
	ReasonUnknownQueue       Reason = "unknown_queue"
	ReasonBadRequest         Reason = "bad_request"
	ReasonIdentityRequired   Reason = "identity_required"
	ReasonBadIdentity        Reason = "bad_identity"
	ReasonIdentityReused     Reason = "identity_reused"
	ReasonBodyTooLarge       Reason = "body_too_large"
	ReasonNoRoom             Reason = "no_room"
	ReasonQueueFull          Reason = "queue_full"
	ReasonLimitReached       Reason = "limit_reached"
	ReasonNoTarget           Reason = "no_target"
	ReasonDeadline           Reason = "deadline_exceeded"
	ReasonDraining           Reason = "draining"
	ReasonCanceled           Reason = "canceled"
	ReasonJournalUnavailable Reason = "journal_unavailable"
	ReasonJournalMoved       Reason = "journal_moved"
	ReasonJournalFull        Reason = "journal_full"
	ReasonPeerUnreachable    Reason = "peer_unreachable"
	ReasonUnknownJob         Reason = "unknown_job"
	ReasonIdentityExpired    Reason = "identity_expired"
	ReasonResultNotKept      Reason = "result_not_kept"
	ReasonTargetLost         Reason = "target_lost"
	ReasonPeerLost           Reason = "peer_lost"
	ReasonAttemptsExhausted  Reason = "attempts_exhausted"
	// ReasonCallerLost is read from the record of the identity: the entry daemon that handled
	// the request was lost before it started the task. Every repeat with this identity gets
	// the same reason.
	ReasonCallerLost Reason = "caller_lost"
)

// reasonStatus gives the HTTP status of a reason and, if a later attempt may succeed, the
// delay before it.
type reasonStatus struct {
	reason     Reason
	status     int
	retryAfter time.Duration
}

func reasonTable() []reasonStatus {
	return []reasonStatus{
		{
			reason: ReasonKeyRequired,
			status: http.StatusUnauthorized,
		},
		{
			reason: ReasonKeyRefused,
			status: http.StatusUnauthorized,
		},
		{
			reason:     ReasonConfigStale,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Second,
		},
		{
			reason: ReasonUnknownQueue,
			status: http.StatusNotFound,
		},
		{
			reason: ReasonBadRequest,
			status: http.StatusBadRequest,
		},
		{
			reason: ReasonIdentityRequired,
			status: http.StatusBadRequest,
		},
		{
			reason: ReasonBadIdentity,
			status: http.StatusBadRequest,
		},
		{
			reason: ReasonIdentityReused,
			status: http.StatusConflict,
		},
		{
			reason: ReasonBodyTooLarge,
			status: http.StatusRequestEntityTooLarge,
		},
		{
			reason:     ReasonNoRoom,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Second,
		},
		{
			reason:     ReasonQueueFull,
			status:     http.StatusTooManyRequests,
			retryAfter: time.Second,
		},
		{
			reason:     ReasonLimitReached,
			status:     http.StatusTooManyRequests,
			retryAfter: time.Second,
		},
		{
			reason:     ReasonNoTarget,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Second,
		},
		{
			reason: ReasonDeadline,
			status: http.StatusGatewayTimeout,
		},
		{
			reason:     ReasonDraining,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Second,
		},
		{
			reason: ReasonCanceled,
			status: http.StatusConflict,
		},
		{
			reason:     ReasonJournalUnavailable,
			status:     http.StatusServiceUnavailable,
			retryAfter: 2 * time.Second,
		},
		{
			reason:     ReasonJournalMoved,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Second,
		},
		{
			reason:     ReasonJournalFull,
			status:     http.StatusServiceUnavailable,
			retryAfter: 5 * time.Second,
		},
		{
			reason:     ReasonPeerUnreachable,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Second,
		},
		{
			reason: ReasonUnknownJob,
			status: http.StatusNotFound,
		},
		{
			reason: ReasonIdentityExpired,
			status: http.StatusGatewayTimeout,
		},
		{
			reason: ReasonResultNotKept,
			status: http.StatusGone,
		},
		{
			reason: ReasonTargetLost,
			status: http.StatusBadGateway,
		},
		{
			reason: ReasonPeerLost,
			status: http.StatusBadGateway,
		},
		{
			reason: ReasonCallerLost,
			status: http.StatusServiceUnavailable,
		},
		{
			reason: ReasonAttemptsExhausted,
			status: http.StatusBadGateway,
		},
	}
}

// Result is the result of a request as its caller receives it.
type Result struct {
	Outcome     Outcome
	Reason      Reason // empty for a plain answer
	Detail      string
	Status      int // HTTP status
	ContentType string
	RetryAfter  time.Duration
	// Body is the answer; nil if there is none. Read returns an error instead of io.EOF if the
	// answer is truncated. The receiver closes it.
	Body io.ReadCloser
}

// NotRun returns a refusal. The caller of NotRun must know that the work did not run.
func NotRun(reason Reason, detail string) Result {
	return newResult(OutcomeNotRun, reason, detail)
}

// Unknown returns the result of work that may or may not have run.
func Unknown(reason Reason, detail string) Result {
	result := newResult(OutcomeUnknown, reason, detail)
	result.RetryAfter = 0 // a repeat is safe only with the same identity
	return result
}

func newResult(o Outcome, reason Reason, detail string) Result {
	result := Result{
		Outcome: o,
		Reason:  reason,
		Detail:  detail,
		Status:  http.StatusServiceUnavailable,
	}
	for _, row := range reasonTable() {
		if row.reason == reason {
			result.Status = row.status
			result.RetryAfter = row.retryAfter
		}
	}
	return result
}
