package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

const (
	// maxPause is how long a checkpointed task waits before it goes ahead of queued
	// requests, so that a pool that stays full does not starve it.
	maxPause = 30 * time.Second
	// minRun is how long a resumed task runs before it is checkpointed again, so that it
	// makes progress under bursts that follow each other.
	minRun = 5 * time.Second
	// checkpointReserve is the time before its deadline from which a task is not
	// checkpointed: twice maxPause.
	checkpointReserve = time.Minute
	// resumeRetryDelay is the wait after a worker refused or did not answer a resumption.
	resumeRetryDelay = 500 * time.Millisecond
)

// phase is what a deferrable task does, as far as its entry daemon knows.
type phase int

const (
	phaseIdle    phase = iota // not started, or its answer has begun
	phaseRunning              // at the worker
	phasePausing              // a checkpoint is under way
	phasePaused               // checkpointed: its slots are free
	phaseWaking               // a resumption is under way; its slots are reserved again
)

// pausable is the part of a grant that checkpoints use. The lock of the pool guards it.
// The allowance of the team stays taken during a checkpoint: a worker or a successor
// may resume the task at any time, and must not exceed the upper limit by that.
type pausable struct {
	task    string
	phase   phase
	since   time.Time // when the phase began
	retryAt time.Time // earliest next attempt to resume
	freed   bool      // the reservation has ended
}

// interruptible is the target of a deferrable job whose task may be checkpointed while
// the worker runs it.
type interruptible struct {
	runner.Target
	grant *grant
}

// Start implements runner.Target.
func (t interruptible) Start(ctx context.Context, task runner.Task, body io.Reader) (*runner.Answer, error) {
	t.grant.began(task.ID)
	defer t.grant.ended()
	return t.Target.Start(ctx, task, body)
}

func (g *grant) began(task string) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.task = task
	g.enter(phaseRunning)
	g.pool.tasks[g] = true
}

// ended is called when the answer has begun or none will come here. What is under way
// finds another phase and changes nothing more.
func (g *grant) ended() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.phase = phaseIdle
	delete(g.pool.tasks, g)
}

func (g *grant) enter(next phase) {
	g.phase = next
	g.since = time.Now()
}

// forget ends the reservation of a grant, once. The lock is held.
func (p *pool) forget(g *grant) {
	if !g.freed {
		p.sched.Finish(g.team, g.resources)
		p.placer.Release(g.placement)
	}
	g.freed = true
}

// checkpoint pauses a deferrable task when urgent or interactive work has waited for
// long and would fit in its place. The lock is held.
func (p *pool) checkpoint(now time.Time) {
	if p.calling || len(p.tasks) == 0 || !p.sched.ShouldCheckpoint(now) {
		return
	}
	var victim *grant
	p.sched.Delayed(now, func(r *scheduler.Request[*waiter]) bool {
		w := r.Value
		if p.placer.Fits(&w.need) || !p.affordable(w) {
			return false
		}
		victim = p.victim(now, w)
		return victim != nil
	})
	if victim == nil {
		return
	}
	p.calling = true
	victim.enter(phasePausing)
	p.d.registry.wg.Go(func() { p.pause(victim) })
}

// victim returns the task that was started or resumed last among those whose place
// would do. Each task on the target that is held for the request would: the next ticks
// take the others there until the request fits. A task that must soon start again to meet its deadline is left alone.
func (p *pool) victim(now time.Time, w *waiter) *grant {
	var best *grant
	for g := range p.tasks {
		switch {
		case g.phase != phaseRunning || !g.deadline.After(now.Add(checkpointReserve)):
		case !g.retryAt.IsZero() && now.Sub(g.since) < minRun:
		case !p.placer.FitsWithout(&w.need, g.placement) && (w != p.held || g.placement.Target != p.target):
		case best == nil || g.since.After(best.since):
			best = g
		}
	}
	return best
}

// pause checkpoints the task and grants its slots to others.
func (p *pool) pause(g *grant) {
	ctx, cancel := context.WithTimeout(p.d.ctx, stopTimeout)
	defer cancel()
	err := g.target.client.Checkpoint(ctx, g.task)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calling = false
	if g.phase != phasePausing {
		return // it has ended meanwhile
	}
	g.enter(phasePaused)
	g.retryAt = g.since
	if err != nil {
		// The task may be checkpointed or not. Its slots stay reserved until a
		// resumption, which has no effect on a running task, has settled it.
		p.d.cfg.Logger.Debug("task not checkpointed", "vm", g.target.vm.Name, "error", err)
		p.wake(g)
		return
	}
	p.forget(g)
	p.pump(time.Now())
}

// resume continues the tasks that have been checkpointed for the given time and for
// which their target has room, the oldest first. The lock is held.
func (p *pool) resume(now time.Time, paused time.Duration) {
	var due []*grant
	for g := range p.tasks {
		if g.phase == phasePaused && now.Sub(g.since) >= paused && !now.Before(g.retryAt) {
			due = append(due, g)
		}
	}
	slices.SortFunc(due, func(a, b *grant) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.task, b.task))
	})
	for _, g := range due {
		if p.reclaim(g) {
			p.wake(g)
		}
	}
}

// reclaim reserves the slots of a checkpointed task again. On a target that has left the
// pool there is nothing to reserve, and its worker decides alone.
func (p *pool) reclaim(g *grant) bool {
	if !g.freed {
		return true
	}
	if p.members[g.target.vm.Name] == g.member {
		placement, ok := p.placer.Reserve(g.target.vm.Name, &g.need)
		if !ok {
			return false
		}
		g.placement = placement
	}
	p.sched.Continue(g.team, g.resources)
	g.freed = false
	return true
}

// wake asks the worker to resume a task whose slots are reserved. The lock is held.
func (p *pool) wake(g *grant) {
	since := g.since
	g.enter(phaseWaking)
	p.d.registry.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.d.ctx, stopTimeout)
		defer cancel()
		err := g.target.client.Resume(ctx, g.task)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.woken(g, since, err)
	})
}

// woken takes the worker's answer to a resumption. The lock is held.
func (p *pool) woken(g *grant, since time.Time, err error) {
	switch {
	case g.phase != phaseWaking: // it has ended meanwhile
	case err == nil:
		g.enter(phaseRunning)
	default:
		// A task that has ended ends its call of Start as well. After any other
		// error the task is asked for again.
		g.phase = phasePaused
		g.since = since
		g.retryAt = time.Now().Add(resumeRetryDelay)
		if errors.Is(err, runner.ErrBusy) {
			p.forget(g) // others use the slots
		}
	}
}
