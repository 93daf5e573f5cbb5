package orchestrator_test

import (
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
