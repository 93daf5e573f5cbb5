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
	running := map[string]map[string]int64{} // millicores by pool and team
	for _, j := range e.active {
		if j.doc.LongRunning() {
			continue
		}
		for _, o := range j.open {
			e.predict(o, now)
		}
		name := e.poolOf(j)
		works[name] = append(works[name], e.work(j, now))
		if running[name] == nil {
			running[name] = map[string]int64{}
		}
		running[name][j.doc.Team] += j.runningMillicores()
	}
	e.measure(now)
	weights := e.teamWeights()
	for name, p := range e.pools {
		p.waits = sequencer.Waits{}
		p.shares.Charge(running[name], now)
		if works[name] == nil {
			e.noteHeldTeams(p, nil, now)
		}
	}
	for name, list := range works {
		p := e.pool(name)
		capacity := e.planCapacity(p, now)
		plan := sequencer.PlanByShare(list, capacity, weights, &p.shares)
		planned := plan.Planned
		p.waits = sequencer.OnTimeWaits(list, plan, capacity)
		reachable := planned
		if capacity.Coming > 0 {
			reachable = sequencer.Plan(list, capacity.Reachable())
		}
		for _, w := range list {
			j := e.jobs[w.ID]
			j.planned, j.reachable = planned[w.ID], reachable[w.ID]
			j.excess, j.entitled = plan.Excess[w.ID], plan.Entitled[w.Team]
		}
		e.noteHeldTeams(p, plan.Held, now)
	}
}

// planCapacity returns the capacity of a pool for tasks that are not long-running.
func (e *Engine) planCapacity(p *pool, now time.Duration) sequencer.Capacity {
	present := p.demand.capacityMillicores - p.demand.longRunningMillicores
	coming, in := e.attainable(p, now)
	capacity := sequencer.Capacity{
		Millicores:     max(0, present),
		Coming:         max(0, coming+min(0, present)),
		ComingIn:       in,
		TeamMillicores: map[string]int64{},
	}
	for name, team := range e.conf.Teams {
		if team.Limit.CPUMillis > 0 {
			capacity.TeamMillicores[name] = team.Limit.CPUMillis
		}
	}
	return capacity
}

// vmMoveTime is the time from the order to move a VM to the first start on its target.
const vmMoveTime = 1700 * time.Millisecond

// attainable returns the capacity, in millicores, that a pool could gain by moves, and the mean
// time until it arrives: of VMs with a pending order that will be in it, VMs of spare pools, and
// idle VMs of other pools. A new owner that does not know the orders of the earlier one orders none
// before Config.VMOrderDelay has passed, and then at the rate that the platform accepts. Otherwise
// VMs count as if they were there: most work that can reach them is on time, and at the start of a
// burst a plan that waits for them leaves work out that they serve.
func (e *Engine) attainable(p *pool, now time.Duration) (millicores int64, in time.Duration) {
	var ordered, others int64
	count := 0
	for id, vm := range e.fleet.vms {
		_, pending := e.fleet.pendingOrders[id]
		switch {
		case e.fleet.isEvacuated(vm.Zone):
		case pending:
			if e.fleet.destination(&vm) == p.name {
				ordered += vm.Capacity.CPUMillis
			}
		case vm.State != VMUp || vm.Pool == p.name:
		case e.spare(vm.Pool), e.idleOn(id):
			others += vm.Capacity.CPUMillis
			count++
		}
	}
	untilOrder := e.cfg.AcquiredAt + e.cfg.VMOrderDelay - now
	if ordered+others == 0 || untilOrder <= 0 || e.cfg.VMOrdersKnown {
		return ordered + others, 0
	}
	rounds := time.Duration(count / max(1, e.movesPerRound()))
	untilOrder += rounds * moveInterval / 2
	weight := float64(others) / float64(ordered+others)
	return ordered + others, vmMoveTime/2 + time.Duration(weight*float64(untilOrder+vmMoveTime/2))
}

// idleOn reports whether the VM has a target on which nothing runs.
func (e *Engine) idleOn(vm string) bool {
	t := e.targetOn(vm)
	return t != nil && len(t.attempts) == 0
}

// work describes the remaining work of a job to the sequencer. For scheduled jobs, the due
// time and the critical path are those of the occurrence that is due first.
func (e *Engine) work(j *job, now time.Duration) sequencer.Work {
	w := sequencer.Work{
		ID:      j.doc.ID,
		Team:    j.doc.Team,
		Started: j.started,
		Due:     j.arrival + e.objective(j) - now,
	}
	if first := j.current(); first != nil {
		w.Due = first.due + e.objectiveOf(first) - now
		w.Chain = first.left()
	}
	for _, o := range j.open {
		for _, s := range o.steps {
			w.CoreMS += s.forecast.coreMS
		}
	}
	return w
}
