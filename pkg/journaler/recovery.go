package journaler

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Action is what recovery does with a started record.
type Action string

// The actions of recovery.
const (
	ActionNotRun      Action = "not_run"     // back to accepted, as a new attempt
	ActionAdopt       Action = "adopt"       // move the running task to a session of this owner
	ActionAnswer      Action = "answer"      // take the kept answer
	ActionRetry       Action = "retry"       // may have run, and may run again
	ActionUnknown     Action = "unknown"     // may have run, and must not run again
	ActionUnreachable Action = "unreachable" // no evidence; ask again
)

// Evidence is what a worker said about a task after its session was revoked.
type Evidence struct {
	BootBefore string       // stated by the revocation before the task was looked up
	BootAfter  string       // stated by a second revocation afterwards
	State      runner.State // empty: the worker does not know the task
}

// Decide chooses the action for a started record. "Unknown task" proves that
// the task did not run only if the boot id was the recorded one both before
// and after the lookup: a worker that restarted in between has forgotten it.
func Decide(r Record, e Evidence) Action {
	switch e.State {
	case runner.StateRunning, runner.StateCheckpointed:
		return ActionAdopt
	case runner.StateDone:
		return ActionAnswer
	case "":
		if r.BootID != "" && e.BootBefore == r.BootID && e.BootAfter == r.BootID {
			return ActionNotRun
		}
	}
	if r.Idempotent {
		return ActionRetry
	}
	return ActionUnknown
}

// recover ends a started record or returns it to accepted. It asks for the outcome of a
// non-idempotent request until RecoveryTimeout has passed.
func (t *term) recover(ctx context.Context, r Record, held *allowance) {
	giveUpAt := t.j.cfg.Now().Add(t.j.cfg.RecoveryTimeout)
	for ctx.Err() == nil {
		action, err := t.recoverOnce(ctx, r, held)
		if err == nil {
			return
		}
		t.j.cfg.Logger.Debug("recovery attempt failed", "task", r.Task, "action", action, "error", err)
		if ctx.Err() != nil {
			return
		}
		now := t.j.cfg.Now()
		if action == ActionAdopt && now.UnixMilli() < r.DeadlineMS {
			// The task was running, so RecoveryTimeout starts again.
			giveUpAt = now.Add(t.j.cfg.RecoveryTimeout)
		}
		timedOut := !now.Before(giveUpAt)
		if r.Idempotent && (timedOut || action == ActionUnreachable) {
			t.persist(ctx, t.retry(r))
			return
		}
		if timedOut {
			t.persist(ctx, t.markUnknown(r))
			return
		}
		_ = sleep(ctx, t.j.cfg.RetryDelay)
	}
}

func (t *term) markUnknown(r Record) func(d *Document, now time.Time) error {
	return func(d *Document, now time.Time) error { return d.MarkUnknown(r.ID, r.Task, now) }
}

// recoverOnce looks up the task of the record at its target and carries out the action that
// follows. After an error the record is still open.
func (t *term) recoverOnce(ctx context.Context, r Record, held *allowance) (Action, error) {
	target, err := t.j.cfg.Targets(r.Target)
	if err != nil {
		return ActionUnreachable, err
	}
	action, err := t.examine(ctx, target, r)
	if err != nil {
		return action, err
	}
	// Every action but ActionAdopt means that the task has ended or will never run.
	held.ended = action != ActionAdopt
	switch action {
	case ActionNotRun:
		t.persist(ctx, func(d *Document, _ time.Time) error { return d.NotRun(r.ID, r.Task) })
	case ActionRetry:
		t.persist(ctx, t.retry(r))
	case ActionUnknown:
		t.persist(ctx, t.markUnknown(r))
	case ActionAnswer:
		return action, t.fetch(ctx, target, r, held)
	case ActionAdopt:
		return action, t.follow(ctx, target, r, held)
	}
	return action, nil
}

// examine revokes the recorded session and looks up the task. At most MaxRecovering
// calls run at once.
func (t *term) examine(ctx context.Context, target runner.Target, r Record) (Action, error) {
	select {
	case t.j.recovering <- struct{}{}:
		defer func() { <-t.j.recovering }()
	case <-ctx.Done():
		return ActionUnreachable, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, t.j.cfg.CallTimeout)
	defer cancel()
	before, err := target.RevokeSession(ctx, r.Session)
	if err != nil {
		return ActionUnreachable, err
	}
	e := Evidence{
		BootBefore: before.Boot,
	}
	status, err := target.Status(ctx, r.Task)
	switch {
	case err == nil:
		e.State = status.State
		return Decide(r, e), nil
	case !errors.Is(err, runner.ErrUnknownTask):
		return ActionUnreachable, err
	}
	after, err := target.RevokeSession(ctx, r.Session)
	if err != nil {
		return ActionUnreachable, err
	}
	e.BootAfter = after.Boot
	return Decide(r, e), nil
}

// follow adopts a running task and waits for its answer. The task is adopted at the
// worker before the record is changed: if this owner is lost in between, the record
// still names the revoked session, and the next owner recovers it in the same way.
// Without an allowance the task is not adopted: its session expires, and a later try
// finds how it ended.
func (t *term) follow(ctx context.Context, target runner.Target, r Record, held *allowance) error {
	if err := t.acquire(ctx, r, held); err != nil {
		return err
	}
	session := t.newSession(r.ID)
	boot, err := t.adopt(ctx, target, r.Task, session)
	if err != nil {
		return err
	}
	t.persist(ctx, func(d *Document, _ time.Time) error { return d.Adopt(r.ID, r.Task, session) })
	renewing, stop := context.WithCancel(ctx)
	defer stop()
	t.wg.Go(func() { t.renew(renewing, target, r.Team, session, boot) })
	t.wg.Go(func() { t.resume(renewing, target, r.Task) })
	return t.fetch(ctx, target, r, held)
}

// acquire obtains an allowance for a task that is to be adopted, unless the attempt was
// made here and still holds one.
func (t *term) acquire(ctx context.Context, r Record, held *allowance) error {
	if !held.acquired {
		wait, cancel := context.WithTimeout(ctx, t.j.cfg.SessionTTL)
		defer cancel()
		release, err := t.j.cfg.Dispatcher.AcquireAllowance(wait, r.job())
		if err != nil {
			return err
		}
		held.take(release)
	}
	if !t.j.cfg.MayRun(r.Team) {
		return Error.Wrap(runner.ErrNotPermitted)
	}
	return nil
}

// resume continues an adopted task if its former owner has checkpointed it.
func (t *term) resume(ctx context.Context, target runner.Target, task string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, t.j.cfg.CallTimeout)
		status, err := target.Status(call, task)
		if err == nil && status.State == runner.StateCheckpointed {
			err = target.Resume(call, task)
		}
		cancel()
		if err == nil || errors.Is(err, runner.ErrTaskEnded) || errors.Is(err, runner.ErrUnknownTask) {
			return
		}
		_ = sleep(ctx, t.j.cfg.RetryDelay)
	}
}

func (t *term) adopt(ctx context.Context, target runner.Target, task, session string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, t.j.cfg.CallTimeout)
	defer cancel()
	boot, err := target.OpenSession(ctx, session, t.j.cfg.SessionTTL)
	if err != nil {
		return "", err
	}
	return boot, target.Adopt(ctx, task, session)
}

// fetch waits for the answer of a task and records it.
func (t *term) fetch(ctx context.Context, target runner.Target, r Record, held *allowance) error {
	bounded, cancel := t.untilDeadline(ctx, r)
	defer cancel()
	answer, err := target.Answer(bounded, r.Task)
	if err != nil {
		return err
	}
	return t.complete(ctx, r, answer, held)
}
