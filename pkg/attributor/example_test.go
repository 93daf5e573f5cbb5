package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/attributor"
)

// A batch task comes and goes beside web tasks on two targets, and doubles their latency.
func ExampleAttributor_Observe() {
	a := attributor.New(attributor.Config{})
	baselines := map[string]*attributor.Baseline{
		"t1": {},
		"t2": {},
	}
	for n := range 12 {
		ratio, neighbours := 0.4, []attributor.Neighbour(nil)
		if n%4 >= 2 {
			ratio = 0.8
			neighbours = []attributor.Neighbour{{
				Kind:     "batch",
				Exposure: 1,
			}}
		}
		for _, target := range []string{"t1", "t2"} {
			a.Observe(attributor.Observation{
				Kind:       "web",
				Target:     target,
				Baseline:   baselines[target],
				Ratio:      ratio,
				Neighbours: neighbours,
			}, time.Duration(n)*time.Second)
		}
	}
	x := a.Effect("web", "batch", 12*time.Second)
	fmt.Println(x.Confirmed, x.Factor > 1.6, x.Factor < 2.4)
	// Output: true true true
}

func BenchmarkObserve(b *testing.B) {
	l := newLoad(1, "web", "batch", "index")
	l.run(time.Second, func() {})
	for n := 0; b.Loop(); n++ {
		l.now += time.Millisecond
		l.observe(l.targets[n%len(l.targets)], n%tasksPerTarget)
	}
}
