package dispatcher

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// fillWorker takes all slots of the worker for some time, as another entry daemon would.
func (f *fixture) fillWorker(t *testing.T, duration time.Duration) {
	t.Helper()
	boot, err := f.worker.OpenSession(t.Context(), "other", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	for n := range emulator.DefaultSlots {
		go f.worker.Start(t.Context(), runner.Task{ //nolint:errcheck // only the slot matters
			ID:      fmt.Sprint("other", n),
			Session: "other",
			Boot:    boot,
			Path:    fmt.Sprintf("/x?duration_ms=%d", duration.Milliseconds()),
		}, strings.NewReader(""))
	}
	synctest.Wait()
}

// Guards against a refusal for lack of room that is also the answer to every later repeat, and
// against a repeat that waits for the end of a withdrawn record.
func TestRefusedOrderLeavesNoRecord(t *testing.T) {
	for _, tt := range []struct {
		name  string
		known bool // the dispatcher knows that the worker is full
	}{
		{
			name:  "no slot is free",
			known: true,
		},
		{
			name: "the worker refuses the start",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				identity := newIdentity(t)
				f.fillWorker(t, 20*time.Second)
				if tt.known {
					time.Sleep(2 * usageInterval)
				}
				var wg sync.WaitGroup
				for range 2 { // the second one is a repeat while the first one waits
					wg.Go(func() {
						if result := f.order(t, identity, "/x", 10*time.Second); result.Outcome != OutcomeNotRun {
							t.Errorf("full worker: %s, %s", result.Outcome, result.Reason)
						}
					})
					time.Sleep(time.Second)
				}
				wg.Wait()
				if _, err := f.cfg.Journal.Lookup(t.Context(), uuid.MustParse(identity), team); !errors.Is(err, journaler.ErrNotFound) {
					t.Errorf("lookup: %v", err)
				}
				time.Sleep(20 * time.Second)
				if result := f.order(t, identity, "/x", 10*time.Second); result.Outcome != OutcomeDone {
					t.Errorf("repeat: %s, %s", result.Outcome, result.Reason)
				}
			})
		})
	}
}

// Guards against more than two commits per non-idempotent request, and reports the calls to
// the store and the latency per request. Each call takes 2 ms; 25 writes/s is the budget of
// one of 8 entry daemons. The latency is in virtual time, so it leaves out CPU time.
func TestCallsPerOrder(t *testing.T) {
	const (
		orders = 10 // per caller
		calls  = 2 * time.Millisecond
	)
	for _, rate := range []float64{0, 25} {
		for _, callers := range []int{1, 10, 100} {
			t.Run(fmt.Sprintf("%d callers, %v writes per s", callers, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSizedFixture(t, 2*callers, 2*callers)
					f.order(t, newIdentity(t), "/x", time.Minute) // so that the allowance of the team is claimed
					f.delay.Store(int64(calls))
					f.writeLimiter.SetRate(rate)
					f.reads.Store(0)
					f.writes.Store(0)
					var wait atomic.Int64
					var wg sync.WaitGroup
					for range callers {
						wg.Go(func() {
							for range orders {
								start := time.Now()
								if result := f.order(t, newIdentity(t), "/x", time.Hour); result.Outcome != OutcomeDone {
									t.Errorf("%s: %s", result.Outcome, result.Reason)
								}
								wait.Add(int64(time.Since(start)))
							}
						})
					}
					wg.Wait()
					n := float64(callers * orders)
					writes := float64(f.writes.Load()) / n
					t.Logf("%.2f reads, %.2f writes, %v per request",
						float64(f.reads.Load())/n, writes, time.Duration(float64(wait.Load())/n).Round(time.Microsecond))
					if writes > 2 {
						t.Errorf("%.2f writes per request, want at most one before and one after the run", writes)
					}
				})
			})
		}
	}
}
