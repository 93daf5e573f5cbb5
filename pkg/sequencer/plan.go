package sequencer

import (
	"cmp"
	"slices"
	"time"
)

// Work describes the part of a job that is left, as far as Plan needs it to estimate its end.
type Work struct {
	ID        string
	Team      string
	Started   bool
	OverShare bool // beyond the share that its team may expect to be served
	// CoreMS is the work that is left, in core-milliseconds.
	CoreMS int64
	// Chain is the longest chain of dependent work that is left.
	Chain time.Duration
	// Due is the time left until the job's objective.
	Due time.Duration
}

// Capacity is the processor capacity that a pool has for tasks other than long-running ones.
type Capacity struct {
	Millicores     int64            // in millicores (thousandths of a core)
	Coming         int64            // in millicores, that the pool can have in addition after ComingIn
	ComingIn       time.Duration    // from now
	TeamMillicores map[string]int64 // in millicores, for teams with an upper limit
}

// BusyTime returns how long the pool is busy with the given work, in core-milliseconds: at first
// with the capacity that it has, then with what is coming too.
func (c Capacity) BusyTime(coreMS int64) time.Duration {
	if c.Coming <= 0 {
		return busyTime(coreMS, c.Millicores)
	}
	beforeMS := int64(packingShare * float64(max(0, c.Millicores)) * c.ComingIn.Seconds())
	if coreMS < beforeMS {
		return busyTime(coreMS, c.Millicores)
	}
	return c.ComingIn + busyTime(coreMS-beforeMS, max(0, c.Millicores)+c.Coming)
}

// packingShare is the fraction of the processors of a pool that tasks can fill; the rest is in
// gaps too small for any task.
const packingShare = 0.9

// Plan returns the jobs that are expected to end on time if they are served in order of their
// latest start times. If more work is due than the pool can do, it leaves jobs out, so that
// not all of them end late. Started jobs come first; within the started and the other jobs,
// those beyond the share of their team come last.
//
// The wait of a job is the time that the pool, or its team within its limit, needs for the
// work planned before it; its own chain is added to that. Gaps between tasks and gangs are
// ignored, so that one pass is enough.
func Plan(jobs []Work, capacity Capacity) map[string]bool {
	order := slices.Clone(jobs)
	slices.SortFunc(order, func(a, b Work) int {
		return cmp.Or(compareBool(b.Started, a.Started), compareBool(a.OverShare, b.OverShare),
			cmp.Compare(a.Due-a.Chain, b.Due-b.Chain), cmp.Compare(a.ID, b.ID))
	})
	planned := map[string]bool{}
	var ahead int64
	aheadOfTeam := map[string]int64{}
	for _, w := range order {
		wait := capacity.BusyTime(ahead)
		if limit, limited := capacity.TeamMillicores[w.Team]; limited {
			wait = max(wait, busyTime(aheadOfTeam[w.Team], limit))
		}
		if wait+w.Chain > w.Due+lateTolerance {
			continue
		}
		planned[w.ID] = true
		ahead += w.CoreMS
		aheadOfTeam[w.Team] += w.CoreMS
	}
	return planned
}

// busyTime returns how long the given number of millicores is busy with the work ahead.
func busyTime(aheadCoreMS, millicores int64) time.Duration {
	if aheadCoreMS == 0 {
		return 0
	}
	if millicores <= 0 {
		return time.Hour
	}
	return time.Duration(float64(aheadCoreMS)/(packingShare*float64(millicores)/1000)) * time.Millisecond
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
