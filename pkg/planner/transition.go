package planner

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// failureDelay, multiplied by the number of failures so far, is how long a wave waits after
// a failure. Failures with a common cause often show within a minute.
const failureDelay = 30 * time.Second

// AddVM adds a serving VM to a pool. The name of a VM must not be reused for another
// machine.
func AddVM(f Fleet, now time.Time, id string, vm VM, pools Pools) (Fleet, error) {
	if _, ok := f.VMs[id]; ok {
		return f, Error.New("%w: %s", ErrVMExists, id)
	}
	if _, ok := pools[vm.Pool]; !ok {
		return f, Error.New("%w: %q", ErrUnknownPool, vm.Pool)
	}
	f = f.clone()
	f.VMs[id] = VM{
		Pool:             vm.Pool,
		Rack:             vm.Rack,
		AvailabilityZone: vm.AvailabilityZone,
		State:            StateServing,
		SinceMS:          unixMillis(now),
	}
	return f, nil
}

// RemoveVM removes a failed VM that will not return.
func RemoveVM(f Fleet, id string) (Fleet, error) {
	if _, err := f.vm(id, StateFailed); err != nil {
		return f, err
	}
	f = f.clone()
	delete(f.VMs, id)
	for name, w := range f.Waves {
		w.Pending = without(w.Pending, id)
		f.Waves[name] = w
	}
	return f, nil
}

// Move moves a serving VM to another pool of the region. The pool that it leaves keeps at
// least its minimum of serving VMs.
func Move(f Fleet, now time.Time, id, from, to string, pools Pools) (Fleet, error) {
	vm, err := f.vm(id, StateServing)
	if err != nil {
		return f, err
	}
	if vm.Pool != from {
		return f, Error.New("%w: %s is in %s, want %s", ErrWrongPool, id, vm.Pool, from)
	}
	if p, ok := pools[to]; !ok || p.Region != pools[from].Region {
		return f, Error.New("%w: %q in region %q", ErrUnknownPool, to, f.Region)
	}
	serving := 0
	for _, other := range f.VMs {
		if other.Pool == from && other.State == StateServing {
			serving++
		}
	}
	if serving <= pools[from].MinVMs {
		return f, Error.New("%w: %s has %d serving VMs", ErrMinimum, from, serving)
	}
	f = f.clone()
	switch {
	case pools[to].Spare:
		vm.LentBy = ""
	case pools[from].Spare:
		vm.LentBy = from
	}
	vm.Pool = to
	vm.SinceMS = unixMillis(now)
	f.VMs[id] = vm
	return f, nil
}

// Drain starts the maintenance of a pending VM of a running wave. It is admitted only
// if the pool stays within its budget, counting planned and failed VMs together, if all
// unavailable VMs of the pool are in the same rack, and if the wave's pace allows it: a
// wave has one VM under maintenance at first and after a failure, and one more for each
// VM that has returned since. After a failure it also waits (see failureDelay).
func Drain(f Fleet, now time.Time, id, wave string, pools Pools) (Fleet, error) {
	vm, err := f.vm(id, StateServing)
	if err != nil {
		return f, err
	}
	w, err := f.wave(wave, WaveRunning)
	if err != nil {
		return f, err
	}
	if len(without(w.Pending, id)) == len(w.Pending) {
		return f, Error.New("%w: %s is not pending in wave %s", ErrVMState, id, wave)
	}
	unavailable, active := 0, 0
	for _, other := range f.VMs {
		if other.Wave == wave && other.State != StateFailed {
			active++
		}
		if other.Pool != vm.Pool || other.State == StateServing {
			continue
		}
		unavailable++
		if other.Rack != vm.Rack {
			return f, Error.New("%w: %s, while the VM is in %s", ErrRack, other.Rack, vm.Rack)
		}
	}
	if unavailable >= pools.budget(vm.Pool) {
		return f, Error.New("%w: %d VMs of %s are unavailable", ErrBudget, unavailable, vm.Pool)
	}
	if active > w.ReturnedSinceFailure {
		return f, Error.New("%w: %d VMs under maintenance, %d returned since the last failure", ErrWavePace, active, w.ReturnedSinceFailure)
	}
	wait := time.Duration(len(w.Failed)) * failureDelay
	if wait > 0 && unixMillis(now)-w.LastFailureMS < wait.Milliseconds() {
		return f, Error.New("%w: waiting after %d failures", ErrWavePace, len(w.Failed))
	}
	f = f.clone()
	w.Pending = without(w.Pending, id)
	f.Waves[wave] = w
	vm.Wave = wave
	f.setState(now, id, vm, StateDraining)
	return f, nil
}

// Undrain returns a draining VM to service; it becomes pending in its wave again.
func Undrain(f Fleet, now time.Time, id string) (Fleet, error) {
	vm, err := f.vm(id, StateDraining)
	if err != nil {
		return f, err
	}
	f = f.clone()
	w := f.Waves[vm.Wave]
	w.Pending = with(w.Pending, id)
	f.Waves[vm.Wave] = w
	vm.Wave = ""
	f.setState(now, id, vm, StateServing)
	return f, nil
}

// RecordReboot records that a drained VM is to be rebooted. The operation id is the same for
// every leaseholder, so the platform reboots the VM once per wave.
func RecordReboot(f Fleet, now time.Time, id string) (Fleet, error) {
	vm, err := f.vm(id, StateDraining)
	if err != nil {
		return f, err
	}
	f = f.clone()
	vm.Operation = vm.Wave + "/" + id
	f.setState(now, id, vm, StateRebooting)
	return f, nil
}

// ConfirmReboot records that the platform has completed the reboot. Without this confirmation
// a VM never serves again, because a paused leaseholder could still request the reboot.
func ConfirmReboot(f Fleet, now time.Time, id, operation string) (Fleet, error) {
	vm, err := f.vm(id, StateRebooting, StateFailed)
	if err != nil {
		return f, err
	}
	if vm.Operation == "" || vm.Operation != operation {
		return f, Error.New("%w: %s waits for operation %q, got %q", ErrVMState, id, vm.Operation, operation)
	}
	f = f.clone()
	vm.Operation = ""
	f.setState(now, id, vm, StateReturning)
	return f, nil
}

// ReturnToService records that a VM is live again and serves.
func ReturnToService(f Fleet, now time.Time, id string) (Fleet, error) {
	vm, err := f.vm(id, StateReturning, StateFailed)
	if err != nil {
		return f, err
	}
	if vm.Operation != "" {
		return f, Error.New("%w: %s has an open operation %s", ErrVMState, id, vm.Operation)
	}
	f = f.clone()
	if w, ok := f.Waves[vm.Wave]; ok {
		if vm.State == StateReturning {
			w.Done = with(w.Done, id)
			w.ReturnedSinceFailure++
		}
		f.Waves[vm.Wave] = w
	}
	vm.Wave = ""
	f.setState(now, id, vm, StateServing)
	return f, nil
}

// Fail records that a VM is lost. If the VM is under maintenance, the failure counts for
// its wave.
func Fail(f Fleet, now time.Time, id string) (Fleet, error) {
	vm, err := f.vm(id, StateServing, StateDraining, StateRebooting, StateReturning)
	if err != nil {
		return f, err
	}
	f = f.clone()
	if w, ok := f.Waves[vm.Wave]; ok {
		w.Failed = with(w.Failed, id)
		w.ReturnedSinceFailure = 0
		w.LastFailureMS = unixMillis(now)
		f.Waves[vm.Wave] = w
	}
	f.setState(now, id, vm, StateFailed)
	return f, nil
}

// StartWave starts a wave over the VMs that its pool has now.
func StartWave(f Fleet, now time.Time, wave string, want configurer.Wave, pools Pools) (Fleet, error) {
	if _, ok := f.Waves[wave]; ok {
		return f, Error.New("%w: %s has already been started", ErrWaveState, wave)
	}
	if _, ok := pools[want.Pool]; !ok {
		return f, Error.New("%w: %q", ErrUnknownPool, want.Pool)
	}
	w := Wave{
		Pool:         want.Pool,
		State:        WaveRunning,
		FailureLimit: want.FailureLimit,
		StartedMS:    unixMillis(now),
	}
	if w.FailureLimit <= 0 {
		w.FailureLimit = DefaultFailureLimit
	}
	for id, vm := range f.VMs {
		if vm.Pool == want.Pool {
			w.Pending = append(w.Pending, id)
		}
	}
	f = f.clone()
	f.Waves[wave] = w
	return f, nil
}

// PauseWave stops further drains of a wave; VMs under maintenance complete it.
func PauseWave(f Fleet, wave string, reason Reason) (Fleet, error) {
	w, err := f.wave(wave, WaveRunning, WavePaused)
	if err != nil {
		return f, err
	}
	f = f.clone()
	w.State = WavePaused
	w.Reason = reason
	f.Waves[wave] = w
	return f, nil
}

// ResumeWave continues a paused wave.
func ResumeWave(f Fleet, wave string) (Fleet, error) {
	w, err := f.wave(wave, WavePaused)
	if err != nil {
		return f, err
	}
	f = f.clone()
	w.State = WaveRunning
	w.Reason = ""
	f.Waves[wave] = w
	return f, nil
}

// EndWave ends a wave as aborted, stopped or finished. Draining VMs return to service;
// recorded reboots are completed.
func EndWave(f Fleet, now time.Time, wave string, state WaveState) (Fleet, error) {
	if _, err := f.wave(wave, WaveRunning, WavePaused); err != nil {
		return f, err
	}
	for _, id := range f.sortedVMs() {
		if vm := f.VMs[id]; vm.Wave == wave && vm.State == StateDraining {
			f, _ = Undrain(f, now, id) // the state was checked
		}
	}
	f = f.clone()
	w := f.Waves[wave]
	w.State = state
	w.EndedMS = unixMillis(now)
	f.Waves[wave] = w
	return f, nil
}

func (f Fleet) setState(now time.Time, id string, vm VM, state State) {
	vm.State = state
	vm.SinceMS = unixMillis(now)
	f.VMs[id] = vm
}

func (f Fleet) vm(id string, states ...State) (VM, error) {
	vm, ok := f.VMs[id]
	if !ok {
		return VM{}, Error.New("%w: %s", ErrUnknownVM, id)
	}
	for _, s := range states {
		if vm.State == s {
			return vm, nil
		}
	}
	return VM{}, Error.New("%w: %s is %s, want one of %v", ErrVMState, id, vm.State, states)
}

func (f Fleet) wave(name string, states ...WaveState) (Wave, error) {
	w, ok := f.Waves[name]
	if !ok {
		return Wave{}, Error.New("%w: %s", ErrUnknownWave, name)
	}
	for _, s := range states {
		if w.State == s {
			return w, nil
		}
	}
	return Wave{}, Error.New("%w: %s is %s, want one of %v", ErrWaveState, name, w.State, states)
}
