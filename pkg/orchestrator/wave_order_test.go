package orchestrator_test

import (
	"fmt"
	"testing"
	"time"
)

// A wave covers 24 VMs, four of which may be down at once. Seven of them hold tasks of a
// long-running job that may miss one, so that these take turns; the others run ordinary tasks. The
// turns have to begin with the wave: taken after the other VMs, they end too late.
func TestTasksThatAreInterruptedInTurnDoNotDelayAWave(t *testing.T) {
	const (
		turns       = 7
		startupTime = 2 * time.Second
		duration    = turns * startupTime
	)
	w := newWorldWithTargets(t, 30)
	w.startupTime = startupTime
	w.submit(longRunningJob("a", turns, 1))
	w.run(3 * time.Second)
	var vms []string
	others := 17
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		if len(f.runs) == 0 {
			if others == 0 {
				continue
			}
			others--
		}
		vms = append(vms, f.VM)
	}
	if len(vms) != 24 {
		t.Fatalf("%d VMs in the wave, want 24", len(vms))
	}
	for n := range 10 {
		w.submit(testJob(fmt.Sprintf("b%d", n), "schools", 1500, 4))
	}
	w.startWave(vms, duration, 4)
	if !w.runUntil(duration, func() bool { return w.engine.Stats().Upkeeps == len(vms) }) {
		t.Errorf("%d of %d VMs had their maintenance within %v", w.engine.Stats().Upkeeps, len(vms), duration)
	}
	for n := range turns {
		task := fmt.Sprintf("a.0.0.%d", n)
		if w.starts[task] != 2 {
			t.Errorf("%s started %d times, want twice: at first and after its VM was emptied", task, w.starts[task])
		}
	}
	w.verify()
}
