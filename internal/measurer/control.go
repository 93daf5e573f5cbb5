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

// tick does what happens at fixed intervals.
func (w *world) tick() {
	w.ticks++
	w.exchangeReports()
	if w.ticks%usageTicks == 0 {
		w.reportUsage()
		w.maintain()
		w.rebalance()
		w.updateViews()
	}
	for _, d := range w.daemons {
		for i, p := range d.pools {
			held := w.peerHold(i, p)
			w.refreshUsable(p, held)
			p.sched.Expire(w.clock(), func(scheduler.Request[*task]) { w.result.Expired++ })
			w.hold(p, held != "")
			w.dispatch(p)
		}
	}
	w.sample()
	w.queue.add(w.now+tick, w.tick)
}

// exchangeReports gives each daemon the usage that the others reported one tick ago.
func (w *world) exchangeReports() {
	for i := range services() {
		for _, d := range w.daemons {
			for _, t := range teams() {
				var sum runner.Resources
				for _, peer := range w.daemons {
					if peer != d {
						sum = sum.Plus(peer.pools[i].reported[t.name])
					}
				}
				d.pools[i].sched.SetPeerUsage(t.name, sum)
			}
		}
		for _, d := range w.daemons {
			d.pools[i].reportedHold = d.pools[i].heldTarget
			for _, t := range teams() {
				d.pools[i].reported[t.name] = d.pools[i].sched.Running(t.name)
			}
		}
	}
}

// reportUsage hands out what each worker measured one interval ago, as its reports lag.
func (w *world) reportUsage() {
	for _, name := range w.names {
		wk := w.workers[name]
		for _, d := range w.daemons {
			for _, p := range d.pools {
				if wk.live {
					p.place.Report(name, wk.reported)
				}
			}
		}
		wk.reported = wk.used
	}
}

// maintain performs what the planner decides and answers its reboot requests.
func (w *world) maintain() {
	var list []planner.VMStatus
	for _, name := range w.names {
		wk := w.workers[name]
		list = append(list, planner.VMStatus{
			ID:        name,
			Live:      wk.live,
			Operation: wk.reboot,
		})
	}
	w.past = append(w.past, list)
	if lag := int(listLag / (tick * usageTicks)); len(w.past) > lag {
		w.listed = w.past[len(w.past)-1-lag]
		w.past = w.past[len(w.past)-lag:]
	}
	waves := map[string]configurer.Wave{}
	if w.now >= waveAt {
		waves[waveName] = configurer.Wave{
			Pool:         services()[0].name,
			State:        configurer.WaveRunning,
			FailureLimit: 4,
		}
	}
	w.fleet = planner.Plan(w.fleet, w.clock(), planner.Input{
		Pools: w.pools,
		Waves: waves,
		VMs:   w.listed,
		Idle:  func(name string) bool { return len(w.workers[name].tasks) == 0 },
	})
	for _, name := range w.names {
		if vm := w.fleet.VMs[name]; vm.Operation != "" {
			w.reboot(w.workers[name], vm.Operation)
		}
	}
}

func (w *world) reboot(wk *worker, operation string) {
	if wk.asked == operation {
		return
	}
	wk.asked = operation
	wk.live = false
	w.loseTasks(wk)
	w.queue.add(w.now+rebootTime, func() {
		wk.live = true
		wk.reboot = operation
	})
}

// rebalance performs the moves that the policy decides and the planner admits.
func (w *world) rebalance() {
	in := rebalancer.Fleet{}
	for _, vm := range w.fleet.VMs {
		if vm.Pool == spare && vm.State == planner.StateServing {
			in.Spare++
		}
	}
	for i, s := range services() {
		p := rebalancer.Pool{
			Name:    s.name,
			MinVMs:  w.pools[s.name].MinVMs,
			VMSlots: workerSlots,
			Demand:  float64(w.demand(i)),
		}
		for name, vm := range w.fleet.VMs {
			if vm.Pool == s.name && vm.State == planner.StateServing {
				p.VMs++
				if w.isSpare(name) {
					p.Borrowed++
				}
			}
		}
		in.Pools = append(in.Pools, p)
	}
	for _, m := range w.moves.Decide(w.clock(), in) {
		from, to := spare, m.Pool
		if m.Return {
			from, to = m.Pool, spare
		}
		name, ok := w.movable(from)
		if !ok {
			continue
		}
		if next, err := planner.Move(w.fleet, w.clock(), name, from, to, w.pools); err == nil {
			w.fleet = next
			w.result.Moves++
		}
	}
}

// movable returns the VM of a pool with the fewest tasks that belongs to the spare pool.
func (w *world) movable(from string) (string, bool) {
	best := ""
	for _, name := range w.names {
		vm := w.fleet.VMs[name]
		if !w.isSpare(name) || vm.Pool != from || vm.State != planner.StateServing {
			continue
		}
		if best == "" || len(w.workers[name].tasks) < len(w.workers[best].tasks) {
			best = name
		}
	}
	return best, best != ""
}

func (w *world) isSpare(name string) bool { return name[:len(spare)] == spare }

// demand returns the slots that the running requests of a service and the queued ones
// that cannot wait would use.
func (w *world) demand(service int) int {
	n := 0
	for _, t := range teams() {
		running, queued := w.load(service, t.name)
		n += running + queued
	}
	return n
}

func (w *world) load(service int, team string) (running, queued int) {
	for _, d := range w.daemons {
		running += d.pools[service].sched.Running(team).Slots
		queued += d.pools[service].sched.Queued(team, configurer.ClassUrgent)
		queued += d.pools[service].sched.Queued(team, configurer.ClassInteractive)
	}
	return running, queued
}

// updateViews brings the daemons' targets in line with the fleet document.
func (w *world) updateViews() {
	for i, s := range services() {
		var targets []string
		for _, name := range w.names {
			if w.fleet.VMs[name].Pool == s.name {
				targets = append(targets, name)
			}
		}
		for _, d := range w.daemons {
			w.setTargets(d.pools[i], targets)
		}
	}
}

func (w *world) setTargets(p *pool, targets []string) {
	if !slices.Equal(p.targets, targets) {
		for _, name := range p.targets {
			if !slices.Contains(targets, name) {
				p.place.Remove(name)
			}
		}
		for _, name := range targets {
			if slices.Contains(p.targets, name) {
				continue
			}
			vm := w.fleet.VMs[name]
			p.place.Put(placer.Target{
				ID:               name,
				Rack:             vm.Rack,
				AvailabilityZone: vm.AvailabilityZone,
				Total:            whole(),
			})
		}
		p.targets = targets
		p.eject.SetTargets(w.clock(), targets)
	}
	w.refreshUsable(p, "")
	capacity, _ := p.place.Capacity()
	p.sched.SetCapacity(capacity, whole().Resources)
}

// peerHold returns the target of a service that another daemon holds free, empty if none does.
func (w *world) peerHold(service int, p *pool) string {
	for _, d := range w.daemons {
		if peer := d.pools[service]; peer != p && peer.reportedHold != "" {
			return peer.reportedHold
		}
	}
	return ""
}

func (w *world) refreshUsable(p *pool, held string) {
	for _, name := range p.targets {
		serving := w.fleet.VMs[name].State == planner.StateServing
		p.place.SetUsable(name, serving && name != held && !p.eject.Ejected(w.clock(), name))
	}
}

// sample takes the measures that are means over time.
func (w *world) sample() {
	useful := 0.0
	for i, s := range services() {
		own, borrowed := 0, 0
		for _, name := range slices.Sorted(maps.Keys(w.fleet.VMs)) {
			if vm := w.fleet.VMs[name]; vm.Pool == s.name && vm.State == planner.StateServing {
				if w.isSpare(name) {
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
			r, q := w.load(i, t.name)
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
			w.share.add(shareError(used, demands))
		}
	}
	w.buffer.add(spareWorkers - useful)
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

// fairShares divides the total by weight; what a team does not ask for goes to the others.
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
