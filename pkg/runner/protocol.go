package runner

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Headers of the worker protocol.
const (
	// HeaderTask carries the Task as base64-encoded JSON; the request body is the application's.
	HeaderTask = "Worker-Task"
	// HeaderStatus is the HTTP status of the application's answer. The status of the
	// worker's own answer tells only whether it carried out the call.
	HeaderStatus = "Worker-Status"
	// HeaderDraining is "true" on every answer of a worker that is draining. It replaces
	// "Connection: draining", because HTTP/2 allows no Connection header.
	HeaderDraining = "Worker-Draining"
	// TrailerLength is the length of the body in bytes, in decimal digits.
	TrailerLength = "Worker-Length"
	// TrailerDigest is the xxhash of the body, as 16 hexadecimal digits.
	TrailerDigest = "Worker-Xxhash"
)

const (
	// MaxTaskBytes bounds HeaderTask. Request headers of up to 32 KiB pass common proxies.
	MaxTaskBytes = 32 << 10
	// maxTrailerDigits is the largest number of digits in TrailerLength.
	maxTrailerDigits = 19
)

var (
	// ErrTaskEnded means that the task has ended, so that it cannot be changed.
	ErrTaskEnded = errors.New("task has ended")
	// ErrTaskStopped means that the task was stopped and has no answer.
	ErrTaskStopped = errors.New("task was stopped")
	// ErrInvalid means that the worker refused a malformed call.
	ErrInvalid = errors.New("invalid call")
)

// Reason is the machine-readable cause of a refusal by the worker.
type Reason string

// The reasons of refusals.
const (
	ReasonBusy         Reason = "busy"
	ReasonDraining     Reason = "draining"
	ReasonSessionEnded Reason = "session_ended"
	ReasonUnknownTask  Reason = "unknown_task"
	ReasonTaskEnded    Reason = "task_ended"
	ReasonTaskStopped  Reason = "task_stopped"
	ReasonInvalid      Reason = "invalid"
	ReasonOther        Reason = "other"
)

// Refusal is the body of a worker's answer with an HTTP status other than 200.
type Refusal struct {
	Reason Reason `json:"reason"`
	NotRun bool   `json:"not_run"` // the task was certainly not run
	Detail string `json:"detail"`
}

// reasonErrors pairs each reason with its error.
func reasonErrors() []struct {
	reason Reason
	err    error
} {
	return []struct {
		reason Reason
		err    error
	}{
		{ReasonBusy, ErrBusy},
		{ReasonDraining, ErrDraining},
		{ReasonSessionEnded, ErrSessionEnded},
		{ReasonUnknownTask, ErrUnknownTask},
		{ReasonTaskEnded, ErrTaskEnded},
		{ReasonTaskStopped, ErrTaskStopped},
		{ReasonInvalid, ErrInvalid},
	}
}

// RefusalOf returns the refusal that reports err to a caller. Errors without a reason of
// their own get ReasonOther.
func RefusalOf(err error) Refusal {
	refusal := Refusal{
		Reason: ReasonOther,
		NotRun: errors.Is(err, ErrNotRun),
		Detail: err.Error(),
	}
	for _, r := range reasonErrors() {
		if errors.Is(err, r.err) {
			refusal.Reason = r.reason
			return refusal
		}
	}
	return refusal
}

// Err returns the error that the refusal stands for, or nil if its reason is unknown and
// it does not prove that the task did not run.
func (r Refusal) Err() error {
	for _, known := range reasonErrors() {
		if known.reason != r.Reason {
			continue
		}
		if r.NotRun {
			return Error.Wrap(MarkNotRun(known.err))
		}
		if known.reason == ReasonTaskStopped {
			return Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, known.err))
		}
		return Error.Wrap(known.err)
	}
	if r.NotRun {
		return Error.New("%w: %s", ErrNotRun, r.Detail)
	}
	return nil
}

// MarkNotRun marks an error as proof that the task did not run.
func MarkNotRun(err error) error {
	return fmt.Errorf("%w: %w", ErrNotRun, err)
}

// Digest is the length and the xxhash of a body.
type Digest struct {
	Length int64
	Sum    uint64
}

// Trailers returns the values of TrailerLength and TrailerDigest.
func (d Digest) Trailers() (length, sum string) {
	return strconv.FormatInt(d.Length, 10), fmt.Sprintf("%016x", d.Sum)
}

// ParseDigest reads the values of TrailerLength and TrailerDigest. Only the
// form that Trailers writes is accepted.
func ParseDigest(length, sum string) (Digest, error) {
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil || len(length) > maxTrailerDigits || (length[0] == '0' && length != "0") {
		return Digest{}, Error.New("%w: length %.40q must be a decimal number", ErrTruncated, length)
	}
	s, err := strconv.ParseUint(sum, 16, 64)
	if err != nil || len(sum) != 16 || strings.ToLower(sum) != sum {
		return Digest{}, Error.New("%w: xxhash %.40q must be 16 hexadecimal digits", ErrTruncated, sum)
	}
	return Digest{
		Length: int64(n),
		Sum:    s,
	}, nil
}
