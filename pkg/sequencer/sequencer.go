// Package sequencer orders waiting work and decides which new jobs to refuse.
//
// It is made for bursts: each queue in turn asks for several times the capacity of its pool,
// for some seconds. A job is useful to its caller if it ends within its objective and of
// little use afterwards. Capacity therefore goes first to work that can still meet its
// objective, most urgent first; work that is late follows in order of arrival. A job that
// could only end when it is useless is refused on arrival.
package sequencer

import (
	"cmp"
	"time"
)

// Candidate is a step of a job whose tasks could start now.
type Candidate struct {
	// LongRunning tasks run until their job is cancelled; they need little capacity and come
	// first.
	LongRunning bool
	// Planned work is expected to end on time with the capacity that the pool has.
	Planned bool
	// Excess is how far the work is beyond the share of its team while the pool is full, in
	// core-milliseconds for a unit of weight; zero if it is within the share.
	Excess float64
	// Entitled marks work of a team that asks for no more than its share while the pool is full.
	Entitled bool
	// Started jobs have used capacity that is wasted if they end late.
	Started bool
	// Priority is that of the queue; 0 comes first.
	Priority int
	// Slack is how long the start can be delayed without missing the objective; negative if it
	// is too late.
	Slack time.Duration
	// UsefulFor is how long the start can be delayed until the end is of no use to the caller.
	UsefulFor time.Duration
	// CoreMS is the work of the job that is left, in core-milliseconds.
	CoreMS int64
	// Arrival is the arrival time, which orders candidates that are otherwise equal.
	Arrival time.Duration
}

// lateTolerance is how long after its latest start a job still counts as on time: estimates
// are wrong by 20% and more, so a small delay may be made up.
const lateTolerance = 150 * time.Millisecond

// Late reports whether the candidate is expected to miss its objective.
func (c Candidate) Late() bool {
	return c.Slack < -lateTolerance
}

// Compare returns a negative number if a is served before b, a positive one if after it.
func Compare(a, b Candidate) int {
	if a.LongRunning != b.LongRunning {
		return orderTrueFirst(a.LongRunning)
	}
	if n := cmp.Compare(rank(a), rank(b)); n != 0 {
		return n
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if rank(a) == rankUnplanned && a.Excess != b.Excess {
		return cmp.Compare(a.Excess, b.Excess)
	}
	if a.Late() {
		return compareLate(a, b)
	}
	return cmp.Or(cmp.Compare(a.Slack-margin(a.Entitled), b.Slack-margin(b.Entitled)), cmp.Compare(a.Arrival, b.Arrival))
}

// compareLate puts late work first that is done soonest, so that the fewest callers wait. Work that
// is of no more use follows in order of arrival, which also ends the wait of large jobs.
func compareLate(a, b Candidate) int {
	if a.UsefulFor > 0 && b.UsefulFor > 0 {
		return cmp.Or(cmp.Compare(a.CoreMS, b.CoreMS), cmp.Compare(a.Arrival, b.Arrival))
	}
	if (a.UsefulFor > 0) != (b.UsefulFor > 0) {
		return orderTrueFirst(a.UsefulFor > 0)
	}
	return cmp.Compare(a.Arrival, b.Arrival)
}

// entitledMargin is how much sooner than others jobs of entitled teams start. A plan that fills the
// pool starts jobs as late as they can start, and durations are predicted within a fifth.
const entitledMargin = 400 * time.Millisecond

func margin(entitled bool) time.Duration {
	if entitled {
		return entitledMargin
	}
	return 0
}

// rankUnplanned is the rank of work that could meet its objective, but for which there is no room.
const rankUnplanned = 2

// rank puts work that is expected to meet its objective first: started jobs before others, so
// that the capacity they have used is not wasted. Work for which there is no room follows, and work
// that is late.
func rank(c Candidate) int {
	switch {
	case c.Late():
		return 3
	case !c.Planned:
		return rankUnplanned
	case !c.Started:
		return 1
	}
	return 0
}

func orderTrueFirst(yes bool) int {
	if yes {
		return -1
	}
	return 1
}
