package verifier

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/demonstrator"
	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/internal/generator"
	"github.com/comfreyford/comfreyford/internal/server"
)

// call is one attempt of one request at one entry daemon.
type call struct {
	entry    int
	queue    string
	method   string
	key      string
	identity string
	duration time.Duration // of the run that is requested of the worker
	timeout  time.Duration
}

func (f *fixture) call(entry int, queue, method, key string) call {
	return call{
		entry:    entry,
		queue:    queue,
		method:   method,
		key:      key,
		identity: uuid.Must(uuid.NewV7()).String(),
		timeout:  8 * time.Second,
	}
}

// answer is what the caller received.
type answer struct {
	call    call
	sent    time.Time
	outcome dispatcher.Outcome // empty if no complete answer arrived
	reason  dispatcher.Reason
	status  int
	detail  string
	err     error
}

func (a answer) done() bool {
	return a.err == nil && a.outcome == dispatcher.OutcomeDone
}

// Error implements error.
func (a answer) Error() string {
	return fmt.Sprintf("%s %s at entry %d: status %d, outcome %q, reason %q (%s), error %v",
		a.call.method, a.call.queue, a.call.entry, a.status, a.outcome, a.reason, a.detail, a.err)
}

// send makes one attempt and checks that the answer echoes its request.
func (f *fixture) send(c call) answer {
	a := answer{
		call: c,
		sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(f.ctx, c.timeout+time.Second)
	defer cancel()
	body := "body of " + c.identity
	url := fmt.Sprintf("http://%s/v1/queues/%s/work?duration_ms=%d", f.Entries[c.entry].CallerAddress, c.queue, c.duration.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, c.method, url, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set(server.HeaderIdempotencyKey, c.identity)
	req.Header.Set(server.HeaderTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set(server.HeaderKey, c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	a.outcome = dispatcher.Outcome(resp.Header.Get(server.HeaderOutcome))
	if a.outcome != dispatcher.OutcomeDone {
		var refusal struct {
			Reason dispatcher.Reason `json:"reason"`
			Detail string            `json:"detail"`
		}
		a.err = json.Unmarshal(content, &refusal)
		a.reason = refusal.Reason
		a.detail = refusal.Detail
		return a
	}
	if a.status != http.StatusOK {
		return a
	}
	echo, err := emulator.ParseEcho(bytes.NewReader(content))
	want := emulator.Echo{
		Identity: c.identity,
		Xxhash:   fmt.Sprintf("%016x", xxhash.Sum64String(body)),
		Length:   int64(len(body)),
	}
	if err == nil && echo != want {
		f.t.Errorf("answer of another request: got %+v, want %+v", echo, want)
	}
	a.err = err
	return a
}

// stream is a set of callers that send one call after the other until stop is called.
type stream struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	list   []answer
}

// stream starts callers; next returns the n-th call of a caller.
func (f *fixture) stream(callers int, next func(caller, n int) call) *stream {
	ctx, cancel := context.WithCancel(f.ctx)
	s := &stream{cancel: cancel}
	for i := range callers {
		s.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := f.send(next(i, n))
				s.mu.Lock()
				s.list = append(s.list, a)
				s.mu.Unlock()
				time.Sleep(pollInterval)
			}
		})
	}
	f.t.Cleanup(func() { s.stop() })
	return s
}

// stop waits for the calls in progress and returns all answers.
func (s *stream) stop() []answer {
	s.cancel()
	s.wg.Wait()
	return s.list
}

// load sends a given number of requests, which callers repeat as in the demo.
type load struct {
	f    *fixture
	g    *generator.Generator
	done chan struct{}
}

func (f *fixture) load(streams []generator.Stream, requests int, shortest, longest time.Duration) *load {
	f.t.Helper()
	g, err := generator.New(generator.Config{
		Addresses:   f.CallerAddresses(),
		Streams:     streams,
		Requests:    requests,
		Concurrency: 24,
		Seed:        1,
		MinDuration: shortest,
		MaxDuration: longest,
		MaxBody:     4 << 10,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	l := &load{
		f:    f,
		g:    g,
		done: make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		g.Run(f.ctx)
	}()
	return l
}

// awaitSent waits until n requests were sent.
func (l *load) awaitSent(n int64) {
	l.f.t.Helper()
	l.f.await(fmt.Sprintf("%d requests sent", n), eventTimeout*2, func() error {
		if sent := l.g.Counts().Sent; sent < n {
			return fmt.Errorf("%d sent", sent)
		}
		return nil
	})
}

// check waits for the end of the load, and fails the test if the answers and the runs of the
// workers break an invariant.
func (l *load) check() demonstrator.Summary {
	l.f.t.Helper()
	<-l.done
	s := demonstrator.Summarize(l.g.Counts(), l.g.CompletedRequests(), l.f.runs(), l.f.Limits())
	l.f.t.Log(s)
	if !s.OK() {
		for _, e := range l.g.CompletedRequests() {
			if e.Outcome != generator.OutcomeAnswered {
				l.f.t.Logf("%s %s %s: %s: %s", e.Stream.Method, e.Stream.Queue, e.Identity, e.Outcome, e.Detail)
			}
		}
		l.f.t.Errorf("invariants broken: %d lost, %d ran twice, %d wrong, %d over limit, %d refused as not run that ran",
			s.Lost, s.RanTwice, s.WrongAnswer, s.OverLimit, s.FalseNotRun)
	}
	if s.Answered == 0 {
		l.f.t.Error("no request was answered")
	}
	return s
}

func (f *fixture) runs() []emulator.Run {
	f.t.Helper()
	runs, err := f.Runs()
	if err != nil {
		f.t.Fatal(err)
	}
	return runs
}

// checkAnswers compares the answers to single attempts with the runs of the workers.
func (f *fixture) checkAnswers(answers []answer) {
	f.t.Helper()
	times := map[string]int{}
	for _, run := range f.runs() {
		if run.Segment == 0 {
			times[run.Identity]++
		}
	}
	// A repeat that is refused at its admission says nothing about an earlier attempt with
	// the same identity. The other refusals come from the record of the identity.
	refusedAtAdmission := map[dispatcher.Reason]bool{
		dispatcher.ReasonConfigStale:        true,
		dispatcher.ReasonJournalUnavailable: true,
		dispatcher.ReasonJournalMoved:       true,
		dispatcher.ReasonPeerUnreachable:    true,
	}
	mayHaveRun := map[string]bool{}
	for _, a := range answers {
		mayHaveRun[a.call.identity] = mayHaveRun[a.call.identity] || a.outcome != dispatcher.OutcomeNotRun
	}
	for _, a := range answers {
		n := times[a.call.identity]
		if a.outcome == dispatcher.OutcomeNotRun && n > 0 && (!mayHaveRun[a.call.identity] || !refusedAtAdmission[a.reason]) {
			f.t.Errorf("refused as not run and ran: %v", a)
		}
		if a.call.method == http.MethodPost && n > 1 {
			f.t.Errorf("ran %d times: %v", n, a)
		}
	}
}

// peak returns the largest number of slots that a team had running at the starts of its runs
// since a given time.
func peak(runs []emulator.Run, team string, after time.Time) int {
	largest := 0
	for _, at := range runs {
		if at.Team != team || at.StartNS < after.UnixNano() {
			continue
		}
		slots := 0
		for _, run := range runs {
			if run.Team == team && run.StartNS <= at.StartNS && (run.EndNS == 0 || run.EndNS > at.StartNS) {
				slots += run.Slots
			}
		}
		largest = max(largest, slots)
	}
	return largest
}
