package manager_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// serialAdviser approves all targets. It handles one request at a time, in turn, also if the caller
// has left meanwhile.
type serialAdviser struct {
	takes    time.Duration // for each request
	validity time.Duration // of the tickets
	lost     int           // number of first requests that are handled but not answered
	panics   int           // number of first requests whose answers the client can't take
	outage   time.Duration // how long it can't be reached, from the first request on
	turn     chan struct{} // holds a value while no request is handled

	mu       sync.Mutex
	received int
	answered int
	refused  int
	waiting  int
	failed   int
	firstAt  time.Time
}

var errUnreachable = errors.New("connection refused")

// maxWaitingAdvice is the number of waiting requests at which the adviser refuses.
const maxWaitingAdvice = 32

func newSerialAdviser(takes time.Duration) *serialAdviser {
	a := &serialAdviser{
		takes:    takes,
		validity: time.Minute,
		turn:     make(chan struct{}, 1),
	}
	a.turn <- struct{}{}
	return a
}

// handle handles a request when its turn has come and closes the channel that it returns.
func (a *serialAdviser) handle() <-chan struct{} {
	handled := make(chan struct{})
	a.mu.Lock()
	a.waiting++
	a.mu.Unlock()
	go func() {
		<-a.turn
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
		time.Sleep(a.takes)
		a.turn <- struct{}{}
		close(handled)
	}()
	return handled
}

func (a *serialAdviser) Ask(ctx context.Context, q orchestrator.AdviceRequest) (map[string]string, time.Duration, error) {
	a.mu.Lock()
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
	}
	if time.Since(a.firstAt) < a.outage {
		a.failed++
		a.mu.Unlock()
		return nil, 0, errUnreachable
	}
	if a.waiting >= maxWaitingAdvice {
		a.refused++
		a.mu.Unlock()
		return nil, 0, manager.ErrAdviserBusy
	}
	a.received++
	lost, panics := a.received <= a.lost, a.received <= a.panics
	a.mu.Unlock()
	if panics {
		panic("answer of the adviser")
	}
	handled := a.handle()
	if lost {
		handled = nil
	}
	select {
	case <-handled:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	a.mu.Lock()
	a.answered++
	a.mu.Unlock()
	tickets := map[string]string{}
	for _, id := range q.Targets {
		tickets[id] = "ticket-" + id
	}
	return tickets, a.validity, nil
}

// counts returns how many requests were given up, refused and not delivered.
func (a *serialAdviser) counts() (abandoned, refused, failed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received - a.answered, a.refused, a.failed
}

// advisedSchema decodes configurations whose queues need advice and state how long it takes.
type advisedSchema struct {
	testSchema
	base time.Duration
}

func (s advisedSchema) Configuration(data []byte) (*manager.Configuration, error) {
	c, err := s.testSchema.Configuration(data)
	if err != nil {
		return nil, err
	}
	for name, q := range c.Engine.Queues {
		q.AdviceRequired = true
		q.AdviceBase = s.base
		c.Engine.Queues[name] = q
	}
	return c, nil
}

// Guards against jobs that never start because requests to the adviser are given up before it can
// answer them and take their places again behind the abandoned ones.
func TestJobsThatWaitForASlowAdviserStart(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		takes  time.Duration
		stated time.Duration
		jobs   int
		before int // requests of an earlier daemon that the adviser has to handle first
		lost   int
		panics int
		within time.Duration
		// wasted is the largest number of requests that may be given up.
		wasted int
		// refused is the largest number of requests that may be refused.
		refused int
		// failed is the largest number of requests during the outage.
		outage time.Duration
		failed int
	}{
		{
			name:   "many jobs at once",
			takes:  460 * ms,
			stated: 460 * ms,
			jobs:   15,
			within: 15*460*ms + 2*time.Second,
		},
		{
			name:   "each request takes long",
			takes:  6 * time.Second,
			stated: 6 * time.Second,
			jobs:   3,
			within: 20 * time.Second,
		},
		{
			name:   "requests take longer than stated",
			takes:  5 * time.Second,
			stated: 100 * ms,
			jobs:   3,
			within: 40 * time.Second,
			wasted: 4,
		},
		{
			name:   "the queue does not state how long they take",
			takes:  9 * time.Second,
			jobs:   2,
			within: 75 * time.Second,
			wasted: 4,
		},
		{
			name:   "requests of an earlier daemon come first",
			takes:  460 * ms,
			stated: 460 * ms,
			jobs:   5,
			before: 20,
			within: 25*460*ms + 6*time.Second,
			wasted: 4,
		},
		{
			name:    "the adviser refuses because of requests of an earlier daemon",
			takes:   460 * ms,
			stated:  460 * ms,
			jobs:    2,
			before:  50,
			within:  (52*460 + 6000) * ms,
			refused: 20,
		},
		{
			name:   "the adviser can't be reached at first",
			takes:  100 * ms,
			stated: 100 * ms,
			jobs:   30,
			outage: 5 * time.Second,
			within: 15 * time.Second,
			failed: 25,
		},
		{
			name:   "a request is not answered",
			takes:  100 * ms,
			stated: 100 * ms,
			jobs:   3,
			lost:   1,
			within: 5 * time.Second,
			wasted: 1,
		},
		{
			name:   "the first answers can't be taken",
			takes:  100 * ms,
			stated: 100 * ms,
			jobs:   3,
			panics: 3,
			within: 5 * time.Second,
			wasted: 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newSerialAdviser(tt.takes)
				a.lost, a.panics, a.outage = tt.lost, tt.panics, tt.outage
				for range tt.before {
					a.handle()
				}
				i := newInstallation(t)
				i.adviser = a
				i.schema = advisedSchema{
					base: tt.stated,
				}
				m, stop := i.start("a")
				defer func() {
					stop()
					time.Sleep(5 * time.Minute) // the adviser handles what was given up
				}()
				time.Sleep(time.Second)
				for n := range tt.jobs {
					if r := m.Front().Submit(t.Context(), call("k1", fmt.Sprintf("j%d", n), smallJob())); r.Verdict != manager.VerdictOK {
						t.Fatalf("verdict is %s (%s), want ok", r.Verdict, r.Reason)
					}
				}
				time.Sleep(tt.within)
				for n := range tt.jobs {
					id := fmt.Sprintf("j%d", n)
					if r := m.Front().State(t.Context(), call("k1", id, nil)); r.State != jobkeeper.StateComplete {
						t.Errorf("%s is %s %s after %v, want complete", id, r.Verdict, r.State, tt.within)
					}
				}
				abandoned, refused, failed := a.counts()
				if abandoned > tt.wasted {
					t.Errorf("%d requests were given up, want at most %d", abandoned, tt.wasted)
				}
				if refused > tt.refused {
					t.Errorf("%d requests were refused, want at most %d", refused, tt.refused)
				}
				if failed > tt.failed {
					t.Errorf("%d requests were not delivered, want at most %d", failed, tt.failed)
				}
			})
		})
	}
}
