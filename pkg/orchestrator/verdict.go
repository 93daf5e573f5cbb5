package orchestrator

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// This file decides whether a task is the cause of the crashes under it. Targets also crash for
// reasons of their own, and often several in a row, so a crash is not held against a task while
// others happen in the pool in which the task had no part. Until that is known, and while the pool
// is not calm, a task with several crashes waits: a job that was given up can't be taken back.

const (
	// crashCalm is how long before a crash the pool must have been calm for it to be held against
	// a task. For tasks with crashLimit crashes or more, which start only then, trialCalm applies.
	crashCalm = 10 * time.Second
	trialCalm = 3 * time.Second
	// crashSettleTime is how long after a crash others count as simultaneous, unless it was
	// prompt. It is longer than the time between two lists of VMs, which show the crashes of idle
	// targets.
	crashSettleTime = time.Second
	// maxCertainCrashes is the number of crashes at which a task fails even in a pool that is not
	// calm, if crashLimit of them are proven: a task that crashes its targets may start no more
	// than twice after the third crash.
	maxCertainCrashes = 5
	// certainPromptness is the promptness of the crashes under a task that is proof even in a pool
	// that is not calm: three prompt ones, or two of which one is immediate.
	certainPromptness = 3
	// maxTrialCrashes is how many crashes under other tasks that start only in a calm pool may
	// happen near one that is held against a task. More have a cause of their own.
	maxTrialCrashes = 2
	// smallPool is the number of targets below which crashes of other causes strike the same task
	// too often: one that is not certain by promptness fails only at maxCertainCrashes.
	smallPool = 4
	// maxCalmWait is how long a task with crashLimit crashes waits for a calm pool, for each crash
	// from that one on.
	maxCalmWait = 30 * time.Second
)

// explained reports whether one of the possible causes of the crash probably is its cause.
func (c *crash) explained() bool {
	return slices.ContainsFunc(c.causes, func(cause crashCause) bool {
		return cause.task.crashed.convicted || cause.task.crashed.promptness > 0
	})
}

// unexplainedBy reports whether the crash has no probable cause and the task had no part in it.
func (c *crash) unexplainedBy(t *task) bool {
	return !c.causedBy(t) && !c.explained()
}

// explainedToOthers reports whether another task than this one was found to be the cause.
func (c *crash) explainedToOthers(t *task) bool {
	first := t.gangOf()[0]
	return slices.ContainsFunc(c.causes, func(cause crashCause) bool { return cause.task != first && cause.task.crashed.convicted })
}

// unexplainedSince reports whether the pool had a crash after the given time that is unexplained by
// the task.
func (p *pool) unexplainedSince(t *task, since time.Duration) bool {
	return t.crashed.earlier.otherCrashSince(since) || slices.ContainsFunc(p.crashes, func(c *crash) bool {
		return c.at > since && c.unexplainedBy(t)
	})
}

// sinceOtherCrash returns the time since the last crash that has no probable cause and in which the
// task had no part; zero if the pool has been calm.
func (p *pool) sinceOtherCrash(t *task, now time.Duration) time.Duration {
	last := t.crashed.earlier.otherAt
	for _, c := range p.crashes {
		if c.at > last && c.unexplainedBy(t) {
			last = c.at
		}
	}
	if last == 0 || now-last > crashCalm {
		return 0
	}
	return max(now-last, time.Millisecond)
}

// coincides reports whether another crash happened so near to this one, which may have been caused
// by a run of the task, that both may have another cause. The other one is kept, as the pool forgets
// its crashes.
func (c *runCrash) coincides(t *task, calm time.Duration) bool {
	if t.crashed.earlier.otherCrashSince(c.at-calm) || c.other != nil && !c.other.explained() {
		return true
	}
	until := c.at + crashSettleTime
	if c.prompt {
		until = c.at + sameMoment
	}
	trials := 0
	c.other = nil
	for _, other := range c.pool.crashes {
		near := other.at > c.at-calm && (other.at <= until || other.at == c.noticedAt)
		if !near || !other.unexplainedBy(t) {
			continue
		}
		if other.trial {
			trials++
		}
		if !other.trial || trials > maxTrialCrashes {
			c.other = other
			return true
		}
	}
	return false
}

// suspect adds a task, or the first one of a gang, to those that may be the cause of their crashes.
func (e *Engine) suspect(t *task) {
	if t.crashed.count() > 0 && !slices.Contains(e.suspects, t) {
		e.suspects = append(e.suspects, t)
	}
}

// weighCrashes updates which crashes under a task are held against it. One that is held stays so
// once others of the same moment would be known.
func (e *Engine) weighCrashes(t *task, now time.Duration) {
	r := &t.crashed
	if earlier := &r.earlier; now < earlier.loadedAt+crashSettleTime && e.pool(e.poolOf(t.step.job)).unexplainedSince(t, earlier.loadedAt-crashSettleTime) {
		earlier.held = heldCrashes{}
	}
	held := r.earlier.held
	for i := range r.crashes {
		c := &r.crashes[i]
		proven := slices.Contains(r.runs, c.run)
		if !c.settled {
			calm := crashCalm
			if r.earlier.count+i >= crashLimit {
				calm = trialCalm
			}
			// A new owner does not know all crashes of the time before.
			known := e.cfg.FirstOwner || c.prompt || !proven || c.at-calm >= e.cfg.AcquiredAt
			c.held = known && !c.coincides(t, calm) && !c.explainedToOthers(t)
			c.settled = c.held && now-c.noticedAt >= crashSettleTime
		}
		if c.held {
			held.add(proven)
		}
	}
	if held == r.held {
		return
	}
	for _, member := range t.gangOf() {
		member.crashed.held = held
	}
	e.dirty[t.step.job.doc.ID] = true
}

// convictable reports whether a task is certainly the cause of the crashes under it.
func (e *Engine) convictable(t *task, now time.Duration) bool {
	r := &t.crashed
	settled := now-r.lastAt >= crashSettleTime || r.promptness > 0 && len(r.crashes) > 0
	if !r.onlyCause || !settled || r.onOneVM() && r.count() < maxCertainCrashes {
		return false
	}
	limit := crashLimit
	if r.promptness > 0 || r.count() >= maxCertainCrashes {
		limit = promptCrashLimit
	}
	switch {
	case r.promptness >= certainPromptness, r.count() >= maxCertainCrashes && len(r.runs) >= crashLimit:
		return true
	case len(e.pool(e.poolOf(t.step.job)).targets) < smallPool:
		return r.held.unproven >= unprovenCrashLimit && !r.unsettled()
	}
	return r.held.proven >= limit || r.held.proven+r.held.unproven >= unprovenCrashLimit && !r.unsettled()
}

const (
	// returnDelay is how long a task does not start again on a VM on which two targets have crashed
	// under it, and on no other one. After further crashes there it is maxReturnDelay.
	returnDelay    = 3 * time.Second
	maxReturnDelay = 6 * time.Second
)

// mayReturn reports whether a suspected task may start again on a VM on which a target has crashed
// under it.
func (r *crashRecord) mayReturn(now time.Duration) bool {
	delay := returnDelay
	if r.count() > 2 {
		delay = maxReturnDelay
	}
	return !r.onOneVM() || now-r.lastAt >= delay
}

// mayStartAfterCrashes reports whether a suspected task may start again.
func (e *Engine) mayStartAfterCrashes(t *task, now time.Duration) bool {
	r := &t.crashed
	if r.count() < promptCrashLimit {
		return true
	}
	// An earlier owner may have left crashes that were not settled.
	unsettled := r.unsettled() || r.earlier.count > 0 && e.fleet.listedAt < r.earlier.loadedAt
	if now-r.lastAt < crashSettleTime || r.count() >= unprovenCrashLimit && unsettled {
		return false
	}
	if r.count() < crashLimit || now-r.lastAt > time.Duration(r.count()-crashLimit+1)*maxCalmWait {
		return true
	}
	return !e.pool(e.poolOf(t.step.job)).unexplainedSince(t, now-trialCalm)
}

// failCrashLooping ends the jobs of tasks that crash their targets. The crashes that such a task
// explains no longer count against others.
func (e *Engine) failCrashLooping(now time.Duration, nowMS int64) {
	e.suspects = slices.DeleteFunc(e.suspects, func(t *task) bool {
		j := t.step.job
		settled := t.crashed.count() < promptCrashLimit && now-t.crashed.lastAt > crashSettleTime
		return e.jobs[j.doc.ID] != j || j.state.Ended() || t.done || settled
	})
	for _, t := range e.suspects {
		j := t.step.job
		if j.transferring || j.state.Ended() {
			continue
		}
		e.weighCrashes(t, now)
		if !e.convictable(t, now) {
			continue
		}
		r := &t.crashed
		r.convicted = true
		e.cfg.Logger.Warn("task crashes its targets", "task", t.id().String(), "crashes", r.count(), "unproven", r.unproven,
			"held", r.held.proven+r.held.unproven, "promptness", r.promptness)
		e.endJob(j, jobkeeper.StateFailed, fmt.Sprintf("task %s crashed %d targets", t.id(), r.count()), now, nowMS)
		for _, c := range r.crashes {
			for _, other := range c.causes {
				if other.task != t {
					e.discount(other.task)
				}
			}
		}
	}
}
