package journaler

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Guards against bodies and results above the limit, a damaged result that is
// returned, and keys that remain after their record was dropped.
func TestSizesAndKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ctx := newWorld(t, 1), t.Context()
		w.members("a")
		time.Sleep(time.Second)
		j, req := w.owners[0].j, request(1)
		ids := newIDs(3)
		send := func(n, size int) error {
			_, err := j.Submit(ctx, Submission{
				ID:      ids[n],
				Request: req,
				Body:    make([]byte, size),
			})
			return err
		}
		if err := errors.Join(send(0, MaxBlobBytes/2), send(0, MaxBlobBytes/2)); err != nil {
			t.Error(err)
		}
		if err := send(1, MaxBlobBytes+1); !errors.Is(err, ErrBodyTooLarge) {
			t.Errorf("large body: %v", err)
		}
		req.Path = "/other"
		if err := send(0, MaxBlobBytes/2); !errors.Is(err, ErrIdentityReused) {
			t.Errorf("other request: %v", err)
		}
		time.Sleep(10 * time.Second)
		w.worker.mu.Lock()
		w.worker.padding = MaxBlobBytes
		w.worker.mu.Unlock()
		_ = send(2, 1)
		r, _ := j.Wait(ctx, ids[2], "team")
		if _, err := j.Data(ctx, r); r.Verdict != VerdictResultTooLarge || !errors.Is(err, ErrResultNotKept) {
			t.Errorf("large result: %s %s, %v", r.State, r.Verdict, err)
		}
		r, _ = j.Lookup(ctx, ids[0], "team")
		if data, err := j.Data(ctx, r); err != nil || len(data) < MaxBlobBytes/2 {
			t.Errorf("%d bytes, %v", len(data), err)
		}
		r.Digest++
		if _, err := j.Data(ctx, r); !errors.Is(err, ErrCorrupt) {
			t.Errorf("damaged result: %v", err)
		}
		time.Sleep(13 * time.Minute)
		for _, prefix := range []string{bodyPrefix, resultPrefix} {
			if items, err := w.store.List(ctx, prefix); err != nil || len(items) > 0 {
				t.Errorf("%d keys left below %s, %v", len(items), prefix, err)
			}
		}
		for _, s := range j.Stats() {
			if len(s.Records) > 0 || s.KeysToDelete > 0 {
				t.Errorf("not empty: %+v", s)
			}
		}
		j.Close(ctx)
	})
}

// Guards against giving up on a target that returns, and against asking without end.
func TestRecoveryWaitsForTheTarget(t *testing.T) {
	for outage, want := range map[time.Duration]State{
		40 * time.Second: StateDone,
		80 * time.Second: StateUnknown,
	} {
		synctest.Test(t, func(t *testing.T) {
			w, ids := newWorld(t, 2), newIDs(1)
			w.members("a")
			time.Sleep(time.Second)
			w.submit(w.owners[0], ids[0], request(1))
			time.Sleep(time.Second)
			w.owners[0].set(true)
			time.Sleep(4 * time.Second)
			w.worker.setUnreachable(true)
			w.owners[1].j.SetMembers(t.Context(), []string{"b"})
			time.Sleep(outage)
			w.worker.setUnreachable(false)
			w.settle(t, ids)
			if got := stored(t, w.store, ids[0])[ids[0]].State; got != want {
				t.Errorf("unreachable for %s: %s, want %s", outage, got, want)
			}
		})
	}
}

// Guards against a late start that runs after a successor has recorded "not run": the
// worker restarts, forgets the revocation, and the session is opened or renewed again.
func TestLateStartAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ids := newWorld(t, 2), newIDs(1)
		dispatcher := w.owners[0].j.cfg.Dispatcher.(*fakeDispatcher)
		late := &delayedTarget{
			Target: dispatcher.target,
			until:  make(chan struct{}),
		}
		dispatcher.target = late
		w.members("a")
		time.Sleep(time.Second)
		w.submit(w.owners[0], ids[0], request(1))
		time.Sleep(time.Second)
		w.owners[0].set(true)
		w.owners[1].j.SetMembers(t.Context(), []string{"b"})
		time.Sleep(6 * time.Second) // the successor has run the job
		w.worker.restart()
		w.owners[0].set(false) // the waiting renewal arrives, and then the start
		time.Sleep(100 * time.Millisecond)
		close(late.until)
		w.settle(t, ids)
	})
}

// Guards against work beyond the limit of a team: allowance that is released
// while the task may run, tasks that are adopted without allowance, and sessions
// that are renewed without permission.
func TestTasksCountAgainstTheLimit(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, id uuid.UUID)
		state  State
		ended  map[string][]bool // releases by owner
	}{
		{
			name:   "undisturbed",
			change: func(*world, uuid.UUID) {},
			state:  StateDone,
			ended:  map[string][]bool{"a": {true}},
		},
		{
			name:   "adopted with allowance",
			change: func(w *world, _ uuid.UUID) { w.members("b") },
			state:  StateDone,
			ended:  map[string][]bool{"a": {false}, "b": {true}},
		},
		{
			name: "not adopted without allowance",
			change: func(w *world, _ uuid.UUID) {
				w.owners[1].freeSlots = 0
				w.members("b")
			},
			state: StateUnknown,
			ended: map[string][]bool{"a": {false}},
		},
		{
			name: "not adopted without permission",
			change: func(w *world, _ uuid.UUID) {
				w.owners[1].setPermitted(false)
				w.members("b")
			},
			state: StateUnknown,
			ended: map[string][]bool{"a": {false}, "b": {true}},
		},
		{
			name:   "permission withdrawn",
			change: func(w *world, _ uuid.UUID) { w.owners[0].setPermitted(false) },
			state:  StateUnknown,
			ended:  map[string][]bool{"a": {true}},
		},
		{
			name: "cancelled and stopped",
			change: func(w *world, id uuid.UUID) {
				_, _ = w.owners[0].j.Cancel(w.t.Context(), id, "team")
			},
			state: StateCancelled,
			ended: map[string][]bool{"a": {true}},
		},
		{
			name: "cancelled and unreachable",
			change: func(w *world, id uuid.UUID) {
				w.worker.setUnreachable(true)
				_, _ = w.owners[0].j.Cancel(w.t.Context(), id, "team")
			},
			state: StateCancelled,
			ended: map[string][]bool{"a": {false}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, ids := newWorld(t, 2), newIDs(1)
				w.worker.duration = 30 * time.Second
				w.members("a")
				time.Sleep(time.Second)
				w.submit(w.owners[0], ids[0], request(1))
				time.Sleep(time.Second)
				tt.change(w, ids[0])
				time.Sleep(time.Minute)
				synctest.Wait()
				r := stored(t, w.store, ids[0])[ids[0]]
				if r.State != tt.state || w.worker.runs[ids[0].String()] != 1 {
					t.Errorf("%s after %d runs, want %s", r.State, w.worker.runs[ids[0].String()], tt.state)
				}
				for _, o := range w.owners {
					if !slices.Equal(o.ended, tt.ended[o.name]) {
						t.Errorf("%s released %v, want %v", o.name, o.ended, tt.ended[o.name])
					}
					o.j.Close(t.Context())
				}
				w.wg.Wait()
			})
		})
	}
}

// Guards against a record that stays open until its deadline although nothing runs it:
// the caller gave up while the commit was under way.
func TestAbandonedSubmissionEnds(t *testing.T) {
	for _, started := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w, ids := newWorld(t, 1), newIDs(1)
			o := w.owners[0]
			w.members("a")
			time.Sleep(time.Second)
			sub := Submission{
				ID:      ids[0],
				Request: request(0),
			}
			if started {
				sub.Attempt = w.attempt(o, ids[0])
			}
			o.set(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := o.j.Submit(ctx, sub); CommitEffect(err) != EffectUnknown {
				t.Errorf("submission: %v", err)
			}
			o.set(false)
			time.Sleep(5 * time.Second)
			if r := stored(t, w.store, ids[0])[ids[0]]; r.Verdict != VerdictCallerLost || r.Ran || r.Starts > 0 != started {
				t.Errorf("%s %q, ran %t, %d starts", r.State, r.Verdict, r.Ran, r.Starts)
			}
			o.j.Close(t.Context())
			w.wg.Wait()
		})
	}
}

// Guards against a job that can never start again because the session of an attempt
// that was not recorded has ended, and a worker never opens an ended session again.
func TestJobStartsAfterItsSessionLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ids := newWorld(t, 1), newIDs(1)
		o := w.owners[0]
		o.freeSlots = 0
		w.members("a")
		time.Sleep(time.Second)
		w.submit(o, ids[0], request(1))
		time.Sleep(time.Second)
		o.toggleStore() // sessions open now, but no start can be recorded
		o.releaseSlot()
		time.Sleep(3 * o.j.cfg.SessionTTL)
		o.toggleStore()
		time.Sleep(time.Minute)
		if r := stored(t, w.store, ids[0])[ids[0]]; r.State != StateDone {
			t.Errorf("the job is %s after %d starts, want %s", r.State, r.Starts, StateDone)
		}
		o.j.Close(t.Context())
		w.wg.Wait()
	})
}

// Guards against a start after the permission was withdrawn between the placement and the start.
func TestNoStartWithoutPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ids := newWorld(t, 1), newIDs(1)
		o := w.owners[0]
		o.denyOnPlace = true
		w.members("a")
		time.Sleep(time.Second)
		w.submit(o, ids[0], request(1))
		time.Sleep(30 * time.Second)
		o.mu.Lock()
		o.denyOnPlace, o.notPermitted = false, false
		o.mu.Unlock()
		w.settle(t, ids)
		if r := stored(t, w.store, ids[0])[ids[0]]; r.State != StateDone || r.Starts < 2 {
			t.Errorf("%s after %d starts", r.State, r.Starts)
		}
	})
}

// slowTarget counts the calls that run at the same time.
type slowTarget struct {
	runner.Target
	now, peak atomic.Int64
}

func (s *slowTarget) wait() error {
	s.peak.Store(max(s.peak.Load(), s.now.Add(1)))
	time.Sleep(time.Second)
	s.now.Add(-1)
	return errUnreachable
}

func (s *slowTarget) RevokeSession(context.Context, string) (runner.Revocation, error) {
	return runner.Revocation{}, s.wait()
}

func (s *slowTarget) Stop(context.Context, string) error { return s.wait() }

// Guards against a takeover that examines all targets at once, and against many
// cancellations that stop all tasks at once.
func TestCallsToTargetsAreBounded(t *testing.T) {
	id := idAt(time.Now(), 1)
	for name, call := range map[string]func(ctx context.Context, tn *term, target runner.Target){
		"recovery": func(ctx context.Context, tn *term, target runner.Target) {
			_, _ = tn.examine(ctx, target, Record{})
		},
		"stop": func(ctx context.Context, tn *term, _ runner.Target) { tn.stopCancelled(ctx, id) },
	} {
		synctest.Test(t, func(t *testing.T) {
			target, doc := &slowTarget{}, NewDocument()
			doc.put(Record{
				ID:      id,
				State:   StateCancelled,
				Attempt: Attempt{Task: "t"},
			})
			tn := newTerm(New(Config{
				Targets: func(string) (runner.Target, error) { return target, nil },
			}), &Shard{doc: doc})
			for range 100 {
				tn.wg.Go(func() { call(t.Context(), tn, target) })
			}
			tn.wg.Wait()
			if target.peak.Load() != 16 {
				t.Errorf("%s: %d at once, want 16", name, target.peak.Load())
			}
		})
	}
}

// racingTarget delivers a start right after its task was looked up.
type racingTarget struct {
	runner.Target
	start func()
}

func (r *racingTarget) Status(ctx context.Context, id string) (runner.Status, error) {
	defer r.start()
	return r.Target.Status(ctx, id)
}

// Guards against "not run" of a task that starts after its lookup: the session must
// be revoked before.
func TestSessionIsRevokedBeforeTheLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ids := newWorld(t, 1), newIDs(1)
		o := w.owners[0]
		a := w.attempt(o, ids[0])
		target, _ := o.j.cfg.Targets("w")
		late := &racingTarget{
			Target: target,
			start: func() {
				_, _ = w.worker.start(runner.Task{
					ID:       a.Task,
					Session:  a.Session,
					Boot:     a.BootID,
					Identity: ids[0].String(),
				}, nil)
			},
		}
		action, err := newTerm(o.j, nil).examine(t.Context(), late, Record{Attempt: *a})
		if runs := w.worker.runs[ids[0].String()]; err != nil || action != ActionNotRun || runs != 0 {
			t.Errorf("%s, %v, %d runs", action, err, runs)
		}
	})
}

// pausedTarget has a checkpointed task and no free slot at first.
type pausedTarget struct {
	runner.Target
	calls int
}

func (p *pausedTarget) Status(context.Context, string) (runner.Status, error) {
	return runner.Status{State: runner.StateCheckpointed}, nil
}

func (p *pausedTarget) Resume(context.Context, string) error {
	if p.calls++; p.calls < 3 {
		return runner.ErrBusy
	}
	return nil
}

// Guards against an adopted task that stays checkpointed because its former owner no longer runs.
func TestAdoptedTaskIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &pausedTarget{}
		newTerm(New(Config{}), nil).resume(t.Context(), target, "t")
		if target.calls != 3 {
			t.Errorf("%d calls, want 3: two refusals and one success", target.calls)
		}
	})
}

// silentStops does not answer calls of Stop.
type silentStops struct {
	runner.Target
	calls atomic.Int64
}

func (s *silentStops) Stop(ctx context.Context, _ string) error {
	s.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against many cancellations at an unresponsive target that occupy the slots of
// new jobs, and against cancelled tasks that are not asked to stop.
func TestManyCancellationsLeaveSlotsForNewJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 4
		w, ids := newWorld(t, 1), newIDs(2*jobs)
		o := w.owners[0]
		o.freeSlots = 2 * jobs
		o.j.running = make(chan struct{}, jobs)
		target, _ := o.j.cfg.Targets("w")
		silent := &silentStops{Target: target}
		o.j.cfg.Targets = func(string) (runner.Target, error) { return silent, nil }
		w.members("a")
		time.Sleep(time.Second)
		for _, id := range ids[:jobs] {
			w.submit(o, id, request(1))
		}
		time.Sleep(time.Second)
		for _, id := range ids[:jobs] {
			w.wg.Go(func() { _, _ = o.j.Cancel(t.Context(), id, "team") })
		}
		synctest.Wait()
		for _, id := range ids[jobs:] {
			w.submit(o, id, request(1))
		}
		time.Sleep(o.j.cfg.PlaceRetryDelay + 100*time.Millisecond) // each call of Stop waits for 2 s
		w.worker.mu.Lock()
		for _, id := range ids {
			if runs := w.worker.runs[id.String()]; runs != 1 {
				t.Errorf("%s ran %d times", id, runs)
			}
		}
		w.worker.mu.Unlock()
		if silent.calls.Load() != jobs {
			t.Errorf("%d stops, want %d", silent.calls.Load(), jobs)
		}
		o.j.Close(t.Context())
		w.wg.Wait()
	})
}
