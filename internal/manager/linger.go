package manager

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

const (
	// lingerTime is how long an owner whose right ended without an answer from the store
	// goes on extending leases, so that what runs outlasts an outage of the store. It
	// starts and stops nothing. A new owner waits longer by this time for targets that
	// it can't reach.
	lingerTime = 3 * time.Second
	// lingerInterval separates two extensions.
	lingerInterval = 800 * time.Millisecond
)

// linger extends the leases of targets that run something. Targets that obey a newer
// owner refuse it.
func (o *owner) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	plans := o.lingerPlans()
	o.logger.Info("leases kept without a right to order", "fence", uint64(o.term.Fence), "targets", len(plans), "for_ms", lingerTime.Milliseconds())
	for ctx.Err() == nil && len(plans) > 0 {
		plans = o.extend(ctx, plans)
		sleeper.Sleep(ctx, lingerInterval)
	}
}

// lingerPlans returns how to extend the lease of each target that runs something.
func (o *owner) lingerPlans() []orchestrator.HoldPlan {
	o.mu.Lock()
	defer o.mu.Unlock()
	var plans []orchestrator.HoldPlan
	for id := range o.holders {
		if plan, known := o.engine.Hold(id, o.cfg.Clock()); known && plan.DeadlineMS > 0 {
			plan.Acknowledged = 0
			plans = append(plans, plan)
		}
	}
	return plans
}

// extend carries out the plans and returns those for the targets that answered.
func (o *owner) extend(ctx context.Context, plans []orchestrator.HoldPlan) []orchestrator.HoldPlan {
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
			plan.DeadlineMS = listing.ClockMS + o.cfg.Bounds.holdTime().Milliseconds() + lingerInterval.Milliseconds()
			mu.Lock()
			defer mu.Unlock()
			kept = append(kept, plan)
		})
	}
	calls.Wait()
	return kept
}
