package orchestrator_test

import (
	"fmt"
	"testing"
	"time"
)

// The load: a wave over a pool of which some VMs run long-running tasks with a disruption
// budget of one. Their VMs take turns, so the wave ends in time only if they begin with it and do
// not wait between the turns.
func TestWaveWithDisruptionBudgetsEndsInTime(t *testing.T) {
	w := newWorldWithTargets(t, 40)
	w.startupTime = 1000 * time.Millisecond
	w.submit(longRunningJob("a", 16, 1))
	w.run(2 * time.Second)
	var vms []string
	for _, id := range sortedKeys(w.targets) {
		vms = append(vms, w.targets[id].VM)
	}
	const duration = 17 * time.Second // one second for each turn, and one
	w.startWave(vms, duration, 20)
	began := w.now
	complete := func() bool {
		for _, state := range w.engine.TakeWaves() {
			if state.Complete {
				return true
			}
		}
		return false
	}
	if !w.runUntil(2*duration, complete) || w.now-began > duration {
		t.Errorf("the wave took %s, want at most %s", w.now-began, duration)
	}
	t.Logf("the wave took %s", w.now-began)
	w.verify()
}

// The load: a wave over the VMs of long-running tasks while short tasks keep the pool full, and no
// spare VM is left. Each turn has to wait for the end of a short task, not for a VM.
func TestWaveGoesOnInAFullPool(t *testing.T) {
	w := newWorldWithTargets(t, 8)
	w.startupTime = time.Second
	w.submit(longRunningJob("a", 6, 1))
	w.run(2 * time.Second)
	var vms []string
	for i := range 6 {
		vms = append(vms, w.targets[w.runningOn(fmt.Sprintf("a.0.0.%d", i))].VM)
	}
	const duration = 7 * time.Second // one second for each turn, and one
	w.startWave(vms, duration, 2)
	began := w.now
	complete := false
	for n := 0; !complete && w.now-began < 2*duration; n++ {
		w.submit(testJob(fmt.Sprintf("s%03d", n), "schools", 500, 12))
		w.run(100 * time.Millisecond)
		for _, state := range w.engine.TakeWaves() {
			complete = complete || state.Complete
		}
	}
	t.Logf("the wave took %s", w.now-began)
	if w.now-began > duration {
		t.Errorf("the wave took %s, want at most %s", w.now-began, duration)
	}
	w.verify()
}

// The load: a wave over a pool that has one VM for each task of a step, at most one per target,
// while other VMs are spare. The task that leaves its VM next has to find one that came before
// its turn.
func TestWaveBringsRoomBeforeItIsNeeded(t *testing.T) {
	w := newWorldWithSpares(t, 6)
	w.startupTime = time.Second
	for i := range 7 {
		w.addTarget(fmt.Sprintf("t%d", i+1), "desk", cores(8))
	}
	w.run(time.Second)
	w.submit(longRunningJob("a", 8, 1))
	w.run(5 * time.Second)
	var vms []string
	for i := range 8 {
		vms = append(vms, w.targets[w.runningOn(fmt.Sprintf("a.0.0.%d", i))].VM)
	}
	const duration = 12 * time.Second // 1.2 s for each turn, and the time of a first move
	w.startWave(vms, duration, 8)
	began, moves := w.now, w.moves
	complete := func() bool {
		for _, state := range w.engine.TakeWaves() {
			if state.Complete {
				return true
			}
		}
		return false
	}
	if !w.runUntil(3*duration, complete) || w.now-began > duration {
		t.Errorf("the wave took %s, want at most %s", w.now-began, duration)
	}
	// There and back for one VM each that is in maintenance, takes the present task, and is ready
	// for the next.
	if moved := w.moves - moves; moved > 2*3 {
		t.Errorf("%d moves during the wave, want at most 6", moved)
	}
	w.verify()
}

// The pages of a list of VMs are read one after the other, so that a list may lack a VM. A VM that
// has left the fleet must not keep a wave open.
func TestVMMissingFromOneListIsMaintained(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("leaves %t", leaves), func(t *testing.T) {
			w := newWorldWithTargets(t, 3)
			w.run(time.Second)
			missing := w.targets["t0"]
			vm := missing.VM
			w.startWave([]string{vm, w.targets["t1"].VM}, 20*time.Second, 1)
			delete(w.targets, "t0")
			w.run(time.Second)
			if !leaves {
				w.targets["t0"] = missing
			}
			w.runUntil(10*time.Second, func() bool {
				complete, _ := w.engine.WaveProgress(1)
				return complete
			})
			if complete, _ := w.engine.WaveProgress(1); !complete {
				t.Error("the wave is not complete")
			}
			if maintained := missing.StartedUnixMS != 1; maintained == leaves {
				t.Errorf("the VM was maintained: %t, want %t", maintained, !leaves)
			}
		})
	}
}
