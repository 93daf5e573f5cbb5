package planner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

var pools = Pools{
	"a":     {Region: "r", MaxUnavailable: 3, MinVMs: 6},
	"spare": {Region: "r"},
	"far":   {Region: "other"},
}

// fleetWithWave returns six VMs in two racks of pool a, all pending in the running wave w.
func fleetWithWave(t *testing.T, change func(*Fleet)) Fleet {
	f, err := Decode("r", nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 6 {
		if f, err = AddVM(f, start, fmt.Sprint(i), VM{Pool: "a", Rack: fmt.Sprint(i / 3)}, pools); err != nil {
			t.Fatal(err)
		}
	}
	if f, err = StartWave(f, start, "w", configurer.Wave{Pool: "a"}, pools); err != nil {
		t.Fatal(err)
	}
	change(&f)
	return f
}

func changeVM(id string, change func(*VM)) func(*Fleet) {
	return func(f *Fleet) {
		vm := f.VMs[id]
		change(&vm)
		f.VMs[id] = vm
	}
}

func setVMState(id string, s State) func(*Fleet) { return changeVM(id, func(vm *VM) { vm.State = s }) }

func changeWave(change func(*Wave)) func(*Fleet) {
	return func(f *Fleet) {
		w := f.Waves["w"]
		change(&w)
		f.Waves["w"] = w
	}
}

// Guards against transitions that break a guarantee.
func TestTransitionsEnforceGuarantees(t *testing.T) {
	drain := func(f Fleet) (Fleet, error) { return Drain(f, start.Add(time.Minute), "0", "w", pools) }
	move := func(id, from, to string) func(Fleet) (Fleet, error) {
		return func(f Fleet) (Fleet, error) { return Move(f, start, id, from, to, pools) }
	}
	underMaintenance := changeVM("1", func(vm *VM) { vm.State, vm.Wave = StateReturning, "w" })
	openReboot := changeVM("0", func(vm *VM) { vm.State, vm.Operation = StateFailed, "w/0" })
	tests := []struct {
		name   string
		change func(*Fleet)
		do     func(Fleet) (Fleet, error)
		want   error
	}{
		{"drain", func(*Fleet) {}, drain, nil},
		{"drain beside one failed VM", setVMState("1", StateFailed), drain, nil},
		{"drain beside a failed VM of another rack", setVMState("5", StateFailed), drain, ErrRack},
		{"drain in a paused wave", changeWave(func(w *Wave) { w.State = WavePaused }), drain, ErrWaveState},
		{"drain of a VM that is not pending", changeWave(func(w *Wave) { w.Pending = nil }), drain, ErrVMState},
		{"second drain before the first VM returned", underMaintenance, drain, ErrWavePace},
		{"second drain after one VM returned", func(f *Fleet) { underMaintenance(f); changeWave(func(w *Wave) { w.ReturnedSinceFailure = 1 })(f) }, drain, nil},
		{"drain soon after a failure", changeWave(func(w *Wave) { w.Failed, w.LastFailureMS = []string{"9"}, start.UnixMilli()+31_000 }), drain, ErrWavePace},
		{"drain long after a failure", changeWave(func(w *Wave) { w.Failed, w.LastFailureMS = []string{"9"}, start.UnixMilli()+30_000 }), drain, nil},
		{"move below the minimum", func(*Fleet) {}, move("0", "a", "spare"), ErrMinimum},
		{"move from a pool that the VM is not in", func(*Fleet) {}, move("0", "spare", "a"), ErrWrongPool},
		{"move to another region", func(*Fleet) {}, move("0", "a", "far"), ErrUnknownPool},
		{"move of a draining VM", setVMState("0", StateDraining), move("0", "a", "spare"), ErrVMState},
		{"removal of a serving VM", func(*Fleet) {}, func(f Fleet) (Fleet, error) { return RemoveVM(f, "0") }, ErrVMState},
		{"return before the reboot", openReboot, func(f Fleet) (Fleet, error) { return ReturnToService(f, start, "0") }, ErrVMState},
		{"confirmation of another reboot", openReboot, func(f Fleet) (Fleet, error) { return ConfirmReboot(f, start, "0", "v/0") }, ErrVMState},
		{"restart of a wave", func(*Fleet) {}, func(f Fleet) (Fleet, error) {
			return StartWave(f, start, "w", configurer.Wave{Pool: "a"}, pools)
		}, ErrWaveState},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleetWithWave(t, tt.change)
			before := fmt.Sprint(f)
			if _, err := tt.do(f); !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if fmt.Sprint(f) != before {
				t.Fatal("the transition changed its argument")
			}
		})
	}
}

// Guards against waves that continue after correlated failures, drains that keep a pool over
// its budget, reboots before the entry daemons know of the drain, and missing reboots.
func TestPlanReactsToFailuresAndTime(t *testing.T) {
	draining := changeVM("0", func(vm *VM) { vm.State, vm.Wave = StateDraining, "w" })
	failed := func(n int) func(*Fleet) {
		return func(f *Fleet) {
			for i := range n {
				setVMState(fmt.Sprint(i+1), StateFailed)(f)
			}
		}
	}
	tests := []struct {
		name   string
		change func(*Fleet)
		after  time.Duration
		idle   bool
		vm     State // of VM 0
		wave   WaveState
	}{
		{"busy", draining, time.Minute, false, StateDraining, WaveRunning},
		{"idle too early", draining, DefaultMinDrain - 1, true, StateDraining, WaveRunning},
		{"idle", draining, DefaultMinDrain, true, StateRebooting, WaveRunning},
		{"busy too long", draining, DefaultDrainTimeout, false, StateRebooting, WaveRunning},
		{"budget exceeded", func(f *Fleet) { draining(f); failed(3)(f) }, time.Second, false, StateServing, WavePaused},
		{"budget not exceeded", func(f *Fleet) { draining(f); failed(2)(f) }, time.Second, false, StateDraining, WaveRunning},
		{"failure limit", func(f *Fleet) { draining(f); changeWave(func(w *Wave) { w.Failed = []string{"8", "9"} })(f) }, time.Second, false, StateServing, WaveStopped},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := Plan(fleetWithWave(t, tt.change), start.Add(tt.after), Input{
				Pools: pools,
				Idle:  func(string) bool { return tt.idle },
			})
			if got := f.VMs["0"].State; got != tt.vm {
				t.Errorf("VM is %s, want %s", got, tt.vm)
			}
			if got := f.Waves["w"].State; got != tt.wave {
				t.Errorf("wave is %s, want %s", got, tt.wave)
			}
		})
	}
}

func ExamplePlan() {
	f, _ := Decode("r", nil)
	now := time.Unix(0, 0)
	f, _ = AddVM(f, now, "vm-1", VM{Pool: "a"}, pools)
	in := Input{
		Pools: pools,
		Waves: map[string]configurer.Wave{"kernel": {Pool: "a", State: configurer.WaveRunning}},
		VMs:   []VMStatus{{ID: "vm-1", Live: true}},
		Idle:  func(string) bool { return true },
	}
	for range 3 {
		f = Plan(f, now, in)
		fmt.Println(f.VMs["vm-1"].State)
		now = now.Add(DefaultMinDrain)
	}
	in.VMs[0].Operation = "kernel/vm-1" // the platform completed the reboot
	f = Plan(f, now, in)
	fmt.Println(f.VMs["vm-1"].State, f.Waves["kernel"].State)
	// Output:
	// draining
	// rebooting
	// rebooting
	// serving finished
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{58, 1200} { // VMs of the region today and in two years
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			f, _ := Decode("r", nil)
			for i := range n {
				id := fmt.Sprintf("vm-%08d", i)
				f.VMs[id] = VM{Pool: "a", Rack: fmt.Sprintf("rack-%05d", i/4), AvailabilityZone: "az-1", State: StateServing}
			}
			f, _ = StartWave(f, start, "w", configurer.Wave{Pool: "a"}, pools)
			in := Input{Pools: pools}
			for id := range f.VMs {
				in.VMs = append(in.VMs, VMStatus{ID: id, Live: true})
			}
			data, err := f.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(f, start, in)
			}
			b.ReportMetric(float64(len(data)), "document_bytes")
		})
	}
}
