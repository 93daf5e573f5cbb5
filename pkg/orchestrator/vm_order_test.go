package orchestrator_test

import (
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// Guards against targets that get no more work because an order for their VM, which an earlier one
// without an answer had carried out, was answered as done.
func TestTargetThatOutlivesAnOrderForItsVMGetsWork(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// earlier is true if this owner gave the unanswered order, false if one before it did.
		earlier bool
	}{
		{
			name:    "the same owner gave both orders",
			earlier: true,
		},
		{
			name: "an earlier owner gave the first one",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, r := newEngineWithTarget()
			now := 2 * time.Second
			// list passes a list of VMs to the engine, 500 ms after the last one.
			list := func(target string) {
				now += 500 * ms
				state := orchestrator.VMUp
				if target == "" {
					state = orchestrator.VMMaintenance
				}
				e.SetVMs([]orchestrator.VM{{
					ID:       r.VM,
					Pool:     r.Pool,
					State:    state,
					Target:   target,
					Capacity: r.Capacity,
				}}, now, now)
			}
			// order returns the next maintenance order of the engine.
			order := func() orchestrator.Order {
				t.Helper()
				for range 20 {
					list(r.ID)
					e.Tick(now, 0)
					for _, o := range e.Orders() {
						if o.Kind == orchestrator.KindMaintenance {
							return o
						}
					}
				}
				t.Fatal("no maintenance is ordered")
				return orchestrator.Order{}
			}
			list(r.ID)
			e.AddWave(orchestrator.Wave{
				Number:         1,
				VMs:            []string{r.VM},
				Duration:       time.Minute,
				MaxUnavailable: 1,
			}, nil, now)
			if tt.earlier {
				e.HandleAnswer(answerTo(order(), orchestrator.OutcomeUnknown, now), now)
				list("")
				r.ID = "t2"
				e.Register(r, now)
				e.HandleListing(listingOf(r, now), 0)
				recordChanges(e, now)
				list(r.ID)
			}
			e.HandleAnswer(answerTo(order(), orchestrator.OutcomeOK, now), now)
			list(r.ID)
			e.Tick(now, 0)
			e.HandleListing(listingOf(r, now), 0)
			recordChanges(e, now)
			e.AddJob(testJob("j1", "schools", 300, 1), 8, nil, 8, now, 0)
			found := 0
			for range 4 {
				now += 500 * ms
				found += len(starts(e, now))
			}
			if found != 1 {
				t.Errorf("%d starts on the target, want 1", found)
			}
		})
	}
}
