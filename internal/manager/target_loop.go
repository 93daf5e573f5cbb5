package manager

import (
	"context"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

const (
	// listWait is how long a target may delay its answer to a list request while no task ends.
	listWait = time.Second
	// listTimeout is added to the wait to bound a list request.
	listTimeout = 800 * time.Millisecond
	// listRetryDelay separates attempts at a target that does not answer.
	listRetryDelay = 250 * time.Millisecond
	// unwaitedListPause separates two lists of a target that were answered at once, because
	// nothing that the engine tracks runs there.
	unwaitedListPause = 100 * time.Millisecond
	// idleCheckInterval is how often the engine is asked whether an idle target has to be
	// listed.
	idleCheckInterval = 500 * time.Millisecond
	// maxRecordWait bounds the wait until listed ends are recorded. After it, the target is
	// listed again without acknowledging them.
	maxRecordWait = 150 * time.Millisecond
	// orderTimeout bounds an order to a target.
	orderTimeout = 600 * time.Millisecond
	// maxConcurrentOrders bounds the concurrent orders to one target, and so the connections
	// to it.
	maxConcurrentOrders = 3
	// maxOrderQueueTime is how long a start may wait to be sent before it is dropped, because
	// the decision rests on old state.
	maxOrderQueueTime = 600 * time.Millisecond
)

// targetLoop is the state of the goroutine that lists one target, and of the orders to it.
type targetLoop struct {
	id         string
	wakeup     chan struct{}
	orderSlots chan struct{}
}

// startTargetLoop starts to list a target, unless this is already under way.
func (o *owner) startTargetLoop(ctx context.Context, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.targetLoops[id] != nil {
		return
	}
	loop := &targetLoop{
		id:         id,
		wakeup:     make(chan struct{}, 1),
		orderSlots: make(chan struct{}, maxConcurrentOrders),
	}
	o.targetLoops[id] = loop
	o.spawn(func() { o.runTargetLoop(ctx, loop) })
}

// runTargetLoop extends the lease of a target and reads its lists until the engine no longer
// knows the target or ctx ends.
func (o *owner) runTargetLoop(ctx context.Context, loop *targetLoop) {
	for ctx.Err() == nil {
		o.awaitRecord(ctx, loop.id)
		request, known := o.nextListRequest(loop.id)
		if !known {
			return
		}
		if request.Skip {
			loop.await(ctx, idleCheckInterval)
			continue
		}
		switch {
		case !o.leaseValid() || !o.list(ctx, request):
			sleeper.Sleep(ctx, listRetryDelay)
		case request.DeadlineMS == 0:
			loop.await(ctx, unwaitedListPause)
		}
	}
}

// nextListRequest returns the next list request for a target. If the engine no longer knows the
// target, known is false and its loop is removed.
func (o *owner) nextListRequest(id string) (request orchestrator.ListRequest, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request, known = o.engine.NextListRequest(id, o.cfg.Clock())
	if !known {
		delete(o.targetLoops, id)
	}
	return request, known
}

// await returns after a call of wake, after d or when ctx ends.
func (loop *targetLoop) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-loop.wakeup:
	case <-timer.C:
	}
}

func (loop *targetLoop) wake() {
	select {
	case loop.wakeup <- struct{}{}:
	default:
	}
}

// awaitRecord waits until the ends that a target listed are recorded, so that the next list
// request acknowledges them, or until maxRecordWait has passed.
func (o *owner) awaitRecord(ctx context.Context, id string) {
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	for {
		o.mu.Lock()
		unrecorded := o.engine.HasUnrecordedEnds(id)
		recorded := o.recorded
		o.mu.Unlock()
		if !unrecorded {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-recorded:
		case <-timer.C:
			return
		}
	}
}

// list sends a list request, passes the lists to the engine and reports whether the target
// answered.
func (o *owner) list(ctx context.Context, request orchestrator.ListRequest) bool {
	if request.DeadlineMS > 0 {
		request.Wait = listWait
	}
	o.locked(func() { o.engine.ListRequested(request) })
	call, cancel := context.WithTimeout(ctx, request.Wait+listTimeout)
	defer cancel()
	sentAt := o.cfg.Clock()
	var listing orchestrator.Listing
	err := guard(o.logger, "list of target", request.Target.ID, func() (err error) {
		listing, err = o.cfg.Targets.List(call, request)
		return err
	})
	receivedAt := o.cfg.Clock()
	if ctx.Err() != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.logger.Debug("target did not answer", "target", request.Target.ID, "error", err)
		o.engine.ListFailed(request.Target.ID, receivedAt)
		return false
	}
	listing.Request = request
	listing.SentAt = sentAt
	listing.ReceivedAt = receivedAt
	err = guard(o.logger, "list of target", request.Target.ID, func() error {
		o.engine.HandleListing(listing, o.cfg.UnixMS())
		return nil
	})
	o.wake()
	return err == nil
}

// dispatch carries out an order in the background.
func (o *owner) dispatch(ctx context.Context, order orchestrator.Order) {
	if order.Kind == orchestrator.KindMove || order.Kind == orchestrator.KindMaintenance {
		o.vmOrders.enqueue(order)
		return
	}
	o.mu.Lock()
	loop := o.targetLoops[order.Target.ID]
	o.mu.Unlock()
	if loop == nil {
		o.answer(orchestrator.Answer{
			Order:   order,
			Outcome: orchestrator.OutcomeRefused,
		})
		return
	}
	o.spawn(func() { o.orderTarget(ctx, loop, order) })
}

// orderTarget sends an order as soon as fewer than maxConcurrentOrders are under way. It drops
// the order if the lease has expired by then, or if a start has waited for too long or its run
// was lost meanwhile.
func (o *owner) orderTarget(ctx context.Context, loop *targetLoop, order orchestrator.Order) {
	queuedAt := o.cfg.Clock()
	select {
	case loop.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-loop.orderSlots }()
	if order.Kind == orchestrator.KindStart && o.cfg.Clock()-queuedAt > maxOrderQueueTime || !o.leaseValid() || !o.wanted(&order) {
		o.answer(orchestrator.Answer{
			Order:   order,
			Outcome: orchestrator.OutcomeRefused,
		})
		return
	}
	call, cancel := o.withinLease(ctx, orderTimeout, o.leaseValid)
	defer cancel()
	sentAt := o.cfg.Clock()
	outcome, clock := orchestrator.OutcomeUnknown, int64(0)
	err := guard(o.logger, "order for target", order.Target.ID, func() (err error) {
		outcome, clock, err = o.cfg.Targets.Order(call, order)
		return err
	})
	o.answer(orchestrator.Answer{
		Order:      order,
		Outcome:    outcome,
		ClockMS:    clock,
		SentAt:     sentAt,
		ReceivedAt: o.cfg.Clock(),
		Err:        err,
	})
	if order.Kind == orchestrator.KindStart {
		loop.wake()
	}
}

// wanted reports whether an order that waited is still to be sent.
func (o *owner) wanted(order *orchestrator.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.engine.Wanted(order, o.cfg.Clock())
}

// orderVM carries out the move or maintenance of a VM if the lease was renewed recently.
func (o *owner) orderVM(ctx context.Context, order orchestrator.Order) {
	answer := orchestrator.Answer{
		Order:   order,
		Outcome: orchestrator.OutcomeRefused,
		SentAt:  o.cfg.Clock(),
	}
	if o.mayOrderVMs() && o.cfg.VMs != nil {
		call, cancel := o.withinLease(ctx, vmTimeout, o.mayOrderVMs)
		defer cancel()
		answer.Outcome, answer.Err = o.cfg.VMs.Order(call, order)
	}
	answer.ReceivedAt = o.cfg.Clock()
	o.vmOrders.ended(order.VM, answer.ReceivedAt)
	o.answer(answer)
}

func (o *owner) answer(a orchestrator.Answer) {
	o.locked(func() { o.engine.HandleAnswer(a, o.cfg.Clock()) })
	o.wake()
}
