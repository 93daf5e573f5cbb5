package journaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// submit sends a request to an owner and runs a synchronous one there.
func (w *world) submit(o *owner, id uuid.UUID, req Request) {
	w.wg.Go(func() {
		sub := Submission{
			ID:      id,
			Request: req,
			Body:    []byte(strings.Repeat(id.String(), 1+int(id[15]%3)*20)),
		}
		if id[15]%2 == 0 && !req.Deferrable {
			if sub.Attempt = w.attempt(o, id); sub.Attempt == nil {
				return
			}
		}
		out, err := o.j.Submit(context.Background(), sub)
		w.mu.Lock()
		if CommitEffect(err) != EffectNone {
			w.maybeAccepted[id]++
		}
		if out.Created {
			if w.created[id] {
				w.t.Errorf("%s was created twice", id)
			}
			w.created[id] = true
		}
		w.mu.Unlock()
		if out.Created && !req.Deferrable {
			w.runSynchronous(o, sub)
		}
	})
}

// attempt opens a session for a new attempt; nil when the worker cannot be reached.
func (w *world) attempt(o *owner, id uuid.UUID) *Attempt {
	task := fmt.Sprintf("%s.%s%d", id, o.name, w.attempts.Add(1))
	target, _ := o.j.cfg.Targets("w")
	boot, err := target.OpenSession(context.Background(), task, 10*time.Second)
	if err != nil {
		return nil
	}
	return &Attempt{
		Task:    task,
		Target:  "w",
		BootID:  boot,
		Session: task,
	}
}

// runSynchronous acts as the dispatcher of synchronous requests.
func (w *world) runSynchronous(o *owner, sub Submission) {
	id, a := sub.ID, sub.Attempt
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	defer o.j.Detach(id, nil)
	if a == nil {
		if a = w.attempt(o, id); a == nil || o.j.Start(ctx, id, *a) != nil {
			return
		}
	}
	target, _ := o.j.cfg.Targets("w")
	answer, err := target.Start(ctx, runner.Task{
		ID:       a.Task,
		Session:  a.Session,
		Boot:     a.BootID,
		Identity: id.String(),
	}, bytes.NewReader(sub.Body))
	switch {
	case errors.Is(err, runner.ErrNotRun):
		if o.j.NotRun(ctx, id, a.Task) == nil {
			w.mu.Lock()
			w.created[id] = false // from now on a repeat may create a record
			w.mu.Unlock()
			_ = o.j.Withdraw(ctx, id)
		}
	case err != nil:
		return // left to recovery
	default:
		data := new(bytes.Buffer)
		if _, err := data.ReadFrom(answer.Body); err == nil {
			_ = o.j.Finish(ctx, id, a.Task, ApplicationAnswer{
				Status: answer.Status,
				Data:   data.Bytes(),
			})
		}
	}
}

func (w *world) members(names ...string) {
	for _, o := range w.owners {
		w.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			o.j.SetMembers(ctx, names)
		})
	}
}

// settle ends all faults, gives the shards to the last owner and checks every guarantee.
func (w *world) settle(t testing.TB, ids []uuid.UUID) {
	time.Sleep(10 * time.Second)
	w.worker.setUnreachable(false)
	last := w.owners[len(w.owners)-1]
	for _, o := range w.owners {
		o.mu.Lock()
		o.storeDown, o.lostAnswers, o.crashAt = false, 0, 0
		o.mu.Unlock()
		o.set(false)
	}
	w.members(last.name)
	time.Sleep(150 * time.Second)
	for _, id := range ids {
		w.verify(t, last, id)
	}
	if limit := len(w.owners) * ownerAllowance; w.worker.peak > limit {
		t.Errorf("%d jobs ran at the same time, want at most %d", w.worker.peak, limit)
	}
	for _, o := range w.owners {
		o.j.Close(context.Background())
	}
	w.wg.Wait()
}

func (w *world) verify(t testing.TB, o *owner, id uuid.UUID) {
	r, err := o.j.Lookup(context.Background(), id, "team")
	w.mu.Lock()
	maybeAccepted, fresh := w.maybeAccepted[id], w.created[id]
	w.mu.Unlock()
	w.worker.mu.Lock()
	runs := w.worker.runs[id.String()]
	w.worker.mu.Unlock()
	if err != nil {
		if !errors.Is(err, ErrNotFound) || fresh || runs > 0 {
			t.Errorf("%s: %v, accepted %t, %d runs", id, err, fresh, runs)
		}
		return
	}
	switch {
	case !r.State.Final():
		t.Errorf("%s has not ended: %s", id, r.State)
	case maybeAccepted == 0:
		t.Errorf("%s was refused by all, but has a record", id)
	case runs > 1 && !r.Idempotent:
		t.Errorf("%s ran %d times", id, runs)
	case runs > 0 && !r.Ran:
		t.Errorf("%s is said not to have run: %s %s", id, r.State, r.Verdict)
	case r.Deferrable && r.State == StateFailed && r.Queue != "never" && !r.Idempotent:
		t.Errorf("%s failed: %s", id, r.Verdict)
	}
	if r.State != StateDone {
		return
	}
	data, err := o.j.Data(context.Background(), r)
	body := []byte(strings.Repeat(id.String(), 1+int(id[15]%3)*20))
	if err != nil || !bytes.Equal(data, resultOf(id.String(), body)) {
		t.Errorf("%s has another result: %d bytes, %v", id, len(data), err)
	}
}

func request(kind int) Request {
	return Request{
		Queue:      "q",
		Team:       "team",
		Method:     "POST",
		Path:       "/p",
		Deferrable: kind != 0,
		Idempotent: kind == 2,
		DeadlineMS: time.Now().Add(time.Hour).UnixMilli(),
	}
}

// action is one step of a random history.
type action struct {
	Kind, Owner, N int
	Wait           time.Duration
}

func (w *world) apply(a action, ids []uuid.UUID) {
	o := w.owners[a.Owner%len(w.owners)]
	n := a.N % len(ids)
	switch a.Kind {
	case 0, 1, 2:
		w.submit(o, ids[n], request(n%3))
	case 3:
		w.wg.Go(func() { _, _ = o.j.Cancel(context.Background(), ids[n], "team") })
	case 4, 5:
		o.set(a.Kind == 4)
	case 6:
		o.toggleStore()
	case 7:
		o.mu.Lock()
		o.lostAnswers += a.N
		o.mu.Unlock()
	case 8:
		w.worker.restart()
	case 9:
		w.worker.mu.Lock()
		w.worker.unreachable = !w.worker.unreachable
		w.worker.truncated = a.N
		w.worker.mu.Unlock()
	case 10: // the owners disagree on the members
		w.wg.Go(func() { o.j.SetMembers(context.Background(), []string{o.name}) })
	case 11:
		w.members(o.name, w.owners[0].name)
	}
	time.Sleep(a.Wait)
}

// Guards against a second run, a record that never ends or ends twice, a false "not run"
// and a wrong result, under random faults of owners, store and worker.
func TestGuaranteesHoldOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		owners := rapid.IntRange(2, 3).Draw(rt, "owners")
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
			return action{
				Kind:  rapid.IntRange(0, 11).Draw(rt, "kind"),
				Owner: rapid.IntRange(0, 2).Draw(rt, "owner"),
				N:     rapid.IntRange(0, 8).Draw(rt, "n"),
				Wait:  time.Duration(rapid.IntRange(0, 4000).Draw(rt, "wait")) * time.Millisecond,
			}
		}), 5, 40).Draw(rt, "script")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			rec := &recorder{TB: t}
			w := newWorld(rec, owners)
			ids := newIDs(9)
			w.members("a")
			time.Sleep(time.Second)
			for _, a := range script {
				w.apply(a, ids)
			}
			w.settle(rec, ids)
			failures = rec.failures
		})
		if len(failures) > 0 {
			rt.Fatal(strings.Join(failures, "\n"))
		}
	})
}

// recorder collects failures, so that rapid can shrink the history.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func newIDs(n int) []uuid.UUID {
	var ids []uuid.UUID
	for i := range n {
		ids = append(ids, idAt(time.Now(), byte(i)))
	}
	return ids
}

// Guards against the effects of a crash between any two steps of a request: the owner
// stops before or after each of its calls to the store, for good or until its
// successor has recovered the record while the session is still open.
func TestCrashAtEveryStep(t *testing.T) {
	for kind, name := range []string{"synchronous", "job", "idempotent job"} {
		for at, reached := 2, true; reached; at++ {
			resumed := at%2 == 1 // two rounds for each call
			call := at / 2
			t.Run(fmt.Sprintf("%s, call %d, resumed %t", name, call, resumed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, 2)
					ids := newIDs(3)
					w.owners[0].crashAt = call + 4 // after the two calls of the takeover
					w.owners[0].crashOn = ShardKey(ShardOf(ids[kind]))
					w.members("a")
					time.Sleep(time.Second)
					w.submit(w.owners[0], ids[kind], request(kind))
					time.Sleep(time.Second)
					if !resumed {
						time.Sleep(5 * time.Second)
						w.owners[0].mu.Lock()
						reached = w.owners[0].calls >= call+4
						w.owners[0].mu.Unlock()
					}
					w.owners[1].j.SetMembers(t.Context(), []string{"b"})
					time.Sleep(2 * time.Second)
					if resumed {
						w.owners[0].set(false)
					}
					time.Sleep(30 * time.Second)
					w.submit(w.owners[1], ids[kind], request(kind)) // the caller repeats the request
					w.settle(t, ids[kind:kind+1])
				})
			})
		}
	}
}

// Guards against jobs that never end and against verdicts that name another reason.
func TestJobsEndWithAVerdict(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*world, *Request)
		runs   int
		want   Verdict
	}{
		{
			name:   "never runs",
			change: func(_ *world, r *Request) { r.Queue = "never" },
			want:   VerdictCannotRun,
		},
		{
			name:   "always fails",
			change: func(w *world, _ *Request) { w.worker.status = 500 },
			runs:   4,
			want:   VerdictAttemptsExhausted,
		},
		{
			name: "no target",
			change: func(w *world, r *Request) {
				w.worker.setUnreachable(true)
				r.DeadlineMS = time.Now().Add(20 * time.Second).UnixMilli()
			},
			want: VerdictDeadlineExceeded,
		},
		{
			// The sessions that are opened before the store is back expire without a start.
			name: "store down for longer than a session lives",
			change: func(w *world, _ *Request) {
				w.worker.setUnreachable(true)
				time.AfterFunc(500*time.Millisecond, func() {
					w.owners[0].toggleStore()
					w.worker.setUnreachable(false)
					time.Sleep(20 * time.Second)
					w.owners[0].toggleStore()
				})
			},
			runs: 1,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1)
				w.members("a")
				time.Sleep(time.Second)
				id, req := idAt(time.Now(), 1), request(2)
				tt.change(w, &req)
				w.submit(w.owners[0], id, req)
				time.Sleep(time.Minute)
				r, err := w.owners[0].j.Lookup(t.Context(), id, "team")
				if err != nil || r.Verdict != tt.want || w.worker.runs[id.String()] != tt.runs {
					t.Errorf("%v %s %s, %d runs", err, r.State, r.Verdict, w.worker.runs[id.String()])
				}
				if _, err := w.owners[0].j.Lookup(t.Context(), id, "other"); !errors.Is(err, ErrWrongTeam) {
					t.Errorf("another team: %v", err)
				}
				w.owners[0].j.Close(t.Context())
				w.wg.Wait()
			})
		})
	}
}

// Guards against "not run" from a worker that has forgotten the task.
func TestDecide(t *testing.T) {
	const recorded, other = "1", "2"
	unknown := func(before, after string) Evidence {
		return Evidence{
			BootBefore: before,
			BootAfter:  after,
		}
	}
	for e, want := range map[Evidence][2]Action{ // for non-idempotent and for idempotent requests
		unknown(recorded, recorded):       {ActionNotRun, ActionNotRun},
		unknown(other, other):             {ActionUnknown, ActionRetry},
		unknown(recorded, other):          {ActionUnknown, ActionRetry}, // restarted during the lookup
		{State: runner.StateRunning}:      {ActionAdopt, ActionAdopt},
		{State: runner.StateCheckpointed}: {ActionAdopt, ActionAdopt},
		{State: runner.StateDone}:         {ActionAnswer, ActionAnswer},
		{State: runner.StateStopped}:      {ActionUnknown, ActionRetry},
	} {
		for n, idempotent := range []bool{false, true} {
			r := Record{
				Request: Request{Idempotent: idempotent},
				Attempt: Attempt{BootID: recorded},
			}
			if got := Decide(r, e); got != want[n] {
				t.Errorf("%+v, idempotent %t: %s, want %s", e, idempotent, got, want[n])
			}
		}
	}
}
