package orchestrator_test

import (
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// newEngineWithStartedTarget returns an engine with two targets and the answered starts of the two
// tasks of j1, which run on one of them. present is the registration of that one.
func newEngineWithStartedTarget(t *testing.T) (e *orchestrator.Engine, present orchestrator.Registration, running []orchestrator.Run) {
	t.Helper()
	e, first := newEngineWithTarget()
	second := first
	second.ID, second.Address, second.VM = "t2", "a:2", "vm2"
	for _, r := range []orchestrator.Registration{first, second} {
		r.StartedUnixMS = 2
		e.Register(r, time.Second)
		e.HandleListing(listingOf(r, time.Second), 0)
		if r.ID == "t1" {
			present = r
		}
	}
	recordChanges(e, time.Second)
	recordChanges(e, time.Second)
	e.AddJob(testJob("j1", "schools", 5000, 2), 8, nil, 8, time.Second, 0)
	for _, o := range starts(e, 1100*time.Millisecond) {
		if o.Target.ID != present.ID {
			present.Endpoint, present.VM = o.Target, "vm2"
		}
		e.HandleAnswer(answerTo(o, orchestrator.OutcomeOK, 1110*time.Millisecond), 1110*time.Millisecond)
		running = append(running, orchestrator.Run{
			Task: o.Task,
			Run:  o.Run,
		})
	}
	if len(running) != 2 {
		t.Fatalf("%d starts, want 2", len(running))
	}
	return e, present, running
}

// nextList returns the list request that the engine makes now, and false if it makes none.
func nextList(e *orchestrator.Engine, id string, now time.Duration) (orchestrator.ListRequest, bool) {
	request, known := e.NextListRequest(id, now)
	return request, known && !request.Skip
}

// Guards against tasks that start a second time because the store carries out a registration of an
// earlier life late, of which the owner has not heard before, and against a target that is not used
// any more after that.
func TestLateRegistrationOfAnUnknownLifeEndsNoRuns(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		born   int64 // of the life whose registration is late
		listed bool  // the runs were listed before
	}{
		{
			name:   "started before by its clock",
			born:   1,
			listed: true,
		},
		{
			name:   "its clock was set back at the restart",
			born:   3,
			listed: true,
		},
		{
			name: "runs not listed yet",
			born: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, present, running := newEngineWithStartedTarget(t)
			if tt.listed {
				e.HandleListing(listingOf(present, 1200*ms, running...), 0)
			}
			late := present
			late.StartedUnixMS = tt.born
			e.Register(late, 2000*ms)
			recordChanges(e, 2010*ms)
			if n := len(starts(e, 2050*ms)); n != 0 || e.Stats().Lost != 0 {
				t.Fatalf("%d starts, %d runs lost by the late registration, want none", n, e.Stats().Lost)
			}
			// A list from before the registration does not tell which life is the present one.
			for i := range running {
				running[i].Percent = 18
			}
			before := listingOf(present, 1900*ms, running...)
			before.ReceivedAt = 2060 * ms
			e.HandleListing(before, 0)
			e.AddJob(testJob("j2", "schools", 5000, 12), 9, nil, 9, 2070*ms, 0)
			for _, o := range starts(e, 2080*ms) {
				if o.Target.ID == present.ID {
					t.Errorf("%s starts on the target before it is known which life it is in", o.Task)
				}
			}
			request, requested := nextList(e, present.ID, 2090*ms)
			if !requested || request.DeadlineMS != 0 || request.Acknowledged != 0 {
				t.Errorf("list request is %+v, want one that changes nothing", request)
			}
			e.HandleListing(listingOf(present, 2100*ms, running...), 0)
			e.Register(late, 2200*ms)
			e.Register(present, 2300*ms)
			recordChanges(e, 2300*ms)
			onTarget := 0
			for _, o := range starts(e, 2400*ms) {
				if o.Task.Job == "j1" {
					t.Errorf("%s starts a second time", o.Task)
				}
				if o.Target.ID == present.ID {
					onTarget++
				}
			}
			if onTarget == 0 {
				t.Error("the target gets no starts any more")
			}
			if lost := e.Stats().Lost; lost != 0 {
				t.Errorf("%d runs lost, want none", lost)
			}
		})
	}
}

// Guards against a new owner that takes a late registration of an earlier life for news, because it
// never saw that life.
func TestLateRegistrationAfterATakeoverEndsNoRuns(t *testing.T) {
	for _, register := range []string{"before the takeover", "after the takeover", "after the first list"} {
		t.Run(register, func(t *testing.T) {
			w := newWorldWithTargets(t, 2)
			for _, f := range w.targets {
				w.restart(f)
				w.restart(f)
			}
			w.run(200 * time.Millisecond)
			w.submit(testJob("j1", "schools", 4000, 8))
			w.run(500 * time.Millisecond)
			late := func() {
				for _, id := range sortedKeys(w.targets) {
					r := w.targets[id].Registration
					r.StartedUnixMS--
					w.engine.Register(r, w.now)
				}
			}
			heartbeat := func() {
				for _, id := range sortedKeys(w.targets) {
					w.engine.Register(w.targets[id].Registration, w.now)
				}
			}
			switch register {
			case "before the takeover":
				for _, f := range w.targets {
					f.StartedUnixMS--
				}
				w.takeOver()
				for _, f := range w.targets {
					f.StartedUnixMS++
				}
			case "after the takeover":
				w.takeOver()
				late()
			default:
				w.takeOver()
				w.run(300 * time.Millisecond)
				late()
			}
			w.run(300 * time.Millisecond)
			heartbeat()
			if !w.runUntil(8*time.Second, func() bool { return w.state("j1") == "complete" }) {
				t.Errorf("the job is %q", w.state("j1"))
			}
			for task, n := range w.starts {
				if n != 1 {
					t.Errorf("%s started %d times, want once", task, n)
				}
			}
			w.submit(testJob("j2", "schools", 300, 16))
			if !w.runUntil(2*time.Second, func() bool { return w.state("j2") == "complete" }) {
				t.Errorf("the next job is %q: targets are not used any more", w.state("j2"))
			}
			w.verify()
		})
	}
}

// Guards against a target that is not found any more after it has started again under its ID at
// another address.
func TestTargetThatRestartsAtAnotherAddressIsListedThere(t *testing.T) {
	const ms = time.Millisecond
	for _, failed := range []bool{true, false} {
		e, before, running := newEngineWithStartedTarget(t)
		e.HandleListing(listingOf(before, 1200*ms, running...), 0)
		if failed {
			e.ListFailed(before.ID, 1500*ms)
		}
		present := before
		present.StartedUnixMS, present.Address = 1, "b:1"
		e.Register(present, 2000*ms)
		now := 2010 * ms
		for ; now < 4000*ms; now += 250 * ms {
			request, requested := nextList(e, present.ID, now)
			if requested && request.Target.Address == present.Address {
				break
			}
			e.ListFailed(present.ID, now)
		}
		e.HandleListing(listingOf(present, now), 0)
		recordChanges(e, now)
		recordChanges(e, now)
		if lost := e.Stats().Lost; lost != 2 {
			t.Errorf("failed before %v: %d runs lost, want the 2 of the earlier life", failed, lost)
		}
		e.HandleListing(listingOf(present, now+50*ms), 0)
		e.AddJob(testJob("j2", "schools", 5000, 16), 9, nil, 9, now, 0)
		found := false
		for _, o := range starts(e, now+1000*ms) {
			found = found || o.Target == present.Endpoint
		}
		if !found {
			t.Errorf("failed before %v: no start at the new address", failed)
		}
	}
}

// Guards against a lapsed lease that counts as a crash because a registration of an earlier life
// arrives late.
func TestLateRegistrationProvesNoCrash(t *testing.T) {
	const ms = time.Millisecond
	for _, restarted := range []bool{true, false} {
		e, present, running := newEngineWithStartedTarget(t)
		e.HandleListing(listingOf(present, 1200*ms, running...), 0)
		e.ListFailed(present.ID, 1500*ms)
		e.Tick(30*time.Second, 0)
		if lost := e.Stats().Lost; lost != 2 {
			t.Fatalf("%d runs lost when the lease has lapsed, want 2", lost)
		}
		other := present
		other.StartedUnixMS = 1
		e.Register(other, 31*time.Second)
		e.SetVMs([]orchestrator.VM{{
			ID:     present.VM,
			Pool:   present.Pool,
			State:  orchestrator.VMUp,
			Target: present.ID,
		}}, 32*time.Second, 32*time.Second)
		listed := present
		if restarted {
			listed = other
		}
		e.HandleListing(listingOf(listed, 33*time.Second), 0)
		crashes := 0
		for _, c := range e.TakeChanges(33 * time.Second).Changes {
			for _, r := range c.Progress.Tasks {
				crashes += len(r.CrashedRuns) + r.UnprovenCrashes
			}
		}
		if counted := crashes > 0; counted != restarted {
			t.Errorf("restarted %v: %d crashes are counted against the tasks", restarted, crashes)
		}
	}
}

// Guards against tasks that start on a target without the label that they need, because it has
// started again as another kind and only its lists have shown that.
func TestTargetGetsNoStartsByTheDescriptionOfAnEarlierLife(t *testing.T) {
	const ms = time.Millisecond
	for _, takeOver := range []bool{false, true} {
		e, before := newEngineWithTarget()
		before.StartedUnixMS, before.Labels = 1, []string{"a", "r1"}
		e.Register(before, time.Second)
		if !takeOver { // otherwise the registration that the new owner reads is out of date
			e.HandleListing(listingOf(before, time.Second), 0)
		}
		recordChanges(e, time.Second)
		present := before
		present.StartedUnixMS, present.Labels = 2, []string{"b", "r1"}
		e.HandleListing(listingOf(present, 1100*ms), 0)
		recordChanges(e, 1100*ms)
		for i, label := range []string{"a", "b"} {
			j := testJob("needs-"+label, "schools", 300, 1)
			j.Steps[0].Label = label
			e.AddJob(j, 8, nil, 8, 1200*ms, int64(i))
		}
		if n := len(starts(e, 1200*ms)); n != 0 {
			t.Errorf("take over %v: %d starts before the present life has registered, want none", takeOver, n)
		}
		e.Register(present, 1300*ms)
		orders := starts(e, 1400*ms)
		if len(orders) != 1 || orders[0].Task.Job != "needs-b" {
			t.Errorf("take over %v: starts are %v, want one of the job that needs label b", takeOver, orders)
		}
	}
}

// Guards against starts on a target that drains, because the store carries out a registration from
// before that late.
func TestLateRegistrationOfTheSameLifeIsIgnored(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		sequence int64
		starts   int
	}{
		{
			name:     "older",
			sequence: 6,
		},
		{
			name:     "newer",
			sequence: 8,
			starts:   1,
		},
		{
			name:   "no sequence",
			starts: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, r := newEngineWithTarget()
			r.StartedUnixMS, r.Sequence = 2, 6
			e.Register(r, time.Second)
			e.HandleListing(listingOf(r, time.Second), 0)
			recordChanges(e, time.Second)
			drains := r
			drains.Sequence, drains.Draining = 7, true
			e.Register(drains, 1100*ms)
			late := r
			late.Sequence = tt.sequence
			e.Register(late, 1200*ms)
			e.AddJob(testJob("j1", "schools", 300, 1), 8, nil, 8, 1200*ms, 0)
			if n := len(starts(e, 1300*ms)); n != tt.starts {
				t.Errorf("%d starts, want %d", n, tt.starts)
			}
		})
	}
}

// Guards against a target that is ignored after a restart, because its counts start anew.
func TestSequenceOfTheNextLifeStartsAnew(t *testing.T) {
	const ms = time.Millisecond
	e, r := newEngineWithTarget()
	r.StartedUnixMS, r.Sequence = 2, 60
	e.Register(r, time.Second)
	e.HandleListing(listingOf(r, time.Second), 0)
	next := r
	next.StartedUnixMS, next.Sequence = 1, 1
	e.Register(next, 1100*ms)
	e.HandleListing(listingOf(next, 1200*ms), 0)
	recordChanges(e, 1200*ms)
	e.AddJob(testJob("j1", "schools", 300, 1), 8, nil, 8, 1200*ms, 0)
	if n := len(starts(e, 1300*ms)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}
