package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/retrier"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

const (
	// A request that finds its team without allowance here waits this long for it
	// before it goes to a peer that reported spare allowance.
	forwardDelay = 5 * time.Millisecond
	// Starts that a worker refused before a request gives up, so that a pool full of
	// busy workers does not keep a request bouncing.
	maxRefusedStarts = 16
	stopTimeout      = 2 * time.Second
	maxHops          = 1
)

// online runs an idempotent request whose caller is on the line.
func (d *Dispatcher) online(ctx context.Context, p *plan) Result {
	body, err := newSource(p.Body)
	if err != nil {
		return bodyRefusal(err)
	}
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	forwarded := false // to a peer that was lost, so that it may have run there
	if peer := d.elsewhere(ctx, p); peer != "" {
		r := p.Request
		r.Body = body.open()
		result := d.cfg.Peers.Forward(ctx, peer, r)
		lost := result.Reason == ReasonPeerUnreachable || result.Reason == ReasonPeerLost
		if !lost || !body.replayable() || ctx.Err() != nil {
			return ending(result, cancel)
		}
		forwarded = result.Outcome == OutcomeUnknown
	}
	a := &attempts{
		d:          d,
		p:          p,
		body:       body,
		start:      time.Now(),
		mayHaveRun: forwarded,
	}
	d.count(p.key())
	return ending(a.run(ctx), cancel)
}

// elsewhere returns the peer that should run the request, or "" to run it here.
func (d *Dispatcher) elsewhere(ctx context.Context, p *plan) string {
	if p.Team == "" || p.Hops >= maxHops {
		return ""
	}
	if d.hasAllowance(p) || d.cfg.Peers.SpareFor(p.Team, p.need.Slots) == "" {
		return ""
	}
	wait, cancel := context.WithTimeout(ctx, forwardDelay)
	defer cancel()
	if d.cfg.Holder.AcquireWait(wait, p.Team, p.need.Slots) == nil {
		d.cfg.Holder.Release(p.Team, p.need.Slots)
		return ""
	}
	peer := d.cfg.Peers.SpareFor(p.Team, p.need.Slots)
	if peer != "" {
		d.cfg.Recorder.Forward("no_allowance")
	}
	return peer
}

func (d *Dispatcher) hasAllowance(p *plan) bool {
	f := d.cfg.Holder.Figures(p.Team)
	return f.Allowance-f.Running-f.Waiting >= p.need.Slots
}

func (d *Dispatcher) count(key retrier.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retrier.FirstAttempt(time.Now(), key)
}

// ending runs end when the result needs nothing more.
func ending(result Result, end func()) Result {
	if result.Body == nil {
		end()
		return result
	}
	result.Body = &closer{
		ReadCloser: result.Body,
		end:        end,
	}
	return result
}

// attempts runs one idempotent request until it has an answer.
type attempts struct {
	d       *Dispatcher
	p       *plan
	body    *source
	start   time.Time
	started time.Time // of the first attempt
	// atTargets is the time between starts and the beginning of their answers.
	atTargets time.Duration
	refused   int
	retries   int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
}

func (a *attempts) run(ctx context.Context) Result {
	for {
		g, err := a.p.pool.acquire(ctx, a.p.Team, a.p.queue.Class, a.p.need, a.p.Deadline)
		if err != nil {
			return a.refuse(err)
		}
		if a.started.IsZero() {
			a.started = time.Now()
			a.d.cfg.Recorder.Wait(a.p.Team, string(a.p.queue.Class), a.started.Sub(a.start))
		}
		answer, err := a.attempt(ctx, g)
		if err == nil {
			return a.answer(g, answer)
		}
		if result, again := a.again(ctx, g, err); !again {
			return result
		}
	}
}

// attempt starts one task. The grant is released when it fails.
func (a *attempts) attempt(ctx context.Context, g *grant) (*runner.Answer, error) {
	keeper := a.d.keyed
	if a.p.Team == "" {
		keeper = a.d.open
	}
	session, err := keeper.Acquire(ctx, g.target.vm.Name, g.target.client)
	if err != nil {
		g.release(true)
		return nil, err
	}
	task := a.d.task(a.p, uuid.NewString(), session)
	sent := time.Now()
	answer, err := g.target.client.Start(ctx, task, a.body.open())
	a.atTargets += time.Since(sent)
	if err == nil {
		body := &answerBody{ReadCloser: answer.Body}
		answer.Body = &closer{
			ReadCloser: body,
			end: func() {
				if !body.whole {
					a.stopTask(g.target, task.ID)
				}
				session.Release()
				g.release(body.whole)
			},
		}
		return answer, nil
	}
	if errors.Is(err, runner.ErrSessionEnded) {
		session.Invalidate()
	}
	notRun := errors.Is(err, runner.ErrNotRun)
	if !notRun {
		a.stopTask(g.target, task.ID)
	}
	session.Release()
	g.release(notRun)
	return nil, err
}

// stopTask ends a task whose answer nobody waits for any more.
func (a *attempts) stopTask(t *target, id string) {
	a.d.registry.wg.Go(func() {
		ctx, cancel := context.WithTimeout(a.d.ctx, stopTimeout)
		defer cancel()
		if err := t.client.Stop(ctx, id); err != nil && !errors.Is(err, runner.ErrUnknownTask) {
			a.d.cfg.Logger.Debug("task not stopped", "vm", t.vm.Name, "error", err)
		}
	})
}

func (d *Dispatcher) task(p *plan, id string, session *runner.Session) runner.Task {
	return runner.Task{
		ID:         id,
		Session:    session.ID,
		Boot:       session.Boot,
		Identity:   p.Identity,
		Team:       p.Team,
		Pool:       p.pool.name,
		Method:     p.Method,
		Path:       p.Path,
		Deferrable: false,
		Resources:  p.need.Resources,
		Timeout:    time.Until(p.Deadline),
	}
}

// again decides after a failed attempt whether to make another one.
func (a *attempts) again(ctx context.Context, g *grant, err error) (Result, bool) {
	notRun := errors.Is(err, runner.ErrNotRun)
	a.d.cfg.Recorder.Attempt(a.p.pool.name, attemptResult(err))
	if ctx.Err() == nil && !errors.Is(err, runner.ErrBusy) && !errors.Is(err, runner.ErrDraining) && !errors.Is(err, runner.ErrNoRight) {
		a.p.pool.record(g.target, false)
	}
	a.mayHaveRun = a.mayHaveRun || !notRun
	if ctx.Err() != nil {
		return a.refuse(ctx.Err()), false
	}
	if !a.body.replayable() {
		return a.refuse(err), false
	}
	a.avoid(g.target.vm.Name)
	if notRun {
		a.refused++
		if a.refused >= maxRefusedStarts {
			return a.refuse(err), false
		}
		if !sleeper.Sleep(ctx, a.d.delay(a.refused)) {
			return a.refuse(ctx.Err()), false
		}
		return Result{}, true
	}
	a.retries++
	at, budget := a.d.retry(a.p, a.retries)
	if budget != nil {
		return a.refuse(err), false
	}
	if !sleeper.Sleep(ctx, time.Until(at)) {
		return a.refuse(ctx.Err()), false
	}
	return Result{}, true
}

// avoid keeps the next attempt from the target, unless all have been tried.
func (a *attempts) avoid(name string) {
	need := a.p.need
	need.Avoid = append(append([]string(nil), need.Avoid...), name)
	a.p.pool.mu.Lock()
	fits := a.p.pool.placer.Fits(&need)
	a.p.pool.mu.Unlock()
	if !fits {
		need.Avoid = nil
	}
	a.p.need = need
}

func (d *Dispatcher) delay(attempt int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Delay(attempt, d.rng)
}

func (d *Dispatcher) retry(p *plan, attempt int) (time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Retry(time.Now(), p.key(), attempt, p.Deadline, d.rng)
}

// refuse turns the error of the last attempt into a result.
func (a *attempts) refuse(err error) Result {
	reason := refusalReason(err)
	if a.mayHaveRun {
		if reason != ReasonDeadline && reason != ReasonCanceled {
			reason = ReasonTargetLost
		}
		return Unknown(reason, err.Error())
	}
	return NotRun(reason, err.Error())
}

func refusalReason(err error) Reason {
	switch {
	case errors.Is(err, scheduler.ErrQueueFull):
		return ReasonQueueFull
	case errors.Is(err, scheduler.ErrNeverFits), errors.Is(err, ErrUnknownTarget):
		return ReasonNoTarget
	case errors.Is(err, scheduler.ErrDeadlinePassed), errors.Is(err, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(err, errCanceled), errors.Is(err, context.Canceled):
		return ReasonCanceled
	default:
		return ReasonNoTarget
	}
}

func attemptResult(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, runner.ErrNotRun):
		return "not_run"
	default:
		return "unknown"
	}
}

// answer passes the application's answer on.
func (a *attempts) answer(g *grant, answer *runner.Answer) Result {
	a.d.cfg.Recorder.Attempt(a.p.pool.name, "done")
	a.d.cfg.Recorder.Added(string(a.p.queue.Class), time.Since(a.start)-a.atTargets)
	a.p.pool.record(g.target, answer.Status < http.StatusInternalServerError)
	return Result{
		Outcome:     OutcomeDone,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
}
