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
		for _, o := range j.occurrences {
			e.predict(o, now)
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
	if first := j.current(); first != nil {
		w.Due = first.due + e.objectiveOf(first) - now
		w.Chain = first.left()
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			w.CoreMS += s.forecast.coreMS
		}
	}
	return w
}
