package orchestrator_test

import (
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// newEngineWithRestartedTarget returns an engine with two targets and the start of the only task of
// j1. The target of the start has restarted under its ID before, which only its next registration,
// present, shows.
func newEngineWithRestartedTarget(t *testing.T) (e *orchestrator.Engine, start orchestrator.Order, present orchestrator.Registration) {
	t.Helper()
	e, first := newEngineWithTarget()
	second := first
	second.ID, second.VM = "t2", "vm2"
	registrations := map[string]orchestrator.Registration{}
	for _, r := range []orchestrator.Registration{first, second} {
		r.StartedUnixMS = 1
		e.Register(r, time.Second)
		e.HandleListing(listingOf(r, time.Second), 0)
		registrations[r.ID] = r
	}
	recordChanges(e, time.Second)
	recordChanges(e, time.Second)
	e.AddJob(testJob("j1", "schools", 5000, 1), 8, nil, 8, time.Second, 0)
	orders := starts(e, 1100*time.Millisecond)
	if len(orders) != 1 {
		t.Fatalf("%d starts, want 1", len(orders))
	}
	present = registrations[orders[0].Target.ID]
	present.StartedUnixMS = 2
	return e, orders[0], present
}

// recordChanges stores the engine's changes. A task whose target crashed starts again only after
// that.
func recordChanges(e *orchestrator.Engine, now time.Duration) {
	batch := e.TakeChanges(now)
	for _, c := range batch.Changes {
		e.Recorded(c, 9)
	}
	e.BatchStored(&batch)
}

func listingOf(r orchestrator.Registration, at time.Duration, running ...orchestrator.Run) orchestrator.Listing {
	return orchestrator.Listing{
		Request: orchestrator.ListRequest{
			Target: r.Endpoint,
		},
		ClockMS:       at.Milliseconds() * r.StartedUnixMS,
		StartedUnixMS: r.StartedUnixMS,
		Running:       running,
		SentAt:        at,
		ReceivedAt:    at,
	}
}

func answerTo(o orchestrator.Order, outcome orchestrator.Outcome, at time.Duration) orchestrator.Answer {
	return orchestrator.Answer{
		Order:      o,
		Outcome:    outcome,
		SentAt:     at - 10*time.Millisecond,
		ReceivedAt: at,
	}
}

// Guards against tasks that start elsewhere beside a run that the next life of their target began
// before its registration arrived.
func TestRunOfTheNextLifeOutlivesItsRegistration(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// outcome is that of the start, empty while it is on its way.
		outcome orchestrator.Outcome
		// running and ended tell what the first lists of the present life show of the run.
		running, ended bool
		// startsAgain is true if the task has to start again after these lists.
		startsAgain bool
		done        int
	}{
		{
			name:    "answered, runs",
			outcome: orchestrator.OutcomeOK,
			running: true,
		},
		{
			name:    "answered, has ended",
			outcome: orchestrator.OutcomeOK,
			ended:   true,
			done:    1,
		},
		{
			name:        "answered by the earlier life",
			outcome:     orchestrator.OutcomeOK,
			startsAgain: true,
		},
		{
			name:    "not answered, runs",
			outcome: orchestrator.OutcomeUnknown,
			running: true,
		},
		{
			name:    "not answered, may arrive",
			outcome: orchestrator.OutcomeUnknown,
		},
		{
			name: "on its way",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, start, present := newEngineWithRestartedTarget(t)
			if tt.outcome != "" {
				e.HandleAnswer(answerTo(start, tt.outcome, 1110*ms), 1110*ms)
			}
			e.Register(present, 1200*ms)
			recordChanges(e, 1210*ms)
			if n := len(starts(e, 1250*ms)); n != 0 {
				t.Errorf("%d starts before the present life was listed, want 0", n)
			}
			l := listingOf(present, 1300*ms)
			if tt.running {
				l.Running = append(l.Running, orchestrator.Run{
					Task: start.Task,
					Run:  start.Run,
				})
			}
			if tt.ended {
				l.Ended = append(l.Ended, orchestrator.End{
					Number: 1,
					Task:   start.Task,
					Run:    start.Run,
					How:    orchestrator.EndDone,
				})
			}
			e.HandleListing(l, 0)
			recordChanges(e, 1310*ms)
			if again := len(starts(e, 1400*ms)) > 0; again != tt.startsAgain {
				t.Errorf("task starts again: %v, want %v", again, tt.startsAgain)
			}
			if done := e.Stats().Done; done != tt.done {
				t.Errorf("%d tasks are done, want %d", done, tt.done)
			}
		})
	}
}

// Guards against a list of VMs that was requested while a target was down and that ends the runs
// of its next life.
func TestListOfVMsFromBeforeARestartEndsNoLaterRuns(t *testing.T) {
	const ms = time.Millisecond
	for _, answered := range []bool{true, false} {
		e, start, present := newEngineWithRestartedTarget(t)
		if answered {
			e.HandleAnswer(answerTo(start, orchestrator.OutcomeOK, 1110*ms), 1110*ms)
		}
		vms := []orchestrator.VM{
			{
				ID:     "vm1",
				Pool:   present.Pool,
				State:  orchestrator.VMUp,
				Target: "t1",
			},
			{
				ID:     "vm2",
				Pool:   present.Pool,
				State:  orchestrator.VMUp,
				Target: "t2",
			},
		}
		for i := range vms {
			if vms[i].ID == present.VM {
				vms[i].State, vms[i].Target = orchestrator.VMDown, ""
			}
		}
		e.SetVMs(vms, 1050*ms, 1120*ms)
		recordChanges(e, 1130*ms)
		if n := len(starts(e, 1150*ms)); n != 0 {
			t.Errorf("answered %v: %d starts beside the run, want 0", answered, n)
		}
	}
}

// Guards against tasks that wait without end for the lists of a target that does not come back.
func TestRunsOfARestartedTargetThatIsNeverListedEnd(t *testing.T) {
	e, start, present := newEngineWithRestartedTarget(t)
	e.HandleAnswer(answerTo(start, orchestrator.OutcomeOK, 1110*time.Millisecond), 1110*time.Millisecond)
	e.Register(present, 1200*time.Millisecond)
	e.Unregister(present.ID, 1300*time.Millisecond)
	again := 0
	for now := 1300 * time.Millisecond; now < 12*time.Second; now += 100 * time.Millisecond {
		again += len(starts(e, now))
		recordChanges(e, now)
	}
	if again != 1 {
		t.Errorf("%d starts after the longest lease, want 1", again)
	}
}

// Guards against a start that waits to be sent and reaches the next life of its target with the
// lease of the earlier one.
func TestStartForAnEarlierLifeIsNotSent(t *testing.T) {
	e, start, present := newEngineWithRestartedTarget(t)
	e.Register(present, 1200*time.Millisecond)
	if e.Wanted(&start, 1210*time.Millisecond) {
		t.Error("start is still to be sent")
	}
}

// Guards against a crash that counts against a task which the crash did not end.
func TestCrashCountsOnlyAgainstLostRuns(t *testing.T) {
	e, start, present := newEngineWithRestartedTarget(t)
	e.HandleAnswer(answerTo(start, orchestrator.OutcomeOK, 1110*time.Millisecond), 1110*time.Millisecond)
	e.Register(present, 1200*time.Millisecond)
	e.HandleListing(listingOf(present, 1300*time.Millisecond, orchestrator.Run{
		Task: start.Task,
		Run:  start.Run,
	}), 0)
	for _, c := range e.TakeChanges(1400 * time.Millisecond).Changes {
		for _, r := range c.Progress.Tasks {
			if n := len(r.CrashedRuns) + r.UnprovenCrashes; n > 0 {
				t.Errorf("%d crashes are recorded for a task that runs on", n)
			}
		}
	}
}
