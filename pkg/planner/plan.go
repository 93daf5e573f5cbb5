package planner

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// The default values of Limits.
const (
	DefaultMinDrain      = 4 * time.Second // time in which every entry daemon stops sending new work
	DefaultDrainTimeout  = 2 * time.Minute
	DefaultReturnTimeout = 5 * time.Minute
)

// Limits are the time limits of maintenance. Zero values select the defaults.
type Limits struct {
	MinDrain      time.Duration // shortest drain, also for an idle VM
	DrainTimeout  time.Duration // longest drain; a VM that is still busy is then rebooted
	ReturnTimeout time.Duration // a VM that is rebooting or returning for longer has failed
}

// VMStatus is the platform's status of a VM. It may lag behind the actual state.
type VMStatus struct {
	ID        string
	Live      bool
	Operation string // the last reboot operation completed on the VM, if any
}

// Input is the input of Plan besides the document and the time.
type Input struct {
	Pools  Pools
	Waves  map[string]configurer.Wave // states set by operators
	VMs    []VMStatus                 // as listed by the platform
	Idle   func(vm string) bool       // whether a draining VM runs no work; nil if not known
	Limits Limits
}

// Plan returns the document after all transitions that are due at this time: those that
// follow from the platform's list, from the operators' wave settings and from the progress
// of the waves.
func Plan(f Fleet, now time.Time, in Input) Fleet {
	in.Limits.MinDrain = cmp.Or(in.Limits.MinDrain, DefaultMinDrain)
	in.Limits.DrainTimeout = cmp.Or(in.Limits.DrainTimeout, DefaultDrainTimeout)
	in.Limits.ReturnTimeout = cmp.Or(in.Limits.ReturnTimeout, DefaultReturnTimeout)
	f = f.clone()
	f.mutableMaps = true
	f = applyStatuses(f, now, in)
	f = applyWaveSettings(f, now, in)
	for _, wave := range slices.Sorted(maps.Keys(f.Waves)) {
		f = updateWaveState(f, now, wave, in.Pools)
	}
	f = undrainOverBudget(f, now, in.Pools)
	f = rebootDrained(f, now, in)
	for _, wave := range slices.Sorted(maps.Keys(f.Waves)) {
		f = drainNext(f, now, wave, in.Pools)
	}
	f.mutableMaps = false
	return f
}

// applyStatuses applies the platform's list. Transitions that the state of a VM does not
// allow are skipped, because the list may be older than the document.
func applyStatuses(f Fleet, now time.Time, in Input) Fleet {
	listed := make(map[string]VMStatus, len(in.VMs))
	for _, s := range in.VMs {
		listed[s.ID] = s
	}
	for _, id := range f.sortedVMs() {
		s, known := listed[id]
		if vm := f.VMs[id]; vm.Operation != "" && vm.Operation == s.Operation {
			f, _ = ConfirmReboot(f, now, id, s.Operation)
		}
		vm := f.VMs[id]
		age := time.Duration(unixMillis(now)-vm.SinceMS) * time.Millisecond
		switch vm.State {
		case StateServing, StateDraining:
			// A VM that is new to the document may be missing from the lagging list.
			if known && !s.Live || !known && age >= in.Limits.ReturnTimeout {
				f, _ = Fail(f, now, id)
			}
		case StateRebooting:
			if age >= in.Limits.ReturnTimeout {
				f, _ = Fail(f, now, id)
			}
		case StateReturning:
			if s.Live {
				f, _ = ReturnToService(f, now, id)
			} else if age >= in.Limits.ReturnTimeout {
				f, _ = Fail(f, now, id)
			}
		case StateFailed:
			if s.Live && vm.Operation == "" {
				f, _ = ReturnToService(f, now, id)
			}
		}
	}
	return f
}

// applyWaveSettings starts, pauses, resumes and aborts waves as set by operators. A wave
// that has ended is not changed.
func applyWaveSettings(f Fleet, now time.Time, in Input) Fleet {
	for _, name := range slices.Sorted(maps.Keys(in.Waves)) {
		want := in.Waves[name]
		w, ok := f.Waves[name]
		switch {
		case !ok && want.State == configurer.WaveRunning:
			if p, known := in.Pools[want.Pool]; known && p.Region == f.Region {
				f, _ = StartWave(f, now, name, want, in.Pools)
			}
		case !ok || w.final():
		case want.State == configurer.WaveAborted:
			f, _ = EndWave(f, now, name, WaveAborted)
		case want.State == configurer.WavePaused && w.Reason != ReasonOperator:
			f, _ = PauseWave(f, name, ReasonOperator)
		case want.State == configurer.WaveRunning && w.Reason == ReasonOperator:
			f, _ = ResumeWave(f, name)
		}
	}
	return f
}

// updateWaveState stops, pauses, resumes or finishes a wave according to its failures and
// progress.
func updateWaveState(f Fleet, now time.Time, name string, pools Pools) Fleet {
	w := f.Waves[name]
	if w.final() {
		return f
	}
	if len(w.Failed) >= w.FailureLimit {
		f, _ = EndWave(f, now, name, WaveStopped)
		return f
	}
	_, failed := f.Unavailable(w.Pool)
	usedUp := len(failed) >= pools.budget(w.Pool)
	if usedUp && w.State == WaveRunning {
		f, _ = PauseWave(f, name, ReasonBudget)
	}
	if !usedUp && w.State == WavePaused && w.Reason == ReasonBudget {
		f, _ = ResumeWave(f, name)
	}
	w = f.Waves[name]
	if w.State != WaveRunning {
		return f
	}
	for _, id := range w.Pending {
		if f.VMs[id].State != StateFailed {
			return f
		}
	}
	for _, vm := range f.VMs {
		if vm.Wave == name && vm.State != StateFailed {
			return f
		}
	}
	f, _ = EndWave(f, now, name, WaveFinished)
	w = f.Waves[name]
	w.Skipped = w.Pending
	w.Pending = nil
	f.Waves[name] = w // Plan owns the maps
	return f
}

// undrainOverBudget returns draining VMs to service while failures put a pool over its budget.
func undrainOverBudget(f Fleet, now time.Time, pools Pools) Fleet {
	for _, id := range f.sortedVMs() {
		vm := f.VMs[id]
		if vm.State != StateDraining {
			continue
		}
		planned, failed := f.Unavailable(vm.Pool)
		if len(planned)+len(failed) > pools.budget(vm.Pool) {
			f, _ = Undrain(f, now, id)
		}
	}
	return f
}

func rebootDrained(f Fleet, now time.Time, in Input) Fleet {
	for _, id := range f.sortedVMs() {
		vm := f.VMs[id]
		if vm.State != StateDraining {
			continue
		}
		age := time.Duration(unixMillis(now)-vm.SinceMS) * time.Millisecond
		idle := in.Idle != nil && in.Idle(id)
		if age >= in.Limits.DrainTimeout || idle && age >= in.Limits.MinDrain {
			f, _ = RecordReboot(f, now, id)
		}
	}
	return f
}

// drainNext drains as many pending VMs of a wave as are admitted, rack by rack.
func drainNext(f Fleet, now time.Time, name string, pools Pools) Fleet {
	w := f.Waves[name]
	if w.State != WaveRunning {
		return f
	}
	pending := slices.Clone(w.Pending)
	slices.SortFunc(pending, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.VMs[a].Rack, f.VMs[b].Rack), cmp.Compare(a, b))
	})
	type poolRack struct{ pool, rack string }
	refused := map[poolRack]bool{} // Drain refuses all further VMs of these in this round
	for _, id := range pending {
		vm := f.VMs[id]
		key := poolRack{
			pool: vm.Pool,
			rack: vm.Rack,
		}
		if vm.State != StateServing || refused[key] {
			continue
		}
		var err error
		f, err = Drain(f, now, id, name, pools)
		if errors.Is(err, ErrWavePace) {
			return f
		}
		refused[key] = err != nil
	}
	return f
}

func (f Fleet) sortedVMs() []string { return slices.Sorted(maps.Keys(f.VMs)) }
