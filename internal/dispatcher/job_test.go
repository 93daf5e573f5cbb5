package dispatcher

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Guards against work beyond the limit of a team: a job whose task may still run
// and an adopted task must hold the allowance of their queue's slots.
func TestJobsHoldAllowance(t *testing.T) {
	place := func(ctx context.Context, f *fixture) (func(bool), error) {
		p, err := f.Place(ctx, job("plans", team))
		return p.Release, err
	}
	adopt := func(ctx context.Context, f *fixture) (func(bool), error) {
		return f.AcquireAllowance(ctx, job("plans", team))
	}
	public := func(ctx context.Context, f *fixture) (func(bool), error) {
		return f.AcquireAllowance(ctx, job("public", ""))
	}
	for _, tt := range []struct {
		name    string
		acquire func(ctx context.Context, f *fixture) (func(bool), error)
		ended   bool
		slots   int
		hold    time.Duration // how long the allowance stays taken after the release
	}{
		{
			name:    "placed job that has ended",
			acquire: place,
			ended:   true,
			slots:   3,
		},
		{
			name:    "placed job that may run on",
			acquire: place,
			slots:   3,
			hold:    sessionEnd,
		},
		{
			name:    "adopted task that has ended",
			acquire: adopt,
			ended:   true,
			slots:   3,
		},
		{
			name:    "adopted task that may run on",
			acquire: adopt,
			slots:   3,
			hold:    sessionEnd,
		},
		{
			name:    "adopted task of an open queue",
			acquire: public,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				running := func() int { return f.cfg.Holder.Usage(team).Running }
				release, err := tt.acquire(t.Context(), f)
				if err != nil || running() != tt.slots {
					t.Fatalf("%d slots, %v, want %d", running(), err, tt.slots)
				}
				if tt.slots > 0 {
					checkLimitReached(t, f)
				}
				release(tt.ended)
				start := time.Now()
				for running() > 0 && time.Since(start) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				if took := time.Since(start); took < tt.hold || took > tt.hold+time.Millisecond {
					t.Errorf("allowance stayed taken for %v, want %v", took, tt.hold)
				}
			})
		})
	}
}

// checkLimitReached checks that a further task, which would exceed the limit, gets no
// allowance.
func checkLimitReached(t *testing.T, f *fixture) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), runner.DefaultSessionTTL)
	defer cancel()
	start := time.Now()
	_, err := f.AcquireAllowance(ctx, job("plans", team))
	if took := time.Since(start); !errors.Is(err, limiter.ErrNoAllowance) || took != runner.DefaultSessionTTL {
		t.Errorf("second task of 3 slots below a limit of %d: %v after %v", teamLimit, err, took)
	}
}

// Guards against running requests that are lost because recovery asks for a second
// allowance while the first one is still held: the team is at its limit here.
func TestInterruptedOrdersKeepTheirAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var wg sync.WaitGroup
		for range teamLimit {
			wg.Go(func() {
				result := f.order(t, newIdentity(t), "/x?duration_ms=30000", time.Minute)
				if result.Outcome != OutcomeDone {
					t.Errorf("%s: %s, %s", result.Outcome, result.Reason, result.Detail)
				}
			})
		}
		time.Sleep(time.Second)
		f.server.Silence(false)
		wg.Wait()
		if runs := f.worker.Runs().Runs; len(runs) != teamLimit {
			t.Errorf("%d runs", len(runs))
		}
		time.Sleep(time.Second)
		if running := f.cfg.Holder.Usage(team).Running; running != 0 {
			t.Errorf("%d slots are still taken", running)
		}
	})
}

// Guards against an adopted task whose size is not known.
func TestAdoptedTaskOfAnUnknownQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		if _, err := f.AcquireAllowance(t.Context(), job("gone", team)); err == nil {
			t.Error("got allowance for a task of an unknown queue")
		}
	})
}
