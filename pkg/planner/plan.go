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
	DefaultMinDrain      = 4 * time.Second // until every entry daemon has stopped sending new work
	DefaultDrainTimeout  = 2 * time.Minute
	DefaultReturnTimeout = 5 * time.Minute
)

// Limits are the time limits of maintenance. Zero values select the defaults.
type Limits struct {
	MinDrain      time.Duration // shortest drain, also of an idle VM
	DrainTimeout  time.Duration // a VM that is still busy then is rebooted
	ReturnTimeout time.Duration // a VM that is not back then has failed
}

// VMStatus is the platform's view of a VM. It lags behind the actual state.
type VMStatus struct {
	ID        string
	Live      bool
	Operation string // the last reboot operation that was completed on the VM; may be empty
}

// Input is everything that Plan takes into account besides the document and the time.
type Input struct {
	Pools  Pools
	Waves  map[string]configurer.Wave // what operators want
	VMs    []VMStatus                 // what the platform lists
	Idle   func(vm string) bool       // whether a draining VM runs no work; nil: not known
	Limits Limits
}

// Plan returns the document after everything that is due at this time: the wishes of
// operators, what the platform reports, and the next steps of the waves.
func Plan(f Fleet, now time.Time, in Input) Fleet {
	in.Limits.MinDrain = cmp.Or(in.Limits.MinDrain, DefaultMinDrain)
	in.Limits.DrainTimeout = cmp.Or(in.Limits.DrainTimeout, DefaultDrainTimeout)
	in.Limits.ReturnTimeout = cmp.Or(in.Limits.ReturnTimeout, DefaultReturnTimeout)
	f = f.clone()
	f.owned = true
	f = observe(f, now, in)
	f = obey(f, now, in)
	for _, wave := range slices.Sorted(maps.Keys(f.Waves)) {
		f = settle(f, now, wave, in.Pools)
	}
	f = relieve(f, now, in.Pools)
	f = rebootDrained(f, now, in)
	for _, wave := range slices.Sorted(maps.Keys(f.Waves)) {
		f = drainNext(f, now, wave, in.Pools)
	}
	f.owned = false
	return f
}

// observe applies the platform's list. A transition that the state of a VM does not
// allow is left out: the list is older than the document.
func observe(f Fleet, now time.Time, in Input) Fleet {
	listed := make(map[string]VMStatus, len(in.VMs))
	for _, s := range in.VMs {
		listed[s.ID] = s
	}
	for _, id := range f.sortedVMs() {
		s, known := listed[id]
		if vm := f.VMs[id]; vm.Operation != "" && vm.Operation == s.Operation {
			f, _ = Rebooted(f, now, id, s.Operation)
		}
		vm := f.VMs[id]
		age := time.Duration(millis(now)-vm.SinceMS) * time.Millisecond
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
				f, _ = Return(f, now, id)
			} else if age >= in.Limits.ReturnTimeout {
				f, _ = Fail(f, now, id)
			}
		case StateFailed:
			if s.Live && vm.Operation == "" {
				f, _ = Return(f, now, id)
			}
		}
	}
	return f
}

// obey applies what operators want of each wave. A wave that has ended stays as it is.
func obey(f Fleet, now time.Time, in Input) Fleet {
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
			f, _ = End(f, now, name, WaveAborted)
		case want.State == configurer.WavePaused && w.Reason != ReasonOperator:
			f, _ = Pause(f, name, ReasonOperator)
		case want.State == configurer.WaveRunning && w.Reason == ReasonOperator:
			f, _ = Resume(f, name)
		}
	}
	return f
}

// settle stops, pauses, continues or finishes a wave according to its failures and progress.
func settle(f Fleet, now time.Time, name string, pools Pools) Fleet {
	w := f.Waves[name]
	if w.final() {
		return f
	}
	if len(w.Failed) >= w.FailureLimit {
		f, _ = End(f, now, name, WaveStopped)
		return f
	}
	_, failed := f.Unavailable(w.Pool)
	usedUp := len(failed) >= pools.budget(w.Pool)
	if usedUp && w.State == WaveRunning {
		f, _ = Pause(f, name, ReasonBudget)
	}
	if !usedUp && w.State == WavePaused && w.Reason == ReasonBudget {
		f, _ = Resume(f, name)
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
	f, _ = End(f, now, name, WaveFinished)
	w = f.Waves[name]
	w.Skipped = w.Pending
	w.Pending = nil
	f.Waves[name] = w // End returned a copy
	return f
}

// relieve returns draining VMs to service while failures hold a pool over its budget.
func relieve(f Fleet, now time.Time, pools Pools) Fleet {
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
		age := time.Duration(millis(now)-vm.SinceMS) * time.Millisecond
		idle := in.Idle != nil && in.Idle(id)
		if age >= in.Limits.DrainTimeout || idle && age >= in.Limits.MinDrain {
			f, _ = Reboot(f, now, id)
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
	type place struct{ pool, rack string }
	refused := map[place]bool{} // what Drain refused once it refuses for the rest of this round
	for _, id := range pending {
		vm := f.VMs[id]
		here := place{
			pool: vm.Pool,
			rack: vm.Rack,
		}
		if vm.State != StateServing || refused[here] {
			continue
		}
		var err error
		f, err = Drain(f, now, id, name, pools)
		if errors.Is(err, ErrSlow) {
			return f
		}
		refused[here] = err != nil
	}
	return f
}

func (f Fleet) sortedVMs() []string { return slices.Sorted(maps.Keys(f.VMs)) }
