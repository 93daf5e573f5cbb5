package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// The load: tasks that take a quarter of their estimate or four times as long. After some jobs the
// expected work of a queue is what its tasks really take.
func TestWorkOfAQueueIsLearned(t *testing.T) {
	tests := []struct {
		name     string
		slowdown int
	}{
		{"estimates too short", 4},
		{"right estimates", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorldWithTargets(t, 4)
			for _, f := range w.targets {
				f.slowdown = test.slowdown
			}
			for i := range 20 {
				id := fmt.Sprint("job", i)
				w.submit(testJob(id, "schools", 800, 8))
				if !w.runUntil(20*time.Second, func() bool { return w.state(id) == jobkeeper.StateComplete }) {
					t.Fatalf("%s is not complete", id)
				}
			}
			learned := w.engine.Durations()
			if len(learned) != 1 {
				t.Fatalf("durations of %d queues are known, want 1", len(learned))
			}
			next := testJob("next", "schools", 800, 8, 8)
			path := 1.6 * float64(test.slowdown) // seconds of the two steps
			if got := learned[0].CriticalPath(next).Seconds(); got < 0.9*path || got > 1.3*path {
				t.Errorf("the critical path is expected to take %.2f s, want %.2f s", got, path)
			}
			if got := float64(learned[0].WorkMS(next)) / 1000; got < 0.9*16*path || got > 1.3*16*path {
				t.Errorf("the work is expected to be %.1f core-seconds, want %.1f", got, 16*path)
			}
			w.verify()
		})
	}
}

// Guards against an owner that goes by estimates again until it has seen enough tasks itself.
func TestLaterOwnerStartsFromWhatWasLearned(t *testing.T) {
	w := newWorldWithTargets(t, 4)
	for _, f := range w.targets {
		f.slowdown = 4
	}
	for i := range 8 {
		id := fmt.Sprint("job", i)
		w.submit(testJob(id, "schools", 800, 8))
		if !w.runUntil(20*time.Second, func() bool { return w.state(id) == jobkeeper.StateComplete }) {
			t.Fatalf("%s is not complete", id)
		}
	}
	learned := w.engine.Durations()
	w.takeOver()
	if got := len(w.engine.Durations()); got != 0 {
		t.Fatalf("the new owner knows the durations of %d queues by itself", got)
	}
	w.engine.LoadDurations(learned)
	next := testJob("next", "schools", 800, 8)
	want := learned[0].CriticalPath(next)
	if got := w.engine.Durations(); len(got) != 1 || got[0].CriticalPath(next) != want {
		t.Errorf("the new owner expects %v, want a critical path of %s", got, want)
	}
}
