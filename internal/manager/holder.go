package manager

import (
	"context"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

const (
	// listWait is how long a target may hold back its lists while nothing ends.
	listWait = time.Second
	// listTimeout is added to the wait; an answer that takes longer is given up.
	listTimeout = 800 * time.Millisecond
	// listRetry separates attempts at a target that does not answer.
	listRetry = 250 * time.Millisecond
	// idlePause is how often an idle target is looked at in memory.
	idlePause = 500 * time.Millisecond
	// recordWait bounds the wait for the record of ends before the next list is asked
	// for without acknowledging them.
	recordWait = 150 * time.Millisecond
	// orderTimeout bounds an order to a target.
	orderTimeout = 600 * time.Millisecond
	// ordersAtOnce bounds the orders under way at one target, and so its connections.
	ordersAtOnce = 3
	// orderQueueLimit is how long a start may wait for its turn before it is dropped
	// unsent: the decision would rest on old knowledge.
	orderQueueLimit = 600 * time.Millisecond
)

// holder is what the owner keeps beside the engine for one target.
type holder struct {
	id    string
	woken chan struct{}
	slots chan struct{}
}

// hold starts asking a target for its lists.
func (o *owner) hold(ctx context.Context, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holders[id] != nil {
		return
	}
	h := &holder{
		id:    id,
		woken: make(chan struct{}, 1),
		slots: make(chan struct{}, ordersAtOnce),
	}
	o.holders[id] = h
	o.spawn(func() { o.watchTarget(ctx, h) })
}

// watchTarget renews the lease of a target and reads its lists until the engine
// forgets it or ctx ends.
func (o *owner) watchTarget(ctx context.Context, h *holder) {
	for ctx.Err() == nil {
		o.awaitRecord(ctx, h.id)
		o.mu.Lock()
		plan, known := o.engine.Hold(h.id, o.cfg.Clock())
		if !known {
			delete(o.holders, h.id)
		}
		o.mu.Unlock()
		if !known {
			return
		}
		if plan.Idle {
			h.await(ctx, idlePause)
			continue
		}
		if !o.entitled() || !o.list(ctx, plan) {
			sleeper.Sleep(ctx, listRetry)
		}
	}
}

// await returns when the holder is woken or the time has passed.
func (h *holder) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-h.woken:
	case <-timer.C:
	}
}

func (h *holder) wake() {
	select {
	case h.woken <- struct{}{}:
	default:
	}
}

// awaitRecord waits until the ends that a target listed are recorded, so that the
// next call acknowledges them.
func (o *owner) awaitRecord(ctx context.Context, id string) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	for {
		o.mu.Lock()
		pending := o.engine.Pending(id)
		settled := o.settled
		o.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-settled:
		case <-timer.C:
			return
		}
	}
}

// list carries out a plan and passes the lists to the engine.
func (o *owner) list(ctx context.Context, plan orchestrator.HoldPlan) bool {
	if plan.DeadlineMS > 0 {
		plan.Wait = listWait
	}
	o.mu.Lock()
	o.engine.Holding(plan)
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, plan.Wait+listTimeout)
	defer cancel()
	sentAt := o.cfg.Clock()
	listing, err := o.cfg.Targets.List(call, plan)
	receivedAt := o.cfg.Clock()
	if ctx.Err() != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.logger.Debug("target did not answer", "target", plan.Target.ID, "error", err)
		o.engine.Unanswered(plan.Target.ID, receivedAt)
		return false
	}
	listing.Plan = plan
	listing.SentAt = sentAt
	listing.ReceivedAt = receivedAt
	o.engine.Listed(listing, o.cfg.Wall())
	o.kick()
	return true
}

// dispatch carries out an order in the background.
func (o *owner) dispatch(ctx context.Context, order orchestrator.Order) {
	if order.Kind == orchestrator.KindMove || order.Kind == orchestrator.KindUpkeep {
		o.spawn(func() { o.orderVM(ctx, order) })
		return
	}
	o.mu.Lock()
	h := o.holders[order.Target.ID]
	o.mu.Unlock()
	if h == nil {
		o.answer(orchestrator.Answer{
			Order:   order,
			Outcome: orchestrator.OutcomeRefused,
		})
		return
	}
	o.spawn(func() { o.orderTarget(ctx, h, order) })
}

// orderTarget sends an order when its turn comes, if the ownership still holds.
func (o *owner) orderTarget(ctx context.Context, h *holder, order orchestrator.Order) {
	queuedAt := o.cfg.Clock()
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.slots }()
	late := order.Kind == orchestrator.KindStart && o.cfg.Clock()-queuedAt > orderQueueLimit
	if !o.entitled() || late {
		o.answer(orchestrator.Answer{
			Order:   order,
			Outcome: orchestrator.OutcomeRefused,
		})
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := o.cfg.Clock()
	outcome, clock, err := o.cfg.Targets.Order(call, order)
	o.answer(orchestrator.Answer{
		Order:      order,
		Outcome:    outcome,
		ClockMS:    clock,
		SentAt:     sentAt,
		ReceivedAt: o.cfg.Clock(),
		Err:        err,
	})
	if order.Kind == orchestrator.KindStart {
		h.wake()
	}
}

// orderVM carries out a move or an upkeep.
func (o *owner) orderVM(ctx context.Context, order orchestrator.Order) {
	answer := orchestrator.Answer{
		Order:   order,
		Outcome: orchestrator.OutcomeRefused,
		SentAt:  o.cfg.Clock(),
	}
	renewed := o.cfg.Clock()-o.term.RenewedAt() < dutyRenewal
	if o.entitled() && renewed && o.cfg.VMs != nil {
		call, cancel := context.WithTimeout(ctx, vmTimeout)
		defer cancel()
		answer.Outcome, answer.Err = o.cfg.VMs.Order(call, order)
	}
	answer.ReceivedAt = o.cfg.Clock()
	o.answer(answer)
}

func (o *owner) answer(a orchestrator.Answer) {
	o.mu.Lock()
	o.engine.Answered(a, o.cfg.Clock())
	o.mu.Unlock()
	o.kick()
}
