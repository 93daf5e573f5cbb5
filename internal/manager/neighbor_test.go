package manager_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// fakeCarrier carries calls between daemons by function calls.
type fakeCarrier struct {
	mu      sync.Mutex
	daemons map[string]*manager.Manager // by address
	// fault, if set, is what happens to a call: before keeps it from arriving, after loses the answer.
	fault   func(address string) (before, after error)
	answer  *manager.Result // given for every call, if set
	carried []string        // addresses of the daemons that calls were handed to
}

func (c *fakeCarrier) Carry(ctx context.Context, address string, kind manager.CallKind, call manager.Call) (manager.Result, error) {
	c.mu.Lock()
	m, fault, answer := c.daemons[address], c.fault, c.answer
	c.carried = append(c.carried, address)
	c.mu.Unlock()
	switch {
	case m == nil:
		return manager.Result{}, manager.ErrNotSent
	case answer != nil:
		return *answer, nil
	}
	var before, after error
	if fault != nil {
		before, after = fault(address)
	}
	if before != nil {
		return manager.Result{}, before
	}
	result := m.Front().ServeNeighbor(ctx, kind, call)
	if after != nil {
		<-ctx.Done()
		return manager.Result{}, after
	}
	return result, nil
}

func (c *fakeCarrier) add(address string, m *manager.Manager) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[address] = m
}

func (c *fakeCarrier) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.carried)
}

// refusingStore refuses the calls of one daemon while refuse is set, leaves its writes without an
// answer while silent is set, although it carries them out, and tells of no changes
// while deaf is set.
type refusingStore struct {
	storer.TransactionalStore
	refuse  atomic.Bool
	silent  atomic.Bool
	deaf    atomic.Bool
	commits atomic.Int64
}

func (s *refusingStore) Read(ctx context.Context, key string) (storer.Item, error) {
	if s.refuse.Load() {
		return storer.Item{}, storer.ErrUnavailable
	}
	return s.TransactionalStore.Read(ctx, key)
}

func (s *refusingStore) ScanPages(ctx context.Context, prefix string, page func([]storer.Item)) (storer.Version, error) {
	if s.refuse.Load() {
		return 0, storer.ErrUnavailable
	}
	return s.TransactionalStore.ScanPages(ctx, prefix, page)
}

func (s *refusingStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if s.refuse.Load() {
		return storer.Changes{}, storer.ErrUnavailable
	}
	if s.deaf.Load() {
		time.Sleep(wait)
		return storer.Changes{
			Revision: after,
		}, nil
	}
	return s.TransactionalStore.WatchPrefix(ctx, prefix, after, wait)
}

func (s *refusingStore) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	s.commits.Add(1)
	if s.refuse.Load() {
		return 0, storer.ErrUnavailable
	}
	version, err := s.TransactionalStore.Commit(ctx, t)
	if s.silent.Load() && err == nil {
		<-ctx.Done()
		return 0, storer.ErrOutcomeUnknown
	}
	return version, err
}

func (s *refusingStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if s.refuse.Load() {
		return storer.ErrUnavailable
	}
	return s.TransactionalStore.Renew(ctx, id)
}

// neighborhoodTest is an installation of the daemons a-1, a-2 and b-1 that know each other, with a
// store for each that can refuse it.
type neighborhoodTest struct {
	*installation
	daemons map[string]*manager.Manager
	stores  map[string]*refusingStore
}

func newNeighborhoodTest(t *testing.T) (*neighborhoodTest, func()) {
	n := &neighborhoodTest{
		installation: newInstallation(t),
		daemons:      map[string]*manager.Manager{},
		stores:       map[string]*refusingStore{},
	}
	n.carrier = &fakeCarrier{
		daemons: map[string]*manager.Manager{},
	}
	var stops []func()
	for _, name := range []string{"a-1", "a-2", "b-1"} {
		n.stores[name] = &refusingStore{}
		n.wrapStore = func(s storer.TransactionalStore) storer.TransactionalStore {
			n.stores[name].TransactionalStore = s
			return n.stores[name]
		}
		m, stop := n.start(name)
		n.daemons[name] = m
		n.carrier.add(name, m)
		stops = append(stops, stop)
	}
	time.Sleep(5 * time.Second) // the daemons know each other
	return n, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func withDeadline(c manager.Call, left time.Duration) manager.Call {
	c.Deadline = time.Now().Add(left)
	return c
}

// The load: the store turns one of three daemons away for many seconds. Its callers are served as
// those of the others, and it stays ready.
func TestDaemonThatTheStoreTurnsAwayServesThroughNeighbors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newNeighborhoodTest(t)
		defer stop()
		a := n.daemons["a-1"]
		n.stores["a-1"].refuse.Store(true)
		for i := range 40 {
			id := fmt.Sprintf("j%d", i)
			if r := a.Front().Submit(t.Context(), withDeadline(call("k1", id, smallJob()), 3*time.Second)); r.Verdict != manager.VerdictOK {
				t.Errorf("submission %d: %s (%s), want ok", i, r.Verdict, r.Reason)
			}
			time.Sleep(250 * time.Millisecond)
		}
		if !a.Ready() {
			t.Error("not ready although neighbors serve its callers")
		}
		if r := a.Front().Submit(t.Context(), withDeadline(call("nobody's", "x", smallJob()), 3*time.Second)); r.Verdict != manager.VerdictUnauthorized {
			t.Errorf("unknown key: %s, want unauthorized by the neighbor", r.Verdict)
		}
		time.Sleep(4 * time.Second)
		if r := a.Front().State(t.Context(), withDeadline(call("k1", "j0", nil), 3*time.Second)); r.State != jobkeeper.StateComplete {
			t.Errorf("state: %s %s, want complete", r.Verdict, r.State)
		}
		if r := a.Front().Cancel(t.Context(), withDeadline(call("k1", "none", nil), 3*time.Second)); r.Verdict != manager.VerdictNoJob {
			t.Errorf("cancellation: %s, want no_job", r.Verdict)
		}
		n.stores["a-1"].refuse.Store(false)
		time.Sleep(time.Second)
		before := n.carrier.count()
		a.Front().Submit(t.Context(), withDeadline(call("k1", "own", smallJob()), 3*time.Second))
		if n.carrier.count() != before {
			t.Error("a call is handed on although the store serves the daemon again")
		}
	})
}

// What callers are told must be true whatever happens to the attempts: a refusal only if nothing
// can have been stored.
func TestAnswerWhenNeighborsFail(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(n *neighborhoodTest)
		left    time.Duration
		want    manager.Verdict
		stored  bool // the job is stored, whatever the caller was told
		carried int  // most attempts
	}{
		{
			name: "neighbors are turned away, too",
			prepare: func(n *neighborhoodTest) {
				for _, s := range n.stores {
					s.refuse.Store(true)
				}
			},
			left:    3 * time.Second,
			want:    manager.VerdictUnavailable,
			carried: 2,
		},
		{
			name: "neighbors can't be reached",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].refuse.Store(true)
				n.carrier.fault = func(string) (before, after error) { return manager.ErrNotSent, nil }
			},
			left:    3 * time.Second,
			want:    manager.VerdictUnavailable,
			carried: 2,
		},
		{
			name: "neighbors store the job and their answers are lost",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].refuse.Store(true)
				n.carrier.fault = func(string) (before, after error) { return nil, context.DeadlineExceeded }
			},
			left:    3 * time.Second,
			want:    manager.VerdictUnknown,
			stored:  true,
			carried: 2,
		},
		{
			name: "the first neighbor is silent, the second serves",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].refuse.Store(true)
				n.carrier.fault = func(address string) (before, after error) {
					if address == "a-2" {
						return nil, context.DeadlineExceeded
					}
					return nil, nil
				}
			},
			left:    3 * time.Second,
			want:    manager.VerdictOK,
			stored:  true,
			carried: 2,
		},
		{
			name: "own write without an answer, a neighbor tells",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].silent.Store(true)
			},
			left:    3 * time.Second,
			want:    manager.VerdictOK,
			stored:  true,
			carried: 1,
		},
		{
			name: "own write without an answer, no neighbor tells",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].silent.Store(true)
				n.carrier.fault = func(string) (before, after error) { return manager.ErrNotSent, nil }
			},
			left:    3 * time.Second,
			want:    manager.VerdictUnknown,
			stored:  true,
			carried: 2,
		},
		{
			name: "own write without an answer, a neighbor knows no such key",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].silent.Store(true)
				n.carrier.answer = &manager.Result{
					Verdict: manager.VerdictUnauthorized,
				}
			},
			left:    3 * time.Second,
			want:    manager.VerdictUnknown,
			stored:  true,
			carried: 1,
		},
		{
			name: "the deadline is too close for an attempt",
			prepare: func(n *neighborhoodTest) {
				n.stores["a-1"].refuse.Store(true)
			},
			left: 100 * time.Millisecond,
			want: manager.VerdictUnavailable,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, stop := newNeighborhoodTest(t)
				defer stop()
				tt.prepare(n)
				began := time.Now()
				r := n.daemons["a-1"].Front().Submit(t.Context(), withDeadline(call("k1", "j1", smallJob()), tt.left))
				if r.Verdict != tt.want {
					t.Errorf("got %s (%s), want %s", r.Verdict, r.Reason, tt.want)
				}
				if got := n.carrier.count(); got > tt.carried {
					t.Errorf("%d attempts, want at most %d", got, tt.carried)
				}
				if took := time.Since(began); took > tt.left {
					t.Errorf("answered after %s, beyond the deadline of %s", took, tt.left)
				}
				item, err := n.store.Read(t.Context(), jobkeeper.ProgressKey("j1"))
				if err != nil || (item.Version != 0) != tt.stored {
					t.Errorf("stored: %v, %v; want %v", item.Version != 0, err, tt.stored)
				}
			})
		})
	}
}

// Guards against calls from others that wait for a store which turns this daemon away, too, or that
// are begun while it stops.
func TestDaemonThatCanNotServeRefusesNeighborsAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(n *neighborhoodTest)
	}{
		{
			name:    "turned away",
			prepare: func(n *neighborhoodTest) { n.stores["a-2"].refuse.Store(true) },
		},
		{
			name:    "stopping",
			prepare: func(n *neighborhoodTest) { n.daemons["a-2"].Drain() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, stop := newNeighborhoodTest(t)
				defer stop()
				tt.prepare(n)
				time.Sleep(2 * time.Second)
				before := n.stores["a-2"].commits.Load()
				r := n.daemons["a-2"].Front().ServeNeighbor(t.Context(), manager.CallSubmit, withDeadline(call("k1", "j1", smallJob()), 3*time.Second))
				if r.Verdict != manager.VerdictUnavailable || n.stores["a-2"].commits.Load() != before {
					t.Errorf("got %s (%s) and %d writes, want a refusal without one", r.Verdict, r.Reason, n.stores["a-2"].commits.Load()-before)
				}
			})
		})
	}
}
