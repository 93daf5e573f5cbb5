package manager

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// adviserQueue sends the requests of all owners of a daemon to the adviser.
//
// The adviser handles the requests of a daemon one at a time, in the order in which they arrive, and
// also those whose caller has left. A request that is given up too early is work thrown away, and it
// delays the next one, which is then given up as well. So few requests are under way, and the time
// that each may take follows from what the adviser still has to handle.
type adviserQueue struct {
	adviser Adviser
	clock   func() time.Duration
	logger  hclog.Logger

	mu       sync.Mutex
	load     adviserLoad
	underWay int
	ended    chan struct{} // closed and replaced when a request has ended
}

func newAdviserQueue(cfg Config) *adviserQueue {
	return &adviserQueue{
		adviser: cfg.Adviser,
		clock:   cfg.Clock,
		logger:  cfg.Logger,
		ended:   make(chan struct{}),
	}
}

// ErrAdviserBusy means that the adviser refused a request because too many are waiting there.
var ErrAdviserBusy = errors.New("adviser has too many pending requests")

// errNoAdviser means that the daemon has no adviser to ask.
var errNoAdviser = errors.New("no adviser is configured")

// ask sends a request to the adviser once there is room for it. The times in the answer do not
// include the wait before that.
func (q *adviserQueue) ask(ctx context.Context, r orchestrator.AdviceRequest) orchestrator.AdviceAnswer {
	answer := orchestrator.AdviceAnswer{
		Request: r,
		Err:     errNoAdviser,
	}
	var sent *sentAdvice
	if q.adviser != nil {
		sent, answer.Err = q.begin(ctx, r.Duration)
	}
	answer.SentAt = q.clock()
	answer.ReceivedAt = answer.SentAt
	if answer.Err != nil {
		return answer
	}
	call, cancel := context.WithTimeout(ctx, sent.limit)
	defer cancel()
	answer.Err = guard(q.logger, "advice for job", r.Job, func() (err error) {
		answer.Tickets, answer.Validity, err = q.adviser.Ask(call, r)
		return err
	})
	answer.ReceivedAt = q.clock()
	q.end(func(l *adviserLoad) {
		switch {
		case answer.Err == nil:
			l.answered(sent, answer.ReceivedAt-answer.SentAt)
		case errors.Is(answer.Err, ErrAdviserBusy):
			l.refused(sent, answer.ReceivedAt)
		case ctx.Err() != nil: // the ownership has ended; the adviser goes on
		case call.Err() != nil:
			l.timedOut()
		default:
			l.failed(sent, answer.ReceivedAt)
		}
	})
	return answer
}

// begin waits until fewer requests are under way than the adviser takes, and until the pause after a
// refused or failed one is over.
func (q *adviserQueue) begin(ctx context.Context, duration time.Duration) (*sentAdvice, error) {
	for {
		q.mu.Lock()
		closed := q.load.closedUntil - q.clock()
		if closed <= 0 && q.underWay < q.load.concurrency() {
			q.underWay++
			sent := q.load.send(duration)
			q.mu.Unlock()
			return sent, nil
		}
		ended := q.ended
		q.mu.Unlock()
		if closed > 0 {
			if !sleeper.Sleep(ctx, closed) {
				return nil, ctx.Err()
			}
			continue
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// end records the end of a request.
func (q *adviserQueue) end(record func(l *adviserLoad)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record(&q.load)
	q.underWay--
	close(q.ended)
	q.ended = make(chan struct{})
}

const (
	// maxConcurrentAdvice bounds the requests that are under way. The second one keeps the adviser
	// busy while the answer to the first one is on its way.
	maxConcurrentAdvice = 2
	// minAdviceSlack is how much longer than stated a request may take at least, for the network
	// and for an adviser that is a little slow.
	minAdviceSlack = 2 * time.Second
	// maxAdviceSlack bounds what is added for an adviser that is slower than stated. A request
	// without any answer ends after it, and after what the adviser had to handle before.
	maxAdviceSlack = time.Minute
	// maxAdviceBacklog is the number of requests that the adviser keeps waiting.
	maxAdviceBacklog = 32
	// minAdvicePause is the shortest time until the next request after a refused or failed one, so
	// that the steps that wait do not try one after the other at once.
	minAdvicePause = 250 * time.Millisecond
)

// adviserLoad is what the adviser has to handle for this daemon.
type adviserLoad struct {
	sent      []*sentAdvice // not known to be handled, the oldest first; also requests that were given up
	slack     time.Duration // allowed beyond the stated time of the requests; zero for minAdviceSlack
	answering bool          // the last request that has ended was answered
	// closedUntil is when the next request may be sent after one was refused or failed.
	closedUntil time.Duration
}

// concurrency returns how many requests may be under way. One at a time finds out how long an
// adviser takes that does not answer in time.
func (l *adviserLoad) concurrency() int {
	if l.answering {
		return maxConcurrentAdvice
	}
	return 1
}

// sentAdvice is a request that was sent to the adviser.
type sentAdvice struct {
	duration time.Duration // as stated
	expected time.Duration // until its answer, by the stated times
	limit    time.Duration // after which it is given up
}

// send adds a request for which the adviser states that it takes the given time.
func (l *adviserLoad) send(duration time.Duration) *sentAdvice {
	s := &sentAdvice{
		duration: duration,
		expected: duration,
	}
	for _, before := range l.sent {
		s.expected += before.duration
	}
	l.slack = max(l.slack, minAdviceSlack)
	s.limit = s.expected + l.slack
	l.sent = append(l.sent[max(0, len(l.sent)-maxAdviceBacklog+1):], s)
	return s
}

// answered removes a request that was answered after the given time, and those before it, which the
// adviser has handled too. The slack follows from how much longer than stated it took.
func (l *adviserLoad) answered(s *sentAdvice, took time.Duration) {
	l.answering = true
	l.sent = slices.Delete(l.sent, 0, slices.Index(l.sent, s)+1)
	l.slack = min(max(l.slack/2, 2*(took-s.expected), minAdviceSlack), maxAdviceSlack)
}

// timedOut records that a request was given up at its limit. The adviser still has to handle it, and
// may be slower than it states.
func (l *adviserLoad) timedOut() {
	l.answering = false
	l.slack = min(2*l.slack, maxAdviceSlack)
}

// refused records that the adviser refused a request because maxAdviceBacklog wait there, which are
// taken to be like this one. The next one is sent when the adviser has handled one of them.
func (l *adviserLoad) refused(s *sentAdvice, now time.Duration) {
	l.answering = false
	l.sent = slices.Repeat([]*sentAdvice{s}, maxAdviceBacklog)
	l.closedUntil = now + max(s.duration, minAdvicePause)
}

// failed removes a request that the adviser does not handle, for example because it can't be reached.
func (l *adviserLoad) failed(s *sentAdvice, now time.Duration) {
	l.answering = false
	l.closedUntil = now + minAdvicePause
	l.sent = slices.DeleteFunc(l.sent, func(other *sentAdvice) bool { return other == s })
}
