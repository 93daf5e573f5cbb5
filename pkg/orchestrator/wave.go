package orchestrator

import (
	"sort"
	"time"
)

const (
	// evacuateAhead is how many VMs beyond those that may be down at once are
	// emptied in advance, so that the next one is ready when one returns.
	evacuateAhead = 1
	// waveSafety is the part of a wave's time after which running work is no longer
	// waited for.
	waveSafety = 0.7
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

// waves tracks the VMs and the waves.
type waves struct {
	vms      map[string]VM
	listedAt time.Duration
	// busy are the VMs that were ordered to move or to be maintained, with the time from
	// which a list shows the outcome.
	busy map[string]time.Duration
	// bound are the pools to which VMs were ordered, until a list shows them there.
	bound map[string]string
	// due are the VMs that wait for their upkeep.
	due     map[string]bool
	retryAt map[string]time.Duration
	active  map[int]*wave
}

type wave struct {
	Wave
	seenAt   time.Duration
	done     map[string]bool
	complete bool
	dirty    bool
}

// destination returns the pool that a VM belongs to, or was ordered to.
func (w *waves) destination(vm *VM) string {
	if pool, ok := w.bound[vm.ID]; ok {
		return pool
	}
	return vm.Pool
}

// boundFor returns the VMs that were ordered to move to a pool and are not there yet.
func (w *waves) boundFor(pool string) []VM {
	var vms []VM
	for id, to := range w.bound {
		if vm, listed := w.vms[id]; listed && to == pool {
			vms = append(vms, vm)
		}
	}
	return vms
}

// settled forgets an order for a VM.
func (w *waves) settled(vm string) {
	delete(w.busy, vm)
	delete(w.bound, vm)
}

func newWaves() *waves {
	return &waves{
		vms:     map[string]VM{},
		busy:    map[string]time.Duration{},
		bound:   map[string]string{},
		due:     map[string]bool{},
		retryAt: map[string]time.Duration{},
		active:  map[int]*wave{},
	}
}

// AddWave adds a wave, or changes one; state is what was recorded of it.
func (e *Engine) AddWave(w Wave, state *WaveState, now time.Duration) {
	if known := e.wave.active[w.Number]; known != nil {
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
	e.wave.active[w.Number] = added
	e.cfg.Logger.Info("wave taken", "wave", w.Number, "vms", len(w.VMs), "done", len(added.done), "most", w.Most, "duration_ms", w.Duration.Milliseconds())
}

// RemoveWave forgets a wave that the operators withdrew.
func (e *Engine) RemoveWave(number int) {
	delete(e.wave.active, number)
}

// TakeWaves returns the waves whose state has to be recorded.
func (e *Engine) TakeWaves() []WaveState {
	var states []WaveState
	for _, w := range e.wave.active {
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
	if w := e.wave.active[number]; w != nil {
		w.dirty = true
	}
}

func (w *waves) done(number int, vm string) {
	if active := w.active[number]; active != nil && !active.done[vm] {
		active.done[vm] = true
		active.dirty = true
	}
}

// maintain moves the waves on.
func (e *Engine) maintain(now time.Duration) {
	if now < e.cfg.AcquiredAt+e.cfg.DutyDelay || e.wave.listedAt == 0 {
		return
	}
	for _, p := range e.pools {
		p.homeless = p.homeless[:0]
	}
	clear(e.wave.due)
	marked := map[string]bool{}
	for _, w := range e.wave.active {
		if !w.complete {
			e.advance(w, marked, now)
		}
	}
	for _, t := range e.targets {
		if t.evacuating && !marked[t.VM] && !t.removing {
			t.evacuating = false
		}
	}
}

// advance empties the next VMs of a wave and orders their upkeep.
func (e *Engine) advance(w *wave, marked map[string]bool, now time.Duration) {
	var left []string
	down := 0
	for _, vm := range w.VMs {
		state, listed := e.wave.vms[vm]
		_, busy := e.wave.busy[vm]
		_, moves := e.wave.bound[vm]
		switch {
		case listed && (state.State == VMUpkeep || busy && !moves && state.State != VMMoving):
			down++
		case w.done[vm]:
		case !listed:
			// The VM has left the fleet.
			if e.wave.listedAt > w.seenAt {
				w.done[vm] = true
				w.dirty = true
			}
		case state.State == VMUp && !busy:
			left = append(left, vm)
			e.wave.due[vm] = true
		}
	}
	e.finishWave(w, now)
	e.sortByEffort(left)
	places := w.Most - down
	overdue := now > w.seenAt+time.Duration(waveSafety*float64(w.Duration))
	for _, vm := range left {
		if places+evacuateAhead <= 0 {
			return
		}
		if now < e.wave.retryAt[vm] {
			continue
		}
		e.prepareUpkeep(w, vm, marked, places > 0, overdue, now)
		places--
	}
}

// prepareUpkeep empties a VM; if that is done and may says so, it orders the upkeep.
func (e *Engine) prepareUpkeep(w *wave, vm string, marked map[string]bool, may, overdue bool, now time.Duration) {
	marked[vm] = true
	t := e.targetOn(vm)
	if t != nil && !e.evacuate(t, now, "upkeep") {
		if overdue && may {
			e.stopRest(t, now)
		}
		return
	}
	if t == nil && e.wave.vms[vm].Target != "" && !e.spare(e.wave.vms[vm].Pool) {
		return
	}
	if may {
		e.vmOrder(Order{
			Kind: KindUpkeep,
			VM:   vm,
			Wave: w.Number,
		}, now)
	}
}

// stopRest stops the tasks on a target that would otherwise delay a wave, as far
// as budgets allow.
func (e *Engine) stopRest(t *target, now time.Duration) {
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
