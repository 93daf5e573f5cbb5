package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

const (
	// gangReserveAfter is how long a gang waits before room is reserved for it. It is less
	// than the 3 s for which the platform lets work wait while half of a pool is free.
	gangReserveAfter = 1500 * time.Millisecond
	// gangMaxLoad is the utilization of a pool, by running tasks and waiting tasks of jobs
	// expected on time, up to which a gang is moved to the front of the order. Above it, a
	// late gang waits like other late work.
	gangMaxLoad = 0.75
)

// startGang places all tasks of a step or none. Once a gang has waited for
// gangReserveAfter, members that fit stay reserved in the views even if others do not, so
// that steps later in the order leave their room free. That is done for one gang of a pool at a
// time, and only if it fits on the targets that the pool has.
func (e *Engine) startGang(p *pool, g group, views []packer.Target, now time.Duration) bool {
	waiting, _ := g.step.countWaiting(now)
	if waiting < g.step.step.Count || e.unansweredStarts > 0 && e.unansweredStarts+waiting > maxUnanswered {
		return true
	}
	if !e.gangWithinLimit(g.step) {
		e.logWait(g, p, waitLimit, now)
		return true
	}
	original := append([]packer.Target(nil), views...)
	chosen, all := e.placeGang(g.step, views, now)
	if !all {
		if now-g.step.readyAt(now) < gangReserveAfter || !e.reserveForGang(p, g.step, original, now) {
			copy(views, original)
		}
		return false
	}
	run := e.nextRun(g.step.job)
	for n := range waiting {
		e.launch(g.step.task(n), p.targets[chosen[n]], run, now)
	}
	return true
}

// placeGang places the tasks of a gang in the views, up to the first that fits nowhere. It
// returns the indexes of the chosen targets, and whether all tasks were placed.
func (e *Engine) placeGang(s *stepState, views []packer.Target, now time.Duration) (chosen []int, all bool) {
	rack := ""
	for n := range s.step.Count {
		i := e.choose(s, s.peek(n), rack, views, now)
		if i < 0 {
			return chosen, false
		}
		if s.step.SameRack {
			rack = views[i].Rack
		}
		place(&views[i], s.step)
		chosen = append(chosen, i)
	}
	return chosen, true
}

// maxGangChecks bounds the gangs of a pool for which it is checked in each round whether they
// would fit.
const maxGangChecks = 3

// reserveForGang reports whether room is to be kept for a gang: for the first of the round that
// would fit if all tasks that end had ended.
func (e *Engine) reserveForGang(p *pool, s *stepState, views []packer.Target, now time.Duration) bool {
	if p.gangReserved || p.gangChecks >= maxGangChecks {
		return false
	}
	p.gangChecks++
	p.gangReserved = e.fitsEmptied(p, s, views, now)
	return p.gangReserved
}

// fitsEmptied reports whether the gang would fit on the targets that are open in the views if all
// tasks that end had ended.
func (e *Engine) fitsEmptied(p *pool, s *stepState, views []packer.Target, now time.Duration) bool {
	empty := append([]packer.Target(nil), views...)
	for i, t := range p.targets {
		empty[i].Used = t.longRunningUse()
		empty[i].SameStep = 0
	}
	_, all := e.placeGang(s, empty, now)
	return all
}

// longRunningUse returns what the long-running tasks on the target use.
func (t *target) longRunningUse() jobkeeper.Resources {
	var used jobkeeper.Resources
	for _, a := range t.attempts {
		if a.task.step.step.LongRunning {
			used = used.Plus(a.task.step.step.Reserved())
		}
	}
	return used
}

// readyAt returns the time since which the waiting tasks of the step could start.
func (s *stepState) readyAt(now time.Duration) time.Duration {
	at := s.occurrence.due
	for _, t := range s.tasks {
		at = max(at, t.lastEnd)
	}
	for _, after := range s.step.After {
		for _, t := range s.occurrence.steps[after].tasks {
			at = max(at, t.lastEnd)
		}
	}
	return min(at, now)
}

// prioritizeGang moves the gang that has waited longest to the front of the order if it has
// waited for gangReserveAfter and the pool is loaded to at most gangMaxLoad. Without this,
// small tasks could take each gap before there is room for all members.
func (e *Engine) prioritizeGang(p *pool, groups []group, now time.Duration) {
	if float64(p.demand.busyMillicores+p.demand.waitingMillicores) > gangMaxLoad*float64(p.demand.capacityMillicores) {
		return
	}
	first, since := -1, now-gangReserveAfter
	for i, g := range groups {
		if !g.step.step.Gang {
			continue
		}
		if at := g.step.readyAt(now); at < since {
			first, since = i, at
		}
	}
	if first > 0 {
		g := groups[first]
		copy(groups[1:first+1], groups[:first])
		groups[0] = g
	}
}

// gangWithinLimit reports whether the team may start the whole gang. Only the last task may
// cross the limit: unlike a single large task, a gang could exceed it by far.
func (e *Engine) gangWithinLimit(s *stepState) bool {
	team := s.job.doc.Team
	if e.conf.Teams[team].Excluded {
		return false
	}
	return fitsLimit(e.teamUsage(team).Plus(s.step.Needs.Times(int64(s.step.Count-1))), e.conf.Teams[team].Limit)
}

func (s *stepState) hasRuns() bool {
	for _, t := range s.tasks {
		if len(t.attempts) > 0 {
			return true
		}
	}
	return false
}

// stopIncompleteGang stops the remaining runs of a gang that has lost a member or that an
// earlier owner started only in part: they would occupy targets without making progress.
func (e *Engine) stopIncompleteGang(s *stepState, now time.Duration) {
	for _, t := range s.tasks {
		if t.uncertain {
			return // its run may be found on a target that is not listed yet
		}
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			e.stop(a, now, "gang incomplete")
		}
	}
}

// saveCheckpoint keeps the checkpoint from which the task's next run starts. The members of
// a gang share one, whichever of them wrote it, as all have to start from the same.
func (t *task) saveCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !t.step.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint = checkpoint
	}
}

// recordFailure records that a run failed; that of a gang counts for each member. It returns
// false if that was already recorded.
func (t *task) recordFailure(run uint64) bool {
	if !t.step.step.Gang {
		return t.addFailedRun(run)
	}
	added := false
	for _, member := range t.step.tasks {
		added = member.addFailedRun(run) || added
	}
	return added
}
