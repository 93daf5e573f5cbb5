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
// Otherwise smaller requests of other teams would take each slot that becomes free. Only one
// entry daemon at a time holds a target of a pool, as far as their reports show; if two do,
// the one with the higher name releases its hold. The lock is held.
func (p *pool) hold(now time.Time) {
	r, ok := p.sched.Overdue(now)
	peerFirst := p.peerHold.Target != "" && p.peerHold.Entry < p.d.cfg.Entry
	if p.heldFor != nil && (!ok || r.Value != p.heldFor || peerFirst || !p.allowanceAvailable(p.heldFor)) {
		p.releaseHold()
	}
	if !ok || p.heldFor != nil || p.peerHold.Target != "" {
		return
	}
	w := r.Value
	if p.placer.Fits(&w.need) || !p.allowanceAvailable(w) {
		return
	}
	if target, ok := p.placer.Hold(&w.need); ok {
		p.heldFor = w
		p.heldTarget = target
		w.need.MayUseHeld = true
	}
}

func (p *pool) releaseHold() {
	p.heldFor.need.MayUseHeld = false
	p.heldFor = nil
	p.heldTarget = ""
	p.placer.ReleaseHold()
}

// allowanceAvailable tells whether the team's allowance admits the request now. A target held
// for a request that waits for allowance would only stay unused.
func (p *pool) allowanceAvailable(w *waiter) bool {
	if w.team == "" {
		return true
	}
	if p.d.cfg.Holder.Acquire(w.team, w.slots) != nil {
		return false
	}
	p.d.cfg.Holder.Release(w.team, w.slots)
	return true
}

// heldByPeer tells whether a peer holds the target free. If this entry daemon holds it too,
// the hold of the one with the lower name counts.
func (p *pool) heldByPeer(target string) bool {
	return p.peerHold.Target == target && (p.heldTarget != target || p.peerHold.Entry < p.d.cfg.Entry)
}

// SetPeerHolds sets the targets that peers hold free, by pool.
func (d *Dispatcher) SetPeerHolds(holds map[string]Hold) {
	for _, p := range d.allPools() {
		p.mu.Lock()
		p.peerHold = holds[p.name]
		p.mu.Unlock()
	}
}

// Demand returns the queued slots and the held target of this entry daemon, for every pool
// that it knows.
func (d *Dispatcher) Demand() map[string]PoolDemand {
	demand := map[string]PoolDemand{}
	for _, p := range d.allPools() {
		p.mu.Lock()
		demand[p.name] = PoolDemand{
			QueuedSlots: p.queuedSlots,
			HeldTarget:  p.heldTarget,
		}
		p.mu.Unlock()
	}
	return demand
}

// VMSlots returns for each pool the slots of the largest VM that has reported.
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

// RunningTasks returns the number of tasks on a VM: those that its worker reported for all
// entry daemons, or the attempts of this one if there are more.
func (d *Dispatcher) RunningTasks(vm string) int {
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
