package manager_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// fakeTargets runs each task for a fixed time and lists its end.
type fakeTargets struct {
	mu        sync.Mutex
	start     time.Time
	runs      map[uint64]orchestrator.Run
	ended     []orchestrator.End
	lastEnd   uint64
	starts    map[string]int
	startedAt map[uint64]time.Time
	// extended is when a lease was last extended.
	extended time.Time
	// duration is how long a task takes.
	duration time.Duration
}

func newFakeTargets() *fakeTargets {
	return &fakeTargets{
		start:     time.Now(),
		runs:      map[uint64]orchestrator.Run{},
		starts:    map[string]int{},
		startedAt: map[uint64]time.Time{},

		duration: 300 * time.Millisecond,
	}
}

// startCounts returns how often each task started.
func (t *fakeTargets) startCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.starts)
}

// extendedAt returns when a lease was last extended.
func (t *fakeTargets) extendedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.extended
}

func (t *fakeTargets) clock() int64 { return time.Since(t.start).Milliseconds() + 1 }

func (t *fakeTargets) Order(_ context.Context, o orchestrator.Order) (orchestrator.Outcome, int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Kind == orchestrator.KindStart {
		t.starts[o.Task.String()]++
		t.startedAt[o.Run] = time.Now()
		t.runs[o.Run] = orchestrator.Run{
			Task: o.Task,
			Run:  o.Run,
		}
		time.AfterFunc(t.duration, func() { t.end(o) })
	}
	return orchestrator.OutcomeOK, t.clock(), nil
}

func (t *fakeTargets) end(o orchestrator.Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, o.Run)
	t.lastEnd++
	t.ended = append(t.ended, orchestrator.End{
		Number: t.lastEnd,
		Task:   o.Task,
		Run:    o.Run,
		How:    orchestrator.EndDone,
	})
}

func (t *fakeTargets) List(ctx context.Context, request orchestrator.ListRequest) (orchestrator.Listing, error) {
	select {
	case <-ctx.Done():
		return orchestrator.Listing{}, ctx.Err()
	case <-time.After(min(request.Wait, 20*time.Millisecond)):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if request.DeadlineMS > 0 {
		t.extended = time.Now()
	}
	l := orchestrator.Listing{
		ClockMS:       t.clock(),
		StartedUnixMS: 1,
	}
	for run, r := range t.runs {
		r.Percent = int(100 * time.Since(t.startedAt[run]) / t.duration)
		l.Running = append(l.Running, r)
	}
	kept := t.ended[:0]
	for _, e := range t.ended {
		if e.Number > request.Acknowledged {
			kept = append(kept, e)
		}
	}
	t.ended = kept
	l.Ended = append(l.Ended, kept...)
	return l, nil
}

// faultyStore is a store whose calls can fail.
type faultyStore struct {
	*storer.Memory
	mu sync.Mutex
	// fault returns the errors of a call: before is returned instead of executing it, after
	// instead of its answer.
	fault func(call string, t storer.Transaction) (before, after error)
}

func (s *faultyStore) setFault(f func(call string, t storer.Transaction) (before, after error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *faultyStore) faults(call string, t storer.Transaction) (before, after error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return nil, nil
	}
	return s.fault(call, t)
}

func (s *faultyStore) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	before, after := s.faults("commit", t)
	if before != nil {
		return 0, before
	}
	version, err := s.Memory.Commit(ctx, t)
	if after != nil && err == nil {
		return 0, after
	}
	return version, err
}

func (s *faultyStore) ScanPages(ctx context.Context, prefix string, page func([]storer.Item)) (storer.Version, error) {
	if before, _ := s.faults("scan "+prefix, storer.Transaction{}); before != nil {
		return 0, before
	}
	return s.Memory.ScanPages(ctx, prefix, page)
}

func (s *faultyStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if before, _ := s.faults("follow "+prefix, storer.Transaction{}); before != nil {
		return storer.Changes{}, before
	}
	return s.Memory.WatchPrefix(ctx, prefix, after, wait)
}

func (s *faultyStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if before, _ := s.faults("renew", storer.Transaction{}); before != nil {
		return before
	}
	return s.Memory.Renew(ctx, id)
}

// installation is a store with a configuration, one target and daemons.
type installation struct {
	t       *testing.T
	store   *faultyStore
	targets *fakeTargets
	fleet   *fakeFleet         // used instead of targets if set
	cells   partitioner.Config // of daemons that start
	vms     manager.VMService
	client  manager.TargetClient // used instead of fleet if set
	schema  manager.StoreSchema
	adviser manager.Adviser
	carrier *fakeCarrier // lets daemons that start hand calls to each other, if set
	version int64
	// wrapStore, if set, replaces the store of daemons that start.
	wrapStore func(storer.TransactionalStore) storer.TransactionalStore
	// suspended is the time for which the daemons were suspended. Their clocks count it, their
	// timers do not.
	suspended atomic.Int64
}

func newInstallation(t *testing.T) *installation {
	i := &installation{
		t: t,
		store: &faultyStore{
			Memory: storer.NewMemory(),
		},
		targets: newFakeTargets(),
	}
	i.configure(map[string]string{
		"k1": "schools",
	})
	i.put("targets/t1", "x")
	return i
}

// fakeFleet has one fakeTargets for each target.
type fakeFleet struct {
	mu      sync.Mutex
	targets map[string]*fakeTargets
	cut     map[string]bool // targets that can't be reached
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		targets: map[string]*fakeTargets{},
		cut:     map[string]bool{},
	}
}

func (f *fakeFleet) target(id string) *fakeTargets {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets[id] == nil {
		f.targets[id] = newFakeTargets()
	}
	return f.targets[id]
}

func (f *fakeFleet) setCut(cut bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.cut[id] = cut
	}
}

func (f *fakeFleet) isCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[id]
}

// startCounts returns how often each task started, on any target.
func (f *fakeFleet) startCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := map[string]int{}
	for _, t := range f.targets {
		for task, n := range t.startCounts() {
			sum[task] += n
		}
	}
	return sum
}

var errCut = errors.New("target can't be reached")

func (f *fakeFleet) Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, int64, error) {
	if f.isCut(o.Target.ID) {
		return orchestrator.OutcomeRefused, 0, errCut
	}
	return f.target(o.Target.ID).Order(ctx, o)
}

func (f *fakeFleet) List(ctx context.Context, request orchestrator.ListRequest) (orchestrator.Listing, error) {
	if f.isCut(request.Target.ID) {
		return orchestrator.Listing{}, errCut
	}
	return f.target(request.Target.ID).List(ctx, request)
}

// newDividedInstallation returns an installation with two targets in each of the zones a and
// b, whose daemons divide the fleet into a cell for each zone.
func newDividedInstallation(t *testing.T) (*installation, *fakeFleet) {
	i := &installation{
		t: t,
		store: &faultyStore{
			Memory: storer.NewMemory(),
		},
		fleet: newFakeFleet(),
		cells: partitioner.Config{
			CellTargets: 2,
		},
	}
	i.configure(map[string]string{
		"k1": "schools",
	})
	for _, zone := range []string{"a", "b"} {
		i.put("targets/"+zone+"1", zone)
		i.put("targets/"+zone+"2", zone)
	}
	return i, i.fleet
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

// configure writes a configuration with the keys, and with the routes if there are any.
func (i *installation) configure(keys map[string]string, routes ...manager.Route) {
	i.t.Helper()
	i.version++
	data, err := json.Marshal(testConfig{
		Version: i.version,
		Keys:    keys,
		Routes:  routes,
	})
	if err != nil {
		i.t.Fatal(err)
	}
	i.put("operators/config", string(data))
}

// newServingInstallation returns an installation with one daemon that has taken over, the
// daemon, and a function that stops it.
func newServingInstallation(t *testing.T) (*installation, *manager.Manager, func()) {
	i := newInstallation(t)
	m, stop := i.start("a")
	time.Sleep(time.Second)
	return i, m, stop
}

// start runs a daemon and returns a function that stops it. The name begins with its
// availability zone.
func (i *installation) start(name string) (*manager.Manager, func()) {
	began := time.Now()
	var targets manager.TargetClient = i.targets
	if i.fleet != nil {
		targets = i.fleet
	}
	if i.client != nil {
		targets = i.client
	}
	if i.schema == nil {
		i.schema = testSchema{}
	}
	var store storer.TransactionalStore = i.store
	if i.wrapStore != nil {
		store = i.wrapStore(store)
	}
	var neighbors *manager.NeighborConfig
	if i.carrier != nil {
		neighbors = &manager.NeighborConfig{
			Address: name,
			Zones:   []string{"a", "b"},
			Carrier: i.carrier,
		}
	}
	m := manager.New(manager.Config{
		Name:             name,
		Neighbors:        neighbors,
		AvailabilityZone: name[:1],
		Cells:            i.cells,

		Logger:  hclog.NewNullLogger(),
		Store:   store,
		Schema:  i.schema,
		Targets: targets,
		VMs:     i.vms,
		Adviser: i.adviser,
		Clock:   func() time.Duration { return time.Since(began) + time.Hour + time.Duration(i.suspended.Load()) },
		UnixMS:  func() int64 { return time.Now().UnixMilli() },
		Bounds: manager.Bounds{
			MaxTargetLease:  6 * time.Second,
			StopTime:        200 * time.Millisecond,
			Retention:       time.Minute,
			RemoteFactor:    1.5,
			VMHandoverDelay: 3 * time.Second,
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
