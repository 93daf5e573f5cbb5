// Package runner is the client of the platform's workers, which run tasks on target VMs.
//
// A worker runs tasks in slots. Every task belongs to a session, which acts as its
// lease: the worker refuses starts under a session that has expired or was revoked,
// and stops the tasks of an expired one. The worker decides this by its own clock, so
// a caller that was paused cannot start work late.
package runner

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("runner")

var (
	// ErrNotRun means that the worker has not run the task and never will under this start.
	ErrNotRun = errors.New("not run")
	// ErrBusy means not run: no slot or no other resource is free.
	ErrBusy = errors.New("worker busy")
	// ErrDraining means not run: the worker is draining and takes no new tasks.
	ErrDraining = errors.New("worker draining")
	// ErrSessionEnded means not run: the session is unknown, expired or revoked.
	ErrSessionEnded = errors.New("session ended")
	// ErrUnknownTask means that the worker knows no task of this id.
	ErrUnknownTask = errors.New("unknown task")
	// ErrOutcomeUnknown means that the task may or may not have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTruncated means that the answer is incomplete, is larger than the limit, or does not
	// match its stated length or digest.
	ErrTruncated = errors.New("answer truncated")
)

// Resources are the resources that a task declares to need, or those of a worker. Declared
// values are often far from the real need.
type Resources struct {
	Slots        int   `json:"slots" cbor:"1,keyasint" toml:"slots"`
	CPUMillis    int64 `json:"cpu_millis" cbor:"2,keyasint" toml:"cpu_millis"` // thousandths of a processor
	MemoryMB     int64 `json:"memory_mb" cbor:"3,keyasint" toml:"memory_mb"`
	Accelerators int   `json:"accelerators" cbor:"4,keyasint" toml:"accelerators"`
}

// Task is one piece of work for a worker.
type Task struct {
	ID         string        `json:"id"` // unique for each attempt; starting the same id twice on one worker runs it once
	Session    string        `json:"session"`
	Boot       string        `json:"boot"`     // boot id under which the session was opened
	Identity   string        `json:"identity"` // request identity, passed on to the application; may be empty
	Team       string        `json:"team"`     // empty on queues open to all
	Pool       string        `json:"pool"`
	Method     string        `json:"method"`
	Path       string        `json:"path"` // path and query for the application
	Deferrable bool          `json:"deferrable"`
	Resources  Resources     `json:"resources"`
	Timeout    time.Duration `json:"timeout"` // the worker stops the task after this time
}

// Answer is the application's answer. Body must be read to its end and closed;
// its Read returns ErrTruncated instead of io.EOF when the answer is incomplete.
type Answer struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// State is the state of a task at its worker.
type State string

// The states of a task.
const (
	StateRunning      State = "running"
	StateCheckpointed State = "checkpointed" // paused, its slot is free
	StateDone         State = "done"         // an answer is kept
	StateStopped      State = "stopped"      // ended without an answer
)

// Status describes a task at its worker.
type Status struct {
	ID      string `json:"id"`
	Session string `json:"session"`
	Team    string `json:"team"`
	State   State  `json:"state"`
}

// Revocation is the worker's answer to RevokeSession. ErrUnknownTask for a task that
// is not listed proves that the task did not run only if Boot is the boot id under which
// its session was opened.
type Revocation struct {
	Boot  string   `json:"boot"`
	Tasks []Status `json:"tasks"`
}

// Usage is a worker's report of its load. It is up to a few seconds old.
type Usage struct {
	Total    Resources `json:"total"`
	Used     Resources `json:"used"`
	Running  int       `json:"running"`
	Draining bool      `json:"draining"`
	AgeMS    int64     `json:"age_ms"` // age of the figures in milliseconds
}

// Target is the interface through which an entry daemon calls one worker.
//
// Errors wrap the sentinel errors of this package. An error of Start that wraps
// ErrNotRun proves that the task did not run; ErrBusy, ErrDraining and
// ErrSessionEnded always come together with it. Any other error of Start
// leaves the outcome unknown; Status can tell it.
type Target interface {
	// OpenSession opens a new session for ttl from now on the worker's clock. It returns the
	// worker's boot id, which changes when the worker restarts. Opening an open session again
	// returns the boot id and leaves the end of the session as it is.
	OpenSession(ctx context.Context, id string, ttl time.Duration) (boot string, err error)
	// RenewSession extends an open session to ttl from now. It never opens one: a session that
	// is unknown to the worker or was opened under another boot id gives ErrSessionEnded.
	RenewSession(ctx context.Context, id, boot string, ttl time.Duration) error
	// RevokeSession ends a session for good, also one that the worker has not seen yet.
	// Its running tasks continue until the session's ttl has passed; adopted tasks continue
	// under their new session.
	RevokeSession(ctx context.Context, id string) (Revocation, error)
	// Start runs the task and returns when the answer begins. Starting a known task
	// again returns the answer of its only run. A start with a boot id from before the last
	// restart gives ErrSessionEnded: its session may have been revoked before the restart.
	Start(ctx context.Context, task Task, body io.Reader) (*Answer, error)
	// Status returns the state of a task, or ErrUnknownTask.
	Status(ctx context.Context, task string) (Status, error)
	// Answer waits for the end of a task and returns its answer, which the worker keeps for
	// some minutes.
	Answer(ctx context.Context, task string) (*Answer, error)
	// Adopt moves a running task to another open session.
	Adopt(ctx context.Context, task, session string) error
	// Stop ends a task. A stopped task has no answer.
	Stop(ctx context.Context, task string) error
	// Checkpoint pauses a task and frees its slot.
	Checkpoint(ctx context.Context, task string) error
	// Resume continues a checkpointed task when a slot is free.
	Resume(ctx context.Context, task string) error
	// Throttle limits a task to percent (1 to 100) of its declared processor time.
	Throttle(ctx context.Context, task string, percent int) error
	// Usage returns the worker's latest report, which may be some seconds old.
	Usage(ctx context.Context) (Usage, error)
	// Health returns nil when the worker answers, and ErrDraining when it is draining.
	Health(ctx context.Context) error
}
