package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// newWorldWithOneFreeTarget returns a world with ten targets, nine of which are full for a minute. The
// task of the job j1, which takes 6 s, runs on the last one.
func newWorldWithOneFreeTarget(t *testing.T) (w *world, free *fakeTarget) {
	t.Helper()
	w = newWorldWithTargets(t, 10)
	filler := testJob("filler", "schools", 60_000, 9)
	filler.Steps[0].Needs = cores(7)
	w.submit(filler)
	w.run(500 * time.Millisecond)
	w.submit(testJob("j1", "schools", 6000, 1))
	w.run(500 * time.Millisecond)
	free = w.targets[w.runningOn("j1.0.0.0")]
	if free == nil || w.starts["filler.0.0.8"] != 1 {
		t.Fatal("the pool is not full")
	}
	return w, free
}

// Guards against a sound job that is given up because the only target with room for it goes down and
// up several times.
func TestSoundJobOutlivesATargetThatGoesDownAndUp(t *testing.T) {
	for _, up := range []time.Duration{150, 250, 350, 500, 700, 900} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("up for %d ms, take over %v", up, takeOver), func(t *testing.T) {
				up := up * time.Millisecond
				w, free := newWorldWithOneFreeTarget(t)
				for end := w.now + 6500*time.Millisecond; w.now < end; {
					w.crashFor(free, 700*time.Millisecond)
					w.run(700 * time.Millisecond)
					if takeOver {
						w.takeOver()
					}
					w.run(up)
				}
				if !w.runUntil(30*time.Second, func() bool { return w.state("j1").Ended() }) {
					t.Errorf("the job is %s", w.state("j1"))
				}
				if w.state("j1") != jobkeeper.StateComplete {
					t.Errorf("the job is %s after %d crashes under it: %s", w.state("j1"), w.crashesUnder["j1.0.0.0"], w.stored["j1"].Reason)
				}
				w.verify()
			})
		}
	}
}

// Guards against a task that crashes its target each time and is never given up, because only one
// target has room for it.
func TestTaskThatCrashesTheOnlyFreeTargetIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{0, 100, 800, 2000} {
		w, _ := newWorldWithOneFreeTarget(t)
		w.crashing["j2.0.0.0"] = after * time.Millisecond
		w.run(6 * time.Second)
		w.submit(testJob("j2", "schools", 4000, 1))
		w.runUntil(50*time.Second, func() bool { return w.state("j2").Ended() })
		if w.state("j2") != jobkeeper.StateFailed {
			t.Errorf("crashes after %d ms: the job is %s", after, w.state("j2"))
		}
		if n := w.startsAfterCrashes["j2.0.0.0"]; n > 2 {
			t.Errorf("crashes after %d ms: %d starts after three crashes, want at most 2", after, n)
		}
		w.verify()
	}
}

// Guards against a target that is kept for a suspected task which does not start there yet, so that
// nothing else starts on the only target with room.
func TestTargetIsNotKeptForATaskThatDoesNotReturnThereYet(t *testing.T) {
	w, free := newWorldWithOneFreeTarget(t)
	for range 2 {
		w.crashFor(free, 300*time.Millisecond)
		w.runUntil(3*time.Second, func() bool { return w.runningOn("j1.0.0.0") != "" || w.crashesUnder["j1.0.0.0"] > 1 })
	}
	w.run(1500 * time.Millisecond)
	if w.runningOn("j1.0.0.0") != "" {
		t.Fatal("the task has returned to the VM of its crashes at once")
	}
	w.submit(testJob("j2", "schools", 300, 1))
	if !w.runUntil(time.Second, func() bool { return w.state("j2") == jobkeeper.StateComplete }) {
		t.Errorf("the other job is %s", w.state("j2"))
	}
	if !w.runUntil(20*time.Second, func() bool { return w.state("j1").Ended() }) || w.state("j1") != jobkeeper.StateComplete {
		t.Errorf("the suspected job is %s", w.state("j1"))
	}
	w.verify()
}
