package journaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Job is an accepted job that needs a target.
type Job struct {
	ID       uuid.UUID
	Request  Request
	Failures int // attempts so far that ended without a result
}

// Placement is a target for one attempt.
type Placement struct {
	Name      string // by which Config.Targets finds the target again
	Target    runner.Target
	Pool      string
	Resources runner.Resources
	// Release is called once, when the attempt is over; it may be nil. If ended is false, the
	// task may run on until its session has ended, so it still counts against the limit.
	Release func(ended bool)
}

// Dispatcher chooses targets for jobs.
type Dispatcher interface {
	// Place returns a target with room for the job, and may wait for one until
	// ctx ends. An error that wraps ErrCannotRun ends the job; after any other
	// the job is tried again.
	Place(ctx context.Context, job Job) (Placement, error)
	// AcquireAllowance obtains an allowance of the job's team for a task that was started
	// elsewhere and is adopted here, and may wait for it until ctx ends. release is
	// called once, like Placement.Release. After an error the task is not adopted.
	AcquireAllowance(ctx context.Context, job Job) (release func(ended bool), err error)
}

// allowance is the part of a team's limit that the task of a record uses here.
type allowance struct {
	acquired bool
	release  func(ended bool) // may be nil
	ended    bool             // the task has certainly ended or will never run
}

func (a *allowance) take(release func(ended bool)) {
	a.acquired = true
	a.release = release
}

func (a *allowance) end(stopped bool) {
	if a.release != nil {
		a.release(a.ended || stopped)
	}
}

// ApplicationAnswer is what an application answered.
type ApplicationAnswer struct {
	Status      int
	ContentType string
	Data        []byte
}

func isDuplicate(err error) bool { return errors.Is(err, ErrIdentityExists) }

// run makes one attempt of an accepted job.
func (t *term) run(ctx context.Context, r Record, held *allowance) {
	defer t.delay(r.ID)
	body, err := t.shard.getBlob(ctx, Blob{
		Inline: r.BodyInline,
		Key:    r.BodyKey,
		Size:   r.BodySize,
		Digest: r.BodyDigest,
	})
	if err != nil {
		if errors.Is(err, ErrCorrupt) {
			t.failWith(VerdictBodyLost)(ctx, r, held)
		}
		return
	}
	p, err := t.place(ctx, r)
	if err != nil {
		if errors.Is(err, ErrCannotRun) {
			t.failWith(VerdictCannotRun)(ctx, r, held)
		}
		return
	}
	held.take(p.Release)
	a, err := t.prepareAttempt(ctx, r, p)
	if err != nil {
		held.ended = true // the task was not sent
		return
	}
	t.execute(ctx, r, a, p, body, held)
}

func (t *term) place(ctx context.Context, r Record) (Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, t.j.cfg.PlaceTimeout)
	defer cancel()
	return t.j.cfg.Dispatcher.Place(ctx, r.job())
}

func (r Record) job() Job {
	return Job{
		ID:       r.ID,
		Request:  r.Request,
		Failures: r.Failures,
	}
}

// newSession returns a session id that is used only once. A worker does not open an ended
// session again, and that of an uncommitted attempt may have ended by the next attempt.
func (t *term) newSession(id uuid.UUID) string {
	return fmt.Sprintf("%s.%s.%d", id, t.shard.termID[:8], t.shard.nameCounter.Add(1))
}

// prepareAttempt opens a session and commits the attempt. The session is used by this
// attempt alone, so that revoking it affects no other task.
func (t *term) prepareAttempt(ctx context.Context, r Record, p Placement) (Attempt, error) {
	task := fmt.Sprintf("%s.%d", r.ID, r.Starts+1)
	session := t.newSession(r.ID)
	call, cancel := context.WithTimeout(ctx, t.j.cfg.CallTimeout)
	defer cancel()
	boot, err := p.Target.OpenSession(call, session, t.j.cfg.SessionTTL)
	if err != nil {
		return Attempt{}, err
	}
	a := Attempt{
		Task:    task,
		Target:  p.Name,
		BootID:  boot,
		Session: session,
	}
	err = t.shard.Change(ctx, func(d *Document, now time.Time) error {
		if d.Records[r.ID].Starts != r.Starts {
			return Error.Wrap(ErrWrongTask)
		}
		if now.UnixMilli() >= r.DeadlineMS {
			return Error.Wrap(context.DeadlineExceeded)
		}
		return d.Start(r.ID, a)
	})
	return a, err
}

// execute starts the task of a committed attempt and records how it ended.
func (t *term) execute(ctx context.Context, r Record, a Attempt, p Placement, body []byte, held *allowance) {
	if !t.j.cfg.MayRun(r.Team) {
		held.ended = true
		t.persist(ctx, func(d *Document, _ time.Time) error { return d.NotRun(r.ID, a.Task) })
		return
	}
	renewing, stop := context.WithCancel(ctx)
	defer stop()
	t.wg.Go(func() { t.renew(renewing, p.Target, r.Team, a.Session, a.BootID) })
	r.State = StateStarted
	r.Attempt = a
	bounded, cancel := t.untilDeadline(ctx, r)
	defer cancel()
	answer, err := p.Target.Start(bounded, runner.Task{
		ID:         a.Task,
		Session:    a.Session,
		Boot:       a.BootID,
		Identity:   r.ID.String(),
		Team:       r.Team,
		Pool:       p.Pool,
		Method:     r.Method,
		Path:       r.Path,
		Deferrable: true,
		Resources:  p.Resources,
		Timeout:    time.UnixMilli(r.DeadlineMS).Sub(t.j.cfg.Now()),
	}, bytes.NewReader(body))
	switch {
	case err == nil:
		if t.complete(ctx, r, answer, held) != nil {
			t.recover(ctx, r, held)
		}
	case errors.Is(err, runner.ErrNotRun):
		held.ended = true
		t.persist(ctx, func(d *Document, _ time.Time) error { return d.NotRun(r.ID, a.Task) })
	default:
		t.recover(ctx, r, held)
	}
}

// untilDeadline bounds a wait for an answer. The worker stops the task at the
// deadline, so an answer that has not begun soon after will not come.
func (t *term) untilDeadline(ctx context.Context, r Record) (context.Context, context.CancelFunc) {
	remaining := time.UnixMilli(r.DeadlineMS).Sub(t.j.cfg.Now())
	return context.WithTimeout(ctx, max(remaining, 0)+t.j.cfg.CallTimeout)
}

// complete reads the answer and records it. An error means that the answer could not be
// read to its end; it can be fetched from the worker again.
func (t *term) complete(ctx context.Context, r Record, answer *runner.Answer, held *allowance) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, MaxBlobBytes+1))
	answer.Body.Close()
	held.ended = held.ended || err == nil && len(data) <= MaxBlobBytes
	switch {
	case err != nil:
		return Error.Wrap(err)
	case answer.Status >= 500 && r.Deferrable && r.Idempotent:
		t.persist(ctx, t.retry(r))
	case len(data) > MaxBlobBytes && r.Deferrable:
		t.failWith(VerdictResultTooLarge)(ctx, r, held)
	default:
		t.finishJob(ctx, r, ApplicationAnswer{
			Status:      answer.Status,
			ContentType: answer.ContentType,
			Data:        data,
		})
	}
	return nil
}

func (t *term) finishJob(ctx context.Context, r Record, answer ApplicationAnswer) {
	for ctx.Err() == nil {
		err := t.finish(ctx, r.ID, r.Task, answer)
		if !isRetriable(err) {
			return
		}
		_ = sleep(ctx, t.j.cfg.RetryDelay)
	}
}

// finish stores a large result at a key of its own and then commits the record. A small
// result gets a key as well if the document has no room for it.
func (t *term) finish(ctx context.Context, id uuid.UUID, task string, answer ApplicationAnswer) error {
	result := Result{
		Status: answer.Status,
		Type:   answer.ContentType,
		Kept:   len(answer.Data) <= MaxBlobBytes,
	}
	if len(result.Type) > maxNameBytes {
		result.Type = "application/octet-stream"
	}
	if !result.Kept {
		return t.commitResult(ctx, id, task, result)
	}
	for _, external := range []bool{false, true} {
		blob, err := t.shard.putBlob(ctx, resultPrefix, id, answer.Data, external)
		if err != nil {
			return err
		}
		result.Inline, result.Key, result.Size, result.Digest = blob.Inline, blob.Key, blob.Size, blob.Digest
		err = t.commitResult(ctx, id, task, result)
		if CommitEffect(err) == EffectNone {
			t.shard.discard(blob.Key)
		}
		if !errors.Is(err, ErrShardFull) {
			return err
		}
	}
	return Error.Wrap(ErrShardFull)
}

func (t *term) commitResult(ctx context.Context, id uuid.UUID, task string, result Result) error {
	return t.shard.Change(ctx, func(d *Document, now time.Time) error { return d.Finish(id, task, result, now) })
}

// persist commits a transition. It tries again while the store is unavailable.
func (t *term) persist(ctx context.Context, apply func(d *Document, now time.Time) error) {
	for ctx.Err() == nil {
		if err := t.shard.Change(ctx, apply); !isRetriable(err) {
			return
		}
		_ = sleep(ctx, t.j.cfg.RetryDelay)
	}
}

func isRetriable(err error) bool {
	return err != nil && CommitEffect(err) == EffectNone && errors.Is(err, ErrUnavailable)
}

func (t *term) failWith(verdict Verdict) func(context.Context, Record, *allowance) {
	return func(ctx context.Context, r Record, _ *allowance) {
		t.persist(ctx, func(d *Document, now time.Time) error { return d.Fail(r.ID, verdict, now) })
	}
}

func (t *term) retry(r Record) func(d *Document, now time.Time) error {
	return func(d *Document, now time.Time) error { return d.Retry(r.ID, r.Task, t.j.cfg.MaxAttempts, now) }
}

// renew keeps a session open. It stops when the worker reports that the session has ended
// or when its TTL has passed since the last renewal. While MayRun forbids renewals they
// are only skipped, because they may be allowed again before the session ends.
func (t *term) renew(ctx context.Context, target runner.Target, team, session, boot string) {
	last := t.j.cfg.Now()
	for sleep(ctx, t.j.cfg.RenewInterval) == nil {
		now := t.j.cfg.Now()
		if now.Sub(last) >= t.j.cfg.SessionTTL {
			return
		}
		if !t.j.cfg.MayRun(team) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, t.j.cfg.CallTimeout)
		err := target.RenewSession(call, session, boot, t.j.cfg.SessionTTL)
		cancel()
		if errors.Is(err, runner.ErrSessionEnded) {
			return
		}
		if err == nil {
			last = now
		}
	}
}
