package orchestrator

import (
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// evacuateAhead is the number of VMs that are emptied in advance, beyond those that may
	// be down at once, so that the next one is ready when one returns.
	evacuateAhead = 1
	// waveWaitShare is the fraction of a wave's duration during which maintenance waits for
	// running tasks to end; after that they are stopped.
	waveWaitShare = 0.7
)

// Wave is a request to take a set of VMs through maintenance.
type Wave struct {
	Number         int
	VMs            []string
	Duration       time.Duration // time within which the wave should be complete
	MaxUnavailable int           // maximum number of VMs that may be down at once
}

// WaveState is the stored state of a wave. Done names the VMs that need no more maintenance.
type WaveState struct {
	Number   int      `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint,omitempty"`
	Done     []string `cbor:"3,keyasint,omitempty"`
}

// fleet is the state of the VMs, the orders for them and the maintenance waves.
type fleet struct {
	vms      map[string]VM
	listedAt time.Duration
	// pendingOrders holds the VMs with an order whose outcome no list has shown yet, with the
	// time from which a list shows it.
	pendingOrders map[string]time.Duration
	// destinations are the pools to which VMs were ordered to move, until a list shows the
	// outcome.
	destinations map[string]string
	// awaitingMaintenance holds the VMs of active waves that are up and not maintained yet.
	awaitingMaintenance map[string]bool
	retryAt             map[string]time.Duration
	waves               map[int]*wave
	// evacuated holds the evacuated availability zones, with the time since which they are known.
	evacuated map[string]time.Duration
}

type wave struct {
	Wave
	seenAt   time.Duration
	done     map[string]bool
	missing  map[string]time.Duration // VMs that are not listed, and the first list without them
	complete bool
	dirty    bool
}

// destination returns the pool to which a VM was ordered to move, or else its present pool.
func (f *fleet) destination(vm *VM) string {
	if pool, ok := f.destinations[vm.ID]; ok {
		return pool
	}
	return vm.Pool
}

// movingTo returns the VMs with a pending order to move to a pool where they can get work.
func (f *fleet) movingTo(pool string) []VM {
	var vms []VM
	for id, to := range f.destinations {
		if vm, listed := f.vms[id]; listed && to == pool && !f.isEvacuated(vm.Zone) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// clearOrder removes the pending order for a VM.
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
		evacuated:           map[string]time.Duration{},
	}
}

// AddWave adds a wave, or updates its request if it is known. state is its stored state,
// nil if there is none.
func (e *Engine) AddWave(w Wave, state *WaveState, now time.Duration) {
	if known := e.fleet.waves[w.Number]; known != nil {
		known.Wave = w
		if known.complete && !known.allDone() {
			known.complete, known.dirty = false, true
		}
		return
	}
	added := &wave{
		Wave:    w,
		seenAt:  now,
		done:    map[string]bool{},
		missing: map[string]time.Duration{},
		dirty:   true,
	}
	if state != nil {
		added.complete = state.Complete
		added.dirty = false
		for _, vm := range state.Done {
			added.done[vm] = true
		}
	}
	e.fleet.waves[w.Number] = added
	e.cfg.Logger.Info("maintenance wave added", "wave", w.Number, "vms", len(w.VMs), "done", len(added.done), "most", w.MaxUnavailable, "duration_ms", w.Duration.Milliseconds())
}

// RemoveWave removes a wave that the operators withdrew.
func (e *Engine) RemoveWave(number int) {
	delete(e.fleet.waves, number)
}

// TakeWaves returns the states of waves that have to be written to the store.
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

// RetryWave reports that the state of a wave could not be written, so that the next
// TakeWaves returns it again.
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

// maintain continues all active waves.
func (e *Engine) maintain(now time.Duration) {
	for _, p := range e.pools {
		p.displaced = p.displaced[:0]
	}
	if now < e.cfg.AcquiredAt+e.cfg.VMOrderDelay || e.fleet.listedAt == 0 {
		return
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

// advance empties the next VMs of a wave and orders their maintenance.
func (e *Engine) advance(w *wave, preparing map[string]bool, now time.Duration) {
	var remaining []string
	down := 0
	for _, vm := range w.VMs {
		state, listed := e.fleet.vms[vm]
		_, ordered := e.fleet.pendingOrders[vm]
		_, moves := e.fleet.destinations[vm]
		switch {
		case listed && (state.State == VMMaintenance || ordered && !moves && state.State != VMMoving):
			down++
		case w.done[vm]:
		case !listed:
			e.noteMissing(w, vm)
		case state.State == VMUp && !ordered:
			remaining = append(remaining, vm)
			e.fleet.awaitingMaintenance[vm] = true
		}
	}
	maps.DeleteFunc(w.missing, func(vm string, _ time.Duration) bool {
		_, listed := e.fleet.vms[vm]
		return listed
	})
	e.finishWave(w, now)
	order := e.newWaveOrder(w, remaining, now)
	order.sort(remaining)
	slots := w.MaxUnavailable - down
	overdue := now > w.seenAt+time.Duration(waveWaitShare*float64(w.Duration))
	for _, vm := range remaining {
		if slots+evacuateAhead <= 0 {
			return
		}
		if now < e.fleet.retryAt[vm] || !order.prepare(vm) {
			continue
		}
		e.prepareMaintenance(w, vm, preparing, slots > 0, overdue, now)
		slots--
	}
}

// leftFleetAfter is how long a VM has to be missing from the lists of VMs until it counts as gone.
// The pages of a list are read one after the other, so that a single list may lack a VM.
const leftFleetAfter = 3 * time.Second

// noteMissing notes that the latest list lacks a VM of a wave. If all have for leftFleetAfter, the
// VM has left the fleet and needs no maintenance.
func (e *Engine) noteMissing(w *wave, vm string) {
	if e.fleet.listedAt <= w.seenAt {
		return
	}
	since, known := w.missing[vm]
	if !known {
		w.missing[vm] = e.fleet.listedAt
		return
	}
	if e.fleet.listedAt-since < leftFleetAfter {
		return
	}
	w.done[vm] = true
	w.dirty = true
	e.cfg.Logger.Info("VM of a wave has left the fleet", "wave", w.Number, "vm", vm, "missing_ms", (e.fleet.listedAt - since).Milliseconds())
}

// prepareMaintenance empties a VM and, once it is empty and canOrder is set, orders its
// maintenance. If the wave is overdue it stops the remaining tasks.
func (e *Engine) prepareMaintenance(w *wave, vm string, preparing map[string]bool, canOrder, overdue bool, now time.Duration) {
	preparing[vm] = true
	t := e.targetOn(vm)
	if t != nil && !e.evacuate(t, now, "upkeep", canOrder) {
		if overdue && canOrder {
			e.stopRemaining(t, now)
		}
		if now-t.evacuatingSince > evacuationLimit && e.awaitsRoom(t, now) {
			e.cfg.Logger.Info("VM not emptied for its maintenance, target opened again", "vm", vm, "wave", w.Number, "target", t.ID, "running", len(t.attempts))
			e.fleet.retryAt[vm] = now + evacuationPause
			delete(preparing, vm)
		}
		return
	}
	if t == nil && e.fleet.vms[vm].Target != "" && !e.spare(e.fleet.vms[vm].Pool) {
		return
	}
	if canOrder {
		e.vmOrder(Order{
			Kind: KindMaintenance,
			VM:   vm,
			Wave: w.Number,
		}, now)
	}
}

// stopRemaining stops the tasks on a target that delay a wave, except long-running ones,
// which evacuate stops as their disruption budgets allow.
func (e *Engine) stopRemaining(t *target, now time.Duration) {
	for _, a := range t.sortedAttempts() {
		if a.phase != phaseStopping && !a.task.step.step.LongRunning {
			e.stop(a, now, "maintenance wave overdue")
		}
	}
}

// allDone reports whether all VMs of the wave are maintained or have left the fleet.
func (w *wave) allDone() bool {
	return !slices.ContainsFunc(w.VMs, func(vm string) bool { return !w.done[vm] })
}

// finishWave completes a wave when all its VMs are maintained or have left the fleet.
func (e *Engine) finishWave(w *wave, now time.Duration) {
	if !w.allDone() {
		return
	}
	w.complete = true
	w.dirty = true
	e.cfg.Logger.Info("wave complete", "wave", w.Number, "vms", len(w.VMs), "took_ms", (now - w.seenAt).Milliseconds())
}

func (e *Engine) spare(pool string) bool { return e.conf.Pools[pool].Spare }

// WaveProgress reports whether a wave is complete, and whether none of its VMs is down for it
// any more either.
func (e *Engine) WaveProgress(number int) (complete, settled bool) {
	w := e.fleet.waves[number]
	if w == nil || !w.complete {
		return false, false
	}
	for _, vm := range w.VMs {
		_, ordered := e.fleet.pendingOrders[vm]
		_, moves := e.fleet.destinations[vm]
		if state, listed := e.fleet.vms[vm]; listed && (state.State == VMMaintenance || ordered && !moves) {
			return true, false
		}
	}
	return true, true
}
