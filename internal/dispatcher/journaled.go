package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

const (
	// ownerRetryDelay is the time between two lookups of a shard's owner while the shard
	// changes its owner.
	ownerRetryDelay = 100 * time.Millisecond
	// ownerRetries is the maximum number of attempts to reach an owner. The identity makes
	// repeats safe.
	ownerRetries = 20
	// journalTimeout bounds the wait for the journal, so that requests are refused while the
	// key-value service hangs instead of waiting until their deadlines. It is longer than two
	// calls to the service, so that one lost answer does not cause a refusal.
	journalTimeout = 3 * time.Second
)

// runJournaled accepts a deferrable request or runs a non-idempotent one, at the
// entry daemon that owns the shard of its identity.
func (d *Dispatcher) runJournaled(ctx context.Context, p *admittedRequest) Result {
	body, err := readLimited(p.Body, d.cfg.MaxJournalBytes)
	if err != nil {
		return bodyErrorResult(err)
	}
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	return withCleanup(d.callOwner(ctx, p.id, p.Hops, func(owner string) Result {
		if owner != d.cfg.Entry {
			r := p.Request
			r.Body = bytes.NewReader(body)
			return d.cfg.Peers.Forward(ctx, owner, r)
		}
		return d.runAsOwner(ctx, p, body)
	}), cancel)
}

// callOwner passes the owner of the identity to call, and repeats this while the result shows
// a wrong owner or a broken connection. Once a call may have had an effect, a later "not run"
// proves nothing about it and becomes an unknown outcome.
func (d *Dispatcher) callOwner(ctx context.Context, id uuid.UUID, hops int, call func(owner string) Result) Result {
	mayHaveRun := false
	result := NotRun(ReasonJournalUnavailable, "no owner of the identity's shard is known")
	for range ownerRetries {
		owner := d.cfg.Journal.Owner(id)
		if owner == d.cfg.Entry || owner != "" && hops < maxHops {
			result = call(owner)
			if !retryableAtOwner(result) {
				return outcomeAfterRetries(result, mayHaveRun)
			}
			mayHaveRun = mayHaveRun || result.Outcome == OutcomeUnknown
		}
		if hops > 0 || !sleeper.Sleep(ctx, ownerRetryDelay) {
			break
		}
	}
	return outcomeAfterRetries(result, mayHaveRun)
}

// retryableAtOwner tells whether another call, possibly to another owner, may succeed.
func retryableAtOwner(result Result) bool {
	switch result.Reason {
	case ReasonPeerUnreachable, ReasonPeerLost, ReasonJournalMoved:
		return true
	default:
		return false
	}
}

func outcomeAfterRetries(result Result, mayHaveRun bool) Result {
	if !mayHaveRun || result.Outcome != OutcomeNotRun || result.Reason == ReasonCallerLost {
		return result
	}
	return Unknown(ReasonPeerLost, "an earlier try may have run; "+result.Detail)
}

// runAsOwner serves a request whose shard this entry daemon owns.
func (d *Dispatcher) runAsOwner(ctx context.Context, p *admittedRequest, body []byte) Result {
	sub := journaler.Submission{
		ID:   p.id,
		Body: body,
		Request: journaler.Request{
			Queue:       p.Queue,
			Team:        p.Team,
			Method:      p.Method,
			Path:        p.Path,
			ContentType: p.ContentType,
			Deferrable:  p.queue.Class == configurer.ClassDeferrable,
			Idempotent:  p.Idempotent(),
			DeadlineMS:  p.Deadline.UnixMilli(),
		},
	}
	if sub.Request.Deferrable {
		return d.acceptJob(ctx, sub)
	}
	// The repeat of a recorded request needs no slot.
	lookup, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	_, err := d.cfg.Journal.Lookup(lookup, p.id, p.Team)
	switch {
	case errors.Is(err, journaler.ErrNotFound):
		return d.runOnce(ctx, p, sub)
	case err == nil, errors.Is(err, journaler.ErrWrongTeam):
		return d.answerRepeat(ctx, sub)
	default:
		return d.journalErrorResult(err, false)
	}
}

// acceptJob records a job. The journal runs it.
func (d *Dispatcher) acceptJob(ctx context.Context, sub journaler.Submission) Result {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	out, err := d.cfg.Journal.Submit(ctx, sub)
	if err != nil {
		return d.journalErrorResult(err, true)
	}
	return jobStateResult(out.Record, http.StatusAccepted)
}

// answerRepeat answers a non-idempotent request whose identity is already recorded.
func (d *Dispatcher) answerRepeat(ctx context.Context, sub journaler.Submission) Result {
	out, err := d.cfg.Journal.Submit(ctx, sub)
	if err != nil {
		return d.journalErrorResult(err, false)
	}
	if out.Created { // the record has just expired
		d.cfg.Journal.Detach(sub.ID, nil)
	}
	return d.awaitResult(ctx, sub.ID, sub.Request.Team)
}

// awaitResult waits until the record is final and returns its result.
func (d *Dispatcher) awaitResult(ctx context.Context, id uuid.UUID, team string) Result {
	r, err := d.cfg.Journal.Wait(ctx, id, team)
	if errors.Is(err, journaler.ErrWithdrawn) {
		return NotRun(ReasonNoTarget, "the request was refused before it was started")
	}
	if err != nil && (r.State == "" || ctx.Err() == nil) {
		return Unknown(ReasonPeerLost, err.Error())
	}
	return d.resultFromRecord(ctx, r)
}

// runOnce runs a non-idempotent request while its caller waits. The slot is acquired first, so
// that a refusal for lack of room leaves the identity unused.
func (d *Dispatcher) runOnce(ctx context.Context, p *admittedRequest, sub journaler.Submission) Result {
	start := time.Now()
	d.countFirstAttempt(p.retryKey())
	for refused := 0; ; refused++ {
		g, err := p.pool.acquire(ctx, p.Team, p.queue.Class, p.need, p.Deadline)
		if err != nil {
			return d.refuseUnstarted(ctx, sub, refused, err)
		}
		if refused == 0 {
			d.cfg.Recorder.Wait(p.Team, string(p.queue.Class), time.Since(start))
		}
		result, retry := d.attemptOnce(ctx, p, sub, g, refused == 0)
		if !retry {
			return result
		}
		if refused+1 >= maxRefusedStarts || !sleeper.Sleep(ctx, d.retryDelay(refused+1)) {
			return d.refuseUnstarted(ctx, sub, refused+1, runner.ErrNotRun)
		}
	}
}

// refuseUnstarted refuses a request that found no slot. After a first attempt the identity has
// a record, which would answer every repeat with this refusal, so it is withdrawn. If that
// fails, the journal ends the record as not run.
func (d *Dispatcher) refuseUnstarted(ctx context.Context, sub journaler.Submission, attempts int, err error) Result {
	refusal := NotRun(refusalReason(err), err.Error())
	if attempts == 0 {
		return refusal
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := d.cfg.Journal.Withdraw(detached, sub.ID); err != nil {
		d.cfg.Logger.Warn("failed to withdraw the record of a refused request", "error", err)
	}
	d.cfg.Journal.Detach(sub.ID, nil)
	return refusal
}

// attemptOnce makes one attempt. It returns true if the task certainly did not run and another
// attempt may be made.
func (d *Dispatcher) attemptOnce(ctx context.Context, p *admittedRequest, sub journaler.Submission, g *grant, first bool) (Result, bool) {
	// Only this task uses the session, so a successor that revokes it affects no other task.
	id := uuid.NewString()
	sessions := d.teamSessions
	if p.Team == "" {
		sessions = d.openQueueSessions
	}
	session, err := sessions.Acquire(ctx, g.target.vm.Name+"/"+id, g.target.client)
	if err != nil {
		p.pool.recordAttemptResult(g.target, false)
		g.release(true)
		if first {
			return NotRun(ReasonNoTarget, err.Error()), false
		}
		return Result{}, true
	}
	release := func(ended bool) {
		session.Release()
		g.release(ended)
	}
	attempt := journaler.Attempt{
		Task:    id,
		Target:  g.target.vm.Name,
		BootID:  session.Boot,
		Session: session.ID,
	}
	if refusal := d.recordAttempt(ctx, p, sub, attempt, first); refusal != nil {
		release(true)
		return *refusal, false
	}
	return d.startOnce(ctx, p, sub, g, id, session, release)
}

// recordAttempt records the attempt, the first one together with the request. If the task must
// not be started here, it returns the result of the request, otherwise nil.
func (d *Dispatcher) recordAttempt(ctx context.Context, p *admittedRequest, sub journaler.Submission, attempt journaler.Attempt, first bool) *Result {
	var result Result
	if !first {
		err := d.cfg.Journal.Start(ctx, sub.ID, attempt)
		if err == nil {
			return nil
		}
		d.cfg.Journal.Detach(sub.ID, nil)
		result = d.resultOfUnrecordedStart(ctx, p, err)
		return &result
	}
	sub.Attempt = &attempt
	commit, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	out, err := d.cfg.Journal.Submit(commit, sub)
	switch {
	case err != nil:
		if journaler.CommitEffect(err) != journaler.EffectNone {
			// The record may exist. Its task is never sent, so recovery ends it as not run.
			d.cfg.Journal.Detach(sub.ID, nil)
		}
		result = d.journalErrorResult(err, false)
	case !out.Created:
		result = d.awaitResult(ctx, sub.ID, p.Team)
	default:
		return nil
	}
	return &result
}

// resultOfUnrecordedStart returns the result of a request whose start could not be recorded.
// The task was never sent, so the present owner of the record finds that it did not run. But a
// successor may have answered a repeat differently, so the record decides.
func (d *Dispatcher) resultOfUnrecordedStart(ctx context.Context, p *admittedRequest, err error) Result {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if r, werr := d.cfg.Journal.Wait(detached, p.id, p.Team); werr == nil {
		return d.resultFromRecord(detached, r)
	}
	return Unknown(ReasonJournalUnavailable, err.Error())
}

// startOnce starts the task of a recorded attempt.
func (d *Dispatcher) startOnce(ctx context.Context, p *admittedRequest, sub journaler.Submission, g *grant, id string, session *runner.Session, release func(bool)) (Result, bool) {
	// The request continues when its caller disconnects, because the caller may repeat it.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.Deadline)
	answer, err := g.target.client.Start(detached, d.task(p, id, session), bytes.NewReader(sub.Body))
	d.cfg.Recorder.Attempt(p.pool.name, attemptLabel(err))
	g.recordLoss(detached, sub.ID.String(), err)
	if err == nil {
		p.pool.recordAttemptResult(g.target, answer.Status < http.StatusInternalServerError)
		result := d.finishOnce(detached, sub, id, answer, release)
		return withCleanup(result, cancel), false
	}
	defer cancel()
	if errors.Is(err, runner.ErrSessionEnded) {
		session.Invalidate()
	}
	if errors.Is(err, runner.ErrNotRun) && d.cfg.Journal.NotRun(detached, sub.ID, id) == nil {
		release(true)
		return Result{}, true
	}
	p.pool.recordAttemptResult(g.target, false)
	d.cfg.Journal.Detach(sub.ID, release)
	return d.awaitResult(ctx, sub.ID, p.Team), false
}

// finishOnce records the answer before the caller gets it, so that a repeat gets the same one.
// If the record can't be written now, the caller gets the answer nevertheless, and recovery
// fetches it from the worker later.
func (d *Dispatcher) finishOnce(ctx context.Context, sub journaler.Submission, id string, answer *runner.Answer, release func(bool)) Result {
	data, err := io.ReadAll(io.LimitReader(answer.Body, journaler.MaxBlobBytes+1))
	if err != nil {
		_ = answer.Body.Close()
		d.cfg.Journal.Detach(sub.ID, release)
		return d.awaitResult(ctx, sub.ID, sub.Request.Team)
	}
	commit, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	if err := d.cfg.Journal.Finish(commit, sub.ID, id, journaler.ApplicationAnswer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Data:        data,
	}); err != nil {
		d.cfg.Logger.Warn("failed to record the answer in the journal", "error", err)
	}
	d.cfg.Journal.Detach(sub.ID, nil)
	body := &answerBody{ReadCloser: answer.Body}
	return Result{
		Outcome:     OutcomeDone,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body: &closer{
			ReadCloser: readCloser{
				Reader: io.MultiReader(bytes.NewReader(data), body),
				Closer: body,
			},
			onClose: func() { release(body.complete || len(data) <= journaler.MaxBlobBytes) },
		},
	}
}

// readCloser combines a reader with the closer of another one.
type readCloser struct {
	io.Reader
	io.Closer
}

// journalErrorResult turns an error of the journal into a result. isJob tells whether the call
// concerned a job: the journal carries it out by itself if the call took effect after all.
func (d *Dispatcher) journalErrorResult(err error, isJob bool) Result {
	for _, row := range []struct {
		err    error
		reason Reason
	}{
		{
			err:    journaler.ErrBadIdentity,
			reason: ReasonBadIdentity,
		},
		{
			err:    journaler.ErrIdentityReused,
			reason: ReasonIdentityReused,
		},
		{
			err:    journaler.ErrWrongTeam,
			reason: ReasonIdentityReused,
		},
		{
			err:    journaler.ErrShardFull,
			reason: ReasonJournalFull,
		},
		{
			err:    journaler.ErrBodyTooLarge,
			reason: ReasonBodyTooLarge,
		},
		{
			err:    journaler.ErrFieldTooLong,
			reason: ReasonBadRequest,
		},
	} {
		if errors.Is(err, row.err) {
			return NotRun(row.reason, row.err.Error())
		}
	}
	if errors.Is(err, journaler.ErrIdentityExpired) {
		return Unknown(ReasonIdentityExpired, "the identity is too old to tell whether it has run; use a new one only after checking")
	}
	if isJob && journaler.CommitEffect(err) != journaler.EffectNone {
		return Unknown(ReasonJournalUnavailable, "the job may have been accepted; repeat with the same identity")
	}
	if errors.Is(err, journaler.ErrNotOwner) || errors.Is(err, journaler.ErrOwnershipLost) {
		return NotRun(ReasonJournalMoved, err.Error())
	}
	return NotRun(ReasonJournalUnavailable, err.Error())
}

// resultFromRecord turns a record into the result of its request.
func (d *Dispatcher) resultFromRecord(ctx context.Context, r journaler.Record) Result {
	switch r.State {
	case journaler.StateDone:
		return d.storedResult(ctx, r)
	case journaler.StateFailed, journaler.StateCancelled:
		reason := Reason(r.Verdict)
		if r.State == journaler.StateCancelled {
			reason = ReasonCanceled
		}
		if r.Ran {
			return Unknown(reason, "the request ended without an answer")
		}
		return NotRun(reason, "the request ended before it was started")
	case journaler.StateUnknown:
		return Unknown(ReasonTargetLost, "the target was lost while the request ran")
	default:
		return Unknown(ReasonDeadline, "the request has not ended yet; repeat with the same identity")
	}
}

func (d *Dispatcher) storedResult(ctx context.Context, r journaler.Record) Result {
	if !r.Kept {
		result := newResult(OutcomeDone, ReasonResultNotKept, "the request ran; its answer was too large to keep")
		return result
	}
	data, err := d.cfg.Journal.Data(ctx, r)
	if err != nil {
		result := newResult(OutcomeDone, ReasonJournalUnavailable, "the request ran; its answer can't be read now")
		return result
	}
	return Result{
		Outcome:     OutcomeDone,
		Status:      r.Status,
		ContentType: r.Type,
		Body:        io.NopCloser(bytes.NewReader(data)),
	}
}
