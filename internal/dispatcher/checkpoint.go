package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

const (
	// maxPause is how long a checkpointed task waits before it goes ahead of queued
	// requests, so that a pool that stays full does not starve it.
	maxPause = 30 * time.Second
	// minRun is how long a resumed task runs before it may be checkpointed again, so that it
	// makes progress under repeated bursts.
	minRun = 5 * time.Second
	// checkpointReserve is the time before its deadline from which a task is no longer
	// checkpointed: twice maxPause.
	checkpointReserve = time.Minute
	// resumeRetryDelay is the delay before a resume request is repeated that the worker
	// refused or did not answer.
	resumeRetryDelay = 500 * time.Millisecond
)

// phase is the state of a deferrable task as its entry daemon knows it.
type phase int

const (
	phaseIdle          phase = iota // not started, or its answer has begun
	phaseRunning                    // running at the worker
	phaseCheckpointing              // a checkpoint request is in progress
	phaseCheckpointed               // checkpointed, or a resume request failed
	phaseResuming                   // a resume request is in progress; its slots are reserved
)

// checkpointState is the part of a grant that checkpoints use. The lock of the pool guards it.
// The team's allowance stays taken while the task is checkpointed: its worker or a successor
// of this entry daemon may resume it at any time, and the team must not exceed its limit then.
type checkpointState struct {
	task        string
	phase       phase
	since       time.Time // when the phase began
	resumeAfter time.Time // earliest time of the next resume request; zero before the first checkpoint
	freed       bool      // the slots are no longer reserved
}

// checkpointableTarget is the target of a deferrable job. Its task may be checkpointed while
// the worker runs it.
type checkpointableTarget struct {
	runner.Target
	grant *grant
}

// Start implements runner.Target.
func (t checkpointableTarget) Start(ctx context.Context, task runner.Task, body io.Reader) (*runner.Answer, error) {
	t.grant.markStarted(task.ID)
	defer t.grant.markStartReturned()
	answer, err := t.Target.Start(ctx, task, body)
	t.grant.recordLoss(ctx, task.Identity, err)
	return answer, err
}

func (g *grant) markStarted(task string) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.task = task
	g.setPhase(phaseRunning)
	g.pool.tasks[g] = true
}

// markStartReturned is called when Start returns: the answer has begun, or none will be
// received. Checkpoint and resume requests in progress then find another phase and change
// nothing.
func (g *grant) markStartReturned() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.phase = phaseIdle
	delete(g.pool.tasks, g)
}

func (g *grant) setPhase(next phase) {
	g.phase = next
	g.since = time.Now()
}

// freeReservation frees the reserved slots of a grant if it has not done so yet. The lock is
// held.
func (p *pool) freeReservation(g *grant) {
	if !g.freed {
		p.sched.Finish(g.team, g.resources)
		p.placer.Release(g.reservation)
	}
	g.freed = true
}

// checkpointForDelayed checkpoints a deferrable task when urgent or interactive work has
// waited for long and would fit in its place. The lock is held.
func (p *pool) checkpointForDelayed(now time.Time) {
	if p.checkpointing || len(p.tasks) == 0 || !p.sched.ShouldCheckpoint(now) {
		return
	}
	var victim *grant
	p.sched.FirstDelayed(now, func(r *scheduler.Request[*waiter]) bool {
		w := r.Value
		if p.placer.Fits(&w.need) || !p.allowanceAvailable(w) {
			return false
		}
		victim = p.victim(now, w)
		return victim != nil
	})
	if victim == nil {
		return
	}
	p.checkpointing = true
	victim.setPhase(phaseCheckpointing)
	p.d.registry.wg.Go(func() { p.checkpointTask(victim) })
}

// victim returns the task that was started or resumed last among those in whose place the
// request would fit. On the target that is held for the request, the request may need the
// place of several tasks: each of them counts if it would fit in the place of all together,
// and the next ticks checkpoint the others. Tasks near their deadline and tasks that were
// resumed less than minRun ago are left out.
func (p *pool) victim(now time.Time, w *waiter) *grant {
	fitsOnHeld := w == p.heldFor && p.placer.FitsWithout(&w.need, p.checkpointableOn(p.heldTarget, now)...)
	var best *grant
	for g := range p.tasks {
		switch {
		case !g.checkpointable(now):
		case !p.placer.FitsWithout(&w.need, g.reservation) && (!fitsOnHeld || g.reservation.Target != p.heldTarget):
		case best == nil || g.since.After(best.since):
			best = g
		}
	}
	return best
}

// checkpointableOn returns the reservations of the tasks on a target that may be checkpointed.
func (p *pool) checkpointableOn(target string, now time.Time) []placer.Reservation {
	var reservations []placer.Reservation
	for g := range p.tasks {
		if g.reservation.Target == target && g.checkpointable(now) {
			reservations = append(reservations, g.reservation)
		}
	}
	return reservations
}

// checkpointable reports whether the task runs, is not near its deadline, and was not resumed
// less than minRun ago.
func (g *grant) checkpointable(now time.Time) bool {
	return g.phase == phaseRunning && g.deadline.After(now.Add(checkpointReserve)) &&
		(g.resumeAfter.IsZero() || now.Sub(g.since) >= minRun)
}

// checkpointTask checkpoints the task and grants its slots to other requests.
func (p *pool) checkpointTask(g *grant) {
	ctx, cancel := context.WithTimeout(p.d.ctx, callTimeout)
	defer cancel()
	err := g.target.client.Checkpoint(ctx, g.task)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkpointing = false
	if g.phase != phaseCheckpointing {
		return // the task has ended meanwhile
	}
	g.setPhase(phaseCheckpointed)
	g.resumeAfter = g.since
	if err != nil {
		// The task may or may not be checkpointed. Its slots stay reserved until a resume
		// request, which has no effect on a running task, is answered.
		p.d.cfg.Logger.Debug("failed to checkpoint task", "vm", g.target.vm.Name, "error", err)
		p.resumeTask(g)
		return
	}
	p.freeReservation(g)
	p.grantWaiting(time.Now())
}

// resumeTasks resumes the tasks that have been checkpointed for at least minPause and for
// which their target has room, in the order in which they were checkpointed. The lock is held.
func (p *pool) resumeTasks(now time.Time, minPause time.Duration) {
	var due []*grant
	for g := range p.tasks {
		if g.phase == phaseCheckpointed && now.Sub(g.since) >= minPause && !now.Before(g.resumeAfter) {
			due = append(due, g)
		}
	}
	slices.SortFunc(due, func(a, b *grant) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.task, b.task))
	})
	for _, g := range due {
		if p.reserveAgain(g) {
			p.resumeTask(g)
		}
	}
}

// reserveAgain reserves the slots of a checkpointed task again. It returns false if the target
// has no room or is held for a request. On a target that has left the pool nothing is
// reserved, and its worker alone decides.
func (p *pool) reserveAgain(g *grant) bool {
	if !g.freed {
		return true
	}
	if p.members[g.target.vm.Name] == g.member {
		reservation, ok := p.placer.ReserveOn(g.target.vm.Name, &g.need)
		if !ok {
			return false
		}
		g.reservation = reservation
	}
	p.sched.Resume(g.team, g.resources)
	g.freed = false
	return true
}

// resumeTask asks the worker to resume a task whose slots are reserved. The lock is held.
func (p *pool) resumeTask(g *grant) {
	since := g.since
	g.setPhase(phaseResuming)
	p.d.registry.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.d.ctx, callTimeout)
		defer cancel()
		err := g.target.client.Resume(ctx, g.task)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.handleResumed(g, since, err)
	})
}

// handleResumed handles the worker's answer to a resume request. The lock is held.
func (p *pool) handleResumed(g *grant, since time.Time, err error) {
	switch {
	case g.phase != phaseResuming: // the task has ended meanwhile
	case err == nil:
		g.setPhase(phaseRunning)
	default:
		// If the task has ended, its call of Start returns too. After any other error the
		// resume request is repeated.
		g.phase = phaseCheckpointed
		g.since = since
		g.resumeAfter = time.Now().Add(resumeRetryDelay)
		if errors.Is(err, runner.ErrBusy) {
			p.freeReservation(g) // other work may use the slots
		}
	}
}
