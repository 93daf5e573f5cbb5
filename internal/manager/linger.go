package manager

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

const (
	// outageExtension is how long an owner whose lease expired without an answer from the
	// store goes on extending the leases of targets, so that running tasks survive an outage
	// of the store. In this time it starts and stops no tasks. A new owner adds it to the time
	// that it waits for targets that it can't reach.
	outageExtension = 3 * time.Second
	// outageExtensionInterval separates two extensions.
	outageExtensionInterval = 800 * time.Millisecond
)

// extendThroughOutage extends the leases of targets that run tasks, for at most
// outageExtension. Targets that follow a newer owner refuse it.
func (o *owner) extendThroughOutage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, outageExtension)
	defer cancel()
	plans := o.extensionPlans()
	o.logger.Info("lease of the owner expired, extending leases of targets without giving orders", "fence", uint64(o.term.Fence), "targets", len(plans), "for_ms", outageExtension.Milliseconds())
	for ctx.Err() == nil && len(plans) > 0 {
		plans = o.extendLeases(ctx, plans)
		sleeper.Sleep(ctx, outageExtensionInterval)
	}
}

// extensionPlans returns a plan to extend the lease of each target that runs tasks. The plans
// acknowledge no ends.
func (o *owner) extensionPlans() []orchestrator.HoldPlan {
	o.mu.Lock()
	defer o.mu.Unlock()
	var plans []orchestrator.HoldPlan
	for id := range o.targetLoops {
		if plan, known := o.engine.Hold(id, o.cfg.Clock()); known && plan.DeadlineMS > 0 {
			plan.Acknowledged = 0
			plans = append(plans, plan)
		}
	}
	return plans
}

// extendLeases carries out the plans and returns those of the targets that answered, with new
// deadlines.
func (o *owner) extendLeases(ctx context.Context, plans []orchestrator.HoldPlan) []orchestrator.HoldPlan {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var kept []orchestrator.HoldPlan
	for _, plan := range plans {
		calls.Go(func() {
			call, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			listing, err := o.cfg.Targets.List(call, plan)
			if err != nil {
				o.logger.Debug("lease not extended", "target", plan.Target.ID, "error", err)
				return
			}
			plan.DeadlineMS = listing.ClockMS + o.cfg.Bounds.targetLease().Milliseconds() + outageExtensionInterval.Milliseconds()
			mu.Lock()
			defer mu.Unlock()
			kept = append(kept, plan)
		})
	}
	calls.Wait()
	return kept
}
