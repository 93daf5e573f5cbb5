package orchestrator

import "time"

const (
	// paceDown multiplies the pace of best-effort tasks on a target where a latency-sensitive
	// task exceeds its latency target.
	paceDown = 0.5
	// paceFloor is the pace, in percent, below which a best-effort task is halted.
	paceFloor = 15
	// paceUp is added to the pace, in percent, while latency-sensitive tasks have headroom.
	paceUp = 20
	// paceHeadroom is the fraction of the latency target below which a latency-sensitive task
	// has headroom.
	paceHeadroom = 0.75
	// paceSettle is added to Config.PaceDelay to give the time between two changes,
	// because the reported latencies are averages over half a second.
	paceSettle = 600 * time.Millisecond
)

// pace slows best-effort tasks on targets where a latency-sensitive task exceeds its latency
// target, and raises their pace again in steps. Best-effort tasks use processors that others
// leave unused; latency-sensitive tasks have a latency target. A pace is the share, in
// percent, at which a best-effort task may run.
func (e *Engine) pace(now time.Duration) {
	for _, t := range e.targets {
		if t.bestEffort == 0 || !t.contactable(now) {
			continue
		}
		over, headroom := t.pressure()
		for _, a := range t.sortedAttempts() {
			if a.task.step.step.BestEffort && a.phase == phaseRunning {
				e.paceRun(a, over, headroom, now)
			}
		}
	}
}

// pressure reports whether a latency-sensitive task exceeds its latency target, and whether
// all have headroom.
func (t *target) pressure() (over, headroom bool) {
	headroom = true
	for _, a := range t.attempts {
		limit := float64(a.task.step.step.TailLatencyTargetMS)
		if limit <= 0 || a.phase != phaseRunning {
			continue
		}
		over = over || a.measurement > limit
		headroom = headroom && a.measurement < paceHeadroom*limit
	}
	return over, headroom
}

func (e *Engine) paceRun(a *attempt, over, headroom bool, now time.Duration) {
	if now-a.paceSentAt < e.cfg.PaceDelay+paceSettle && a.paceSentAt > 0 {
		return
	}
	wanted := a.pace
	switch {
	case over:
		wanted = int(paceDown * float64(a.pace))
		if wanted < paceFloor {
			wanted = 0
		}
	case headroom:
		wanted = min(100, a.pace+paceUp)
	}
	if wanted == a.pace {
		return
	}
	e.cfg.Logger.Info("task paced", "task", a.task.id().String(), "target", a.target.ID, "from", a.pace, "to", wanted, "over_target", over)
	a.paceBefore, a.pace = a.pace, wanted
	a.paceSentAt = now
	e.orders = append(e.orders, Order{
		Kind:    KindPace,
		Target:  a.target.Endpoint,
		Fence:   e.cfg.Fence,
		Task:    a.task.id(),
		Run:     a.run,
		Percent: wanted,
	})
}

// handlePaceAnswer changes the recorded pace after an order that failed, so that the next
// round orders a change again.
func (e *Engine) handlePaceAnswer(answer Answer) {
	t := e.targets[answer.Order.Target.ID]
	if t == nil || answer.Outcome == OutcomeOK {
		return
	}
	if a := t.attempts[answer.Order.run()]; a != nil && a.pace == answer.Order.Percent {
		a.pace = min(100, max(answer.Order.Percent*2, paceFloor))
	}
}
