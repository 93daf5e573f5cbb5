package orchestrator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/packer"
	"github.com/comfreyford/comfreyford/pkg/sequencer"
)

// maxAdvisedTargets bounds the targets in one request, because the adviser takes time
// for each.
const maxAdvisedTargets = 30

// advice is what the adviser has said of the targets for a step. Which ones it approves does not
// change; only the tickets expire.
type advice struct {
	tickets   map[string]string        // unexpired proof of approval, by target
	expiries  map[string]time.Duration // when the tickets expire, by target
	approved  map[string]bool          // targets that were approved once
	refused   map[string]bool          // targets that were asked about and not approved
	wantedAt  time.Duration            // when the step last wanted a request
	checkedAt time.Duration            // when targets to ask about were last sought
	askedAt   time.Duration
	failures  int           // requests in a row without a usable answer
	retryAt   time.Duration // no request before this time, after a failed one
	pending   bool          // a request was given out and not answered yet
	offered   bool          // the tasks of the step had the chance to start by the last answer
}

// record processes the adviser's answer about targets.
func (a *advice) record(asked []string, tickets map[string]string, until time.Duration) {
	if a.tickets == nil {
		a.tickets, a.expiries = map[string]string{}, map[string]time.Duration{}
		a.approved, a.refused = map[string]bool{}, map[string]bool{}
	}
	a.offered = false
	for _, id := range asked {
		a.refused[id] = true
	}
	for id, ticket := range tickets {
		delete(a.refused, id)
		a.approved[id] = true
		a.tickets[id], a.expiries[id] = ticket, until
	}
}

// expire removes the tickets that have expired.
func (a *advice) expire(now time.Duration) {
	maps.DeleteFunc(a.tickets, func(id, _ string) bool { return now >= a.expiries[id] })
}

// discard removes the ticket for a target, which has refused it. Tickets for others are as valid as
// before: the target may have started again.
func (a *advice) discard(target string) {
	delete(a.tickets, target)
}

// AdviceRequest asks the adviser which targets may run a step.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Targets    []string
	// Duration is how long the adviser takes for the request by the configuration of the queue;
	// zero if that does not say.
	Duration time.Duration
}

// AdviceAnswer is the result of a request to the adviser.
type AdviceAnswer struct {
	Request    AdviceRequest
	Tickets    map[string]string // by approved target
	Validity   time.Duration     // of the tickets; zero if the answer does not state it
	SentAt     time.Duration
	ReceivedAt time.Duration
	Err        error // why there is no answer
}

const (
	// refusalReviewTime is the time after which the adviser is asked about refused targets again if
	// it has approved none: one may have started again as another kind under its ID.
	refusalReviewTime = 3 * time.Second
	// adviceCheckInterval is the shortest time between two searches of a step for targets to ask
	// about.
	adviceCheckInterval = 100 * time.Millisecond
	// maxUnansweredAdvice bounds the requests that are not answered yet. The adviser handles one at
	// a time, so that further ones would only wait there, in the order in which they were sent.
	maxUnansweredAdvice = 2
	// adviceRetryDelay is the time until a step may ask again after its first failed request. It
	// doubles with each further one, up to maxAdviceRetryDelay, so that other steps come first.
	adviceRetryDelay    = 500 * time.Millisecond
	maxAdviceRetryDelay = 4 * time.Second
)

// adviceRetryDelayAfter returns the time until the next request of a step after n failed ones.
func adviceRetryDelayAfter(n int) time.Duration {
	delay := adviceRetryDelay
	for range n - 1 {
		delay = min(2*delay, maxAdviceRetryDelay)
	}
	return delay
}

// adviceRequired reports whether the step runs only on targets that the adviser has approved.
func (e *Engine) adviceRequired(s *stepState) bool {
	return e.queueOf(s.job).AdviceRequired
}

// hasAdvice reports whether the tasks of a step may be placed: its queue needs no advice, or there
// are unexpired tickets. If there are none, or those that there are were not enough, the step wants
// a request to the adviser, unless one is pending.
func (e *Engine) hasAdvice(g group, p *pool, now time.Duration) bool {
	if !e.adviceRequired(g.step) {
		return true
	}
	a := &g.step.advice
	a.expire(now)
	ready := len(a.tickets) > 0
	switch {
	case ready && !a.offered:
		a.offered = true
		return true
	case a.pending, now < a.retryAt, a.checkedAt > 0 && now-a.checkedAt < adviceCheckInterval, a.wantedAt == now:
		return ready
	}
	a.wantedAt = now
	e.adviceWanted = append(e.adviceWanted, adviceWish{
		group: g,
		pool:  p,
	})
	return ready
}

// adviceWish is a step that wants a request to the adviser.
type adviceWish struct {
	group group
	pool  *pool
}

// requestAdvice gives out requests for the steps that want one, as long as fewer than
// maxUnansweredAdvice are not answered. By turns these are the first step in the sequencer's order,
// in which steps that have not asked before come first, and the step that has waited longest for a
// request. So an urgent step does not wait behind a burst, and neither urgent steps nor such that ask
// again and again, because nothing has room for them, keep the others from asking.
func (e *Engine) requestAdvice(now time.Duration) {
	urgent := e.adviceWanted
	e.adviceWanted = nil
	if len(urgent) == 0 || e.unansweredAdvice >= maxUnansweredAdvice {
		return
	}
	waiting := slices.Clone(urgent)
	slices.SortStableFunc(urgent, func(a, b adviceWish) int {
		switch {
		case a.hasAsked() == b.hasAsked():
			return sequencer.Compare(a.group.candidate, b.group.candidate)
		case a.hasAsked():
			return 1
		}
		return -1
	})
	slices.SortStableFunc(waiting, func(a, b adviceWish) int { return cmp.Compare(a.waitsSince(now), b.waitsSince(now)) })
	for len(urgent)+len(waiting) > 0 && e.unansweredAdvice < maxUnansweredAdvice {
		order := &urgent
		if len(urgent) == 0 || len(waiting) > 0 && e.adviceByWait {
			order = &waiting
		}
		next := (*order)[0]
		*order = (*order)[1:]
		if next.group.step.advice.checkedAt != now && e.askFor(next, now) {
			e.adviceByWait = !e.adviceByWait
		}
	}
}

// hasAsked reports whether the step has asked before.
func (w *adviceWish) hasAsked() bool { return w.group.step.advice.askedAt > 0 }

// waitsSince returns since when the step waits for a request: since it could start, or since it asked
// last.
func (w *adviceWish) waitsSince(now time.Duration) time.Duration {
	return max(w.group.step.readyAt(now), w.group.step.advice.askedAt)
}

// askFor gives out a request for a step. It returns false if there is no target to ask about.
func (e *Engine) askFor(w adviceWish, now time.Duration) bool {
	s := w.group.step
	a := &s.advice
	a.checkedAt = now
	targets := e.targetsToAdvise(s, w.pool, now)
	if len(targets) == 0 {
		return false
	}
	targets = targets[:min(len(targets), maxAdvisedTargets)]
	a.pending = true
	a.askedAt = now
	e.unansweredAdvice++
	e.adviceRequests = append(e.adviceRequests, AdviceRequest{
		Job:        s.job.doc.ID,
		Occurrence: s.occurrence.number,
		Step:       s.index,
		Targets:    targets,
		Duration:   e.queueOf(s.job).adviceDuration(len(targets)),
	})
	return true
}

// targetsToAdvise returns the open targets to ask the adviser about: those that it approved and
// whose tickets have expired or, if there are none, those that it was not asked about yet. If it
// has refused all, it returns these after refusalReviewTime.
func (e *Engine) targetsToAdvise(s *stepState, p *pool, now time.Duration) []string {
	var expired, unknown, refused []string
	ready := false
	for i, v := range e.views(p, now) {
		id := p.targets[i].ID
		if v.Closed || !packer.FitsWhenEmpty(s.step, &v) {
			continue
		}
		_, valid := s.advice.tickets[id]
		switch {
		case valid:
			ready = true
		case s.advice.approved[id]:
			expired = append(expired, id)
		case s.advice.refused[id]:
			refused = append(refused, id)
		default:
			unknown = append(unknown, id)
		}
	}
	switch {
	case len(expired) > 0:
		return expired
	case len(unknown) == 0 && !ready && now-s.advice.askedAt >= refusalReviewTime:
		clear(s.advice.refused)
		return refused
	}
	return unknown
}

// AdviceRequests returns and removes the requests that are to be sent to the adviser. The answer to
// each must be passed to HandleAdvice.
func (e *Engine) AdviceRequests() []AdviceRequest {
	requests := e.adviceRequests
	e.adviceRequests = nil
	return requests
}

// HandleAdvice processes the adviser's answer to a request, or that there was none.
func (e *Engine) HandleAdvice(answer AdviceAnswer) {
	e.unansweredAdvice = max(0, e.unansweredAdvice-1)
	q := answer.Request
	took := answer.ReceivedAt - answer.SentAt
	j := e.jobs[q.Job]
	var o *occurrence
	if j != nil {
		o = j.occurrence(q.Occurrence)
	}
	if o == nil {
		e.cfg.Logger.Info("advice no longer needed", "job", q.Job, "step", q.Step, "took_ms", took.Milliseconds(), "error", answer.Err)
		return
	}
	a := &o.steps[q.Step].advice
	a.pending = false
	if answer.Err != nil {
		a.failures++
		a.retryAt = answer.ReceivedAt + adviceRetryDelayAfter(a.failures)
		e.cfg.Logger.Warn("adviser did not answer", "job", q.Job, "step", q.Step, "asked", len(q.Targets), "took_ms", took.Milliseconds(),
			"stated_ms", q.Duration.Milliseconds(), "failures", a.failures, "error", answer.Err)
		return
	}
	a.failures = 0
	a.record(q.Targets, answer.Tickets, answer.expiry(e.queueOf(j).AdviceValidity))
	e.cfg.Logger.Info("adviser answered", "job", q.Job, "step", q.Step, "asked", len(q.Targets), "approved", len(answer.Tickets), "refused_so_far", len(a.refused),
		"took_ms", took.Milliseconds(), "stated_ms", q.Duration.Milliseconds())
}

// expiry returns when the tickets expire. validity is that of the queue, for an answer without one.
// The adviser issues them at the earliest when it begins with the request, which may have waited
// there before. Tickets that would have expired since then are counted from their arrival: the
// targets decide.
func (a *AdviceAnswer) expiry(validity time.Duration) time.Duration {
	validity = cmp.Or(a.Validity, validity, unstatedAdviceValidity)
	issuedAt := max(a.SentAt, a.ReceivedAt-a.Request.Duration)
	if issuedAt+validity <= a.ReceivedAt {
		issuedAt = a.ReceivedAt
	}
	return issuedAt + validity
}

// unstatedAdviceValidity is how long tickets are used if neither the answer nor the queue states how
// long they are valid. A target that refuses one before has the adviser asked again.
const unstatedAdviceValidity = time.Minute

// closeUnapproved marks the targets as closed for which a step of a queue that requires advice
// has no ticket.
func (e *Engine) closeUnapproved(s *stepState, views []packer.Target) []packer.Target {
	if !e.adviceRequired(s) {
		return views
	}
	for i := range views {
		if _, ok := s.advice.tickets[views[i].ID]; !ok {
			views[i].Closed = true
		}
	}
	return views
}

// approved reports whether the step may run on a target as far as advice is concerned.
func (e *Engine) approved(s *stepState, t *target) bool {
	_, ok := s.advice.tickets[t.ID]
	return ok || !e.adviceRequired(s)
}
