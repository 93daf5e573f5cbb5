package runner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// countingTarget counts the opens and renewals of sessions at a target and can make them fail.
type countingTarget struct {
	runner.Target
	calls atomic.Int64
	fail  atomic.Bool
}

func (c *countingTarget) OpenSession(ctx context.Context, id string, ttl time.Duration) (string, error) {
	c.calls.Add(1)
	if c.fail.Load() {
		return "", errors.New("unreachable")
	}
	return c.Target.OpenSession(ctx, id, ttl)
}

func (c *countingTarget) RenewSession(ctx context.Context, id, boot string, ttl time.Duration) error {
	c.calls.Add(1)
	if c.fail.Load() {
		return errors.New("unreachable")
	}
	return c.Target.RenewSession(ctx, id, boot, ttl)
}

type sessionPoolFixture struct {
	*runner.SessionPool
	permitted atomic.Bool
	worker    *emulator.Worker
	target    *countingTarget
}

func newSessionPoolFixture(t *testing.T) *sessionPoolFixture {
	t.Helper()
	f := &sessionPoolFixture{worker: newWorker(t)}
	f.permitted.Store(true)
	f.target = &countingTarget{Target: f.worker}
	f.SessionPool = runner.NewSessionPool(runner.SessionPoolConfig{MayRun: f.permitted.Load})
	t.Cleanup(f.Close)
	return f
}

func (f *sessionPoolFixture) acquire(t *testing.T) *runner.Session {
	t.Helper()
	s, err := f.Acquire(t.Context(), "w1", f.target)
	must(t, err)
	return s
}

// run starts a task under the session and waits for its end.
func (f *sessionPoolFixture) run(t *testing.T, s *runner.Session, id, path string) error {
	t.Helper()
	task := fixture{f.target, f.worker}.newTask(id, path)
	task.Session = s.ID
	task.Boot = s.Boot
	return <-fixture{f.target, f.worker}.start(t, task)
}

func TestSessionPool(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, f *sessionPoolFixture)
	}{
		{"a session in use outlives its ttl", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			must(t, f.run(t, s, "t1", "/x?duration_ms=59000"))
			if n := f.target.calls.Load(); n != 20 { // at 0 s and each 3 s up to 57 s
				t.Fatalf("%d calls", n)
			}
		}},
		{"an unused session is not renewed and a later use opens another one", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			s.Release()
			time.Sleep(time.Minute)
			if n := f.target.calls.Load(); n != 1 {
				t.Fatalf("%d calls", n)
			}
			again := f.acquire(t)
			defer again.Release()
			if again.ID == s.ID {
				t.Fatal("the expired session is used again")
			}
			must(t, f.run(t, again, "t1", "/x"))
		}},
		{"concurrent uses share one session", func(t *testing.T, f *sessionPoolFixture) {
			ids := make(chan string, 10)
			for range 10 {
				go func() {
					s, err := f.Acquire(t.Context(), "w1", f.target)
					if err != nil {
						t.Error(err)
						return
					}
					defer s.Release()
					ids <- s.ID
				}()
			}
			synctest.Wait()
			first := <-ids
			for range 9 {
				if id := <-ids; id != first {
					t.Fatalf("sessions %s and %s", first, id)
				}
			}
		}},
		{"no session without permission", func(t *testing.T, f *sessionPoolFixture) {
			f.permitted.Store(false)
			_, err := f.Acquire(t.Context(), "w1", f.target)
			want(t, err, runner.ErrNotRun, runner.ErrNotPermitted)
			if n := f.target.calls.Load(); n != 0 {
				t.Fatalf("%d calls", n)
			}
		}},
		{"no start under an open session without permission", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			f.permitted.Store(false)
			_, err := f.Acquire(t.Context(), "w1", f.target)
			want(t, err, runner.ErrNotRun, runner.ErrNotPermitted)
		}},
		{"tasks end within the ttl of the last renewal after the permission was withdrawn", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			time.AfterFunc(7*time.Second, func() { f.permitted.Store(false) })
			start := time.Now()
			want(t, f.run(t, s, "t1", "/x?duration_ms=60000"), runner.ErrTaskStopped)
			if took := time.Since(start); took != 16*time.Second { // renewed at 6 s
				t.Fatalf("took %v", took)
			}
			time.Sleep(time.Second)
			<-s.Ended
		}},
		{"a permission that is given back in time keeps the session", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			time.AfterFunc(4*time.Second, func() { f.permitted.Store(false) })
			time.AfterFunc(9*time.Second, func() { f.permitted.Store(true) })
			must(t, f.run(t, s, "t1", "/x?duration_ms=30000"))
		}},
		{"a failed renewal is repeated before the session ends", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			time.AfterFunc(2*time.Second, func() { f.target.fail.Store(true) })
			time.AfterFunc(8*time.Second, func() { f.target.fail.Store(false) })
			must(t, f.run(t, s, "t1", "/x?duration_ms=30000"))
		}},
		{"a failed open is an error for this use only", func(t *testing.T, f *sessionPoolFixture) {
			f.target.fail.Store(true)
			_, err := f.Acquire(t.Context(), "w1", f.target)
			want(t, err, runner.ErrNotRun)
			f.target.fail.Store(false)
			f.acquire(t).Release()
		}},
		{"a reboot ends the session", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			f.worker.Reboot()
			<-s.Ended
			again := f.acquire(t)
			defer again.Release()
			if again.ID == s.ID || again.Boot == s.Boot {
				t.Fatalf("sessions %+v and %+v", s, again)
			}
			must(t, f.run(t, again, "t1", "/x"))
		}},
		{"a session that the worker has ended is not used again", func(t *testing.T, f *sessionPoolFixture) {
			s := f.acquire(t)
			defer s.Release()
			_, err := f.worker.RevokeSession(t.Context(), s.ID)
			must(t, err)
			want(t, f.run(t, s, "t1", "/x"), runner.ErrSessionEnded)
			s.Invalidate()
			again := f.acquire(t)
			defer again.Release()
			must(t, f.run(t, again, "t1", "/x"))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.run(t, newSessionPoolFixture(t)) })
		})
	}
}
