package dispatcher

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a further commit per request on the line, and reports the calls to
// the store and the latency per request. Each call takes 2 ms; 25 writes/s is the
// budget of one of 8 entry daemons. The latency is that of waiting, without CPU time.
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
					f.order(t, newIdentity(t), "/x", time.Minute) // the limit claims its allowance
					f.delay.Store(int64(calls))
					f.pacer.SetRate(rate)
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
