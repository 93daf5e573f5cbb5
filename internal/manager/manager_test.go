package manager_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// directory reads a configuration that tests write as JSON.
type directory struct{}

type testConfig struct {
	Version int64
	Keys    map[string]string // team by key
}

func (directory) OperatorPrefix() string     { return "operators/" }
func (directory) ConfigurationKey() string   { return "operators/config" }
func (directory) TargetPrefix() string       { return "targets/" }
func (directory) TargetID(key string) string { return strings.TrimPrefix(key, "targets/") }
func (directory) Wave(storer.Item) (orchestrator.Wave, bool, error) {
	return orchestrator.Wave{}, false, nil
}

func (directory) WaveStatus(orchestrator.WaveState) (storer.Put, error) {
	return storer.Put{}, errors.New("no waves here")
}

func (directory) Configuration(data []byte) (*manager.Configuration, error) {
	var c testConfig
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	conf := &manager.Configuration{
		Version: c.Version,
		Routes: []manager.Route{{
			Host:   "desk.example",
			Prefix: "/quotes/",
			Queue:  "quotes",
		}},
		Keys: map[[sha256.Size]byte]string{},
		Engine: orchestrator.Configuration{
			Queues: map[string]orchestrator.Queue{
				"quotes": {
					Name:          "quotes",
					Pool:          "desk",
					MaxAttempts:   4,
					StretchFactor: 1.6,
					TargetLatency: 600 * time.Millisecond,
				},
			},
			Pools: map[string]orchestrator.Pool{
				"desk": {
					Name: "desk",
				},
			},
		},
	}
	for key, team := range c.Keys {
		conf.Keys[sha256.Sum256([]byte(key))] = team
	}
	return conf, nil
}

func (d directory) Registration(item storer.Item) (orchestrator.Registration, error) {
	return orchestrator.Registration{
		Endpoint: orchestrator.Endpoint{
			ID:      d.TargetID(item.Key),
			Address: "a:1",
		},
		Pool: "desk",
		Capacity: jobkeeper.Resources{
			CPUMillis: 8000,
			MemoryMB:  8000,
		},
	}, nil
}

// targets runs tasks for their estimated time and lists their ends.
type targets struct {
	mu     sync.Mutex
	start  time.Time
	runs   map[uint64]orchestrator.Run
	ended  []orchestrator.End
	number uint64
	starts map[string]int
	began  map[uint64]time.Time
	// extended is when a lease was last extended.
	extended time.Time
	// duration is how long a task takes.
	duration time.Duration
}

func newTargets() *targets {
	return &targets{
		start:  time.Now(),
		runs:   map[uint64]orchestrator.Run{},
		starts: map[string]int{},
		began:  map[uint64]time.Time{},

		duration: 300 * time.Millisecond,
	}
}

func (t *targets) clock() int64 { return time.Since(t.start).Milliseconds() + 1 }

func (t *targets) Order(_ context.Context, o orchestrator.Order) (orchestrator.Outcome, int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Kind == orchestrator.KindStart {
		t.starts[o.Task.String()]++
		t.began[o.Run] = time.Now()
		t.runs[o.Run] = orchestrator.Run{
			Task: o.Task,
			Run:  o.Run,
		}
		time.AfterFunc(t.duration, func() { t.end(o) })
	}
	return orchestrator.OutcomeOK, t.clock(), nil
}

func (t *targets) end(o orchestrator.Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, o.Run)
	t.number++
	t.ended = append(t.ended, orchestrator.End{
		Number: t.number,
		Task:   o.Task,
		Run:    o.Run,
		How:    orchestrator.EndDone,
	})
}

func (t *targets) List(ctx context.Context, plan orchestrator.HoldPlan) (orchestrator.Listing, error) {
	select {
	case <-ctx.Done():
		return orchestrator.Listing{}, ctx.Err()
	case <-time.After(min(plan.Wait, 20*time.Millisecond)):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if plan.DeadlineMS > 0 {
		t.extended = time.Now()
	}
	l := orchestrator.Listing{
		ClockMS: t.clock(),
		Born:    1,
	}
	for run, r := range t.runs {
		r.Percent = int(100 * time.Since(t.began[run]) / t.duration)
		l.Running = append(l.Running, r)
	}
	kept := t.ended[:0]
	for _, e := range t.ended {
		if e.Number > plan.Acknowledged {
			kept = append(kept, e)
		}
	}
	t.ended = kept
	l.Ended = append(l.Ended, kept...)
	return l, nil
}

// unsteady is a store whose calls can fail.
type unsteady struct {
	*storer.Memory
	mu   sync.Mutex
	fail func(call string, t storer.Transaction) (before, after error)
}

func (u *unsteady) set(f func(call string, t storer.Transaction) (before, after error)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fail = f
}

func (u *unsteady) errors(call string, t storer.Transaction) (before, after error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fail == nil {
		return nil, nil
	}
	return u.fail(call, t)
}

func (u *unsteady) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	before, after := u.errors("commit", t)
	if before != nil {
		return 0, before
	}
	version, err := u.Memory.Commit(ctx, t)
	if after != nil && err == nil {
		return 0, after
	}
	return version, err
}

func (u *unsteady) Scan(ctx context.Context, prefix string) (storer.Listing, error) {
	if before, _ := u.errors("scan "+prefix, storer.Transaction{}); before != nil {
		return storer.Listing{}, before
	}
	return u.Memory.Scan(ctx, prefix)
}

func (u *unsteady) Follow(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if before, _ := u.errors("follow "+prefix, storer.Transaction{}); before != nil {
		return storer.Changes{}, before
	}
	return u.Memory.Follow(ctx, prefix, after, wait)
}

func (u *unsteady) Renew(ctx context.Context, id storer.LeaseID) error {
	if before, _ := u.errors("renew", storer.Transaction{}); before != nil {
		return before
	}
	return u.Memory.Renew(ctx, id)
}

// installation is a store with a configuration, one target and daemons.
type installation struct {
	t       *testing.T
	store   *unsteady
	targets *targets
	version int64
}

func newInstallation(t *testing.T) *installation {
	i := &installation{
		t: t,
		store: &unsteady{
			Memory: storer.NewMemory(),
		},
		targets: newTargets(),
	}
	i.configure(map[string]string{
		"k1": "schools",
	})
	i.put("targets/t1", "x")
	return i
}

func (i *installation) put(key, value string) {
	i.t.Helper()
	item, err := i.store.Read(i.t.Context(), key)
	if err != nil {
		i.t.Fatal(err)
	}
	if _, err := i.store.CompareAndSwap(i.t.Context(), storer.Write{
		Key:      key,
		Value:    []byte(value),
		Expected: item.Version,
	}); err != nil {
		i.t.Fatal(err)
	}
}

func (i *installation) configure(keys map[string]string) {
	i.t.Helper()
	i.version++
	data, err := json.Marshal(testConfig{
		Version: i.version,
		Keys:    keys,
	})
	if err != nil {
		i.t.Fatal(err)
	}
	i.put("operators/config", string(data))
}

// start runs a daemon and returns a function that stops it.
func (i *installation) start(name string) (*manager.Manager, func()) {
	began := time.Now()
	m := manager.New(manager.Config{
		Name:      name,
		Logger:    hclog.NewNullLogger(),
		Store:     i.store,
		Directory: directory{},
		Targets:   i.targets,
		Clock:     func() time.Duration { return time.Since(began) + time.Hour },
		Wall:      func() int64 { return time.Now().UnixMilli() },
		Bounds: manager.Bounds{
			MaxHold:      6 * time.Second,
			StopTime:     200 * time.Millisecond,
			Retention:    time.Minute,
			RemoteFactor: 1.5,
			DutyLease:    3 * time.Second,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, c := range m.Components() {
		running.Go(func() {
			if err := c.Run(ctx); err != nil {
				i.t.Error(err)
			}
		})
	}
	return m, func() {
		cancel()
		running.Wait()
	}
}

func call(key, id string, job *jobkeeper.Job) manager.Call {
	return manager.Call{
		Host: "desk.example",
		Path: "/quotes/" + id,
		Key:  key,
		Job:  job,
	}
}

func smallJob() *jobkeeper.Job {
	return &jobkeeper.Job{
		Spec: "s",
		Steps: []jobkeeper.Step{{
			Count: 2,
			Needs: jobkeeper.Resources{
				CPUMillis: 1000,
				MemoryMB:  100,
			},
			EstimateMS: 300,
		}},
	}
}

func TestAcceptedJobCompletesAndAnotherDaemonAnswersForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		a, stopA := i.start("a")
		defer stopA()
		b, stopB := i.start("b")
		defer stopB()
		time.Sleep(time.Second)
		if r := a.Front().Submit(t.Context(), call("k1", "j1", smallJob())); r.Verdict != manager.VerdictOK {
			t.Fatalf("verdict is %s (%s), want ok", r.Verdict, r.Reason)
		}
		time.Sleep(2 * time.Second)
		if r := b.Front().State(t.Context(), call("k1", "j1", nil)); r.State != jobkeeper.StateComplete {
			t.Errorf("state is %s %s, want complete", r.Verdict, r.State)
		}
		if r := b.Front().Submit(t.Context(), call("k1", "j1", smallJob())); r.Verdict != manager.VerdictOK {
			t.Errorf("a repeat after the end gets %s, want ok", r.Verdict)
		}
		time.Sleep(time.Second)
		for task, n := range i.targets.starts {
			if n != 1 {
				t.Errorf("%s started %d times, want once", task, n)
			}
		}
	})
}

// The lists of targets are read after the jobs: an end of a job that the new owner
// does not know yet would be acknowledged and forgotten.
func TestTakeoverReadsJobsBeforeTheListsOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		a, stopA := i.start("a")
		time.Sleep(time.Second)
		if r := a.Front().Submit(t.Context(), call("k1", "j1", smallJob())); r.Verdict != manager.VerdictOK {
			t.Fatalf("verdict is %s, want ok", r.Verdict)
		}
		time.Sleep(200 * time.Millisecond)
		stopA() // the tasks end while nobody is there
		time.Sleep(time.Second)
		slow := time.Now().Add(2 * time.Second)
		i.store.set(func(call string, _ storer.Transaction) (before, after error) {
			if call == "scan "+jobkeeper.IntakePrefix && time.Now().Before(slow) {
				return storer.ErrUnavailable, nil
			}
			return nil, nil
		})
		b, stopB := i.start("b")
		defer stopB()
		time.Sleep(6 * time.Second)
		if r := b.Front().State(t.Context(), call("k1", "j1", nil)); r.State != jobkeeper.StateComplete {
			t.Errorf("state is %s, want complete", r.State)
		}
		for task, n := range i.targets.starts {
			if n != 1 {
				t.Errorf("%s started %d times, want once", task, n)
			}
		}
	})
}

func TestVerdicts(t *testing.T) {
	unavailable := func(call string, _ storer.Transaction) (before, after error) {
		if call == "commit" {
			return storer.ErrUnavailable, nil
		}
		return nil, nil
	}
	lost := func(call string, tx storer.Transaction) (before, after error) {
		if call == "commit" && len(tx.Puts) > 0 && strings.HasPrefix(tx.Puts[0].Key, jobkeeper.DocumentPrefix) {
			return nil, storer.ErrOutcomeUnknown
		}
		return nil, nil
	}
	never := func(call string, tx storer.Transaction) (before, after error) {
		if call == "commit" && len(tx.Puts) > 0 && strings.HasPrefix(tx.Puts[0].Key, jobkeeper.DocumentPrefix) {
			return storer.ErrOutcomeUnknown, nil
		}
		return nil, nil
	}
	bad := smallJob()
	bad.Steps[0].Count = 0
	tests := []struct {
		name   string
		call   manager.Call
		fail   func(call string, t storer.Transaction) (before, after error)
		want   manager.Verdict
		stored bool
	}{
		{"accepted", call("k1", "j1", smallJob()), nil, manager.VerdictOK, true},
		{"unknown key", call("k2", "j1", smallJob()), nil, manager.VerdictUnauthorized, false},
		{"no identity", call("k1", "", smallJob()), nil, manager.VerdictInvalid, false},
		{"identity with a slash", call("k1", "a/b", smallJob()), nil, manager.VerdictInvalid, false},
		{"impossible document", call("k1", "j1", bad), nil, manager.VerdictInvalid, false},
		{"other host", manager.Call{Host: "x", Path: "/quotes/j1", Key: "k1", Job: smallJob()}, nil, manager.VerdictNoQueue, false},
		{"store refuses", call("k1", "j1", smallJob()), unavailable, manager.VerdictUnavailable, false},
		{"answers of the store are lost", call("k1", "j1", smallJob()), lost, manager.VerdictOK, true},
		{"writes get no answer and are not done", call("k1", "j1", smallJob()), never, manager.VerdictUnknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newInstallation(t)
				m, stop := i.start("a")
				defer stop()
				time.Sleep(time.Second)
				i.store.set(test.fail)
				r := m.Front().Submit(t.Context(), test.call)
				if r.Verdict != test.want {
					t.Errorf("verdict is %s (%s), want %s", r.Verdict, r.Reason, test.want)
				}
				item, err := i.store.Read(t.Context(), jobkeeper.DocumentKey("j1"))
				if err != nil {
					t.Fatal(err)
				}
				if (item.Version != 0) != test.stored {
					t.Errorf("document stored %v, want %v", item.Version != 0, test.stored)
				}
			})
		})
	}
}

// A daemon that has not heard of a new configuration must not accept with a key that
// it withdrew, nor refuse one that it added.
func TestWithdrawnKeyIsRefusedByADaemonThatHasNotHeardOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		i.configure(map[string]string{
			"k9": "clubs",
		})
		if r := m.Front().Submit(t.Context(), call("k1", "j1", smallJob())); r.Verdict != manager.VerdictUnauthorized {
			t.Errorf("a withdrawn key gets %s, want unauthorized", r.Verdict)
		}
	})
}

func TestCancelledJobIsShownAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		m.Front().Submit(t.Context(), call("k1", "j1", smallJob()))
		if r := m.Front().Cancel(t.Context(), call("k1", "j1", nil)); r.Verdict != manager.VerdictOK {
			t.Fatalf("verdict is %s, want ok", r.Verdict)
		}
		time.Sleep(time.Second)
		if r := m.Front().State(t.Context(), call("k1", "j1", nil)); r.State != jobkeeper.StateCancelled {
			t.Errorf("state is %s, want cancelled", r.State)
		}
		if r := m.Front().Cancel(t.Context(), call("k1", "unknown", nil)); r.Verdict != manager.VerdictNoJob {
			t.Errorf("an unknown job gets %s, want no_job", r.Verdict)
		}
	})
}

func TestWatchThatLostItsHistoryMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		m.Front().Submit(t.Context(), call("k1", "j1", smallJob()))
		i.store.Compact()
		m.Front().Submit(t.Context(), call("k1", "j2", smallJob()))
		i.store.Compact()
		time.Sleep(3 * time.Second)
		for _, id := range []string{"j1", "j2"} {
			if r := m.Front().State(t.Context(), call("k1", id, nil)); r.State != jobkeeper.StateComplete {
				t.Errorf("state of %s is %s, want complete", id, r.State)
			}
		}
	})
}

// A queue asks for far more than its pool holds. What can be of no more use is turned
// away at once, says when to come back, and does not run; a repeat is accepted once
// the backlog has gone.
func TestHopelessJobsAreRefusedAtOnceAndNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		i.targets.duration = 3 * time.Second
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		job := func() *jobkeeper.Job {
			j := smallJob()
			j.Steps[0].EstimateMS = 3000
			return j
		}
		refused := map[string]bool{}
		for n := range 60 {
			id := fmt.Sprintf("j%d", n)
			began := time.Now()
			r := m.Front().Submit(t.Context(), call("k1", id, job()))
			if took := time.Since(began); took > time.Second {
				t.Errorf("%s was answered after %v", id, took)
			}
			switch r.Verdict {
			case manager.VerdictNotRun:
				refused[id] = true
				if r.RetryAfter <= 0 {
					t.Errorf("%s is refused without a time to come back", id)
				}
			case manager.VerdictOK:
			default:
				t.Errorf("%s gets %s (%s)", id, r.Verdict, r.Reason)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if len(refused) < 10 || len(refused) > 45 {
			t.Errorf("%d of 60 jobs were refused; 22 jobs end within the time that is of use", len(refused))
		}
		time.Sleep(40 * time.Second)
		for task := range i.targets.starts {
			if id, _, _ := strings.Cut(task, "."); refused[id] {
				t.Errorf("%s was refused and ran", id)
			}
		}
		for id := range refused {
			if r := m.Front().Submit(t.Context(), call("k1", id, job())); r.Verdict != manager.VerdictOK {
				t.Errorf("a repeat of %s without a backlog gets %s, want ok", id, r.Verdict)
			}
			break
		}
	})
}

// A refusal is written where acceptance looks, so that a write of an earlier attempt
// that arrives late finds it.
func TestRefusalHoldsAgainstAnEarlierWriteThatArrivesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		i.targets.duration = 10 * time.Second
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		var late []storer.Transaction
		hold := func(call string, tx storer.Transaction) (before, after error) {
			if call == "commit" && len(tx.Puts) > 0 && tx.Puts[0].Key == jobkeeper.DocumentKey("x") {
				late = append(late, tx)
				return storer.ErrOutcomeUnknown, nil
			}
			return nil, nil
		}
		i.store.set(hold)
		if r := m.Front().Submit(t.Context(), call("k1", "x", smallJob())); r.Verdict != manager.VerdictUnknown {
			t.Fatalf("verdict is %s, want outcome_unknown", r.Verdict)
		}
		i.store.set(nil)
		for n := range 40 {
			j := smallJob()
			j.Steps[0].EstimateMS = 10_000
			m.Front().Submit(t.Context(), call("k1", fmt.Sprintf("j%d", n), j))
		}
		time.Sleep(time.Second)
		if r := m.Front().Submit(t.Context(), call("k1", "x", smallJob())); r.Verdict != manager.VerdictNotRun {
			t.Fatalf("verdict is %s, want not_run", r.Verdict)
		}
		for _, tx := range late {
			if _, err := i.store.Memory.Commit(t.Context(), tx); !errors.Is(err, storer.ErrConflict) {
				t.Errorf("a late write gets %v, want a conflict", err)
			}
		}
	})
}

// A daemon that has not heard from the store lately neither serves nor refuses on what
// it knows of the configuration.
func TestCallsThatRestOnAnOldConfigurationAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		i.store.set(func(call string, _ storer.Transaction) (before, after error) {
			if strings.HasPrefix(call, "follow") || strings.HasPrefix(call, "scan") {
				return storer.ErrUnavailable, nil
			}
			return nil, nil
		})
		time.Sleep(3 * time.Second)
		for name, c := range map[string]manager.Call{
			"queue":       call("k1", "", nil),
			"job":         call("k1", "j1", nil),
			"unknown key": call("k2", "j1", nil),
			"other path":  {Host: "desk.example", Path: "/x/", Key: "k1"},
		} {
			if r := m.Front().State(t.Context(), c); r.Verdict != manager.VerdictUnavailable {
				t.Errorf("%s: verdict is %s, want unavailable", name, r.Verdict)
			}
		}
	})
}

// What runs outlasts an outage of the store: leases are extended for a while after the
// owner's right has ended, and not for longer, because a new owner counts on that.
func TestLeasesAreKeptForAWhileWhenTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		i.targets.duration = time.Minute
		m, stop := i.start("a")
		defer stop()
		time.Sleep(time.Second)
		j := smallJob()
		j.Steps[0].EstimateMS = 60_000
		m.Front().Submit(t.Context(), call("k1", "j1", j))
		time.Sleep(2 * time.Second)
		i.store.set(func(string, storer.Transaction) (before, after error) { return storer.ErrUnavailable, nil })
		away := time.Now()
		time.Sleep(20 * time.Second)
		// The right lasts up to 1.5 s, and leases are kept for 3 s more.
		if kept := i.targets.extended.Sub(away); kept < 3*time.Second || kept > 4600*time.Millisecond {
			t.Errorf("leases were extended until %v after the store went away, want 3 s to 4.6 s", kept)
		}
	})
}
