package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

// This file starts suspected tasks on trial and keeps targets for them.

// trialCandidate is a task, or all tasks of a gang, that has to start on trial.
type trialCandidate struct {
	group group
	tasks []*task
}

// startableTasks returns the tasks of the step that have a state and could start.
func (s *stepState) startableTasks(now time.Duration) []*task {
	var startable []*task
	for _, t := range s.tasks {
		if t.startable(now) {
			startable = append(startable, t)
		}
	}
	return startable
}

// trialCandidates returns the waiting tasks that have to start on trial. The likeliest causes of
// crashes come first, because the crashes that they explain no longer count against the others.
func trialCandidates(groups []group, now time.Duration) []trialCandidate {
	var candidates []trialCandidate
	for _, g := range groups {
		if !g.step.suspected() {
			continue
		}
		waiting := g.step.startableTasks(now)
		if g.step.step.Gang {
			candidates = append(candidates, trialCandidate{
				group: g,
				tasks: waiting,
			})
			continue
		}
		for _, t := range waiting {
			if t.trial() > 0 {
				candidates = append(candidates, trialCandidate{
					group: g,
					tasks: []*task{t},
				})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b trialCandidate) int {
		return cmp.Compare(a.tasks[0].crashed.rank, b.tasks[0].crashed.rank)
	})
	return candidates
}

// startTrials starts the waiting tasks of a pool that have to run on trial. In the views, it
// closes the targets of trials and those that are reserved for one.
func (e *Engine) startTrials(p *pool, groups []group, views []packer.Target, now time.Duration) {
	candidates := trialCandidates(groups, now)
	var waiting []trialCandidate
	if len(candidates) > 0 {
		waiting = e.placeTrials(p, candidates, views, now)
	}
	e.reserveForTrials(p, waiting, views, now)
	for i, t := range p.targets {
		if t.reserved || t.onTrial(now) {
			views[i].Closed = true
		}
	}
}

// placeTrials starts candidates on targets that suit a trial, and returns those that found none.
func (e *Engine) placeTrials(p *pool, candidates []trialCandidate, views []packer.Target, now time.Duration) []trialCandidate {
	var waiting []trialCandidate
	var noTarget unplaceableNeeds
	for i := range views {
		views[i].Closed = views[i].Closed || p.targets[i].onTrial(now)
	}
	for _, c := range candidates {
		s := c.group.step
		switch {
		case e.unansweredStarts >= maxUnanswered:
			return waiting
		case !s.step.Gang && noTarget.covers(s.step.Reserved()):
			waiting = append(waiting, c)
		case !e.hasAdvice(c.group, p, now):
			e.logWait(c.group, p, waitAdvice, now)
		case !e.withinLimit(s.job.doc.Team, s.step.Needs):
			e.logWait(c.group, p, waitLimit, now)
		case !e.mayStartAfterCrashes(c.tasks[0], now):
			e.logWait(c.group, p, waitCalm, now)
		case !s.job.crashesStored():
			e.logWait(c.group, p, waitRecord, now)
			waiting = append(waiting, c)
		case !e.startTrial(p, c, views, now):
			e.logWait(c.group, p, waitTrial, now)
			if s.step.Gang && !e.fitsEmptied(p, s, e.afterTrials(p, s, views), now) {
				continue // a target that is reserved for it would wait for more targets
			}
			waiting = append(waiting, c)
			if e.unconstrained(s) {
				noTarget = append(noTarget, s.step.Reserved())
			}
		}
	}
	return waiting
}

// startTrial starts a task, or a gang, on trial: on idle targets or, if there are none for it, on
// such with long-lived runs only. It returns false if there are none either. A task whose crashes were
// all on one VM starts there only if there is no other one, since that VM may be the cause.
func (e *Engine) startTrial(p *pool, c trialCandidate, views []packer.Target, now time.Duration) bool {
	s := c.group.step
	if s.step.Gang {
		return e.startGangTrial(p, c, views, now)
	}
	t := c.tasks[0]
	var vms []string
	if t.crashed.onOneVM() {
		vms = t.crashed.vms()
	}
	for _, crashed := range []bool{false, true} {
		if crashed && (len(vms) == 0 || !t.crashed.mayReturn(now)) {
			return false
		}
		for _, idle := range []bool{true, false} {
			own := e.trialViews(p, s, views, idle)
			if !crashed {
				closeVMs(own, p, vms)
			}
			i := e.choose(s, t, s.rack(), own, now)
			if i < 0 {
				continue
			}
			e.launch(t, p.targets[i], e.nextRun(s.job), now)
			place(&views[i], s.step)
			views[i].Closed = true
			return true
		}
	}
	return false
}

// startGangTrial starts the tasks of a gang on trial.
func (e *Engine) startGangTrial(p *pool, c trialCandidate, views []packer.Target, now time.Duration) bool {
	s := c.group.step
	for _, idle := range []bool{true, false} {
		own := e.trialViews(p, s, views, idle)
		if _, all := e.placeGang(s, append([]packer.Target(nil), own...), now); !all {
			continue
		}
		started := e.startGang(p, c.group, own, now)
		for i, t := range p.targets {
			views[i].Closed = views[i].Closed || t.onTrial(now)
		}
		return started
	}
	return false
}

// closeVMs closes the views of the targets on the given VMs.
func closeVMs(views []packer.Target, p *pool, vms []string) {
	for i, t := range p.targets {
		if slices.Contains(vms, cmp.Or(t.VM, t.ID)) {
			views[i].Closed = true
		}
	}
}

// afterTrials returns the views for the step with the targets open that are only closed by trials.
func (e *Engine) afterTrials(p *pool, s *stepState, views []packer.Target) []packer.Target {
	own := append([]packer.Target(nil), views...)
	for i, t := range p.targets {
		own[i].Closed = own[i].Closed && (t.trials == 0 || e.inEvacuatedZone(t))
	}
	return e.viewFor(own, s)
}

// trialViews returns the views for the step with only those targets open that run nothing, or
// nothing that could be the cause of a crash.
func (e *Engine) trialViews(p *pool, s *stepState, views []packer.Target, idle bool) []packer.Target {
	own := append([]packer.Target(nil), e.viewFor(views, s)...)
	for i, t := range p.targets {
		if !own[i].Closed && !own[i].Idle && (idle || t.possibleCauses() > 0) {
			own[i].Closed = true
		}
	}
	return own
}

// possibleCauses returns the number of runs on the target that could be the cause of a crash.
func (t *target) possibleCauses() int {
	n := 0
	for _, a := range t.attempts {
		if a.seenFor() < crashWindow {
			n++
		}
	}
	return n
}

// reserveForTrials closes targets for other tasks until each waiting trial finds one, at most
// maxReservedShare of the pool or as many as the widest gang has members. Targets that will be
// empty soonest come first.
func (e *Engine) reserveForTrials(p *pool, waiting []trialCandidate, views []packer.Target, now time.Duration) {
	tasks, widest := 0, 1
	for _, c := range waiting {
		tasks += len(c.tasks)
		widest = max(widest, len(c.tasks))
	}
	n := min(tasks, max(widest, int(maxReservedShare*float64(len(p.targets)))))
	suited := e.suitedToTrials(p, waiting, views, (*target).longRunningUse)
	soon := e.suitedToTrials(p, waiting, views, func(t *target) jobkeeper.Resources { return t.lastingUse(now + crashWindow) })
	var others []*target
	late := map[*target]int{}
	for i, t := range p.targets {
		switch {
		case n == 0 || !e.usable(t, now) || !suited[i]:
			t.reserved = false
		case t.reserved:
			n--
		default:
			others = append(others, t)
			if !soon[i] {
				late[t] = 1
			}
		}
	}
	if n == 0 {
		return
	}
	causes := map[*target]int{}
	for _, t := range others {
		causes[t] = t.possibleCauses()
	}
	slices.SortStableFunc(others, func(a, b *target) int {
		return cmp.Or(cmp.Compare(late[a], late[b]), cmp.Compare(causes[a], causes[b]), cmp.Compare(len(a.attempts), len(b.attempts)))
	})
	for _, t := range others[:min(n, len(others))] {
		t.reserved = true
	}
}

// lastingUse returns what the runs use that will not have ended by the given time, by their
// estimates.
func (t *target) lastingUse(until time.Duration) jobkeeper.Resources {
	used := t.longRunningUse()
	for _, a := range t.attempts {
		if end, ends := a.earliestEnd(); ends && end > until {
			used = used.Plus(a.task.step.step.Reserved())
		}
	}
	return used
}

// suitedToTrials reports for each target of the pool whether one of the candidates could start
// there beside the given use of the target.
func (e *Engine) suitedToTrials(p *pool, waiting []trialCandidate, views []packer.Target, use func(*target) jobkeeper.Resources) []bool {
	suited := make([]bool, len(views))
	if len(waiting) == 0 {
		return suited
	}
	empty := append([]packer.Target(nil), views...)
	for i, t := range p.targets {
		empty[i].Used = use(t)
		empty[i].Closed = false
	}
	seen := map[*stepState]bool{} // all tasks of a step need the same
	for _, c := range waiting {
		s := c.group.step
		own := empty
		switch crashed := &c.tasks[0].crashed; {
		case !s.step.Gang && crashed.onOneVM(): // it may not start there at once
			own = slices.Clone(empty)
			closeVMs(own, p, crashed.vms())
		case seen[s]:
			continue
		default:
			seen[s] = true
		}
		for i, v := range e.viewFor(own, s) {
			suited[i] = suited[i] || packer.Eligible(packer.Request{
				Step: s.step,
			}, &v)
		}
	}
	return suited
}
