package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/sequencer"
)

// planInterval is the shortest time between two plans. In between, jobs keep the result of
// the last plan.
const planInterval = 40 * time.Millisecond

// planPerJob is added to planInterval for each job, so that planning a long backlog takes
// a bounded part of the processor time.
const planPerJob = 100 * time.Microsecond

// plan decides which jobs of each pool are expected to end on time.
func (e *Engine) plan(now time.Duration) {
	if now-e.plannedAt < planInterval+time.Duration(len(e.active))*planPerJob {
		return
	}
	e.plannedAt = now
	works := map[string][]sequencer.Work{}
	for _, j := range e.active {
		if j.doc.LongRunning() {
			continue
		}
		name := e.poolOf(j)
		works[name] = append(works[name], e.work(j, now))
	}
	e.measure(now)
	for name, list := range works {
		planned := sequencer.Plan(list, e.planCapacity(e.pool(name)))
		for _, w := range list {
			e.jobs[w.ID].planned = planned[w.ID]
		}
	}
}

// planCapacity returns the capacity of a pool for tasks that are not long-running.
func (e *Engine) planCapacity(p *pool) sequencer.Capacity {
	capacity := sequencer.Capacity{
		Millicores:     max(0, p.demand.capacityMillicores+e.attainable(p)-p.demand.longRunningMillicores),
		TeamMillicores: map[string]int64{},
	}
	for name, team := range e.conf.Teams {
		if team.Limit.CPUMillis > 0 {
			capacity.TeamMillicores[name] = team.Limit.CPUMillis
		}
	}
	return capacity
}

// attainable returns the capacity, in millicores, that a pool could gain within the time of
// one move: VMs with a pending order that will be in it, VMs of spare pools, and idle VMs of
// other pools.
func (e *Engine) attainable(p *pool) int64 {
	var sum int64
	for id, vm := range e.fleet.vms {
		_, ordered := e.fleet.pendingOrders[id]
		switch {
		case e.fleet.isEvacuated(vm.Zone):
		case ordered && e.fleet.destination(&vm) == p.name, !ordered && vm.State == VMUp && e.spare(vm.Pool):
			sum += vm.Capacity.CPUMillis
		case vm.Pool != p.name && !ordered && vm.State == VMUp:
			if t := e.targetOn(id); t != nil && len(t.attempts) == 0 {
				sum += vm.Capacity.CPUMillis
			}
		}
	}
	return sum
}

// work describes the remaining work of a job to the sequencer. For scheduled jobs, the due
// time and the critical path are those of the occurrence that is due first.
func (e *Engine) work(j *job, now time.Duration) sequencer.Work {
	w := sequencer.Work{
		ID:        j.doc.ID,
		Team:      j.doc.Team,
		Started:   j.started,
		OverShare: j.overShare,
		Due:       j.arrival + e.objective(j) - now,
	}
	first := j.occurrences[j.finished]
	if first != nil {
		w.Due = first.due + e.objective(j) - now
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			coreMS, path := s.remainingWork(now)
			w.CoreMS += coreMS
			if o == first {
				w.Chain = max(w.Chain, path)
			}
		}
	}
	return w
}

// remainingWork returns the work of a step that is left, in core-milliseconds, and the
// critical path from its unfinished tasks to the end of the job.
func (s *stepState) remainingWork(now time.Duration) (int64, time.Duration) {
	if s.done == len(s.tasks) {
		return 0, 0
	}
	var sum, longest int64
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		left := s.step.EstimateMS
		for _, a := range t.attempts {
			if a.phase == phaseRunning && a.confirmedAt > 0 {
				left = max(left/10, min(left, left-(now-a.confirmedAt).Milliseconds()))
			}
		}
		sum += left
		longest = max(longest, left)
	}
	chain := s.remainingPathMS - s.step.EstimateMS + longest
	return sum * s.step.Needs.CPUMillis / 1000, time.Duration(chain) * time.Millisecond
}
