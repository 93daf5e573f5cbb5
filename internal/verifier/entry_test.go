package verifier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/generator"
)

// Guards against lost, repeated and mixed-up work when an entry daemon dies under
// load and comes back with the same name.
func TestKilledEntryDaemonLosesAndRepeatsNothing(t *testing.T) {
	f := newFixture(t)
	awaitOrders := f.startLongOrders(16)
	l := f.load(f.Streams(), 900, 5*time.Millisecond, 50*time.Millisecond)
	l.awaitSent(200)
	f.Entries[0].Kill()
	l.awaitSent(400)
	if err := f.StartEntry(f.Entries[0]); err != nil {
		t.Fatal(err)
	}
	f.awaitServing(0)
	l.check()
	f.checkAnswers(awaitOrders())
}

// startLongOrders starts non-idempotent requests at all entry daemons and waits until most
// of them run. Callers repeat them with the same identity until they know the outcome.
// The returned function waits for all answers.
func (f *fixture) startLongOrders(n int) func() []answer {
	f.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range n {
		wg.Go(func() {
			c := f.call(i%len(f.Entries), "orders", http.MethodPost, f.Keys["orders"])
			c.duration = 3 * time.Second
			for deadline := time.Now().Add(2 * eventTimeout); time.Now().Before(deadline); c.entry = 1 + i%(len(f.Entries)-1) {
				a := f.send(c)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.done() {
					return
				}
				time.Sleep(pollInterval)
			}
		})
	}
	f.await("long requests run", eventTimeout, func() error {
		running := 0
		for _, run := range f.runs() {
			if run.EndNS == 0 {
				running++
			}
		}
		if running < n*3/4 {
			return fmt.Errorf("%d of %d", running, n)
		}
		return nil
	})
	return func() []answer {
		wg.Wait()
		return answers
	}
}

// killAllUnderLoad kills all entry daemons under load, starts them again and waits for
// the end of the load.
func killAllUnderLoad(t *testing.T) (f *fixture, l *load, restarted time.Time) {
	t.Helper()
	f = newFixture(t)
	l = f.load(f.Streams(), 400, 5*time.Millisecond, 50*time.Millisecond)
	l.awaitSent(200)
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, e := range f.Entries {
		if err := f.StartEntry(e); err != nil {
			t.Fatal(err)
		}
	}
	for i := range f.Entries {
		f.awaitServing(i)
	}
	restarted = time.Now()
	// Allowances remain with the former incarnations until they are reclaimed.
	for i := range f.Entries {
		f.await("keyed work at "+f.Entries[i].Name, time.Until(restarted.Add(reclaimRestartedBound+eventTimeout)), func() error {
			if a := f.send(f.call(i, "orders", http.MethodPost, f.Keys["orders"])); !a.done() {
				return a
			}
			return nil
		})
	}
	<-l.done
	t.Log(l.g.Counts())
	return f, l, restarted
}

// Guards against requests that run twice, are falsely refused or get a wrong answer
// when no entry daemon survives, and against limits that the next incarnations exceed.
func TestAllEntryDaemonsKilledAtOnce(t *testing.T) {
	f, l, _ := killAllUnderLoad(t)
	runs := map[string]int{}
	for _, run := range f.runs() {
		if run.Segment == 0 {
			runs[run.Identity]++
		}
	}
	for _, e := range l.g.CompletedRequests() {
		switch n := runs[e.Identity]; {
		case n > 1 && e.Stream.Method == http.MethodPost:
			t.Errorf("%s ran %d times", e.Identity, n)
		case n > 0 && e.Outcome == generator.OutcomeNotRun:
			t.Errorf("%s was refused as not run and ran", e.Identity)
		case e.Outcome == generator.OutcomeWrong:
			t.Errorf("%s: wrong answer: %s", e.Identity, e.Detail)
		}
	}
	for team, limit := range f.Limits() {
		if n := peak(f.runs(), team, time.Time{}); n > limit {
			t.Errorf("team %s had %d slots running, limit %d", team, n, limit)
		}
	}
}

// Guards against accepted jobs that never end when no entry daemon survives.
func TestAcceptedJobsEndAfterAllEntryDaemonsWereKilled(t *testing.T) {
	f, l, restarted := killAllUnderLoad(t)
	// The generator stops polling after 15 s; the job may still end within recoveryTimeout.
	for _, e := range l.g.CompletedRequests() {
		if e.Outcome == generator.OutcomeLost {
			f.await("end of job "+e.Identity, time.Until(restarted.Add(recoveryTimeout+eventTimeout)), func() error {
				return f.checkJobResult(e)
			})
		}
	}
}

// checkJobResult returns an error unless the result of an accepted job is available.
func (f *fixture) checkJobResult(e generator.CompletedRequest) error {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+f.Entries[1].CallerAddress+"/v1/jobs/"+e.Identity+"/result", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Comfreyford-Key", e.Stream.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if outcome := resp.Header.Get("Comfreyford-Outcome"); outcome != string(dispatcher.OutcomeDone) || resp.StatusCode != http.StatusOK {
		content, err := io.ReadAll(resp.Body)
		return errors.Join(fmt.Errorf("%s, %s: %s", resp.Status, outcome, content), err)
	}
	return nil
}

// Guards against a request that a graceful stop interrupts, or refuses as not run although
// it ran.
func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	f := newFixture(t)
	const entry = 0
	s := f.stream(16, func(caller, _ int) call {
		c := f.call(entry, "quotes", http.MethodGet, "")
		if caller%2 == 0 {
			c = f.call(entry, "orders", http.MethodPost, f.Keys["orders"])
		}
		c.duration = 700 * time.Millisecond
		return c
	})
	others := f.load(f.Streams(), 300, 5*time.Millisecond, 50*time.Millisecond)
	f.await("long requests run", eventTimeout, func() error {
		n := 0
		for _, run := range f.runs() {
			if run.EndNS == 0 {
				n++
			}
		}
		if n < 8 {
			return fmt.Errorf("%d run", n)
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(f.ctx, eventTimeout)
	defer cancel()
	if err := f.Entries[entry].Stop(ctx); err != nil {
		t.Errorf("stop: %v", err)
	}
	answers := s.stop()
	done := 0
	for _, a := range answers {
		switch {
		case a.done():
			done++
		case a.outcome == dispatcher.OutcomeNotRun:
		case a.err != nil && connectionRefused(a.err):
		default:
			t.Errorf("interrupted: %v", a)
		}
	}
	if done == 0 {
		t.Error("no request was answered")
	}
	f.checkAnswers(answers)
	others.check()
}

// connectionRefused reports whether the request never reached the entry daemon.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
