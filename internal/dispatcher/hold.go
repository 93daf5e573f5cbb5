package dispatcher

import (
	"time"
)

// Hold is a target that an entry daemon keeps free for a large request.
type Hold struct {
	Entry  string
	Target string
}

// PoolDemand is what an entry daemon tells its peers about one pool.
type PoolDemand struct {
	QueuedSlots int    // of urgent and interactive requests
	HeldTarget  string // empty if it holds none
}

// hold keeps a target free for the most overdue request when no target has room for it.
// Without it the smaller requests of other teams take each slot that becomes free. One entry
// daemon at a time holds a target of a pool, as far as the reports tell; of two, the
// one with the lower name goes on. The lock is held.
func (p *pool) hold(now time.Time) {
	r, ok := p.sched.Overdue(now)
	yields := p.peerHold.Target != "" && p.peerHold.Entry < p.d.cfg.Entry
	if p.held != nil && (!ok || r.Value != p.held || yields || !p.affordable(p.held)) {
		p.unhold()
	}
	if !ok || p.held != nil || p.peerHold.Target != "" {
		return
	}
	w := r.Value
	if p.placer.Fits(&w.need) || !p.affordable(w) {
		return
	}
	if target, ok := p.placer.Hold(&w.need); ok {
		p.held = w
		p.target = target
		w.need.Held = true
	}
}

func (p *pool) unhold() {
	p.held.need.Held = false
	p.held = nil
	p.target = ""
	p.placer.Unhold()
}

// affordable tells whether the team's allowance admits the request now. For a request
// that waits for allowance, a target would be kept free in vain.
func (p *pool) affordable(w *waiter) bool {
	if w.team == "" {
		return true
	}
	if p.d.cfg.Holder.Acquire(w.team, w.slots) != nil {
		return false
	}
	p.d.cfg.Holder.Release(w.team, w.slots)
	return true
}

// leaves tells whether a target is left to a peer that holds it free.
func (p *pool) leaves(target string) bool {
	return p.peerHold.Target == target && (p.target != target || p.peerHold.Entry < p.d.cfg.Entry)
}

// SetPeerHolds states the targets that peers hold free, by pool.
func (d *Dispatcher) SetPeerHolds(holds map[string]Hold) {
	for _, p := range d.allPools() {
		p.mu.Lock()
		p.peerHold = holds[p.name]
		p.mu.Unlock()
	}
}

// Demand returns what this entry daemon queues and holds, for every pool that it knows.
func (d *Dispatcher) Demand() map[string]PoolDemand {
	demand := map[string]PoolDemand{}
	for _, p := range d.allPools() {
		p.mu.Lock()
		demand[p.name] = PoolDemand{
			QueuedSlots: p.pressing,
			HeldTarget:  p.target,
		}
		p.mu.Unlock()
	}
	return demand
}

// VMSlots returns the slots of the largest VM of each pool that has reported.
func (d *Dispatcher) VMSlots() map[string]int {
	slots := map[string]int{}
	for _, p := range d.allPools() {
		p.mu.Lock()
		for _, m := range p.members {
			slots[p.name] = max(slots[p.name], m.total.Slots)
		}
		p.mu.Unlock()
	}
	return slots
}

// Tasks returns the tasks that a VM reported as running, for all entry daemons.
func (d *Dispatcher) Tasks(vm string) int {
	t, err := d.registry.find(vm)
	if err != nil {
		return 0
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if m := t.pool.members[vm]; m != nil {
		return max(m.tasks, m.grants)
	}
	return 0
}

// Ready tells whether a VM could take work now.
func (d *Dispatcher) Ready(vm string) bool {
	t, err := d.registry.find(vm)
	return err == nil && t.usable()
}
