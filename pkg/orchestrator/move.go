package orchestrator

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

const (
	// moveInterval is the time between two rounds of moves.
	moveInterval = 200 * time.Millisecond
	// moveDelay is how long a target must be idle before it may move.
	moveDelay = 300 * time.Millisecond
	// parkDelay is how long a target must be idle before it goes to a spare pool.
	parkDelay = time.Second
	// defaultVMOrders is the rate of orders for VMs, per second, if Config states none.
	defaultVMOrders = 60
	// moveShare is the fraction of that rate that moves may use; the rest is for maintenance.
	moveShare = 0.8
	// upcomingShare is the fraction of the demand of later steps for which VMs are moved.
	// Most of it arises only when running tasks end, and can use the capacity they free.
	upcomingShare = 0.3
)

// movePlan is the state that rebalance keeps between rounds.
type movePlan struct {
	lastRound time.Duration
	loggedAt  time.Duration
	pending   map[string]int           // VMs with a pending order, by the pool they will be in
	idleSince map[string]time.Duration // by target
}

// rebalance moves idle VMs to pools that lack capacity, and unneeded ones to the spare pool.
func (e *Engine) rebalance(now time.Duration) {
	if now-e.moves.lastRound < moveInterval || e.fleet.listedAt == 0 {
		return
	}
	e.moves.lastRound = now
	e.measure(now)
	e.predictLoad(now)
	e.trackIdle(now)
	e.logPools(now)
	if !e.mayMoveVMs(now) {
		e.cordon(now)
		return
	}
	e.moves.pending = map[string]int{}
	for id := range e.fleet.pendingOrders {
		if vm, ok := e.fleet.vms[id]; ok && !e.fleet.isEvacuated(vm.Zone) {
			e.moves.pending[e.fleet.destination(&vm)]++
		}
	}
	movesLeft := e.movesPerRound()
	names := slices.Sorted(maps.Keys(e.pools))
	sort.SliceStable(names, func(i, j int) bool {
		return e.pools[names[i]].presentShortage(now) > e.pools[names[j]].presentShortage(now)
	})
	for _, name := range names {
		if p := e.pools[name]; !e.spare(name) {
			movesLeft -= e.addVMsForLabels(p, movesLeft, now)
			movesLeft -= e.addVMsForUnschedulable(p, movesLeft, now)
			movesLeft -= e.addVMs(p, p.presentShortage(now), movesLeft, false, now)
		}
	}
	e.cordon(now)
	for _, name := range names {
		if p := e.pools[name]; !e.spare(name) {
			movesLeft -= e.addVMsAhead(p, movesLeft, now)
		}
	}
	for _, name := range names {
		if p := e.pools[name]; !e.spare(name) {
			movesLeft -= e.addVMs(p, p.presentShortage(now)+p.demand.lateMillicores, movesLeft, false, now)
		}
	}
	movesLeft -= e.parkEvacuated(e.sparePool(), movesLeft, now)
	e.park(movesLeft, now)
}

// logPools logs the figures on which moves are decided, once per poolLogInterval.
func (e *Engine) logPools(now time.Duration) {
	if now-e.moves.loggedAt < poolLogInterval {
		return
	}
	e.moves.loggedAt = now
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[name]
		idle := 0
		for _, t := range p.targets {
			if len(t.attempts) == 0 {
				idle++
			}
		}
		e.cfg.Logger.Info("pool state", "pool", name, "targets", len(p.targets), "idle", idle, "waiting_jobs", p.demand.waitingJobs,
			"capacity_millicores", p.demand.capacityMillicores, "busy_millicores", p.demand.busyMillicores,
			"waiting_millicores", p.demand.waitingMillicores, "coming_millicores", p.demand.upcomingMillicores, "late_millicores", p.demand.lateMillicores, "offered_millicores", int64(p.offered.rate(now)),
			"forecast_millicores", p.forecast.arriving, "forecast_certainty", math.Round(100*p.forecast.certainty)/100)
	}
}

// poolLogInterval is the time between two log lines about a pool.
const poolLogInterval = time.Second

// movesPerRound returns how many VMs may be ordered to move in one round.
func (e *Engine) movesPerRound() int {
	rate := e.cfg.VMOrdersPerSecond
	if rate <= 0 {
		rate = defaultVMOrders
	}
	return max(1, int(moveShare*rate*moveInterval.Seconds()))
}

// trackIdle updates since when each target is idle.
func (e *Engine) trackIdle(now time.Duration) {
	idle := map[string]time.Duration{}
	for id, t := range e.targets {
		if len(t.attempts) == 0 && t.registered {
			idle[id] = now
			if since, ok := e.moves.idleSince[id]; ok {
				idle[id] = since
			}
		}
	}
	e.moves.idleSince = idle
}

// shortage returns how much more capacity a pool could use, in millicores, now or for the
// load that is expected to arrive. It is negative for a surplus. Waiting tasks of late jobs
// are left out, so that a pool may give up VMs that it needs only for late work.
func (p *pool) shortage(now time.Duration) int64 {
	return max(p.presentShortage(now), p.forecastShortage(p.forecast.arriving))
}

// presentShortage returns the shortage without the forecast.
func (p *pool) presentShortage(now time.Duration) int64 {
	present := p.demand.busyMillicores + p.demand.waitingMillicores + int64(upcomingShare*float64(p.demand.upcomingMillicores))
	expected := p.demand.longRunningMillicores + int64(p.offered.rate(now))
	return max(present, expected) - p.demand.capacityMillicores
}

// addVMsForUnschedulable moves VMs to a pool for tasks that have waited longer than
// unschedulableAfter. The free capacity of the pool may add up to enough for them: no target
// has enough of it, or those that do lack the label or run as many tasks of the step as
// allowed. It also does so for displaced tasks. It returns the number of moves.
func (e *Engine) addVMsForUnschedulable(p *pool, maxMoves int, now time.Duration) int {
	moved := 0
	for _, w := range slices.Concat(p.demand.unschedulable, p.displaced[:min(len(p.displaced), maxUnschedulable)]) {
		wanted := 1
		if w.step.PerTarget > 0 {
			wanted = (w.tasks + w.step.PerTarget - 1) / w.step.PerTarget
		}
		for _, vm := range e.fleet.movingTo(p.name) {
			if vm.fits(w.step) {
				wanted--
			}
		}
		if wanted <= 0 {
			continue
		}
		for _, id := range e.movable(p.name, false, now) {
			if wanted <= 0 || moved >= maxMoves {
				break
			}
			if vm := e.fleet.vms[id]; vm.fits(w.step) {
				e.moveTo(p, id, now)
				wanted--
				moved++
			}
		}
	}
	return moved
}

// addVMsForLabels moves VMs to a pool for tasks that need a label which the VMs have. It
// returns the number of moves.
func (e *Engine) addVMsForLabels(p *pool, maxMoves int, now time.Duration) int {
	moved := 0
	for _, label := range slices.Sorted(maps.Keys(p.demand.labelledMillicores)) {
		shortage := p.demand.labelledMillicores[label]
		for _, t := range p.targets {
			if e.usable(t, now) && slices.Contains(t.Labels, label) {
				shortage -= t.Capacity.Minus(t.used).CPUMillis
			}
		}
		for _, vm := range e.fleet.movingTo(p.name) {
			if slices.Contains(vm.Labels, label) {
				shortage -= vm.Capacity.CPUMillis
			}
		}
		if shortage <= 0 {
			continue
		}
		for _, id := range e.movable(p.name, false, now) {
			vm := e.fleet.vms[id]
			if !slices.Contains(vm.Labels, label) {
				continue
			}
			if moved >= maxMoves || shortage < vm.Capacity.CPUMillis/4 {
				break
			}
			e.moveTo(p, id, now)
			shortage -= vm.Capacity.CPUMillis
			moved++
		}
	}
	return moved
}

// fits reports whether a task of the step could run on the VM if it were empty.
func (vm *VM) fits(step *jobkeeper.Step) bool {
	return packer.FitsWhenEmpty(step, &packer.Target{
		Labels:   vm.Labels,
		Capacity: vm.Capacity,
	})
}

// addVMs moves VMs to a pool that lacks a capacity in millicores, now or ahead. It returns the
// number of moves.
func (e *Engine) addVMs(p *pool, shortage int64, maxMoves int, ahead bool, now time.Duration) int {
	moved := 0
	for _, vm := range e.movable(p.name, ahead, now) {
		size := e.fleet.vms[vm].Capacity.CPUMillis
		if moved >= maxMoves || size <= 0 || shortage-int64(e.moves.pending[p.name])*size < size/4 {
			break
		}
		e.moveTo(p, vm, now)
		moved++
	}
	return moved
}

// moveTo orders a move to a pool and counts the VM there for the rest of the round.
func (e *Engine) moveTo(p *pool, vm string, now time.Duration) {
	if from := e.pool(e.fleet.vms[vm].Pool); from.demand.usable > 0 {
		from.demand.usable--
	}
	e.move(vm, p.name, now)
	e.moves.pending[p.name]++
}

// movable returns the VMs that could move to the pool now: those of spare pools first,
// then idle ones of other pools with a surplus. VMs that a pool has for its forecast are no
// surplus for another forecast, but for present work.
func (e *Engine) movable(pool string, ahead bool, now time.Duration) []string {
	var spares, idle []string
	for _, id := range slices.Sorted(maps.Keys(e.fleet.vms)) {
		vm := e.fleet.vms[id]
		if vm.Pool == pool || e.fleet.isEvacuated(vm.Zone) || !e.orderable(vm, now) {
			continue
		}
		if e.spare(vm.Pool) {
			spares = append(spares, id)
			continue
		}
		t := e.targetOn(id)
		if t == nil || len(t.attempts) > 0 || !t.cordoned && !e.usable(t, now) || now-e.moves.idleSince[t.ID] < moveDelay {
			continue
		}
		p := e.pool(vm.Pool)
		shortage := p.presentShortage(now)
		if ahead {
			shortage = p.shortage(now)
		}
		if t.cordoned || p.demand.usable > e.keptTargets(p, moveMinShare) && shortage+t.Capacity.CPUMillis <= 0 {
			idle = append(idle, id)
		}
	}
	return append(spares, idle...)
}

// orderable reports whether a VM can be ordered to move now. If its target has registered in
// another pool than the list of VMs shows, the VM has moved since.
func (e *Engine) orderable(vm VM, now time.Duration) bool {
	if t := e.targetOn(vm.ID); t != nil && t.Pool != vm.Pool {
		return false
	}
	_, ordered := e.fleet.pendingOrders[vm.ID]
	return vm.State == VMUp && !ordered && now >= e.fleet.retryAt[vm.ID]
}

// cordon closes busy targets of pools that do not need them for work that is on time to new
// tasks while other pools lack capacity, so that their VMs can move once they are idle.
// Targets with long-running tasks are not closed, so that these tasks are not disturbed.
// Targets are opened again if other pools no longer lack capacity or their own pool does.
func (e *Engine) cordon(now time.Duration) {
	var shortage int64
	for _, p := range e.pools {
		if !e.spare(p.name) {
			shortage += max(0, p.presentShortage(now)-int64(e.moves.pending[p.name])*e.meanVMMillicores())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[name]
		surplus := -p.presentShortage(now)
		for _, t := range p.targets {
			if !t.cordoned {
				continue
			}
			if shortage <= 0 || surplus < 0 {
				t.cordoned = false
			}
			shortage -= t.Capacity.CPUMillis
		}
		for _, t := range p.targets {
			if shortage < t.Capacity.CPUMillis/2 || surplus < t.Capacity.CPUMillis {
				break
			}
			if t.VM == "" || !e.usable(t, now) || len(t.attempts) == 0 || t.hasLongRunning() {
				continue
			}
			t.cordoned = true
			surplus -= t.Capacity.CPUMillis
			shortage -= t.Capacity.CPUMillis
			e.cfg.Logger.Info("target closed so that its VM can move to another pool", "target", t.ID, "pool", name, "running", len(t.attempts), "late_millicores", p.demand.lateMillicores)
		}
	}
}

func (t *target) hasLongRunning() bool {
	for _, a := range t.attempts {
		if a.task.step.step.LongRunning {
			return true
		}
	}
	return false
}

// meanVMMillicores returns the mean capacity of a VM, in thousandths of a core.
func (e *Engine) meanVMMillicores() int64 {
	var sum, n int64
	for _, vm := range e.fleet.vms {
		sum += vm.Capacity.CPUMillis
		n++
	}
	return sum / max(1, n)
}

// sparePool returns the spare pool to which VMs go, or "" if there is none.
func (e *Engine) sparePool() string {
	to := ""
	for _, name := range slices.Sorted(maps.Keys(e.conf.Pools)) {
		if e.spare(name) {
			to = name
		}
	}
	return to
}

// park moves VMs that have been idle for a while to a spare pool, where they cost nothing.
func (e *Engine) park(maxMoves int, now time.Duration) {
	to := e.sparePool()
	if to == "" {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[name]
		if e.spare(name) || p.shortage(now)+p.demand.lateMillicores > 0 || e.emptiesForMaintenance(p) {
			continue
		}
		minUsable, delay := e.keptTargets(p, parkMinShare), p.parkDelay()
		for _, t := range p.targets {
			since, idle := e.moves.idleSince[t.ID]
			_, ordered := e.fleet.pendingOrders[t.VM]
			if maxMoves <= 0 || !idle || ordered || t.VM == "" || !e.usable(t, now) || now-since < delay || now < e.fleet.retryAt[t.VM] {
				continue
			}
			if max(p.shortage(now), p.forecastShortage(p.forecast.returning))+t.Capacity.CPUMillis > 0 || p.demand.usable <= minUsable {
				break
			}
			p.demand.usable--
			p.demand.capacityMillicores -= t.Capacity.CPUMillis
			e.move(t.VM, to, now)
			maxMoves--
		}
	}
}

// emptiesForMaintenance reports whether long-running tasks of a pool are leaving VMs for
// maintenance. Its idle VMs are room for the next ones.
func (e *Engine) emptiesForMaintenance(p *pool) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.evacuating && t.hasLongRunning() })
}

const (
	// parkMinShare is the fraction of the fleet that an idle pool keeps, so that the first
	// jobs of a burst start at once; a VM arrives 1.7 s after it is ordered.
	parkMinShare = 0.14
	// moveMinShare is the fraction of the fleet that a pool keeps when another one needs VMs.
	moveMinShare = 0.06
	// minPoolTargets is the least number of targets that a pool keeps in either case.
	minPoolTargets = 3
)

// minTargets returns the number of targets that a pool keeps, given as a share of the fleet.
func (e *Engine) minTargets(share float64) int {
	return max(minPoolTargets, int(math.Round(share*float64(len(e.fleet.vms)))))
}

func (e *Engine) move(vm, to string, now time.Duration) {
	from := e.fleet.vms[vm]
	e.cfg.Logger.Info("VM move ordered", "vm", vm, "from", from.Pool, "to", to,
		"shortage_millicores", e.pool(to).shortage(now), "list_age_ms", (now - e.fleet.listedAt).Milliseconds())
	if !e.spare(to) {
		e.loadForecast.ordered[vm] = now
	}
	e.vmOrder(Order{
		Kind: KindMove,
		VM:   vm,
		Pool: to,
	}, now)
}
