package orchestrator

import (
	"maps"
	"time"

	"github.com/comfreyford/comfreyford/pkg/packer"
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
	checkedAt time.Duration            // when targets to ask about were last sought
	askedAt   time.Duration
	pending   bool // a request was sent and not answered yet
	offered   bool // the tasks of the step had the chance to start by the last answer
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

func (a *advice) discard() {
	clear(a.tickets)
}

// AdviceRequest asks the adviser which targets may run a step.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Targets    []string
}

const (
	// adviceTimeout is the time after which an unanswered request is sent again, and after which
	// the adviser is asked about refused targets again if it has approved none: one may have
	// started again as another kind under its ID.
	adviceTimeout = 3 * time.Second
	// adviceCheckInterval is the shortest time between two searches of a step for targets to ask
	// about.
	adviceCheckInterval = 100 * time.Millisecond
)

// adviceRequired reports whether the step runs only on targets that the adviser has approved.
func (e *Engine) adviceRequired(s *stepState) bool {
	return e.queueOf(s.job).AdviceRequired
}

// hasAdvice reports whether the tasks of a step may be placed: its queue needs no advice, or there
// are unexpired tickets. If there are none, or those that there are were not enough, it queues a
// request for the adviser, unless one is pending.
func (e *Engine) hasAdvice(s *stepState, p *pool, now time.Duration) bool {
	if !e.adviceRequired(s) {
		return true
	}
	a := &s.advice
	a.expire(now)
	ready := len(a.tickets) > 0
	switch {
	case ready && !a.offered:
		a.offered = true
		return true
	case a.pending && now-a.askedAt < adviceTimeout, a.checkedAt > 0 && now-a.checkedAt < adviceCheckInterval:
		return ready
	}
	a.checkedAt = now
	if targets := e.targetsToAdvise(s, p, now); len(targets) > 0 {
		a.pending = true
		a.askedAt = now
		e.adviceRequests = append(e.adviceRequests, AdviceRequest{
			Job:        s.job.doc.ID,
			Occurrence: s.occurrence.number,
			Step:       s.index,
			Targets:    targets[:min(len(targets), maxAdvisedTargets)],
		})
	}
	return ready
}

// targetsToAdvise returns the open targets to ask the adviser about: those that it approved and
// whose tickets have expired or, if there are none, those that it was not asked about yet. If it
// has refused all, it returns these after adviceTimeout.
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
	case len(unknown) == 0 && !ready && now-s.advice.askedAt >= adviceTimeout:
		clear(s.advice.refused)
		return refused
	}
	return unknown
}

// AdviceRequests returns and removes the requests that are to be sent to the adviser.
func (e *Engine) AdviceRequests() []AdviceRequest {
	requests := e.adviceRequests
	e.adviceRequests = nil
	return requests
}

// HandleAdvice processes the adviser's answer to a request. tickets are by target, for the
// approved ones; they expire validity after askedAt, when the request was sent. An err
// means that there was no answer.
func (e *Engine) HandleAdvice(q AdviceRequest, tickets map[string]string, validity, askedAt time.Duration, err error) {
	j := e.jobs[q.Job]
	if j == nil || j.occurrences[q.Occurrence] == nil {
		return
	}
	s := j.occurrences[q.Occurrence].steps[q.Step]
	s.advice.pending = false
	if err != nil {
		e.cfg.Logger.Warn("adviser did not answer", "job", q.Job, "step", q.Step, "error", err)
		return
	}
	s.advice.record(q.Targets, tickets, askedAt+validity)
	e.cfg.Logger.Info("adviser answered", "job", q.Job, "step", q.Step, "asked", len(q.Targets), "approved", len(tickets), "refused_so_far", len(s.advice.refused))
}

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
