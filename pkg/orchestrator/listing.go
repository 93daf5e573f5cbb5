package orchestrator

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// HandleListing processes a target's lists of running and ended runs. nowMS is the Unix time
// in milliseconds. Lists that were requested before the last one processed, or before the target
// registered, or that describe an earlier life of the target, are ignored.
func (e *Engine) HandleListing(l Listing, nowMS int64) {
	t := e.targets[l.Request.Target.ID]
	if t == nil || l.SentAt < max(t.listedAt, t.firstSeenAt) {
		return
	}
	now := l.ReceivedAt
	if !e.observeListing(t, &l) {
		return
	}
	if lapse, lapsed := e.lapses[t.ID]; lapsed && l.SentAt > lapse.at {
		e.settleLapse(t.ID, lapse.incarnation == 0 || t.incarnation != lapse.incarnation)
	}
	e.stopStrays(t, &l)
	t.setClock(l.ClockMS, now)
	if t.failedAt != 0 {
		e.cfg.Logger.Info("target lists its runs again", "target", t.ID, "pool", t.Pool, "running", len(l.Running))
		t.regainedAt = now
	}
	t.failedAt = 0
	t.crashRecorded = false
	t.answeredAt = now
	t.listedAt = l.SentAt
	first := !t.listed
	t.listed = true
	t.acknowledged = max(t.acknowledged, min(l.Request.Acknowledged, t.recorded))
	if first && len(l.Running) > 0 {
		t.deadlineMS = max(t.deadlineMS, l.ClockMS+e.cfg.MaxLeaseDuration.Milliseconds())
	}
	for _, end := range l.Ended {
		e.handleEnd(t, end, now, nowMS)
	}
	present := map[runKey]bool{}
	t.unexpectedRuns = 0
	for _, r := range l.Running {
		present[r.key()] = true
		if !e.handleRunning(t, r, now, nowMS) {
			t.unexpectedRuns++
		}
	}
	maps.DeleteFunc(t.unexpectedStops, func(key runKey, _ time.Duration) bool { return !present[key] })
	if !l.EndsOmitted {
		e.endMissing(t, present, l, now)
	}
	for _, r := range l.Running {
		if a := t.attempts[r.key()]; a != nil {
			e.observeRun(a, false, now)
		}
	}
}

// handleRunning processes an entry of a list of running tasks. It returns false if the run
// is unexpected and was ordered to stop.
func (e *Engine) handleRunning(t *target, r Run, now time.Duration, nowMS int64) bool {
	a := t.attempts[r.key()]
	if a == nil {
		a = e.adopt(t, r, now, nowMS)
		if a == nil {
			return false
		}
	}
	a.listed = true
	if a.phase == phaseOrdered || a.phase == phaseUnconfirmed {
		a.phase = phaseRunning
	}
	if a.confirmedAt == 0 {
		a.confirmedAt = now
		a.progressAt = now
	}
	a.task.saveCheckpoint(r.Checkpoint)
	if r.Percent != a.percent {
		a.progressAt = now
	}
	a.percent = r.Percent
	a.noteProgress(r.Percent, now)
	a.measurement = r.Measurement
	if a.stopUnlessListed && a.stoppedAt == 0 && !a.task.done {
		e.withdrawStop(a, "target lists the run")
	}
	e.observeSpeed(a, now)
	e.resetCrashes(a)
	return true
}

// adopt takes over a run that this engine did not order. If no task needs it, it orders the
// run to stop and returns nil.
func (e *Engine) adopt(t *target, r Run, now time.Duration, nowMS int64) *attempt {
	j := e.jobs[r.Task.Job]
	var found *task
	if j != nil && !j.docRemoved {
		e.openOccurrence(j, r.Task.Occurrence, now, nowMS)
		found = j.task(r.Task.TaskKey)
	}
	switch {
	case j == nil, found == nil, found.done, len(found.attempts) > 0 && !found.step.step.Speculative:
		e.stopUnexpected(t, r, j != nil, now)
		return nil
	}
	a := &attempt{
		task:        found,
		run:         r.Run,
		target:      t,
		phase:       phaseRunning,
		orderedAt:   now,
		confirmedAt: now,
		adopted:     true,
		progressAt:  now,
		trial:       found.trial(),
		pace:        100,
	}
	e.attach(a)
	found.uncertain = false
	j.started = true
	if j.state.Ended() {
		e.stop(a, now, string(j.state))
		return a
	}
	e.cfg.Logger.Info("run adopted", "task", r.Task.String(), "run", r.Run, "target", t.ID, "percent", r.Percent)
	return a
}

// stopUnexpected orders a run to stop that the engine does not track, and again if it is still
// listed after the time that a stop takes.
func (e *Engine) stopUnexpected(t *target, r Run, jobKnown bool, now time.Duration) {
	if sentAt, sent := t.unexpectedStops[r.key()]; sent && now-sentAt < e.cfg.StopTime+stopMargin {
		return
	}
	if t.unexpectedStops == nil {
		t.unexpectedStops = map[runKey]time.Duration{}
	}
	t.unexpectedStops[r.key()] = now
	e.cfg.Logger.Warn("unexpected run stopped", "task", r.Task.String(), "run", r.Run, "target", t.ID, "job_known", jobKnown)
	e.orderStop(t, r.key())
}

// endMissing ends runs that are not in a list although the target had confirmed them, or
// had answered their stop, before the list was requested.
func (e *Engine) endMissing(t *target, present map[runKey]bool, l Listing, now time.Duration) {
	for _, a := range t.sortedAttempts() {
		if present[a.key()] {
			continue
		}
		confirmedBefore := a.confirmedAt > 0 && a.confirmedAt < l.SentAt
		stoppedBefore := a.stoppedAt > 0 && a.stoppedAt < l.SentAt
		if !confirmedBefore && !stoppedBefore {
			continue
		}
		e.stats.Lost++
		e.cfg.Logger.Info("run missing from the target's list", "task", a.task.id(), "run", a.run, "target", t.ID, "phase", int(a.phase), "stopped", stoppedBefore)
		e.endAttempt(a, EndLapsed, "", now)
	}
}

// handleEnd processes an entry of a list of ended runs. Ends up to the number t.seen were
// processed before.
func (e *Engine) handleEnd(t *target, end End, now time.Duration, nowMS int64) {
	if end.Number <= t.seen {
		return
	}
	t.seen = end.Number
	e.cfg.Observer.TaskEnd(t.Pool, string(end.How))
	a := t.attempts[end.key()]
	if a == nil {
		e.handleUnknownEnd(t, end, now, nowMS)
		return
	}
	e.cfg.Logger.Debug("run ended", "task", end.Task.String(), "run", end.Run, "target", t.ID, "how", end.How)
	if end.How == EndDone {
		e.observeRun(a, true, now)
		e.reportSlowed(a, now)
		e.learnDuration(a, now)
	}
	e.recordEnd(a.task, t, end, now, nowMS)
	e.endAttempt(a, end.How, end.Checkpoint, now)
}

// handleUnknownEnd processes the end of a run that this engine did not order or no longer
// tracks.
func (e *Engine) handleUnknownEnd(t *target, end End, now time.Duration, nowMS int64) {
	j := e.jobs[end.Task.Job]
	if j == nil || j.state.Ended() {
		return
	}
	e.openOccurrence(j, end.Task.Occurrence, now, nowMS)
	found := j.task(end.Task.TaskKey)
	if found == nil || found.done {
		return
	}
	e.cfg.Logger.Info("end of an untracked run", "task", end.Task.String(), "run", end.Run, "target", t.ID, "how", end.How)
	if len(found.attempts) == 0 {
		found.saveCheckpoint(end.Checkpoint)
	}
	e.recordEnd(found, t, end, now, nowMS)
}

// recordEnd updates the task and its job after the end of a run.
func (e *Engine) recordEnd(t *task, on *target, end End, now time.Duration, nowMS int64) {
	j := t.step.job
	e.dirty[j.doc.ID] = true
	if j.transferring {
		on.holdEnd(j.doc.ID, end.Number)
	}
	t.lastEnd = now
	if j.state.Ended() {
		return
	}
	longRunning := t.step.step.LongRunning
	switch end.How {
	case EndDone:
		e.stats.Done++
		if !longRunning {
			e.pool(on.Pool).ejector.Record(instant(now), on.ID, true)
			e.finishTask(t, now, nowMS)
		}
	case EndFailed:
		e.stats.Failed++
		t.avoid = on.ID
		if longRunning || !t.recordFailure(end.Run) {
			return
		}
		e.recordTargetFailure(t, on, now)
		if len(t.failedRuns) >= e.maxAttempts(j) {
			e.endJob(j, jobkeeper.StateFailed, "task "+t.id().String()+" failed "+on.ID, now, nowMS)
		}
	case EndLapsed, EndBroken, EndGangIncomplete:
		e.stats.Lapsed++
	case EndStopped:
		e.stats.Stopped++
	}
}

// recordTargetFailure counts a failure against the target. It does not if the job itself is
// the likely cause: the task failed before, or another task of the step failed elsewhere.
func (e *Engine) recordTargetFailure(t *task, on *target, now time.Duration) {
	if len(t.failedRuns) > 1 || t.step.step.LongRunning {
		return
	}
	for _, other := range t.step.tasks {
		if other != t && len(other.failedRuns) > 0 && other.avoid != on.ID {
			return
		}
	}
	if e.pool(on.Pool).ejector.Record(instant(now), on.ID, false) {
		e.stats.Suspected++
		e.cfg.Logger.Warn("target ejected after task failures", "target", on.ID, "pool", on.Pool, "reason", "consecutive task failures", "task", t.id().String())
	}
}

// finishTask marks a task as done; if it is a member of a gang, all members.
func (e *Engine) finishTask(t *task, now time.Duration, nowMS int64) {
	if !t.step.step.Gang {
		e.markDone(t, now, nowMS)
		return
	}
	for _, member := range t.step.tasks {
		e.markDone(member, now, nowMS)
	}
}

func (e *Engine) markDone(t *task, now time.Duration, nowMS int64) {
	if t.done {
		return
	}
	t.done = true
	t.uncertain = false
	for _, a := range t.attempts {
		if a.phase == phaseRunning || a.phase == phaseOrdered || a.phase == phaseUnconfirmed {
			if !t.step.step.Gang {
				e.stopDuplicate(a, now)
			}
		}
	}
	s, j := t.step, t.step.job
	s.done++
	if !s.allDone() {
		return
	}
	e.learnStep(s)
	s.occurrence.done++
	if s.occurrence.done < len(s.occurrence.steps) {
		return
	}
	e.closeOccurrences(j, now, nowMS)
}

// stopDuplicate stops a run of a task that is done, if the task has several. The run that
// ended is among them; it is detached right after, so its stop has no effect.
func (e *Engine) stopDuplicate(a *attempt, now time.Duration) {
	if len(a.task.attempts) > 1 {
		e.stop(a, now, "another run of the task is done")
	}
}

// closeOccurrences removes the leading occurrences that are done, and completes the job
// when none is left.
func (e *Engine) closeOccurrences(j *job, now time.Duration, nowMS int64) {
	for {
		o := j.current()
		if o == nil || o.done < len(o.steps) {
			break
		}
		e.predict(o, now)
		j.lastChain, j.lastFirstChain = o.chain, o.firstChain
		j.open = slices.Delete(j.open, 0, 1) // the open ones are sorted
		j.finished++
	}
	if j.finished >= j.doc.Occurrences() && !j.state.Ended() {
		e.endJob(j, jobkeeper.StateComplete, "all tasks done", now, nowMS)
	}
}
