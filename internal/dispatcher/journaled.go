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
	// ownerRetryDelay is the wait before the owner of a shard is looked up again,
	// while the shard changes its owner.
	ownerRetryDelay = 100 * time.Millisecond
	// ownerRetries bounds the tries to reach an owner. The identity makes repeats safe.
	ownerRetries = 20
	// journalTimeout bounds the wait for the journal, so that a key-value service which
	// hangs refuses requests instead of holding them until their deadlines. It is longer
	// than two calls to the service: one lost answer refuses nothing.
	journalTimeout = 3 * time.Second
)

// journaled accepts a deferrable request or runs a non-idempotent one, at the
// entry daemon that owns the shard of its identity.
func (d *Dispatcher) journaled(ctx context.Context, p *plan) Result {
	body, err := readWhole(p.Body, d.cfg.MaxJournalBytes)
	if err != nil {
		return bodyRefusal(err)
	}
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	return ending(d.atOwner(ctx, p.id, p.Hops, func(owner string) Result {
		if owner != d.cfg.Entry {
			r := p.Request
			r.Body = bytes.NewReader(body)
			return d.cfg.Peers.Forward(ctx, owner, r)
		}
		return d.asOwner(ctx, p, body)
	}), cancel)
}

// atOwner calls try with the owner of the identity until it is not answered by
// "wrong owner" or a broken connection. Once a try may have had an effect, a later
// "not run" proves nothing about it and becomes an unknown outcome.
func (d *Dispatcher) atOwner(ctx context.Context, id uuid.UUID, hops int, try func(owner string) Result) Result {
	uncertain := false
	result := NotRun(ReasonJournalUnavailable, "no owner of the identity's shard is known")
	for range ownerRetries {
		owner := d.cfg.Journal.Owner(id)
		if owner == d.cfg.Entry || owner != "" && hops < maxHops {
			result = try(owner)
			if !unsettled(result) {
				return certain(result, uncertain)
			}
			uncertain = uncertain || result.Outcome == OutcomeUnknown
		}
		if hops > 0 || !sleeper.Sleep(ctx, ownerRetryDelay) {
			break
		}
	}
	return certain(result, uncertain)
}

// unsettled tells whether asking again, possibly another owner, may help.
func unsettled(result Result) bool {
	switch result.Reason {
	case ReasonPeerUnreachable, ReasonPeerLost, ReasonJournalMoved:
		return true
	default:
		return false
	}
}

func certain(result Result, uncertain bool) Result {
	if !uncertain || result.Outcome != OutcomeNotRun || result.Reason == ReasonCallerLost {
		return result
	}
	return Unknown(ReasonPeerLost, "an earlier try may have run; "+result.Detail)
}

// asOwner serves a request whose shard is owned here.
func (d *Dispatcher) asOwner(ctx context.Context, p *plan, body []byte) Result {
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
		return d.accept(ctx, sub)
	}
	// A known identity needs no slot.
	lookup, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	_, err := d.cfg.Journal.Lookup(lookup, p.id, p.Team)
	switch {
	case errors.Is(err, journaler.ErrNotFound):
		return d.runOnce(ctx, p, sub)
	case err == nil, errors.Is(err, journaler.ErrWrongTeam):
		return d.repeat(ctx, sub)
	default:
		return d.journalError(err, false)
	}
}

// accept takes a job over. The journal runs it.
func (d *Dispatcher) accept(ctx context.Context, sub journaler.Submission) Result {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	out, err := d.cfg.Journal.Submit(ctx, sub)
	if err != nil {
		return d.journalError(err, true)
	}
	return jobState(out.Record, http.StatusAccepted)
}

// repeat answers a request on the line whose identity is known already.
func (d *Dispatcher) repeat(ctx context.Context, sub journaler.Submission) Result {
	out, err := d.cfg.Journal.Submit(ctx, sub)
	if err != nil {
		return d.journalError(err, false)
	}
	if out.Fresh { // the record has just expired
		d.cfg.Journal.Detach(sub.ID, nil)
	}
	return d.await(ctx, sub.ID, sub.Request.Team)
}

// await waits for the end of a record and returns its result.
func (d *Dispatcher) await(ctx context.Context, id uuid.UUID, team string) Result {
	r, err := d.cfg.Journal.Wait(ctx, id, team)
	if errors.Is(err, journaler.ErrWithdrawn) {
		return NotRun(ReasonNoTarget, "the request was refused before it was started")
	}
	if err != nil && (r.State == "" || ctx.Err() == nil) {
		return Unknown(ReasonPeerLost, err.Error())
	}
	return d.recordResult(ctx, r)
}

// runOnce runs a non-idempotent request on the line. The slot is acquired first, so
// that a refusal for lack of room leaves the identity unused.
func (d *Dispatcher) runOnce(ctx context.Context, p *plan, sub journaler.Submission) Result {
	start := time.Now()
	d.count(p.key())
	for refused := 0; ; refused++ {
		g, err := p.pool.acquire(ctx, p.Team, p.queue.Class, p.need, p.Deadline)
		if err != nil {
			return d.unstarted(ctx, sub, refused, err)
		}
		if refused == 0 {
			d.cfg.Recorder.Wait(p.Team, string(p.queue.Class), time.Since(start))
		}
		result, again := d.attemptOnce(ctx, p, sub, g, refused == 0)
		if !again {
			return result
		}
		if refused+1 >= maxRefusedStarts || !sleeper.Sleep(ctx, d.delay(refused+1)) {
			return d.unstarted(ctx, sub, refused+1, runner.ErrNotRun)
		}
	}
}

// unstarted refuses a request that found no slot. After a first try the identity has
// a record, which would answer every repeat with this refusal, so it is withdrawn. If
// that fails, the journal ends the record as not run.
func (d *Dispatcher) unstarted(ctx context.Context, sub journaler.Submission, tries int, err error) Result {
	refusal := NotRun(refusalReason(err), err.Error())
	if tries == 0 {
		return refusal
	}
	life, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := d.cfg.Journal.Withdraw(life, sub.ID); err != nil {
		d.cfg.Logger.Warn("record of a refused request not withdrawn", "error", err)
	}
	d.cfg.Journal.Detach(sub.ID, nil)
	return refusal
}

// attemptOnce makes one attempt; true when the worker proved that it did not run
// and another attempt may be made.
func (d *Dispatcher) attemptOnce(ctx context.Context, p *plan, sub journaler.Submission, g *grant, first bool) (Result, bool) {
	// The session belongs to this task alone: a successor that revokes it disturbs
	// no other task.
	id := uuid.NewString()
	keeper := d.keyed
	if p.Team == "" {
		keeper = d.open
	}
	session, err := keeper.Acquire(ctx, g.target.vm.Name+"/"+id, g.target.client)
	if err != nil {
		p.pool.record(g.target, false)
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
		Boot:    session.Boot,
		Session: session.ID,
	}
	if refusal := d.recordAttempt(ctx, p, sub, attempt, first); refusal != nil {
		release(true)
		return *refusal, false
	}
	return d.startOnce(ctx, p, sub, g, id, session, release)
}

// recordAttempt records the attempt, the first one together with the request. It
// returns the answer of a request that must not be started here.
func (d *Dispatcher) recordAttempt(ctx context.Context, p *plan, sub journaler.Submission, attempt journaler.Attempt, first bool) *Result {
	var result Result
	if !first {
		err := d.cfg.Journal.Start(ctx, sub.ID, attempt)
		if err == nil {
			return nil
		}
		d.cfg.Journal.Detach(sub.ID, nil)
		result = d.afterLostStart(ctx, p, err)
		return &result
	}
	sub.Attempt = &attempt
	commit, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	out, err := d.cfg.Journal.Submit(commit, sub)
	switch {
	case err != nil:
		if journaler.EffectOf(err) != journaler.EffectNone {
			// The record may exist. Its task is never sent, so recovery ends it as not run.
			d.cfg.Journal.Detach(sub.ID, nil)
		}
		result = d.journalError(err, false)
	case !out.Fresh:
		result = d.await(ctx, sub.ID, p.Team)
	default:
		return nil
	}
	return &result
}

// afterLostStart answers when the start was not recorded here. The task was never
// sent, so whoever owns the record now finds that it did not run; but a successor
// may tell a repeat something else, so the record decides.
func (d *Dispatcher) afterLostStart(ctx context.Context, p *plan, err error) Result {
	life, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if r, werr := d.cfg.Journal.Wait(life, p.id, p.Team); werr == nil {
		return d.recordResult(life, r)
	}
	return Unknown(ReasonJournalUnavailable, err.Error())
}

// startOnce starts the task of a recorded attempt.
func (d *Dispatcher) startOnce(ctx context.Context, p *plan, sub journaler.Submission, g *grant, id string, session *runner.Session, release func(bool)) (Result, bool) {
	// The request goes on when its caller is gone: the caller may repeat it.
	life, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.Deadline)
	answer, err := g.target.client.Start(life, d.task(p, id, session), bytes.NewReader(sub.Body))
	d.cfg.Recorder.Attempt(p.pool.name, attemptResult(err))
	if err == nil {
		p.pool.record(g.target, answer.Status < http.StatusInternalServerError)
		result := d.finishOnce(life, sub, id, answer, release)
		return ending(result, cancel), false
	}
	defer cancel()
	if errors.Is(err, runner.ErrSessionEnded) {
		session.Invalidate()
	}
	if errors.Is(err, runner.ErrNotRun) && d.cfg.Journal.NotRun(life, sub.ID, id) == nil {
		release(true)
		return Result{}, true
	}
	p.pool.record(g.target, false)
	d.cfg.Journal.Detach(sub.ID, release)
	return d.await(ctx, sub.ID, p.Team), false
}

// finishOnce records the answer before the caller gets it, so that a repeat gets the
// same one. If the record can't be written now, recovery fetches the answer from the
// worker later; the caller gets it all the same.
func (d *Dispatcher) finishOnce(ctx context.Context, sub journaler.Submission, id string, answer *runner.Answer, release func(bool)) Result {
	head, err := io.ReadAll(io.LimitReader(answer.Body, journaler.MaxBlobBytes+1))
	if err != nil {
		_ = answer.Body.Close()
		d.cfg.Journal.Detach(sub.ID, release)
		return d.await(ctx, sub.ID, sub.Request.Team)
	}
	commit, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	if err := d.cfg.Journal.Finish(commit, sub.ID, id, journaler.Finished{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Data:        head,
	}); err != nil {
		d.cfg.Logger.Warn("answer not recorded", "error", err)
	}
	d.cfg.Journal.Detach(sub.ID, nil)
	body := &answerBody{ReadCloser: answer.Body}
	return Result{
		Outcome:     OutcomeDone,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body: &closer{
			ReadCloser: joined{
				Reader: io.MultiReader(bytes.NewReader(head), body),
				Closer: body,
			},
			end: func() { release(body.whole || len(head) <= journaler.MaxBlobBytes) },
		},
	}
}

// joined is a reader with the closer of another one.
type joined struct {
	io.Reader
	io.Closer
}

// journalError turns an error of a submission into a result. jobs tells whether the
// journal itself would run the request if the submission took effect after all.
func (d *Dispatcher) journalError(err error, jobs bool) Result {
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
			err:    journaler.ErrFull,
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
	if jobs && journaler.EffectOf(err) != journaler.EffectNone {
		return Unknown(ReasonJournalUnavailable, "the job may have been accepted; repeat with the same identity")
	}
	if errors.Is(err, journaler.ErrClosed) || errors.Is(err, journaler.ErrOwnershipLost) {
		return NotRun(ReasonJournalMoved, err.Error())
	}
	return NotRun(ReasonJournalUnavailable, err.Error())
}

// recordResult turns a record into the result of a request on the line.
func (d *Dispatcher) recordResult(ctx context.Context, r journaler.Record) Result {
	switch r.State {
	case journaler.StateDone:
		return d.keptResult(ctx, r)
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

func (d *Dispatcher) keptResult(ctx context.Context, r journaler.Record) Result {
	if !r.Kept {
		result := outcome(OutcomeDone, ReasonResultNotKept, "the request ran; its answer was too large to keep")
		return result
	}
	data, err := d.cfg.Journal.Data(ctx, r)
	if err != nil {
		result := outcome(OutcomeDone, ReasonJournalUnavailable, "the request ran; its answer can't be read now")
		return result
	}
	return Result{
		Outcome:     OutcomeDone,
		Status:      r.Status,
		ContentType: r.Type,
		Body:        io.NopCloser(bytes.NewReader(data)),
	}
}
