package sequencer

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Work describes the part of a job that is left, as far as Plan needs it to estimate its end.
type Work struct {
	ID       string
	Team     string
	Started  bool
	Entitled bool // its team asks for no more than its share while the pool is full
	// Excess is how far the job is beyond the share of its team while the pool is full, in
	// core-milliseconds for a unit of weight; zero if it is within the share.
	Excess float64
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

// Reachable returns the capacity as if all that is coming were there. VMs are moved for the work
// that it allows, as they would come too late for a plan that waits for them.
func (c Capacity) Reachable() Capacity {
	c.Millicores = max(0, c.Millicores) + c.Coming
	c.Coming, c.ComingIn = 0, 0
	return c
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
	drawn := drawnJobs(jobs)
	order := slices.Clone(jobs)
	slices.SortFunc(order, func(a, b Work) int {
		return cmp.Or(compareBool(b.Started, a.Started), cmp.Compare(a.Excess, b.Excess),
			compareBool(drawn[b.ID], drawn[a.ID]),
			cmp.Compare(a.latestStart(), b.latestStart()), cmp.Compare(a.ID, b.ID))
	})
	planned := map[string]bool{}
	var ahead int64
	aheadOfTeam := map[string]int64{}
	var displaceable largestFirst
	wait := func(w Work) time.Duration {
		wait := capacity.BusyTime(ahead)
		if limit, limited := capacity.TeamMillicores[w.Team]; limited {
			wait = max(wait, busyTime(aheadOfTeam[w.Team], limit))
		}
		return wait
	}
	add := func(w Work, sign int64) {
		planned[w.ID] = sign > 0
		ahead += sign * w.CoreMS
		aheadOfTeam[w.Team] += sign * w.CoreMS
	}
	for _, w := range order {
		fits := wait(w)+w.Chain <= w.Due+lateTolerance
		if !fits && w.Excess == 0 && len(displaceable) > 0 && w.Chain <= w.Due+lateTolerance && displaceable[0].CoreMS >= displacedFactor*w.CoreMS {
			largest := heap.Pop(&displaceable).(Work)
			add(largest, -1)
			if fits = wait(w)+w.Chain <= w.Due+lateTolerance; !fits {
				add(largest, 1)
				heap.Push(&displaceable, largest)
			}
		}
		if !fits {
			continue
		}
		add(w, 1)
		if !w.Started && !drawn[w.ID] {
			heap.Push(&displaceable, w)
		}
	}
	maps.DeleteFunc(planned, func(_ string, yes bool) bool { return !yes })
	return planned
}

const (
	// displacedFactor is how much larger a job has to be than one that would be late otherwise to
	// give its place up.
	displacedFactor = 2
	// largeFactor is how much larger than the mean of the jobs a large one is.
	largeFactor = 2
	// drawnLargeJobs is the number of large jobs of which one is drawn.
	drawnLargeJobs = 6
)

// latestStart returns the time until the job has to start, with the margin of entitled teams.
func (w Work) latestStart() time.Duration { return w.Due - w.Chain - margin(w.Entitled) }

// drawnJobs returns the large jobs that are served before all others that have not started, so that
// large jobs do not starve while small ones fill the pool. They are drawn by their IDs, so that each
// plan draws the same.
func drawnJobs(jobs []Work) map[string]bool {
	var sum int64
	for _, w := range jobs {
		sum += w.CoreMS
	}
	drawn := map[string]bool{}
	for _, w := range jobs {
		if w.CoreMS*int64(len(jobs)) < largeFactor*sum {
			continue
		}
		h := fnv.New32a()
		h.Write([]byte(w.ID))
		if h.Sum32()%drawnLargeJobs == 0 {
			drawn[w.ID] = true
		}
	}
	return drawn
}

// largestFirst is a heap of jobs, the one with the most work first.
type largestFirst []Work

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(i, k int) bool { return h[i].CoreMS > h[k].CoreMS }
func (h largestFirst) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(Work)) }

// Pop implements heap.Interface.
func (h *largestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Waits is how long new work waits for the planned work before it.
type Waits struct {
	All time.Duration
	// Teams holds the waits of teams with an upper limit, within it, and of teams beyond their share,
	// for all planned work and for their own work beyond it.
	Teams map[string]time.Duration
}

// OnTimeWaits returns the waits for the jobs that are planned.
func OnTimeWaits(jobs []Work, plan SharedPlan, capacity Capacity) Waits {
	var ahead, sum int64
	ofTeam := map[string]int64{}
	beyond := map[string]int64{} // work that isn't planned, of teams beyond their share
	for _, w := range jobs {
		if !plan.Planned[w.ID] {
			if plan.Excess[w.ID] > 0 {
				beyond[w.Team] += w.CoreMS
			}
			continue
		}
		sum += w.CoreMS
		if plan.Excess[w.ID] == 0 {
			ahead += w.CoreMS
		}
		ofTeam[w.Team] += w.CoreMS
	}
	waits := Waits{
		Teams: map[string]time.Duration{},
	}
	if ahead > 0 {
		waits.All = capacity.BusyTime(ahead)
	}
	for team := range plan.Held {
		waits.Teams[team] = capacity.BusyTime(sum + beyond[team])
	}
	for team, coreMS := range ofTeam {
		if limit, limited := capacity.TeamMillicores[team]; limited {
			waits.Teams[team] = max(waits.Teams[team], busyTime(coreMS, limit))
		}
	}
	return waits
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
