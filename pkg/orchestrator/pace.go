package orchestrator

import "time"

const (
	// paceDown multiplies the share of filling tasks beside a serving task over its target.
	paceDown = 0.5
	// paceFloor is the share below which a filling task is halted altogether.
	paceFloor = 15
	// paceUp is added to the share, in percent, while serving tasks are well below their targets.
	paceUp = 20
	// paceHeadroom is the part of the target below which the share is raised.
	paceHeadroom = 0.75
	// paceSettle is added to the delay of a change before the next one: the figures
	// average half a second.
	paceSettle = 600 * time.Millisecond
)

// pace slows filling tasks beside serving tasks whose response times are over
// their targets, and gives the share back step by step.
func (e *Engine) pace(now time.Duration) {
	for _, t := range e.targets {
		if t.filling == 0 || !t.contactable(now) {
			continue
		}
		over, room := t.pressure()
		for _, a := range t.sortedAttempts() {
			if a.task.step.step.Filling && a.phase == phaseRunning {
				e.paceRun(a, over, room, now)
			}
		}
	}
}

// pressure reports whether a serving task is over its target, and whether all
// have room to spare.
func (t *target) pressure() (over, room bool) {
	room = true
	for _, a := range t.attempts {
		limit := float64(a.task.step.step.TailTargetMS)
		if limit <= 0 || a.phase != phaseRunning {
			continue
		}
		over = over || a.measurement > limit
		room = room && a.measurement < paceHeadroom*limit
	}
	return over, room
}

func (e *Engine) paceRun(a *attempt, over, room bool, now time.Duration) {
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
	case room:
		wanted = min(100, a.pace+paceUp)
	}
	if wanted == a.pace {
		return
	}
	e.cfg.Logger.Info("task paced", "task", a.task.id().String(), "target", a.target.ID, "from", a.pace, "to", wanted, "over_target", over)
	a.pace = wanted
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

// paceAnswered makes an order that was not carried out due again.
func (e *Engine) paceAnswered(answer Answer) {
	t := e.targets[answer.Order.Target.ID]
	if t == nil || answer.Outcome == OutcomeOK {
		return
	}
	if a := t.attempts[answer.Order.run()]; a != nil && a.pace == answer.Order.Percent {
		a.pace = min(100, max(answer.Order.Percent*2, paceFloor))
	}
}
