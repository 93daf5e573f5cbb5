// Package sequencer decides in which order waiting work gets room and which
// new work is turned away.
//
// The load that it answers: each queue in turn asks for several times what its
// pool holds, for some seconds. A job is useful to its caller if it ends within
// its objective and of little use afterwards. Room therefore goes to the work
// that can still make its objective, most urgent first; work that can't comes
// after it, in the order of its arrival. A job that would only wait until it is
// useless is refused when it arrives.
package sequencer

import (
	"cmp"
	"time"
)

// Candidate is a step of a job whose tasks could start now.
type Candidate struct {
	// Lasting tasks are kept running; they take little room and come first.
	Lasting bool
	// Planned work is expected to end on time in the room that there is.
	Planned bool
	// Excess work is beyond what its team may expect to be served.
	Excess bool
	// Started jobs have used room that is wasted if they end late.
	Started bool
	// Priority of the queue; 0 comes first.
	Priority int
	// Slack is the time for which the start can wait without missing the objective.
	Slack time.Duration
	// Arrival orders work that is otherwise equal.
	Arrival time.Duration
}

// lateTolerance is how far past its latest start a job still counts as on
// time: estimates are off by a fifth and more, so a small deficit may be made up.
const lateTolerance = 150 * time.Millisecond

// Late reports whether the candidate is expected to miss its objective.
func (c Candidate) Late() bool {
	return c.Slack < -lateTolerance
}

// Compare orders candidates: negative if a gets room before b.
func Compare(a, b Candidate) int {
	if a.Lasting != b.Lasting {
		return first(a.Lasting)
	}
	if n := cmp.Compare(rank(a), rank(b)); n != 0 {
		return n
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.Late() {
		return cmp.Compare(a.Arrival, b.Arrival)
	}
	return cmp.Or(cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Arrival, b.Arrival))
}

// rank puts work that can make its objective first: what has begun before what has
// not, so that room already used is not wasted. Excess work comes last.
func rank(c Candidate) int {
	switch {
	case c.Excess && !c.Planned:
		return 4
	case c.Late():
		return 3
	case !c.Planned:
		return 2
	case !c.Started:
		return 1
	}
	return 0
}

func first(yes bool) int {
	if yes {
		return -1
	}
	return 1
}
