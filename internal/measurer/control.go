package measurer

import (
	"maps"
	"slices"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/rebalancer"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

const waveName = "wave"

// tick runs the periodic work of entry daemons and of the manager, and schedules the next tick.
func (sim *simulation) tick() {
	sim.ticks++
	sim.exchangeReports()
	if sim.ticks%usageTicks == 0 {
		sim.reportUsage()
		sim.maintain()
		sim.rebalance()
		sim.updateTargets()
	}
	for _, d := range sim.daemons {
		for i, p := range d.pools {
			held := sim.peerHold(i, p)
			sim.refreshUsable(p, held)
			p.scheduler.Expire(sim.clock(), func(scheduler.Request[*task]) { sim.result.Expired++ })
			sim.hold(p, held != "")
			sim.dispatch(p)
		}
	}
	sim.sample()
	sim.queue.add(sim.now+tick, sim.tick)
}

// exchangeReports gives each daemon the usage that the others reported one tick ago.
func (sim *simulation) exchangeReports() {
	for i := range services() {
		for _, d := range sim.daemons {
			for _, t := range teams() {
				var sum runner.Resources
				for _, peer := range sim.daemons {
					if peer != d {
						sum = sum.Plus(peer.pools[i].reported[t.name])
					}
				}
				d.pools[i].scheduler.SetPeerUsage(t.name, sum)
			}
		}
		for _, d := range sim.daemons {
			d.pools[i].reportedHold = d.pools[i].heldTarget
			for _, t := range teams() {
				d.pools[i].reported[t.name] = d.pools[i].scheduler.Running(t.name)
			}
		}
	}
}

// reportUsage gives the daemons what each worker measured one interval ago, because the
// reports of workers lag.
func (sim *simulation) reportUsage() {
	for _, name := range sim.names {
		wk := sim.workers[name]
		for _, d := range sim.daemons {
			for _, p := range d.pools {
				if wk.live {
					p.placer.RecordUsage(name, wk.reported)
				}
			}
		}
		wk.reported = wk.used
	}
}

// maintain runs the planner on the lagging VM list and starts the reboots that it orders.
func (sim *simulation) maintain() {
	var list []planner.VMStatus
	for _, name := range sim.names {
		wk := sim.workers[name]
		list = append(list, planner.VMStatus{
			ID:        name,
			Live:      wk.live,
			Operation: wk.completedReboot,
		})
	}
	sim.recentLists = append(sim.recentLists, list)
	if lag := int(listLag / (tick * usageTicks)); len(sim.recentLists) > lag {
		sim.listed = sim.recentLists[len(sim.recentLists)-1-lag]
		sim.recentLists = sim.recentLists[len(sim.recentLists)-lag:]
	}
	waves := map[string]configurer.Wave{}
	if sim.now >= waveAt {
		waves[waveName] = configurer.Wave{
			Pool:         services()[0].name,
			State:        configurer.WaveRunning,
			FailureLimit: 4,
		}
	}
	sim.fleet = planner.Plan(sim.fleet, sim.clock(), planner.Input{
		Pools: sim.pools,
		Waves: waves,
		VMs:   sim.listed,
		Idle:  func(name string) bool { return len(sim.workers[name].tasks) == 0 },
	})
	for _, name := range sim.names {
		if vm := sim.fleet.VMs[name]; vm.Operation != "" {
			sim.reboot(sim.workers[name], vm.Operation)
		}
	}
}

func (sim *simulation) reboot(wk *worker, operation string) {
	if wk.requestedReboot == operation {
		return
	}
	wk.requestedReboot = operation
	wk.live = false
	sim.loseTasks(wk)
	sim.queue.add(sim.now+rebootTime, func() {
		wk.live = true
		wk.completedReboot = operation
	})
}

// rebalance makes the moves that the policy decides and the planner allows.
func (sim *simulation) rebalance() {
	in := rebalancer.Observation{}
	for _, vm := range sim.fleet.VMs {
		if vm.Pool == spare && vm.State == planner.StateServing {
			in.Spare++
		}
	}
	for i, s := range services() {
		p := rebalancer.Pool{
			Name:    s.name,
			MinVMs:  sim.pools[s.name].MinVMs,
			VMSlots: workerSlots,
			Demand:  float64(sim.demand(i)),
		}
		for name, vm := range sim.fleet.VMs {
			if vm.Pool == s.name && vm.State == planner.StateServing {
				p.VMs++
				if sim.isSpare(name) {
					p.Borrowed++
				}
			}
		}
		in.Pools = append(in.Pools, p)
	}
	for _, m := range sim.rebalancing.Decide(sim.clock(), in) {
		from, to := spare, m.Pool
		if m.Return {
			from, to = m.Pool, spare
		}
		name, ok := sim.leastLoadedSpare(from)
		if !ok {
			continue
		}
		if next, err := planner.Move(sim.fleet, sim.clock(), name, from, to, sim.pools); err == nil {
			sim.fleet = next
			sim.result.Moves++
		}
	}
}

// leastLoadedSpare returns the VM with the fewest tasks among those that belong to the spare
// pool and now serve the pool from, or false if there is none.
func (sim *simulation) leastLoadedSpare(from string) (string, bool) {
	best := ""
	for _, name := range sim.names {
		vm := sim.fleet.VMs[name]
		if !sim.isSpare(name) || vm.Pool != from || vm.State != planner.StateServing {
			continue
		}
		if best == "" || len(sim.workers[name].tasks) < len(sim.workers[best].tasks) {
			best = name
		}
	}
	return best, best != ""
}

func (sim *simulation) isSpare(name string) bool { return name[:len(spare)] == spare }

// demand returns the slots that the running requests of a service use and its queued urgent
// and interactive requests need.
func (sim *simulation) demand(service int) int {
	n := 0
	for _, t := range teams() {
		running, queued := sim.load(service, t.name)
		n += running + queued
	}
	return n
}

// load returns the running slots of a team and its queued urgent and interactive requests.
func (sim *simulation) load(service int, team string) (running, queued int) {
	for _, d := range sim.daemons {
		running += d.pools[service].scheduler.Running(team).Slots
		queued += d.pools[service].scheduler.Queued(team, configurer.ClassUrgent)
		queued += d.pools[service].scheduler.Queued(team, configurer.ClassInteractive)
	}
	return running, queued
}

// updateTargets sets the daemons' targets to the VMs that the fleet document gives each pool.
func (sim *simulation) updateTargets() {
	for i, s := range services() {
		var targets []string
		for _, name := range sim.names {
			if sim.fleet.VMs[name].Pool == s.name {
				targets = append(targets, name)
			}
		}
		for _, d := range sim.daemons {
			sim.setTargets(d.pools[i], targets)
		}
	}
}

func (sim *simulation) setTargets(p *pool, targets []string) {
	if !slices.Equal(p.targets, targets) {
		for _, name := range p.targets {
			if !slices.Contains(targets, name) {
				p.placer.Remove(name)
			}
		}
		for _, name := range targets {
			if slices.Contains(p.targets, name) {
				continue
			}
			vm := sim.fleet.VMs[name]
			p.placer.Put(placer.Target{
				ID:               name,
				Rack:             vm.Rack,
				AvailabilityZone: vm.AvailabilityZone,
				Total:            workerCapacity(),
			})
		}
		p.targets = targets
		p.ejector.SetTargets(sim.clock(), targets)
	}
	sim.refreshUsable(p, "")
	capacity, _ := p.placer.Capacity()
	p.scheduler.SetCapacity(capacity, workerCapacity().Resources)
}

// peerHold returns the target of a service that another daemon holds, empty if none does.
func (sim *simulation) peerHold(service int, p *pool) string {
	for _, d := range sim.daemons {
		if peer := d.pools[service]; peer != p && peer.reportedHold != "" {
			return peer.reportedHold
		}
	}
	return ""
}

func (sim *simulation) refreshUsable(p *pool, held string) {
	for _, name := range p.targets {
		serving := sim.fleet.VMs[name].State == planner.StateServing
		p.placer.SetUsable(name, serving && name != held && !p.ejector.Ejected(sim.clock(), name))
	}
}

// sample adds one value to each measure that is a mean over time.
func (sim *simulation) sample() {
	useful := 0.0
	for i, s := range services() {
		own, borrowed := 0, 0
		for _, name := range slices.Sorted(maps.Keys(sim.fleet.VMs)) {
			if vm := sim.fleet.VMs[name]; vm.Pool == s.name && vm.State == planner.StateServing {
				if sim.isSpare(name) {
					borrowed++
				} else {
					own++
				}
			}
		}
		running := 0
		demands := make([]float64, len(teams()))
		used := make([]float64, len(teams()))
		contended := 0
		for j, t := range teams() {
			r, q := sim.load(i, t.name)
			running += r
			used[j] = float64(r)
			demands[j] = float64(r + q)
			if q > 0 {
				contended++
			}
		}
		useful += min(float64(borrowed), max(0, float64(running)/workerSlots-float64(own)))
		capacity := float64((own + borrowed) * workerSlots)
		if contended > 1 && capacity > 0 && float64(running) > 0.9*capacity {
			sim.shareError.add(shareError(used, demands))
		}
	}
	sim.bufferVMs.add(spareWorkers - useful)
}

// shareError returns the fraction of the running slots that would have to change
// their team to give each team its weighted fair share.
func shareError(used, demands []float64) float64 {
	total, distance := 0.0, 0.0
	for _, u := range used {
		total += u
	}
	for i, fair := range fairShares(total, demands) {
		distance += max(0, fair-used[i])
	}
	return distance / total
}

// fairShares divides the total in proportion to the weights of the teams. No team gets more
// than its demand; what remains is divided among the others.
func fairShares(total float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	for range demands {
		weights := 0.0
		for i, t := range teams() {
			if shares[i] < demands[i] {
				weights += float64(t.weight)
			}
		}
		left := total
		for _, s := range shares {
			left -= s
		}
		if weights == 0 || left <= 1e-9 {
			break
		}
		for i, t := range teams() {
			if shares[i] < demands[i] {
				shares[i] = min(demands[i], shares[i]+left*float64(t.weight)/weights)
			}
		}
	}
	return shares
}
