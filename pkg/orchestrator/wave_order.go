package orchestrator

import (
	"sort"
	"time"
)

// This file decides in which order the VMs of a maintenance wave are emptied. The long-running
// tasks of a step can only be interrupted a few at a time, as its disruption budget allows, so
// that the VMs with tasks of the same step take turns. A wave is as long as the longest such
// series: it has to begin with the wave, while other VMs can be emptied at any time.

// waveOrder is the order in which the remaining VMs of a wave are prepared for maintenance.
type waveOrder struct {
	engine *Engine
	wave   *wave
	now    time.Duration
	steps  map[string]map[*stepState]bool // with a disruption budget, by the VM on which tasks run
	// remaining counts the VMs that hold tasks of a step with a disruption budget, prepared those
	// of them that are being emptied.
	remaining map[*stepState]int
	prepared  map[*stepState]int
}

func (e *Engine) newWaveOrder(w *wave, vms []string, now time.Duration) *waveOrder {
	o := &waveOrder{
		engine:    e,
		wave:      w,
		now:       now,
		steps:     map[string]map[*stepState]bool{},
		remaining: map[*stepState]int{},
		prepared:  map[*stepState]int{},
	}
	for _, vm := range vms {
		o.steps[vm] = o.budgetedSteps(vm)
		for s := range o.steps[vm] {
			o.remaining[s]++
		}
	}
	return o
}

// budgetedSteps returns the steps with a disruption budget of which tasks run on a VM.
func (o *waveOrder) budgetedSteps(vm string) map[*stepState]bool {
	t := o.engine.targetOn(vm)
	if t == nil {
		return nil
	}
	steps := map[*stepState]bool{}
	for _, a := range t.attempts {
		if s := a.task.step; s.step.LongRunning && s.step.HasMaxUnavailable {
			steps[s] = true
		}
	}
	return steps
}

// turns returns how many interruptions in a row the longest series takes that a VM belongs to.
func (o *waveOrder) turns(vm string) int {
	longest := 0
	for s := range o.steps[vm] {
		budget := max(1, s.step.MaxUnavailable)
		longest = max(longest, (o.remaining[s]+budget-1)/budget)
	}
	return longest
}

// sort sorts VMs: first those that are being emptied, then those of the longest series, those of
// evacuated zones, whose loss costs no capacity, and then by the number of runs.
func (o *waveOrder) sort(vms []string) {
	type rank struct {
		turns, runs   int
		evacuating    bool
		zoneEvacuated bool // availability zone is evacuated
	}
	ranks := map[string]rank{}
	for _, vm := range vms {
		r := rank{
			turns: o.turns(vm),
		}
		if t := o.engine.targetOn(vm); t != nil {
			r.runs = len(t.attempts)
			r.evacuating = t.evacuating
			r.zoneEvacuated = o.engine.inEvacuatedZone(t)
		}
		ranks[vm] = r
	}
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := ranks[vms[i]], ranks[vms[j]]
		switch {
		case a.evacuating != b.evacuating:
			return a.evacuating
		case a.turns != b.turns:
			return a.turns > b.turns
		case a.zoneEvacuated != b.zoneEvacuated:
			return a.zoneEvacuated
		}
		return a.runs < b.runs
	})
}

// prepare reports whether a VM may be emptied now, and counts it. Of the VMs that take turns, only
// those whose turn it is or comes next are closed to other work. A turn begins only when the lists
// of the targets that run the step are newer than the wave: a task that was lost meanwhile uses up
// the budget.
func (o *waveOrder) prepare(vm string) bool {
	steps := o.steps[vm]
	for s := range steps {
		if o.prepared[s] >= max(1, s.step.MaxUnavailable)+evacuateAhead || !o.listedSince(s) {
			return false
		}
	}
	for s := range steps {
		o.prepared[s]++
	}
	return true
}

// listedSince reports whether the targets in contact that run tasks of a step have been listed since
// the wave was added.
func (o *waveOrder) listedSince(s *stepState) bool {
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.target.contactable(o.now) && a.target.listedAt <= o.wave.seenAt {
				return false
			}
		}
	}
	return true
}

// awaitsRoom reports whether long-running tasks on a target may lack room elsewhere: one that could
// be interrupted is still there, or another task of its step uses up the disruption budget without
// a run. Otherwise the budget is used by tasks that are starting up.
func (e *Engine) awaitsRoom(t *target, now time.Duration) bool {
	for _, a := range t.attempts {
		if !a.task.step.step.LongRunning || a.phase == phaseStopping {
			continue
		}
		if e.mayInterrupt(a, now) || a.task.step.hasWaiting(now) {
			return true
		}
	}
	return false
}
