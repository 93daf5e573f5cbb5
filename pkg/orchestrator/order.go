package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Kind is the kind of an order.
type Kind string

// Orders of the first three kinds go to a target, the others to the platform's VM service.
const (
	KindStart       Kind = "start"
	KindStop        Kind = "stop"
	KindPace        Kind = "pace"
	KindMove        Kind = "move"
	KindMaintenance Kind = "upkeep"
)

// Endpoint identifies a target instance and where to reach it.
type Endpoint struct {
	ID      string
	Address string
}

// Order is a call to a target or to the platform's VM service.
type Order struct {
	Kind   Kind
	Target Endpoint
	Fence  storer.Version

	Task jobkeeper.TaskID
	Run  uint64

	Spec       string // KindStart
	Checkpoint string // KindStart; empty to start from the beginning
	Ticket     string // KindStart on queues that require advice: approval of the adviser
	DeadlineMS int64  // KindStart: end of the lease, in ms on the target's clock
	Percent    int    // KindPace: share at which the task may run; 0 halts it

	VM   string // KindMove, KindMaintenance
	Pool string // KindMove: destination
	Wave int    // KindMaintenance

	incarnation int64 // start of the life of Target that the order is for
}

// run identifies the run that a start, stop or pace order refers to.
func (o *Order) run() runKey {
	return runKey{
		run:  o.Run,
		task: o.Task,
	}
}

// Outcome is the outcome of an order.
type Outcome string

// The outcomes of orders. Only OutcomeUnknown leaves open whether the order was
// carried out; it may still be, seconds later.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeNoRoom    Outcome = "no_room"
	OutcomeFenced    Outcome = "fenced"
	OutcomeOldRun    Outcome = "old_run"
	OutcomeLate      Outcome = "late"
	OutcomeBadTicket Outcome = "ticket"
	OutcomeReplaced  Outcome = "replaced" // another instance answered at the target's address
	OutcomeRefused   Outcome = "refused"  // nothing was done; it may be tried again later
	OutcomeInvalid   Outcome = "invalid"
	OutcomeUnknown   Outcome = "unknown"
)

// Answer is the result of an order.
type Answer struct {
	Order      Order
	Outcome    Outcome
	ClockMS    int64 // the target's clock in ms; zero if unknown
	SentAt     time.Duration
	ReceivedAt time.Duration
	Err        error
}

// ListRequest asks for a target's lists of running and ended runs, which may also
// extend the target's lease.
type ListRequest struct {
	Target       Endpoint
	Fence        storer.Version
	DeadlineMS   int64         // end of the lease, in ms on the target's clock; zero: unchanged
	Acknowledged uint64        // ends up to this number may be forgotten; zero: none
	Wait         time.Duration // how long the target may delay its answer until a run ends
	Skip         bool          // nothing runs there, so the request can be skipped
}

// Run is an entry of a target's list of running tasks.
type Run struct {
	Task        jobkeeper.TaskID
	Run         uint64
	Checkpoint  string
	Percent     int     // progress; for long-running tasks the share of their full capacity
	Measurement float64 // tail latency in ms for tasks with a latency target, otherwise cores in use
}

func (r *Run) key() runKey {
	return runKey{
		run:  r.Run,
		task: r.Task,
	}
}

// Ending is how a run ended.
type Ending string

// The ways in which a run ends. EndLapsed means that the lease of its target expired.
const (
	EndDone           Ending = "done"
	EndFailed         Ending = "failed"
	EndStopped        Ending = "stopped"
	EndLapsed         Ending = "lapsed"
	EndBroken         Ending = "broken" // another member of the gang ended
	EndGangIncomplete Ending = "alone"  // the other members of the gang did not start in time
)

// End is an entry of a target's list of ended runs. The target numbers its ends in order.
type End struct {
	Number     uint64
	Task       jobkeeper.TaskID
	Run        uint64
	How        Ending
	Checkpoint string
}

func (e *End) key() runKey {
	return runKey{
		run:  e.Run,
		task: e.Task,
	}
}

// Listing is a target's answer to a ListRequest.
type Listing struct {
	Request       ListRequest
	ClockMS       int64
	StartedUnixMS int64 // Unix ms at which the target's process started; zero if not stated
	Running       []Run
	Ended         []End
	EndsOmitted   bool // the target may have more ended runs than Ended holds
	SentAt        time.Duration
	ReceivedAt    time.Duration
}

// Registration is the description that a target gives of itself.
type Registration struct {
	Endpoint
	Pool          string
	Zone          string
	Rack          string
	Labels        []string
	Capacity      jobkeeper.Resources
	Draining      bool
	StartedUnixMS int64         // Unix ms at which the target's process started; zero if not stated
	Sequence      int64         // rises with each registration of a life; zero if not stated
	VM            string        // empty if the target does not state it
	ColdFor       time.Duration // how much longer the target is slow after its start
}
