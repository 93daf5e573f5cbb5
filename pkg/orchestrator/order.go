package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Kind is what an order asks a target for.
type Kind string

// The kinds of orders.
const (
	KindStart  Kind = "start"
	KindStop   Kind = "stop"
	KindPace   Kind = "pace"
	KindMove   Kind = "move"
	KindUpkeep Kind = "upkeep"
)

// Endpoint identifies one life of a target.
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

	Spec       string // starts
	Checkpoint string // starts; empty: from the beginning
	Ticket     string // starts on advised queues
	DeadlineMS int64  // starts: end of the lease on the target's clock
	Percent    int    // paces

	VM   string // moves and upkeeps
	Pool string // moves: destination
	Wave int    // upkeeps
}

// run returns the run that a start, stop or pace is about.
func (o *Order) run() runKey {
	return runKey{
		run:  o.Run,
		task: o.Task,
	}
}

// Outcome is what became of an order.
type Outcome string

// The outcomes of orders. Only OutcomeUnknown leaves open whether the order was
// carried out; it may still be, seconds later.
const (
	OutcomeOK       Outcome = "ok"
	OutcomeNoRoom   Outcome = "no_room"
	OutcomeFenced   Outcome = "fenced"
	OutcomeOld      Outcome = "old_run"
	OutcomeLate     Outcome = "late"
	OutcomeTicket   Outcome = "ticket"
	OutcomeReplaced Outcome = "replaced" // another life of the target answered
	OutcomeRefused  Outcome = "refused"  // nothing was done, try again later
	OutcomeInvalid  Outcome = "invalid"
	OutcomeUnknown  Outcome = "unknown"
)

// Answer is the answer to an order.
type Answer struct {
	Order      Order
	Outcome    Outcome
	ClockMS    int64 // the target's clock; zero if unknown
	SentAt     time.Duration
	ReceivedAt time.Duration
	Err        error
}

// HoldPlan says how to ask a target for its lists.
type HoldPlan struct {
	Target       Endpoint
	Fence        storer.Version
	DeadlineMS   int64         // end of the lease on the target's clock; zero leaves it as it is
	Acknowledged uint64        // ends up to this number may be forgotten; zero acknowledges nothing
	Wait         time.Duration // how long the target may wait for an end
	Idle         bool          // nothing runs there, so that nobody needs to ask
}

// Run is an entry of a target's list of running tasks.
type Run struct {
	Task       jobkeeper.TaskID
	Run        uint64
	Checkpoint string
	Percent    int     // progress, or share at work for lasting tasks
	Figure     float64 // tail of response times in ms if the task serves, processors in use otherwise
}

func (r *Run) key() runKey {
	return runKey{
		run:  r.Run,
		task: r.Task,
	}
}

// Ending is how a run ended.
type Ending string

// The ways in which a run ends.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	EndBroken  Ending = "broken" // another member of the gang ended
	EndAlone   Ending = "alone"  // the other members of the gang did not come
)

// End is an entry of a target's list of ended runs.
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

// Listing is a target's answer to a HoldPlan.
type Listing struct {
	Plan       HoldPlan
	ClockMS    int64
	Born       int64 // Unix time of the start of the target's present life; zero if not stated
	Running    []Run
	Ended      []End
	SentAt     time.Duration
	ReceivedAt time.Duration
}

// Registration is what a target says of itself.
type Registration struct {
	Endpoint
	Pool     string
	Zone     string
	Rack     string
	Labels   []string
	Capacity jobkeeper.Resources
	Draining bool
	Born     int64
	VM       string // empty if the target does not state it
}
