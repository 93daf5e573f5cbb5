package verifier

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/demonstrator"
	"github.com/comfreyford/comfreyford/internal/emulator"
)

func (f *fixture) admin(p *demonstrator.Process, method, path string, body any) {
	f.t.Helper()
	if err := f.CallAdminAPI(f.ctx, p, method, path, body, nil); err != nil {
		f.t.Fatal(err)
	}
}

// shopWorker returns the first worker of the pool shop.
func (f *fixture) shopWorker() *demonstrator.WorkerProcess {
	for _, w := range f.Workers {
		if w.Pool == "shop" {
			return w
		}
	}
	f.t.Fatal("no worker in pool shop")
	return nil
}

func (f *fixture) runsOf(w *demonstrator.WorkerProcess) []emulator.Run {
	f.t.Helper()
	var runs emulator.Runs
	if err := f.CallAdminAPI(f.ctx, w.Process, http.MethodGet, "/v1/runs", nil, &runs); err != nil {
		f.t.Fatal(err)
	}
	return runs.Runs
}

// usableTargets returns how many targets an entry daemon uses according to its metrics.
func (f *fixture) usableTargets(e *demonstrator.EntryProcess) (int, error) {
	page, err := f.Metrics(e)
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, m := range regexp.MustCompile(`(?m)^comfreyford_usable_targets\{.*\} (\d+)$`).FindAllStringSubmatch(page, -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// Guards against new work on a target that is leaving, while the platform's list does not
// show that yet, and against interrupting the work that it already runs.
func TestDrainingWorkerGetsNoNewWorkAlthoughTheListLags(t *testing.T) {
	f := newFixture(t)
	f.admin(f.Platform, http.MethodPut, "/admin/faults", emulator.PlatformFaults{ListLagMS: time.Hour.Milliseconds()})
	w := f.shopWorker()
	s := f.stream(12, func(caller, n int) call {
		c := f.call((caller+n)%len(f.Entries), "stock", http.MethodGet, f.Keys["orders"])
		if caller%3 == 0 {
			c.queue, c.method, c.duration = "orders", http.MethodPost, 2*time.Second
		}
		return c
	})
	f.await("worker runs a long request", eventTimeout, func() error {
		for _, run := range f.runsOf(w) {
			if run.EndNS == 0 {
				return nil
			}
		}
		return errors.New("no run in progress")
	})
	f.admin(w.Process, http.MethodPost, "/admin/drain", nil)
	leaveDeadline := time.Now().Add(leavingBound)
	// The worker refuses new work itself, so runs alone do not show that none is offered.
	for _, e := range f.Entries {
		f.await(e.Name+" no longer uses the leaving worker", time.Until(leaveDeadline), func() error {
			n, err := f.usableTargets(e)
			if err == nil && n != len(f.Workers)-1 {
				err = fmt.Errorf("%d of %d targets usable", n, len(f.Workers))
			}
			return err
		})
	}
	time.Sleep(time.Until(leaveDeadline.Add(leavingBound)))
	answers := s.stop()
	for _, run := range f.runsOf(w) {
		if run.StartNS > leaveDeadline.UnixNano() {
			t.Errorf("run %s started %s after the worker began to leave", run.Identity, time.Duration(run.StartNS-leaveDeadline.Add(-leavingBound).UnixNano()))
		}
		if run.EndNS == 0 || run.State != "done" {
			t.Errorf("run %s of the leaving worker was not finished: %s", run.Identity, run.State)
		}
	}
	for _, a := range answers {
		if !a.done() {
			t.Errorf("not answered: %v", a)
		}
	}
	f.checkAnswers(answers)
}

// Guards against a worker that keeps its share of the work although every task on it fails.
func TestWorkerThatFailsEverythingIsEjected(t *testing.T) {
	f := newFixture(t)
	w := f.shopWorker()
	f.admin(w.Process, http.MethodPut, "/admin/faults", emulator.WorkerFaults{FailAll: true})
	s := f.stream(16, func(caller, n int) call {
		return f.call((caller+n)%len(f.Entries), "stock", http.MethodGet, f.Keys["orders"])
	})
	shop := 0
	for _, other := range f.Workers {
		if other.Pool == "shop" {
			shop++
		}
	}
	f.await("workers made enough runs", eventTimeout, func() error {
		if n := len(f.runs()); n < 600 {
			return fmt.Errorf("%d runs", n)
		}
		return nil
	})
	answers := s.stop()
	if n, all := len(f.runsOf(w)), len(f.runs()); n*2*shop > all {
		t.Errorf("failing worker ran %d of %d, want less than half of an equal share among %d", n, all, shop)
	}
	failed := 0
	for _, a := range answers {
		if !a.done() {
			t.Errorf("not answered: %v", a)
		}
		if a.status == http.StatusInternalServerError {
			failed++
		}
	}
	if n := len(f.runsOf(w)); failed > n {
		t.Errorf("%d callers received a failure, but the failing worker ran only %d", failed, n)
	}
	f.checkAnswers(answers)
}

// Guards against a truncated answer that reaches a caller as complete, and against a
// non-idempotent request that runs again because its answer was lost.
func TestTruncatedAnswersReachNoCaller(t *testing.T) {
	f := newFixture(t)
	f.admin(f.shopWorker().Process, http.MethodPut, "/admin/faults", emulator.WorkerFaults{Truncate: true})
	s := f.load(f.Streams(), 500, time.Millisecond, 20*time.Millisecond).check()
	if len(f.runsOf(f.shopWorker())) == 0 {
		t.Error("the truncating worker ran nothing")
	}
	t.Log(s)
}

// Guards against requests that wait for a silent connection, and against a
// non-idempotent one that runs again because its connection is silent.
func TestSilentConnectionsLoseAndRepeatNothing(t *testing.T) {
	f := newFixture(t)
	w := f.shopWorker()
	l := f.load(f.Streams(), 800, 5*time.Millisecond, 50*time.Millisecond)
	for _, n := range []int64{100, 300, 500} {
		l.awaitSent(n)
		f.admin(w.Process, http.MethodPost, "/admin/silence", nil)
	}
	if s := l.check(); s.OutcomeUnknown > 0 {
		t.Errorf("%d outcomes unknown, although new connections of the worker work", s.OutcomeUnknown)
	}
}

// Guards against lost and repeated work while all connections of a worker, new ones
// included, are silent.
func TestMuteWorkerLosesAndRepeatsNothing(t *testing.T) {
	f := newFixture(t)
	w := f.shopWorker()
	s := f.stream(12, func(caller, n int) call {
		c := f.call((caller+n)%len(f.Entries), "orders", http.MethodPost, f.Keys["orders"])
		c.duration = 500 * time.Millisecond
		return c
	})
	f.await("non-idempotent work runs on the worker", eventTimeout, func() error {
		for _, run := range f.runsOf(w) {
			if run.Team == "orders" && run.EndNS == 0 {
				return nil
			}
		}
		return errors.New("no run in progress")
	})
	f.admin(w.Process, http.MethodPost, "/admin/silence?mute=true", nil)
	l := f.load(f.Streams(), 500, 5*time.Millisecond, 50*time.Millisecond)
	l.awaitSent(400)
	// Longer than the silence timeout, so that entry daemons start to search for the outcomes.
	time.Sleep(2 * leavingBound)
	f.admin(w.Process, http.MethodPost, "/admin/unmute", nil)
	l.check()
	f.checkAnswers(s.stop())
}
