package orchestrator

import (
	"sort"
	"time"
)

const (
	// evacuateAhead is how many VMs beyond those that may be down at once are
	// emptied in advance, so that the next one is ready when one returns.
	evacuateAhead = 1
	// waveWaitShare is the part of a wave's time after which running work is no longer
	// waited for.
	waveWaitShare = 0.7
)

// Wave is a request to maintain a number of VMs.
type Wave struct {
	Number   int
	VMs      []string
	Duration time.Duration // time within which all VMs should be maintained
	Most     int           // VMs that may be down at once
}

// WaveState is the recorded state of a wave.
type WaveState struct {
	Number   int      `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint,omitempty"`
	Done     []string `cbor:"3,keyasint,omitempty"`
}

// fleet tracks the VMs and the fleet.
type fleet struct {
	vms      map[string]VM
	listedAt time.Duration
	// pendingOrders are the VMs that were ordered to move or to be maintained, with the time from
	// which a list shows the outcome.
	pendingOrders map[string]time.Duration
	// destinations are the pools to which VMs were ordered, until a list shows them there.
	destinations map[string]string
	// awaitingMaintenance are the VMs that wait for their upkeep.
	awaitingMaintenance map[string]bool
	retryAt             map[string]time.Duration
	waves               map[int]*wave
}

type wave struct {
	Wave
	seenAt   time.Duration
	done     map[string]bool
	complete bool
	dirty    bool
}

// destination returns the pool that a VM belongs to, or was ordered to.
func (f *fleet) destination(vm *VM) string {
	if pool, ok := f.destinations[vm.ID]; ok {
		return pool
	}
	return vm.Pool
}

// movingTo returns the VMs that were ordered to move to a pool and are not there yet.
func (f *fleet) movingTo(pool string) []VM {
	var vms []VM
	for id, to := range f.destinations {
		if vm, listed := f.vms[id]; listed && to == pool {
			vms = append(vms, vm)
		}
	}
	return vms
}

// clearOrder forgets an order for a VM.
func (f *fleet) clearOrder(vm string) {
	delete(f.pendingOrders, vm)
	delete(f.destinations, vm)
}

func newFleet() *fleet {
	return &fleet{
		vms:                 map[string]VM{},
		pendingOrders:       map[string]time.Duration{},
		destinations:        map[string]string{},
		awaitingMaintenance: map[string]bool{},
		retryAt:             map[string]time.Duration{},
		waves:               map[int]*wave{},
	}
}

// AddWave adds a wave, or changes one; state is what was recorded of it.
func (e *Engine) AddWave(w Wave, state *WaveState, now time.Duration) {
	if known := e.fleet.waves[w.Number]; known != nil {
		known.Wave = w
		return
	}
	added := &wave{
		Wave:   w,
		seenAt: now,
		done:   map[string]bool{},
		dirty:  true,
	}
	if state != nil {
		added.complete = state.Complete
		added.dirty = false
		for _, vm := range state.Done {
			added.done[vm] = true
		}
	}
	e.fleet.waves[w.Number] = added
	e.cfg.Logger.Info("wave taken", "wave", w.Number, "vms", len(w.VMs), "done", len(added.done), "most", w.Most, "duration_ms", w.Duration.Milliseconds())
}

// RemoveWave forgets a wave that the operators withdrew.
func (e *Engine) RemoveWave(number int) {
	delete(e.fleet.waves, number)
}

// TakeWaves returns the waves whose state has to be recorded.
func (e *Engine) TakeWaves() []WaveState {
	var states []WaveState
	for _, w := range e.fleet.waves {
		if !w.dirty {
			continue
		}
		w.dirty = false
		state := WaveState{
			Number:   w.Number,
			Complete: w.complete,
		}
		for vm := range w.done {
			state.Done = append(state.Done, vm)
		}
		sort.Strings(state.Done)
		states = append(states, state)
	}
	return states
}

// RetryWave makes a wave whose state could not be written due again.
func (e *Engine) RetryWave(number int) {
	if w := e.fleet.waves[number]; w != nil {
		w.dirty = true
	}
}

func (f *fleet) recordMaintained(number int, vm string) {
	if active := f.waves[number]; active != nil && !active.done[vm] {
		active.done[vm] = true
		active.dirty = true
	}
}

// maintain moves the waves on.
func (e *Engine) maintain(now time.Duration) {
	if now < e.cfg.AcquiredAt+e.cfg.DutyDelay || e.fleet.listedAt == 0 {
		return
	}
	for _, p := range e.pools {
		p.displaced = p.displaced[:0]
	}
	clear(e.fleet.awaitingMaintenance)
	preparing := map[string]bool{}
	for _, w := range e.fleet.waves {
		if !w.complete {
			e.advance(w, preparing, now)
		}
	}
	for _, t := range e.targets {
		if t.evacuating && !preparing[t.VM] && !t.removing {
			t.evacuating = false
		}
	}
}

// advance empties the next VMs of a wave and orders their upkeep.
func (e *Engine) advance(w *wave, preparing map[string]bool, now time.Duration) {
	var left []string
	down := 0
	for _, vm := range w.VMs {
		state, listed := e.fleet.vms[vm]
		_, busy := e.fleet.pendingOrders[vm]
		_, moves := e.fleet.destinations[vm]
		switch {
		case listed && (state.State == VMUpkeep || busy && !moves && state.State != VMMoving):
			down++
		case w.done[vm]:
		case !listed:
			// The VM has left the fleet.
			if e.fleet.listedAt > w.seenAt {
				w.done[vm] = true
				w.dirty = true
			}
		case state.State == VMUp && !busy:
			left = append(left, vm)
			e.fleet.awaitingMaintenance[vm] = true
		}
	}
	e.finishWave(w, now)
	e.sortByEffort(left)
	slots := w.Most - down
	overdue := now > w.seenAt+time.Duration(waveWaitShare*float64(w.Duration))
	for _, vm := range left {
		if slots+evacuateAhead <= 0 {
			return
		}
		if now < e.fleet.retryAt[vm] {
			continue
		}
		e.prepareMaintenance(w, vm, preparing, slots > 0, overdue, now)
		slots--
	}
}

// prepareMaintenance empties a VM; if that is done and may says so, it orders the upkeep.
func (e *Engine) prepareMaintenance(w *wave, vm string, preparing map[string]bool, canOrder, overdue bool, now time.Duration) {
	preparing[vm] = true
	t := e.targetOn(vm)
	if t != nil && !e.evacuate(t, now, "upkeep") {
		if overdue && canOrder {
			e.stopRemaining(t, now)
		}
		return
	}
	if t == nil && e.fleet.vms[vm].Target != "" && !e.spare(e.fleet.vms[vm].Pool) {
		return
	}
	if canOrder {
		e.vmOrder(Order{
			Kind: KindUpkeep,
			VM:   vm,
			Wave: w.Number,
		}, now)
	}
}

// stopRemaining stops the tasks on a target that would otherwise delay a wave, as far
// as budgets allow.
func (e *Engine) stopRemaining(t *target, now time.Duration) {
	for _, a := range t.sortedAttempts() {
		if a.phase != phaseStopping && !a.task.step.step.Lasting {
			e.stop(a, now, "upkeep overdue")
		}
	}
}

// finishWave completes a wave when no VM that stays is left to maintain.
func (e *Engine) finishWave(w *wave, now time.Duration) {
	for _, vm := range w.VMs {
		if !w.done[vm] {
			return
		}
	}
	w.complete = true
	w.dirty = true
	e.cfg.Logger.Info("wave complete", "wave", w.Number, "vms", len(w.VMs), "took_ms", (now - w.seenAt).Milliseconds())
}

// sortByEffort puts VMs first that are empty or soon will be: those that are being
// emptied, then by what runs on them.
func (e *Engine) sortByEffort(vms []string) {
	effort := map[string]int{}
	for _, vm := range vms {
		t := e.targetOn(vm)
		if t == nil {
			continue
		}
		effort[vm] = len(t.attempts)
		if t.evacuating {
			effort[vm] -= 1000
		}
	}
	sort.SliceStable(vms, func(i, j int) bool { return effort[vms[i]] < effort[vms[j]] })
}

func (e *Engine) spare(pool string) bool { return e.conf.Pools[pool].Spare }
