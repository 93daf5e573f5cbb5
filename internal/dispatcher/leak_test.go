package dispatcher

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// renewals counts the goroutines that renew sessions.
func renewals(t *testing.T) int {
	var stacks bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&stacks, 2); err != nil {
		t.Fatal(err)
	}
	return bytes.Count(stacks.Bytes(), []byte("runner.(*SessionPool).renewLoop("))
}

// heldResources counts what the requests still hold, by kind.
func (f *loadFixture) heldResources(t *testing.T) map[string]int {
	held := map[string]int{"session renewals": renewals(t)}
	for team := range f.tree.Teams {
		usage := f.holder.Usage(team)
		held["allowance slots"] += usage.Running
		held["queued slots"] += usage.Waiting
	}
	for _, p := range f.allPools() {
		p.mu.Lock()
		held["waiters"] += p.waiting
		for _, m := range p.members {
			held["grants"] += m.grants
		}
		for team := range f.tree.Teams {
			if p.sched.Running(team) != (runner.Resources{}) {
				held["teams with running work"]++
			}
		}
		p.mu.Unlock()
	}
	for name, n := range held {
		if n == 0 {
			delete(held, name)
		}
	}
	return held
}

// churn submits requests from several callers. A third of them is cancelled at a
// random time, and a third of the answers is closed early.
func (f *loadFixture) churn(seed uint64, callers, requests int, done *atomic.Int64) {
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(caller)))
			for range requests {
				ctx, cancel := context.WithCancel(context.Background())
				if rng.IntN(3) == 0 {
					time.AfterFunc(time.Duration(rng.IntN(2000))*time.Microsecond, cancel)
				}
				result := f.Submit(ctx, request(rng.IntN(len(f.tree.Teams)+1)-1))
				if result.Body != nil {
					if rng.IntN(3) != 0 {
						if _, err := io.Copy(io.Discard, result.Body); err == nil {
							done.Add(1)
						}
					}
					_ = result.Body.Close()
				}
				cancel()
			}
		})
	}
	wg.Wait()
}

// Guards against goroutines, grants, allowance slots and sessions that outlive
// cancelled requests, answers that were closed early and targets that were removed
// while they ran.
func TestRequestsLeakNoResources(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, testRequestsLeakNoResources)
}

func testRequestsLeakNoResources(t *testing.T) {
	const (
		teams   = 4
		targets = 12
	)
	f := newLoadFixture(t, teams, 500*time.Microsecond)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := f.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	f.setTargets(0, targets)
	f.awaitUsable(t, targets)
	moved := make(chan struct{})
	wg.Go(func() {
		defer close(moved)
		for n := range 40 {
			f.setTargets(n%targets, n%targets+targets)
			time.Sleep(5 * time.Millisecond)
		}
	})
	var done atomic.Int64
	f.churn(1, 48, 60, &done)
	<-moved
	if done.Load() == 0 {
		t.Fatal("no request was answered, so the test proves nothing")
	}
	// An answer that was closed early keeps its allowance until its session has ended.
	left := f.heldResources(t)
	for deadline := time.Now().Add(sessionEnd + 5*time.Second); len(left) > 0 && time.Now().Before(deadline); left = f.heldResources(t) {
		time.Sleep(20 * time.Millisecond)
	}
	if len(left) > 0 {
		t.Errorf("left after the requests: %v", left)
	}
	stop()
	f.Close()
	wg.Wait()
	if err := f.cfg.Recorder.Close(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against settings that are read and checked but have no effect.
func TestConfigDecidesDeadlineAndJournalBody(t *testing.T) {
	f := newLoadFixture(t, 1, 0)
	defer f.Close()
	f.cfg.InteractiveTimeout = 7 * time.Second
	f.cfg.MaxJournalBytes = 4
	now := time.Now()
	p, refusal := f.admit(Request{
		Queue:  "open",
		Method: "GET",
	}, now)
	if refusal != nil || !p.Deadline.Equal(now.Add(7*time.Second)) {
		t.Fatalf("got %+v, %+v, want a deadline after 7 s", p, refusal)
	}
	p.Body = strings.NewReader("12345")
	if result := f.runJournaled(t.Context(), p); result.Outcome != OutcomeNotRun || result.Reason != ReasonBodyTooLarge {
		t.Fatalf("got %+v, want not_run with body_too_large", result)
	}
}
