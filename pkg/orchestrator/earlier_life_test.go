package orchestrator_test

import (
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// The clock of a target starts anew in each life. That of an earlier one must not make the lease of
// the present one seem to have expired.
func TestLateAnswerOfAnEarlierLifeEndsNoRuns(t *testing.T) {
	e, r := newEngineWithTarget()
	listAt := func(clockMS int64, at time.Duration, running ...orchestrator.Run) {
		e.Register(r, at)
		e.HandleListing(orchestrator.Listing{
			Request: orchestrator.ListRequest{
				Target: r.Endpoint,
			},
			ClockMS:       clockMS,
			StartedUnixMS: r.StartedUnixMS,
			Running:       running,
			SentAt:        at,
			ReceivedAt:    at,
		}, 0)
	}
	answer := func(o orchestrator.Order, clockMS int64, at time.Duration) {
		e.HandleAnswer(orchestrator.Answer{
			Order:      o,
			Outcome:    orchestrator.OutcomeOK,
			ClockMS:    clockMS,
			SentAt:     at,
			ReceivedAt: at,
		}, at)
	}
	r.StartedUnixMS = 1
	listAt(500_000, time.Second)
	e.AddJob(testJob("j1", "schools", 5000, 1), 8, nil, 8, time.Second, 0)
	earlier := starts(e, 1100*time.Millisecond)
	if len(earlier) == 1 {
		listAt(500_100, 1200*time.Millisecond, orchestrator.Run{
			Task: earlier[0].Task,
			Run:  earlier[0].Run,
		})
	}
	r.StartedUnixMS = 2
	listAt(10, 1300*time.Millisecond)
	batch := e.TakeChanges(1300 * time.Millisecond) // the record of the crash
	for _, c := range batch.Changes {
		e.Recorded(c, 9)
	}
	present := starts(e, 1300*time.Millisecond)
	if len(earlier) != 1 || len(present) != 1 {
		t.Fatalf("%d starts in the earlier life, %d in the present one, want 1 each", len(earlier), len(present))
	}
	answer(present[0], 20, 1310*time.Millisecond)
	answer(earlier[0], 500_100, 1400*time.Millisecond)
	e.ListFailed(r.ID, 1500*time.Millisecond)
	lost := e.Stats().Lost
	e.Tick(1600*time.Millisecond, 0)
	if n := e.Stats().Lost - lost; n != 0 {
		t.Errorf("%d runs of the present life were taken as ended", n)
	}
}

// A list of an earlier life can arrive when its target was forgotten and is back under its ID. It
// must not pass for another restart, so that the lists of the present life are ignored.
func TestListOfAForgottenLifeIsIgnored(t *testing.T) {
	e, r := newEngineWithTarget()
	listAt := func(born int64, sentAt, receivedAt time.Duration, ended ...orchestrator.End) {
		e.HandleListing(orchestrator.Listing{
			Request: orchestrator.ListRequest{
				Target: r.Endpoint,
			},
			ClockMS:       receivedAt.Milliseconds(),
			StartedUnixMS: born,
			Ended:         ended,
			SentAt:        sentAt,
			ReceivedAt:    receivedAt,
		}, 0)
	}
	r.StartedUnixMS = 1
	e.Register(r, time.Second)
	listAt(1, time.Second, time.Second)
	e.Unregister(r.ID, 1100*time.Millisecond)
	e.SetVMs([]orchestrator.VM{{
		ID:    r.VM,
		Pool:  "desk",
		State: orchestrator.VMDown,
	}}, 1200*time.Millisecond, 1200*time.Millisecond)
	e.Tick(1300*time.Millisecond, 0)
	r.StartedUnixMS = 2
	e.Register(r, 1400*time.Millisecond)
	listAt(1, 1050*time.Millisecond, 1450*time.Millisecond)
	listAt(2, 1500*time.Millisecond, 1500*time.Millisecond)
	for range 2 {
		batch := e.TakeChanges(1600 * time.Millisecond)
		e.BatchStored(&batch)
	}
	e.AddJob(testJob("j1", "schools", 5000, 1), 8, nil, 8, time.Second, 0)
	orders := starts(e, 1700*time.Millisecond)
	if len(orders) != 1 {
		t.Fatalf("%d starts, want 1", len(orders))
	}
	listAt(2, 1800*time.Millisecond, 1800*time.Millisecond, orchestrator.End{
		Number: 1,
		Task:   orders[0].Task,
		Run:    orders[0].Run,
		How:    orchestrator.EndDone,
	})
	if done := e.Stats().Done; done != 1 {
		t.Errorf("%d tasks are done by the list of the present life, want 1", done)
	}
}

// A start that is carried out late, by the next life of its target, must not run beside another run.
func TestStartThatTheNextLifeOfItsTargetCarriesOutRunsOnce(t *testing.T) {
	w := newWorld(t, testConfiguration())
	w.addTarget("t0", "desk", cores(8))
	w.addTarget("t1", "desk", cores(8))
	w.takeOver()
	w.run(500 * time.Millisecond)
	w.submit(testJob("j1", "schools", 3000, 1))
	w.now += worldStep
	late := starts(w.engine, w.now)
	if len(late) != 1 {
		t.Fatalf("%d starts, want 1", len(late))
	}
	w.delayed = append(w.delayed, delayedOrder{
		at:    w.now + time.Second,
		order: late[0],
	})
	w.engine.HandleAnswer(orchestrator.Answer{
		Order:      late[0],
		Outcome:    orchestrator.OutcomeUnknown,
		SentAt:     w.now,
		ReceivedAt: w.now + worldStep,
	}, w.now+worldStep)
	w.crashFor(w.targets[late[0].Target.ID], 300*time.Millisecond)
	w.run(6 * time.Second)
	w.verify()
}

// Guards against a withdrawal of a start that is sent once only, although the target does not answer
// it, and against one that ends a run which the target lists.
func TestStartThatMayBeCarriedOutLateIsWithdrawnUntilThatIsAnswered(t *testing.T) {
	const ms = time.Millisecond
	for _, listed := range []bool{false, true} {
		e, start, present := newEngineWithRestartedTarget(t)
		e.HandleAnswer(answerTo(start, orchestrator.OutcomeUnknown, 1110*ms), 1110*ms)
		e.SetVMs([]orchestrator.VM{{
			ID:    present.VM,
			Pool:  present.Pool,
			State: orchestrator.VMDown,
		}}, 1150*ms, 1160*ms)
		if lost := e.Stats().Lost; lost != 1 {
			t.Fatalf("%d runs lost, want the one that was not answered", lost)
		}
		e.Orders()
		var running []orchestrator.Run
		if listed {
			running = append(running, orchestrator.Run{
				Task: start.Task,
				Run:  start.Run,
			})
		}
		e.Register(present, 1200*ms)
		var stops []orchestrator.Order
		for now := 1300 * ms; now < 4000*ms; now += 100 * ms {
			if _, requested := nextList(e, present.ID, now); requested {
				e.HandleListing(listingOf(present, now, running...), 0)
			}
			for _, o := range e.Orders() {
				if o.Kind != orchestrator.KindStop {
					continue
				}
				stops = append(stops, o)
				if len(stops) == 2 {
					e.HandleAnswer(answerTo(o, orchestrator.OutcomeOK, now), now)
				}
			}
		}
		want := 2 // the first one is not answered
		if listed {
			want = 0 // the run is adopted
		}
		if len(stops) != want {
			t.Errorf("listed %v: %d stops, want %d", listed, len(stops), want)
		}
	}
}
