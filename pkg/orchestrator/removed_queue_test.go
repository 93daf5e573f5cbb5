package orchestrator_test

import (
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// newWorldWithRemovedQueue returns a world with an accepted job of two tasks, whose queue the
// configuration has lost since. If takeOver is true, its owner has changed too.
func newWorldWithRemovedQueue(t *testing.T, adviceRequired, takeOver bool) *world {
	t.Helper()
	w := newWorldWithTargets(t, 4)
	queue := w.conf.Queues["quotes"]
	queue.AdviceRequired = adviceRequired
	j := testJob("j1", "schools", 300, 2)
	j.Terms = queue.Terms()
	for _, f := range w.targets {
		f.failing = true
	}
	w.submit(j)
	delete(w.conf.Queues, "quotes")
	w.engine.Configure(w.conf)
	if takeOver {
		w.takeOver()
	}
	return w
}

// Guards against jobs that are given up at the first failure of a task because their queue is not
// configured at that moment.
func TestJobOfARemovedQueueKeepsItsAttempts(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		w := newWorldWithRemovedQueue(t, false, takeOver)
		if !w.runUntil(20*time.Second, func() bool { return w.state("j1").Ended() }) {
			t.Errorf("takeover %v: the job is %s", takeOver, w.state("j1"))
		}
		if n := max(w.starts["j1.0.0.0"], w.starts["j1.0.0.1"]); w.state("j1") != jobkeeper.StateFailed || n != 4 {
			t.Errorf("takeover %v: the job is %s after %d starts, want failed after 4", takeOver, w.state("j1"), n)
		}
		w.verify()
	}
}

// Guards against starts that the targets refuse, because the adviser is no longer asked.
func TestJobOfARemovedQueueStillNeedsAdvice(t *testing.T) {
	w := newWorldWithRemovedQueue(t, true, false)
	for _, f := range w.targets {
		f.failing = false
	}
	asked := false
	if !w.runUntil(5*time.Second, func() bool {
		for _, q := range w.engine.AdviceRequests() {
			asked = true
			w.advise(q, map[string]string{"t1": "ticket"}, time.Minute)
		}
		if on := w.runningOn("j1.0.0.0"); on != "" && on != "t1" {
			t.Fatalf("the task runs on %s, which was not approved", on)
		}
		return w.state("j1") == jobkeeper.StateComplete
	}) {
		t.Errorf("the job is %s, the adviser was asked: %v", w.state("j1"), asked)
	}
	w.verify()
}
