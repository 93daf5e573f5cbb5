package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/retrier"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

const (
	// forwardDelay is how long a request waits for allowance of its team here before it is
	// forwarded to a peer that reported spare allowance.
	forwardDelay = 5 * time.Millisecond
	// maxRefusedStarts is the number of refused starts after which a request fails, so that it
	// does not go from worker to worker while all of them are busy.
	maxRefusedStarts = 16
	// maxLostAttempts is the number of attempts without an answer, each of which may have
	// crashed its target, after which a request is not tried again. Those that coincide with
	// crashes of other causes don't count.
	maxLostAttempts = 3
	// maxLostTargets is the same for all of its lost attempts, also those for which another
	// cause is likelier.
	maxLostTargets = 6
	callTimeout    = 2 * time.Second
	maxHops        = 1
)

// runIdempotent runs an idempotent request while its caller waits.
func (d *Dispatcher) runIdempotent(ctx context.Context, p *admittedRequest) Result {
	body, err := newReplayableBody(p.Body)
	if err != nil {
		return bodyErrorResult(err)
	}
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	var lost []lostAttempt
	if peer := d.forwardingPeer(ctx, p); peer != "" {
		r := p.Request
		r.Body = body.open()
		sent := time.Now()
		result := d.cfg.Peers.Forward(ctx, peer, r)
		peerFailed := result.Reason == ReasonPeerUnreachable || result.Reason == ReasonPeerLost
		if !peerFailed || !body.canOpen() || ctx.Err() != nil {
			return withCleanup(result, cancel)
		}
		if result.Outcome == OutcomeUnknown {
			lost = append(lost, lostAttempt{
				target: "peer " + peer,
				after:  time.Since(sent),
				at:     time.Now(),
			})
		}
	}
	a := &attempts{
		d:     d,
		p:     p,
		id:    uuid.NewString(),
		body:  body,
		start: time.Now(),
		lost:  lost,
	}
	d.countFirstAttempt(p.retryKey())
	return withCleanup(a.run(ctx), cancel)
}

// forwardingPeer returns the peer that should run the request, or "" to run it here.
func (d *Dispatcher) forwardingPeer(ctx context.Context, p *admittedRequest) string {
	if p.Team == "" || p.Hops >= maxHops {
		return ""
	}
	if d.hasAllowance(p) || d.cfg.Peers.PeerWithSpare(p.Team, p.need.Slots) == "" {
		return ""
	}
	wait, cancel := context.WithTimeout(ctx, forwardDelay)
	defer cancel()
	if d.cfg.Holder.AcquireWait(wait, p.Team, p.need.Slots) == nil {
		d.cfg.Holder.Release(p.Team, p.need.Slots)
		return ""
	}
	peer := d.cfg.Peers.PeerWithSpare(p.Team, p.need.Slots)
	if peer != "" {
		d.cfg.Recorder.Forward("no_allowance")
	}
	return peer
}

func (d *Dispatcher) hasAllowance(p *admittedRequest) bool {
	f := d.cfg.Holder.Usage(p.Team)
	return f.Allowance-f.Running-f.Waiting >= p.need.Slots
}

func (d *Dispatcher) countFirstAttempt(key retrier.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retrier.FirstAttempt(time.Now(), key)
}

// withCleanup runs cleanup when the result's body is closed, or at once if it has none.
func withCleanup(result Result, cleanup func()) Result {
	if result.Body == nil {
		cleanup()
		return result
	}
	result.Body = &closer{
		ReadCloser: result.Body,
		onClose:    cleanup,
	}
	return result
}

// attempts runs one idempotent request until it has an answer or no further attempt is allowed.
type attempts struct {
	d          *Dispatcher
	p          *admittedRequest
	id         string // by which the crashes of the pool name the request
	body       *replayableBody
	start      time.Time
	firstStart time.Time // start of the first attempt
	// targetTime is the total time from the starts at targets to the beginning of their
	// answers.
	targetTime    time.Duration
	refusedStarts int
	lost          []lostAttempt
}

// lostAttempt is an attempt that ended without an answer and without proof that it did not run.
type lostAttempt struct {
	target string // name of the VM, or "peer " and the name of the entry daemon
	after  time.Duration
	at     time.Time
	beside bool // another suspected request is the likelier cause
}

func (a *attempts) run(ctx context.Context) Result {
	for {
		g, err := a.acquire(ctx)
		if err != nil {
			return a.failureResult(err)
		}
		if a.firstStart.IsZero() {
			a.firstStart = time.Now()
			a.d.cfg.Recorder.Wait(a.p.Team, string(a.p.queue.Class), a.firstStart.Sub(a.start))
		}
		answer, err := a.attempt(ctx, g)
		if err == nil {
			return a.successResult(g, answer)
		}
		if result, retry := a.prepareRetry(ctx, g, err); !retry {
			return result
		}
	}
}

func (a *attempts) acquire(ctx context.Context) (*grant, error) {
	if len(a.lost) > 0 {
		return a.p.pool.acquireSeparately(ctx, a.p.Team, a.p.queue.Class, a.p.need, a.p.Deadline)
	}
	return a.p.pool.acquire(ctx, a.p.Team, a.p.queue.Class, a.p.need, a.p.Deadline)
}

// attempt starts one task. The grant is released when it fails.
func (a *attempts) attempt(ctx context.Context, g *grant) (*runner.Answer, error) {
	sessions := a.d.teamSessions
	if a.p.Team == "" {
		sessions = a.d.openQueueSessions
	}
	session, err := sessions.Acquire(ctx, g.target.vm.Name, g.target.client)
	if err != nil {
		g.release(true)
		return nil, err
	}
	task := a.d.task(a.p, uuid.NewString(), session)
	sent := time.Now()
	answer, err := g.target.client.Start(ctx, task, a.body.open())
	elapsed := time.Since(sent)
	a.targetTime += elapsed
	if err == nil {
		body := &answerBody{ReadCloser: answer.Body}
		answer.Body = &closer{
			ReadCloser: body,
			onClose: func() {
				if !body.complete {
					a.stopTask(g.target, task.ID)
				}
				session.Release()
				g.release(body.complete)
			},
		}
		return answer, nil
	}
	if errors.Is(err, runner.ErrSessionEnded) {
		session.Invalidate()
	}
	g.recordLoss(ctx, a.id, err)
	notRun := errors.Is(err, runner.ErrNotRun)
	if !notRun {
		a.lost = append(a.lost, lostAttempt{
			target: g.target.vm.Name,
			after:  elapsed,
			at:     time.Now(),
			beside: a.p.pool.besideSuspect(g),
		})
		a.stopTask(g.target, task.ID)
	}
	session.Release()
	g.release(notRun)
	return nil, err
}

// stopTask stops a task whose answer is no longer needed.
func (a *attempts) stopTask(t *target, id string) {
	a.d.registry.wg.Go(func() {
		ctx, cancel := context.WithTimeout(a.d.ctx, callTimeout)
		defer cancel()
		if err := t.client.Stop(ctx, id); err != nil && !errors.Is(err, runner.ErrUnknownTask) {
			a.d.cfg.Logger.Debug("failed to stop task", "vm", t.vm.Name, "error", err)
		}
	})
}

func (d *Dispatcher) task(p *admittedRequest, id string, session *runner.Session) runner.Task {
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

// prepareRetry decides after a failed attempt whether to make another one, and waits until it
// may start. If there is none, it returns the result and false.
func (a *attempts) prepareRetry(ctx context.Context, g *grant, err error) (Result, bool) {
	notRun := errors.Is(err, runner.ErrNotRun)
	a.d.cfg.Recorder.Attempt(a.p.pool.name, attemptLabel(err))
	if ctx.Err() == nil && !errors.Is(err, runner.ErrBusy) && !errors.Is(err, runner.ErrDraining) && !errors.Is(err, runner.ErrNotPermitted) {
		a.p.pool.recordAttemptResult(g.target, false)
	}
	if ctx.Err() != nil {
		return a.failureResult(ctx.Err()), false
	}
	if !a.body.canOpen() {
		return a.failureResult(err), false
	}
	if !notRun && a.exhausted(ctx) {
		return a.exhaustedResult(), false
	}
	a.avoidTarget(g.target.vm.Name)
	if notRun {
		a.refusedStarts++
		if a.refusedStarts >= maxRefusedStarts {
			return a.failureResult(err), false
		}
		if !sleeper.Sleep(ctx, a.d.retryDelay(a.refusedStarts)) {
			return a.failureResult(ctx.Err()), false
		}
		return Result{}, true
	}
	at, retryErr := a.d.nextRetry(a.p, len(a.lost))
	if retryErr != nil {
		return a.failureResult(err), false
	}
	if !sleeper.Sleep(ctx, time.Until(at)) || !a.awaitCalm(ctx) {
		return a.failureResult(ctx.Err()), false
	}
	return Result{}, true
}

// avoidTarget excludes the target from the next attempts. If no other target has room, all of
// them may be tried again.
func (a *attempts) avoidTarget(name string) {
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

func (d *Dispatcher) retryDelay(attempt int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Delay(attempt, d.rng)
}

func (d *Dispatcher) nextRetry(p *admittedRequest, attempt int) (time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Retry(time.Now(), p.retryKey(), attempt, p.Deadline, d.rng)
}

// failureResult turns the error of the last attempt into a result.
func (a *attempts) failureResult(err error) Result {
	reason := refusalReason(err)
	if len(a.lost) > 0 {
		if reason != ReasonDeadline && reason != ReasonCanceled {
			reason = ReasonTargetLost
		}
		return Unknown(reason, err.Error())
	}
	return NotRun(reason, err.Error())
}

// exhaustedResult is the result of a request that is not tried again because of the targets it
// has lost.
func (a *attempts) exhaustedResult() Result {
	var targets, after []string
	for _, l := range a.lost {
		targets = append(targets, l.target)
		after = append(after, strconv.FormatInt(l.after.Milliseconds(), 10))
	}
	path, _, _ := strings.Cut(a.p.Path, "?")
	a.d.cfg.Logger.Warn("request given up, its targets were lost", "queue", a.p.Queue, "pool", a.p.pool.name,
		"team", a.p.Team, "key_id", a.p.KeyID, "method", a.p.Method, "path", path,
		"targets", strings.Join(targets, ","), "lost_after_ms", strings.Join(after, ","),
		"held_against", a.heldAgainst())
	return Unknown(ReasonAttemptsExhausted, strconv.Itoa(len(a.lost))+" targets were lost while they ran the request; it may crash them")
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

func attemptLabel(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, runner.ErrNotRun):
		return "not_run"
	default:
		return "unknown"
	}
}

// successResult returns the application's answer and records it in the metrics.
func (a *attempts) successResult(g *grant, answer *runner.Answer) Result {
	a.d.cfg.Recorder.Attempt(a.p.pool.name, "done")
	a.d.cfg.Recorder.AddedLatency(string(a.p.queue.Class), time.Since(a.start)-a.targetTime)
	a.p.pool.recordAttemptResult(g.target, answer.Status < http.StatusInternalServerError)
	return Result{
		Outcome:     OutcomeDone,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
}
