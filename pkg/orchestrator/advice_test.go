package orchestrator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// Guards against steps that find no approved target and pass for a sign that the pool has no room,
// so that no other step of the pool starts.
func TestStepsThatNeedNoAdviceStartBesideOnesThatAreApprovedNowhere(t *testing.T) {
	conf := testConfiguration()
	checked := conf.Queues["quotes"]
	checked.Name, checked.AdviceRequired = "checked", true
	conf.Queues[checked.Name] = checked
	tests := []struct {
		name    string
		blocked *jobkeeper.Job
		crashed bool // it crashed a target before, so that it starts on trial
	}{
		{
			name:    "tasks that end",
			blocked: testJob("blocked", "schools", 1000, 2),
		},
		{
			name:    "long-running tasks",
			blocked: longRunningJob("blocked", 2, 0),
		},
		{
			name:    "on trial",
			blocked: longRunningJob("blocked", 1, 0),
			crashed: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorldWithTargets(t, 4)
			w.conf = conf
			tt.blocked.Queue = checked.Name
			tt.blocked.Steps[0].PerTarget = 0
			tt.blocked.Steps[0].Needs = cores(1)
			other := testJob("other", "schools", 300, 6)
			if tt.crashed {
				for _, id := range []string{"blocked", "other"} {
					w.stored[id] = &jobkeeper.Progress{
						State: jobkeeper.StateRunning,
						Tasks: []jobkeeper.TaskRecord{{
							CrashedRuns: []uint64{1},
						}},
					}
				}
			}
			w.takeOver()
			w.run(500 * time.Millisecond)
			w.submit(tt.blocked)
			approveLostTarget := func() {
				for _, q := range w.engine.AdviceRequests() {
					w.advise(q, map[string]string{"lost": "ticket"}, time.Minute)
				}
			}
			w.runUntil(500*time.Millisecond, func() bool {
				approveLostTarget()
				return false
			})
			w.submit(other)
			if !w.runUntil(10*time.Second, func() bool {
				approveLostTarget()
				return w.state("other") == jobkeeper.StateComplete
			}) {
				t.Errorf("the job that needs no advice is %s", w.state("other"))
			}
			if on := w.runningOn("blocked.0.0.0"); on != "" {
				t.Errorf("the job that needs advice runs on %s", on)
			}
			w.verify()
		})
	}
}

// Guards against jobs that never start because the adviser is asked about the same part of a pool
// each time, and against the time until it is asked again when no target was open.
func TestAdviserIsAskedAboutEveryTargetOfALargePool(t *testing.T) {
	conf := testConfiguration()
	queue := conf.Queues["quotes"]
	queue.AdviceRequired = true
	conf.Queues["quotes"] = queue
	const validity = 3 * time.Second
	tests := []struct {
		name     string
		approved map[string]string
		jobs     int
		within   time.Duration
	}{
		{
			name:     "the last target of the pool",
			approved: map[string]string{"t79": "x"},
			jobs:     1,
			within:   2 * time.Second,
		},
		{
			name:     "a target of the first request has no room",
			approved: map[string]string{"t00": "x", "t75": "y"},
			jobs:     4, // each fills a target
			within:   2 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, conf)
			for i := range 80 {
				w.addTarget(fmt.Sprintf("t%02d", i), "desk", cores(8))
			}
			w.takeOver()
			for i := range tt.jobs {
				w.submit(testJob(fmt.Sprintf("j%d", i), "schools", 300, 4))
			}
			named := 0
			done := w.runUntil(tt.within+time.Duration(tt.jobs)*300*time.Millisecond, func() bool {
				for _, q := range w.engine.AdviceRequests() {
					named = max(named, len(q.Targets))
					tickets := map[string]string{}
					for _, id := range q.Targets {
						if ticket, ok := tt.approved[id]; ok {
							tickets[id] = ticket
						}
					}
					w.advise(q, tickets, validity)
				}
				for i := range tt.jobs {
					if w.state(fmt.Sprintf("j%d", i)) != jobkeeper.StateComplete {
						return false
					}
				}
				return true
			})
			if !done {
				t.Errorf("the first job is %s, the last one %s", w.state("j0"), w.state(fmt.Sprintf("j%d", tt.jobs-1)))
			}
			if named > 30 {
				t.Errorf("%d targets in one request, want at most 30", named)
			}
			w.verify()
		})
	}
}

// newWorldWithAdvice returns a world with targets and a configuration whose queue needs advice, which
// takes 100 ms and 10 ms for each target.
func newWorldWithAdvice(t *testing.T, targets int) *world {
	t.Helper()
	conf := testConfiguration()
	queue := conf.Queues["quotes"]
	queue.AdviceRequired = true
	queue.AdviceBase = 100 * time.Millisecond
	queue.AdvicePerTarget = 10 * time.Millisecond
	conf.Queues["quotes"] = queue
	urgent := queue
	urgent.Name, urgent.StretchFactor, urgent.TargetLatency = "urgent", 1, 0
	conf.Queues["urgent"] = urgent
	w := newWorldWithTargets(t, targets)
	w.conf = conf
	w.takeOver()
	w.run(300 * time.Millisecond)
	w.engine.AdviceRequests()
	return w
}

// Guards against a burst of jobs that fills the adviser with requests, so that an urgent job waits
// behind all of them.
func TestFewRequestsWaitAtTheAdviserAndUrgentOnesComeFirst(t *testing.T) {
	w := newWorldWithAdvice(t, 4)
	for i := range 10 {
		w.submit(testJob(fmt.Sprintf("j%d", i), "schools", 300, 1))
	}
	w.run(100 * time.Millisecond)
	urgent := testJob("urgent", "schools", 300, 1)
	urgent.Queue = "urgent"
	w.submit(urgent)
	w.run(100 * time.Millisecond)
	first := w.engine.AdviceRequests()
	if len(first) != 2 {
		t.Fatalf("%d requests wait at the adviser, want 2", len(first))
	}
	if got, want := first[0].Duration, 140*time.Millisecond; got != want {
		t.Errorf("a request about 4 targets takes %v, want %v", got, want)
	}
	w.advise(first[0], nil, time.Minute)
	w.run(100 * time.Millisecond)
	next := w.engine.AdviceRequests()
	if len(next) != 1 || next[0].Job != "urgent" {
		t.Errorf("the next requests are %v, want one for the urgent job", next)
	}
}

// Guards against a step whose requests fail and that keeps all other steps from asking.
func TestStepWhoseRequestsFailLetsOthersAsk(t *testing.T) {
	w := newWorldWithAdvice(t, 4)
	for i := range 4 {
		w.submit(testJob(fmt.Sprintf("j%d", i), "schools", 300, 1))
	}
	asked, failing := 0, true
	answer := func() {
		for _, q := range w.engine.AdviceRequests() {
			if q.Job == "j0" {
				asked++
			}
			if q.Job == "j0" && failing {
				w.engine.HandleAdvice(orchestrator.AdviceAnswer{
					Request:    q,
					SentAt:     w.now,
					ReceivedAt: w.now,
					Err:        context.DeadlineExceeded,
				})
				continue
			}
			w.advise(q, map[string]string{"t0": "x"}, time.Minute)
		}
	}
	complete := func(jobs ...string) func() bool {
		return func() bool {
			answer()
			return !slices.ContainsFunc(jobs, func(id string) bool { return w.state(id) != jobkeeper.StateComplete })
		}
	}
	if !w.runUntil(3*time.Second, complete("j1", "j2", "j3")) {
		t.Errorf("the other jobs are %s, %s and %s", w.state("j1"), w.state("j2"), w.state("j3"))
	}
	w.runUntil(20*time.Second, func() bool {
		answer()
		return false
	})
	if asked > 12 {
		t.Errorf("the adviser was asked %d times for the job whose requests fail, want at most 12", asked)
	}
	failing = false
	if !w.runUntil(6*time.Second, complete("j0")) {
		t.Errorf("the job is %s once the adviser answers", w.state("j0"))
	}
	w.verify()
}

// serialAnswers answers the requests of a world one at a time, each after its duration, and approves
// the given targets.
type serialAnswers struct {
	w        *world
	approved map[string]bool
	validity time.Duration
	waiting  []orchestrator.AdviceRequest
	sentAt   []time.Duration
	freeAt   time.Duration // when the first waiting request will have been handled
}

// answer is called in each step of the world.
func (s *serialAnswers) answer() {
	for _, q := range s.w.engine.AdviceRequests() {
		if len(s.waiting) == 0 {
			s.freeAt = s.w.now + q.Duration
		}
		s.waiting, s.sentAt = append(s.waiting, q), append(s.sentAt, s.w.now)
	}
	if len(s.waiting) == 0 || s.w.now < s.freeAt {
		return
	}
	tickets := map[string]string{}
	for _, id := range s.waiting[0].Targets {
		if s.approved[id] {
			tickets[id] = "x"
		}
	}
	s.w.engine.HandleAdvice(orchestrator.AdviceAnswer{
		Request:    s.waiting[0],
		Tickets:    tickets,
		Validity:   s.validity,
		SentAt:     s.sentAt[0],
		ReceivedAt: s.w.now,
	})
	s.waiting, s.sentAt = s.waiting[1:], s.sentAt[1:]
	if len(s.waiting) > 0 {
		s.freeAt = s.w.now + s.waiting[0].Duration
	}
}

// Guards against steps without room that ask again each time their tickets have expired, and keep the
// adviser from steps that could start.
func TestStepsWithoutRoomDoNotKeepOthersFromAsking(t *testing.T) {
	w := newWorldWithAdvice(t, 2)
	queue := w.conf.Queues["quotes"]
	queue.StretchFactor = 1000 // no job is late
	w.conf.Queues["quotes"] = queue
	other := queue
	other.Name, other.Pool, other.Priority = "other", "other", 5
	w.conf.Queues["other"] = other
	w.conf.Pools["other"] = orchestrator.Pool{
		Name: "other",
	}
	w.engine.Configure(w.conf)
	w.addTarget("o1", "other", cores(8))
	s := &serialAnswers{
		w:        w,
		approved: map[string]bool{"t0": true, "t1": true, "o1": true},
		validity: 300 * time.Millisecond,
	}
	w.submit(testJob("filler", "schools", 30_000, 8))
	w.runUntil(3*time.Second, func() bool {
		s.answer()
		return false
	})
	for i := range 12 {
		w.submit(testJob(fmt.Sprintf("waits%d", i), "schools", 1000, 1))
	}
	w.runUntil(3*time.Second, func() bool {
		s.answer()
		return false
	})
	for i := range 2 {
		j := testJob(fmt.Sprintf("other%d", i), "schools", 300, 1)
		j.Queue, j.Pool = "other", "other"
		w.submit(j)
	}
	done := w.runUntil(3*time.Second, func() bool {
		s.answer()
		return w.state("other0") == jobkeeper.StateComplete && w.state("other1") == jobkeeper.StateComplete
	})
	if !done {
		t.Errorf("the jobs with room are %s and %s", w.state("other0"), w.state("other1"))
	}
	w.verify()
}

// Guards against a stream of urgent jobs, more than the adviser can handle, that keeps a less urgent step from its requests, of which it
// needs two to find an approved target.
func TestUrgentStepsDoNotKeepOthersFromAsking(t *testing.T) {
	w := newWorldWithAdvice(t, 40)
	queue := w.conf.Queues["quotes"]
	queue.Priority = 5
	w.conf.Queues["quotes"] = queue
	urgent := w.conf.Queues["urgent"]
	urgent.StretchFactor = 1000 // no urgent job is late
	w.conf.Queues["urgent"] = urgent
	w.engine.Configure(w.conf)
	s := &serialAnswers{
		w:        w,
		approved: map[string]bool{"t8": true, "t9": true}, // the last ones by ID
		validity: time.Minute,
	}
	n := 0
	stream := func() bool {
		s.answer()
		if w.now%(400*time.Millisecond) == 0 {
			j := testJob(fmt.Sprintf("new%d", n), "schools", 300, 1)
			j.Queue = "urgent"
			w.submit(j)
			n++
		}
		return w.state("old") == jobkeeper.StateComplete
	}
	w.runUntil(time.Second, stream)
	w.submit(testJob("old", "schools", 300, 1))
	if !w.runUntil(20*time.Second, stream) {
		t.Errorf("the old job is %s after %d urgent ones", w.state("old"), n)
	}
	w.verify()
}

// Guards against tickets that are thrown away before a task can start with them, so that the adviser
// is asked again without end.
func TestTicketsAreKeptUntilATaskCanStart(t *testing.T) {
	tests := []struct {
		name   string
		answer time.Duration // validity that the answer states
		queue  time.Duration // validity that the queue states
		took   time.Duration
	}{
		{
			name:   "stated by the answer",
			answer: time.Second,
			took:   140 * time.Millisecond,
		},
		{
			name:  "stated by the queue only",
			queue: time.Second,
			took:  140 * time.Millisecond,
		},
		{
			name: "not stated",
			took: 140 * time.Millisecond,
		},
		{
			name:   "the request waited at the adviser for longer",
			answer: time.Second,
			took:   3 * time.Second,
		},
		{
			name:   "shorter than a request takes",
			answer: 50 * time.Millisecond,
			took:   140 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorldWithAdvice(t, 4)
			queue := w.conf.Queues["quotes"]
			queue.AdviceValidity = tt.queue
			w.conf.Queues["quotes"] = queue
			w.engine.Configure(w.conf)
			w.submit(testJob("j1", "schools", 300, 1))
			w.run(50 * time.Millisecond)
			requests := w.engine.AdviceRequests()
			if len(requests) != 1 {
				t.Fatalf("%d requests, want 1", len(requests))
			}
			sentAt := w.now
			w.run(tt.took)
			w.engine.HandleAdvice(orchestrator.AdviceAnswer{
				Request:    requests[0],
				Tickets:    map[string]string{"t0": "x"},
				Validity:   tt.answer,
				SentAt:     sentAt,
				ReceivedAt: w.now,
			})
			if !w.runUntil(time.Second, func() bool { return w.state("j1") == jobkeeper.StateComplete }) {
				t.Errorf("the job is %s although its target was approved", w.state("j1"))
			}
			w.verify()
		})
	}
}

// Guards against a target that refuses its ticket, because it has started again, and takes those for
// all other targets with it.
func TestTicketThatOneTargetRefusesLeavesTheOthers(t *testing.T) {
	e, r := newEngineWithTarget()
	conf := testConfiguration()
	queue := conf.Queues["quotes"]
	queue.AdviceRequired = true
	conf.Queues["quotes"] = queue
	e.Configure(conf)
	second := r
	second.ID, second.VM = "t2", "vm2"
	e.Register(second, time.Second)
	e.HandleListing(listingOf(second, time.Second), 0)
	recordChanges(e, time.Second)
	recordChanges(e, time.Second)
	e.AddJob(testJob("j1", "schools", 300, 1), 8, nil, 8, time.Second, 0)
	e.Tick(1100*time.Millisecond, 0)
	for _, q := range e.AdviceRequests() {
		e.HandleAdvice(orchestrator.AdviceAnswer{
			Request:    q,
			Tickets:    map[string]string{"t1": "x", "t2": "y"},
			Validity:   time.Minute,
			SentAt:     1100 * time.Millisecond,
			ReceivedAt: 1200 * time.Millisecond,
		})
	}
	first := starts(e, 1250*time.Millisecond)
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	e.HandleAnswer(answerTo(first[0], orchestrator.OutcomeBadTicket, 1300*time.Millisecond), 1300*time.Millisecond)
	next := starts(e, 1350*time.Millisecond)
	if len(next) != 1 || next[0].Target.ID == first[0].Target.ID {
		t.Errorf("starts are %v, want one on the other target with its ticket", next)
	}
}
