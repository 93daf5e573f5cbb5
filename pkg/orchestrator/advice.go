package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/packer"
)

// maxAdvisedTargets bounds the targets in one request, because the adviser takes time
// for each.
const maxAdvisedTargets = 30

// advice is the adviser's last answer for a step.
type advice struct {
	tickets map[string]string // proof of approval, by target
	until   time.Duration     // when the tickets expire
	askedAt time.Duration
	pending bool // a request was sent and not answered yet
}

func (a *advice) discard() {
	a.tickets = nil
	a.until = 0
}

// AdviceRequest asks the adviser which targets may run a step.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Targets    []string
}

// adviceTimeout is the time after which an unanswered request is sent again.
const adviceTimeout = 3 * time.Second

// adviceRequired reports whether the step runs only on targets that the adviser has approved.
func (e *Engine) adviceRequired(s *stepState) bool {
	return e.queueOf(s.job).AdviceRequired
}

// hasAdvice reports whether the tasks of a step may be placed: its queue needs no advice,
// or unexpired advice is there. Otherwise it queues a request for the adviser, unless one
// is pending.
func (e *Engine) hasAdvice(s *stepState, p *pool, now time.Duration) bool {
	if !e.adviceRequired(s) {
		return true
	}
	if s.advice.tickets != nil && now < s.advice.until {
		return true
	}
	if s.advice.pending && now-s.advice.askedAt < adviceTimeout {
		return false
	}
	s.advice.pending = true
	s.advice.askedAt = now
	q := AdviceRequest{
		Job:        s.job.doc.ID,
		Occurrence: s.occurrence.number,
		Step:       s.index,
	}
	for i, v := range e.views(p, now) {
		if len(q.Targets) < maxAdvisedTargets && !v.Closed && packer.FitsWhenEmpty(s.step, &v) {
			q.Targets = append(q.Targets, p.targets[i].ID)
		}
	}
	if len(q.Targets) > 0 {
		e.adviceRequests = append(e.adviceRequests, q)
	}
	return false
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
	s.advice.tickets = tickets
	s.advice.until = askedAt + validity
	e.cfg.Logger.Info("adviser answered", "job", q.Job, "step", q.Step, "asked", len(q.Targets), "approved", len(tickets))
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
