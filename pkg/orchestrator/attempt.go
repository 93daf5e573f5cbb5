package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

const (
	// retryDelay is the time from a failed run to the next run of its task.
	retryDelay = 50 * time.Millisecond
	// refusalDelay is how long a target gets no new starts after it refused one, for
	// example for lack of room. After the outcomes of failureCooldown that applies instead.
	refusalDelay = 150 * time.Millisecond
	// stopMargin is added to Config.StopTime before a stop is sent again.
	stopMargin = 500 * time.Millisecond
	// stuckFactor is the multiple of its estimated duration after which a run without
	// progress is stopped, so that its task starts elsewhere.
	stuckFactor = 1.5
	// stuckMin is the shortest time without progress that counts as stuck.
	stuckMin = 1500 * time.Millisecond
)

// attach adds a run to its task and target.
func (e *Engine) attach(a *attempt) {
	a.task.attempts = append(a.task.attempts, a)
	a.target.attempts[a.key()] = a
	reserved := a.task.step.step.Reserved()
	a.target.used = a.target.used.Plus(reserved)
	a.target.count(a.task.step.step, 1)
	if a.trial > 0 {
		a.target.trials++
	}
	team := a.task.step.job.doc.Team
	e.usage[team] = e.usage[team].Plus(a.task.step.step.Needs)
}

// count adds n to the numbers of latency-sensitive and best-effort runs that the step belongs
// to.
func (t *target) count(step *jobkeeper.Step, n int) {
	if step.BestEffort {
		t.bestEffort += n
	}
	if step.TailLatencyTargetMS > 0 {
		t.latencySensitive += n
	}
}

// detach removes a run from its task and target.
func (e *Engine) detach(a *attempt) {
	key := a.key()
	if a.target.attempts[key] != a {
		return
	}
	delete(a.target.attempts, key)
	a.target.used = a.target.used.Minus(a.task.step.step.Reserved())
	a.target.count(a.task.step.step, -1)
	if a.trial > 0 {
		a.target.trials--
	}
	team := a.task.step.job.doc.Team
	e.usage[team] = e.usage[team].Minus(a.task.step.step.Needs)
	kept := a.task.attempts[:0]
	for _, other := range a.task.attempts {
		if other != a {
			kept = append(kept, other)
		}
	}
	a.task.attempts = kept
}

// endAttempt removes a run and keeps its checkpoint. Unless the task is done, it is then
// waiting again.
func (e *Engine) endAttempt(a *attempt, how Ending, checkpoint string, now time.Duration) {
	e.detach(a)
	t := a.task
	if t.step.job.state.Ended() {
		e.dirty[t.step.job.doc.ID] = true // its document can be removed with the last run
	}
	if t.done {
		return
	}
	t.saveCheckpoint(checkpoint)
	if how == EndFailed {
		t.notBefore = now + retryDelay
	}
	if how != EndDone && !t.step.job.state.Ended() {
		e.cfg.Logger.Info("task waiting for another start", "task", t.id().String(), "run", a.run, "target", a.target.ID,
			"how", how, "failures", len(t.failedRuns), "checkpoint", t.checkpoint != "")
	}
}

// stop orders the target to stop a run. It does nothing if that was ordered before, except that
// the run is then stopped even if it is listed.
func (e *Engine) stop(a *attempt, now time.Duration, reason string) {
	a.stopUnlessListed = false
	if a.phase == phaseStopping {
		return
	}
	e.cfg.Logger.Info("run stopped", "task", a.task.id().String(), "run", a.run, "target", a.target.ID, "reason", reason, "percent", a.percent)
	a.phase = phaseStopping
	e.sendStop(a, now)
}

func (e *Engine) sendStop(a *attempt, now time.Duration) {
	a.stopSentAt = now
	e.orderStop(a.target, a.key())
}

// orderStop orders a target to stop a run.
func (e *Engine) orderStop(t *target, key runKey) {
	e.orders = append(e.orders, Order{
		Kind:   KindStop,
		Target: t.Endpoint,
		Fence:  e.cfg.Fence,
		Task:   key.task,
		Run:    key.run,

		incarnation: t.incarnation,
	})
}

// withdrawStop keeps a run whose stop was not answered. The stop may still be carried out, so the
// run stays on its target until the target shows that it has ended.
func (e *Engine) withdrawStop(a *attempt, reason string) {
	e.cfg.Logger.Info("stop withdrawn", "task", a.task.id().String(), "run", a.run, "target", a.target.ID, "reason", reason, "percent", a.percent)
	a.phase = phaseRunning
	a.stopUnlessListed = false
}

// resolveUnconfirmed sends unanswered stops again, and stops runs whose start was not
// answered and that the target's lists do not show. A target that has answered a stop
// never starts that run afterwards.
func (e *Engine) resolveUnconfirmed(now time.Duration) {
	for _, t := range e.targets {
		if !t.hasUnconfirmed() || !t.contactable(now) {
			continue
		}
		for _, a := range t.sortedAttempts() {
			switch {
			case !e.stopDue(a, now):
			case a.phase == phaseUnconfirmed:
				e.stop(a, now, "start not answered")
				a.stopUnlessListed = true
			case e.mayStopAgain(a, now):
				e.sendStop(a, now)
			default:
				e.withdrawStop(a, "disruption budget used up")
			}
		}
	}
}

// stopDue reports whether a run has to be stopped because its start was not answered, or again
// because its stop was not.
func (e *Engine) stopDue(a *attempt, now time.Duration) bool {
	wait := e.cfg.StopTime + stopMargin
	switch a.phase {
	case phaseUnconfirmed:
		return a.target.listedAt > a.orderedAt+wait && a.mayBeStoppedUnlisted(now)
	case phaseStopping:
		return a.stoppedAt == 0 && now-a.stopSentAt > wait && (!a.stopUnlessListed || a.mayBeStoppedUnlisted(now))
	default:
		return false
	}
}

// mayBeStoppedUnlisted reports whether a run that no list shows may be stopped. One of a step with
// a disruption budget may have started since the last list.
func (a *attempt) mayBeStoppedUnlisted(now time.Duration) bool {
	return !a.task.step.step.HasMaxUnavailable || now-a.target.answeredAt <= unlistedStopLimit
}

// unlistedStopLimit is how long after a list that does not show it a long-running task may be
// stopped. If it has started since, it has most likely not reached 100% by then.
const unlistedStopLimit = 500 * time.Millisecond

// mayStopAgain reports whether an unanswered stop may be sent again. The disruption budget of the
// step may be used up since it was sent first.
func (e *Engine) mayStopAgain(a *attempt, now time.Duration) bool {
	j := a.task.step.job
	return a.confirmedAt == 0 || j.state.Ended() || e.jobs[j.doc.ID] != j || e.mayInterrupt(a, now)
}

// hasUnconfirmed reports whether the outcome of a start or stop on the target is unknown.
func (t *target) hasUnconfirmed() bool {
	for _, a := range t.attempts {
		if a.phase == phaseUnconfirmed || a.phase == phaseStopping {
			return true
		}
	}
	return false
}

// stopStuck stops runs that make no progress, so that their tasks start elsewhere.
func (e *Engine) stopStuck(now time.Duration) {
	for _, t := range e.targets {
		for _, a := range t.attempts {
			step := a.task.step.step
			if a.phase != phaseRunning || step.BestEffort || !t.contactable(now) {
				continue
			}
			estimate := time.Duration(e.expectedMS(a.task.step)) * time.Millisecond
			limit := max(stuckMin, time.Duration(stuckFactor*float64(estimate)))
			stalled := now - a.progressAt
			if step.LongRunning {
				if a.percent >= 100 {
					continue
				}
				limit = max(limit, longRunningStartLimit)
			}
			if stalled < limit || t.listedAt-a.progressAt < limit/2 {
				continue
			}
			a.task.avoid = t.ID
			e.recordTargetFailure(a.task, t, now)
			e.stop(a, now, "no progress")
		}
	}
}

// longRunningStartLimit is the shortest time without progress after which a long-running
// task that has not reached 100% counts as stuck.
const longRunningStartLimit = 4 * time.Second

// Wanted reports whether a start or stop that was not sent yet is still to be sent: its run may
// have been lost or stopped, or its stop withdrawn, while the order waited.
func (e *Engine) Wanted(o *Order, now time.Duration) bool {
	var a *attempt
	if t := e.targets[o.Target.ID]; t != nil {
		a = t.attempts[o.run()]
	}
	switch o.Kind {
	case KindStart:
		return a != nil && a.phase == phaseOrdered && !e.inEvacuatedZone(a.target) && o.incarnation == a.target.incarnation && len(a.target.otherLives) == 0
	case KindStop:
		return a == nil || a.phase == phaseStopping && (!a.stopUnlessListed || a.mayBeStoppedUnlisted(now))
	default:
		return true
	}
}

// HandleAnswer processes the answer to an order.
func (e *Engine) HandleAnswer(answer Answer, now time.Duration) {
	e.observe(answer)
	switch answer.Order.Kind {
	case KindStart:
		e.handleStartAnswer(answer, now)
	case KindStop:
		e.handleStopAnswer(answer)
	case KindPace:
		e.handlePaceAnswer(answer)
	case KindMove, KindMaintenance:
		e.handleVMAnswer(answer, now)
	}
}

func (e *Engine) observe(answer Answer) {
	kind, outcome := string(answer.Order.Kind), string(answer.Outcome)
	if answer.Order.Kind == KindMove || answer.Order.Kind == KindMaintenance {
		e.cfg.Observer.VMOrder(kind, outcome)
		return
	}
	e.cfg.Observer.TaskOrder(kind, outcome)
}

func (e *Engine) handleStartAnswer(answer Answer, now time.Duration) {
	e.unansweredStarts = max(0, e.unansweredStarts-1)
	t := e.targets[answer.Order.Target.ID]
	if t == nil {
		return
	}
	t.setClockFrom(answer)
	a := t.attempts[answer.Order.run()]
	if a == nil {
		return
	}
	if answer.Outcome == OutcomeOK {
		if a.phase == phaseOrdered || a.phase == phaseUnconfirmed {
			a.phase = phaseRunning
			a.progressAt = now
		}
		if a.confirmedAt == 0 {
			a.confirmedAt = now
		}
		return
	}
	e.stats.Rejected++
	e.cfg.Logger.Info("start refused or not confirmed", "task", a.task.id().String(), "run", a.run, "target", t.ID, "outcome", answer.Outcome, "error", answer.Err)
	if answer.Outcome == OutcomeUnknown {
		if a.phase == phaseOrdered {
			a.phase = phaseUnconfirmed
		}
		t.closedUntil = now + failureCooldown
		return
	}
	t.closedUntil = now + refusalDelay
	if answer.Outcome == OutcomeRefused || answer.Outcome == OutcomeReplaced {
		t.closedUntil = now + failureCooldown
	}
	if answer.Outcome == OutcomeBadTicket {
		a.task.step.advice.discard(t.ID)
	}
	e.endAttempt(a, EndStopped, "", now)
}

func (e *Engine) handleStopAnswer(answer Answer) {
	t := e.targets[answer.Order.Target.ID]
	if t == nil {
		return
	}
	t.setClockFrom(answer)
	if answer.Outcome == OutcomeOK && answer.Order.incarnation == t.incarnation {
		e.dropStray(t.ID, answer.Order.run())
	}
	a := t.attempts[answer.Order.run()]
	if a != nil && answer.Outcome == OutcomeOK && a.stoppedAt == 0 {
		a.phase = phaseStopping // the stop may have been withdrawn
		a.stoppedAt = answer.ReceivedAt
	}
}
