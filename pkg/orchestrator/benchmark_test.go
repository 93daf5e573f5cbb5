package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// BenchmarkTick measures Tick at the size of the grown deployment: 350 targets in one pool,
// with a backlog that exceeds the capacity of the pool.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{50, 500, 1500} {
		for _, takeover := range []bool{false, true} {
			b.Run(fmt.Sprintf("jobs %d, takeover %v", jobs, takeover), func(b *testing.B) {
				w := newWorld(b, testConfiguration())
				for i := range 350 {
					w.addTarget(fmt.Sprintf("t%03d", i), "desk", cores(8))
				}
				w.takeOver()
				w.run(300 * time.Millisecond)
				for i := range jobs {
					w.submit(testJob(fmt.Sprintf("j%04d", i), "schools", 60_000, 8, 8))
				}
				w.run(200 * time.Millisecond)
				if takeover {
					w.vmListDown = true
					w.targets["t000"].reachable = false
					w.takeOver()
					w.run(200 * time.Millisecond)
				}
				for i := range 1000 {
					name := fmt.Sprintf("q%d", i)
					w.conf.Queues[name] = orchestrator.Queue{
						Name: name,
						Pool: "desk",
					}
				}
				w.engine.Configure(w.conf)
				b.ResetTimer()
				for range b.N {
					w.now += 5 * time.Millisecond
					w.engine.Tick(w.now, w.wall())
					w.engine.Orders()
					if w.now%(300*time.Millisecond) == 0 {
						w.engine.QueueStates(w.now)
					}
				}
			})
		}
	}
}
