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
// outageExtension from the end of the owner's lease. Targets that follow a newer owner refuse
// it.
func (o *owner) extendThroughOutage(ctx context.Context) {
	requests := o.extensionRequests()
	o.logger.Info("lease of the owner expired, extending leases of targets without giving orders", "fence", uint64(o.term.Fence), "targets", len(requests), "for_ms", o.extensionLeft().Milliseconds())
	for ctx.Err() == nil && o.extensionLeft() > 0 && len(requests) > 0 {
		requests = o.extendLeases(ctx, requests)
		sleeper.Sleep(ctx, min(outageExtensionInterval, o.extensionLeft()))
	}
}

// extensionLeft returns how much longer leases may be extended. It is measured on the clock
// that includes suspension: timers don't run while a daemon is suspended.
func (o *owner) extensionLeft() time.Duration {
	return o.term.ValidUntil() + outageExtension - o.cfg.Clock()
}

// extensionRequests returns a request to extend the lease of each target that runs tasks. The
// requests acknowledge no ends.
func (o *owner) extensionRequests() []orchestrator.ListRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	var requests []orchestrator.ListRequest
	for id := range o.targetLoops {
		if request, known := o.engine.NextListRequest(id, o.cfg.Clock()); known && request.DeadlineMS > 0 {
			request.Acknowledged = 0
			requests = append(requests, request)
		}
	}
	return requests
}

// extendLeases sends the requests and returns those of the targets that answered, with new
// deadlines.
func (o *owner) extendLeases(ctx context.Context, requests []orchestrator.ListRequest) []orchestrator.ListRequest {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var kept []orchestrator.ListRequest
	for _, request := range requests {
		calls.Go(func() {
			call, cancel := context.WithTimeout(ctx, min(listTimeout, o.extensionLeft()))
			defer cancel()
			listing, err := o.cfg.Targets.List(call, request)
			if err != nil {
				o.logger.Debug("lease not extended", "target", request.Target.ID, "error", err)
				return
			}
			request.DeadlineMS = listing.ClockMS + o.cfg.Bounds.targetLease().Milliseconds() + outageExtensionInterval.Milliseconds()
			mu.Lock()
			defer mu.Unlock()
			kept = append(kept, request)
		})
	}
	calls.Wait()
	return kept
}
