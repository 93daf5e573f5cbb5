package planner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

var start = time.Unix(1000, 0)

// fakePlatform simulates the platform: reboots take time and may never complete, the list
// of VMs lags, and racks are lost.
type fakePlatform struct {
	t       *rapid.T
	now     time.Time
	store   storer.Store
	vms     map[string]*fakeVM
	listed  []VMStatus
	reboots map[string]int // reboots that took effect, by operation id
}

type fakeVM struct {
	live      bool
	operation string
	pending   string    // operation id of the reboot in progress
	backAt    time.Time // zero: not before operators repair it
}

func (m *fakePlatform) fleet() Fleet {
	item, err := m.store.Get(context.Background(), "fleet/r")
	if err != nil {
		m.t.Fatal(err)
	}
	f, err := Decode("r", item.Value)
	if err != nil {
		m.t.Fatal(err)
	}
	return f
}

func (m *fakePlatform) reboot(id, operation string, hangs bool) {
	if m.reboots[operation] > 0 {
		return // idempotent
	}
	m.reboots[operation]++
	if vm := m.fleet().VMs[id]; vm.State == StateServing || vm.State == StateDraining {
		m.t.Fatalf("%s is rebooted by %s while it is %s", id, operation, vm.State)
	}
	vm := m.vms[id]
	vm.live = false
	vm.pending = operation
	vm.backAt = time.Time{}
	if !hangs {
		vm.backAt = m.now.Add(30 * time.Second)
	}
}

func (m *fakePlatform) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, vm := range m.vms {
		if !vm.live && !vm.backAt.IsZero() && !m.now.Before(vm.backAt) {
			vm.live = true
			if vm.pending != "" {
				vm.operation, vm.pending = vm.pending, ""
			}
		}
	}
}

func (m *fakePlatform) list() []VMStatus {
	var list []VMStatus
	for _, id := range slices.Sorted(maps.Keys(m.vms)) {
		list = append(list, VMStatus{ID: id, Live: m.vms[id].live, Operation: m.vms[id].operation})
	}
	return list
}

// client is the connection of one process to the fake platform. Delayed requests take effect
// when the test runs them.
type client struct {
	m       *fakePlatform
	delayed *[]func()
	rng     *rand.Rand
	outage  *bool // all reboot requests are delayed
	faults  bool
}

func (c client) Reboot(_ context.Context, vm, operation string) error {
	call := func() { c.m.reboot(vm, operation, c.faults && c.rng.IntN(10) == 0) }
	if c.faults && (*c.outage || c.rng.IntN(4) == 0) {
		*c.delayed = append(*c.delayed, call)
		return errors.New("no answer")
	}
	call()
	return nil
}

func (c client) VMs(context.Context) ([]VMStatus, error) { return c.m.listed, nil }

// check fails the test if a committed document has a new drain beyond a budget or in a second
// rack, drains a VM twice for a wave, or does not have every VM in exactly one known pool.
func check(t *rapid.T, before, after Fleet, pools Pools, vms int) {
	perPool := 0
	for name := range pools {
		for _, vm := range after.VMs {
			if vm.Pool == name {
				perPool++
			}
		}
	}
	if perPool != vms || len(after.VMs) != vms {
		t.Fatalf("%d VMs in pools and %d in the document, want %d", perPool, len(after.VMs), vms)
	}
	for id, vm := range after.VMs {
		if vm.State != StateDraining || before.VMs[id].State == StateDraining {
			continue
		}
		if slices.Contains(after.Waves[vm.Wave].Done, id) {
			t.Fatalf("%s is drained twice by %s", id, vm.Wave)
		}
		n := 0
		for other, o := range after.VMs {
			if o.Pool != vm.Pool || o.State == StateServing {
				continue
			}
			n++
			if o.Rack != vm.Rack {
				t.Fatalf("%s is drained while %s of another rack is %s", id, other, o.State)
			}
		}
		if n > pools[vm.Pool].MaxUnavailable {
			t.Fatalf("%s is drained as unavailable VM %d, budget %d", id, n, pools[vm.Pool].MaxUnavailable)
		}
	}
}

func maintenanceEnded(f Fleet) bool {
	for _, w := range f.Waves {
		if !w.final() {
			return false
		}
	}
	for _, vm := range f.VMs {
		if vm.State != StateServing || vm.Operation != "" {
			return false
		}
	}
	return true
}

// Guards against exceeded budgets, VMs without a pool, double drains and reboots of serving
// VMs. Waves and moves race; racks are lost, answers are lost, leases end while their holder
// continues, and holders pause between any two calls. After the faults end, the waves must
// end too.
func TestMaintenanceKeepsBudgetsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		memory := storer.NewMemory()
		m := &fakePlatform{t: t, now: start, store: memory, vms: map[string]*fakeVM{}, reboots: map[string]int{}}
		pools := Pools{
			"a": {Region: "r", MaxUnavailable: 1 + rng.IntN(3)},
			"b": {Region: "r", MaxUnavailable: 1 + rng.IntN(3), MinVMs: 2},
		}
		waves := map[string]configurer.Wave{}
		for i := range 12 {
			id := fmt.Sprintf("vm-%02d", i)
			m.vms[id] = &fakeVM{live: true}
			vm := VM{Pool: []string{"a", "b"}[i%2], Rack: fmt.Sprint("rack-", i/4)}
			if _, err := Update(ctx, memory, "r", "add "+id, func(f Fleet) (Fleet, error) {
				return AddVM(f, start, id, vm, pools)
			}); err != nil {
				t.Fatal(err)
			}
		}
		faults, nested, outage, ids := true, false, false, 0
		newID := func() string { ids++; return fmt.Sprint("op-", ids) }
		var delayed []func()
		drivers := make([]*Driver, 3)
		last := m.fleet()
		store := &storer.FaultInjector{Store: memory}
		// A process may pause right before its write while another one makes a step.
		store.Before = func(_ context.Context, op storer.Op, key string) error {
			if faults && op == storer.OpCompareAndSwap && key == "fleet/r" && !nested && rng.IntN(4) == 0 {
				nested = true
				_ = drivers[rng.IntN(3)].Step(ctx, m.now) // may fail by the injected faults
				nested = false
			}
			if faults && rng.IntN(20) == 0 {
				return storer.ErrUnavailable
			}
			return nil
		}
		store.After = func(_ context.Context, op storer.Op, _ string) error {
			if op == storer.OpCompareAndSwap {
				f := m.fleet()
				check(t, last, f, pools, 12)
				last = f
			}
			if faults && (op == storer.OpCompareAndSwap || op == storer.OpGrant) && rng.IntN(5) == 0 {
				return storer.ErrOutcomeUnknown
			}
			return nil
		}
		for i := range drivers {
			drivers[i] = NewDriver(Config{
				Holder:   fmt.Sprint(i),
				Region:   "r",
				Store:    store,
				Platform: client{m: m, delayed: &delayed, rng: rng, outage: &outage, faults: true},
				Settings: func() Settings { return Settings{Pools: pools, Waves: waves} },
				Idle:     func(string) bool { return rng.IntN(2) == 0 },
				NewID:    newID,
				Limits:   Limits{ReturnTimeout: 40 * time.Second},
			})
		}
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			switch rng.IntN(12) {
			case 7:
				outage = !outage
			case 0:
				waves[fmt.Sprint("wave-", rng.IntN(3))] = configurer.Wave{
					Pool:         []string{"a", "b"}[rng.IntN(2)],
					State:        []configurer.WaveState{configurer.WaveRunning, configurer.WaveRunning, configurer.WavePaused, configurer.WaveAborted}[rng.IntN(4)],
					FailureLimit: 1 + rng.IntN(3),
				}
			case 1: // a rack is lost and comes back
				if rng.IntN(4) == 0 {
					rack := rng.IntN(3)
					for i := rack * 4; i < rack*4+4; i++ {
						vm := m.vms[fmt.Sprintf("vm-%02d", i)]
						vm.live = false
						vm.backAt = m.now.Add(time.Duration(rng.IntN(300)) * time.Second)
					}
				}
			case 2:
				if d := drivers[rng.IntN(3)]; d.lease != 0 { // the lease ends while its holder continues
					_ = memory.Revoke(ctx, d.lease) // may have ended before
				}
			case 3:
				if len(delayed) > 0 {
					i := rng.IntN(len(delayed))
					delayed[i]()
					delayed = slices.Delete(delayed, i, i+1)
				}
			case 4:
				from, to := "a", "b"
				if rng.IntN(2) == 0 {
					from, to = to, from
				}
				_, _ = Update(ctx, store, "r", newID(), func(f Fleet) (Fleet, error) { // the move may be refused
					return Move(f, m.now, fmt.Sprintf("vm-%02d", rng.IntN(12)), from, to, pools)
				})
			case 5, 6:
				m.listed = m.list()
			}
			_ = drivers[rng.IntN(3)].Step(ctx, m.now) // may fail by the injected faults
			m.advance(time.Duration(rng.IntN(10)) * time.Second)
		}
		faults = false
		for name, w := range waves {
			if w.State == configurer.WavePaused {
				w.State = configurer.WaveRunning
				waves[name] = w
			}
		}
		for i, d := range drivers {
			d.cfg.Platform = client{m: m, delayed: &delayed, rng: rng}
			if i > 0 {
				_ = d.Release(ctx)
			}
		}
		for range 2000 {
			m.listed = m.list()
			if maintenanceEnded(m.fleet()) {
				break
			}
			for _, vm := range m.vms { // operators repair VMs whose reboot hangs
				if !vm.live && vm.backAt.IsZero() {
					vm.backAt = m.now
				}
			}
			if err := drivers[0].Step(ctx, m.now); err != nil && !errors.Is(err, ErrNotHolder) {
				t.Fatal(err)
			}
			m.advance(5 * time.Second)
		}
		if f := m.fleet(); !maintenanceEnded(f) {
			t.Fatalf("waves have not ended or VMs are not serving: %+v", f)
		}
	})
}

// Guards against a new leaseholder that drains VMs again whose maintenance the former one had
// begun or finished.
func TestWaveResumesUnderANewLeaseholder(t *testing.T) {
	ctx := context.Background()
	memory := storer.NewMemory()
	m := &fakePlatform{now: start, store: memory, vms: map[string]*fakeVM{}, reboots: map[string]int{}}
	pools := Pools{"a": {Region: "r", MaxUnavailable: 2}}
	for i := range 6 {
		id := fmt.Sprint("vm-", i)
		m.vms[id] = &fakeVM{live: true}
		if _, err := Update(ctx, memory, "r", id, func(f Fleet) (Fleet, error) {
			return AddVM(f, start, id, VM{Pool: "a", Rack: "x"}, pools)
		}); err != nil {
			t.Fatal(err)
		}
	}
	newDriver := func(name string) *Driver {
		ids := 0
		return NewDriver(Config{
			Holder:   name,
			Region:   "r",
			Store:    memory,
			Platform: client{m: m},
			Settings: func() Settings {
				return Settings{Pools: pools, Waves: map[string]configurer.Wave{"w": {Pool: "a", State: configurer.WaveRunning}}}
			},
			Idle:  func(string) bool { return true },
			NewID: func() string { ids++; return fmt.Sprint(name, ids) },
		})
	}
	d := newDriver("d0")
	for step := range 100 {
		if step%7 == 6 { // the leaseholder dies and its lease ends
			if err := memory.Revoke(ctx, d.lease); err != nil {
				t.Fatal(err)
			}
			d = newDriver(fmt.Sprint("d", step))
		}
		m.listed = m.list()
		if err := d.Step(ctx, m.now); err != nil {
			t.Fatal(err)
		}
		m.advance(5 * time.Second)
	}
	if w := m.fleet().Waves["w"]; w.State != WaveFinished || len(w.Done) != 6 || len(m.reboots) != 6 {
		t.Fatalf("wave %+v with reboots %v, want 6 VMs once each", w, m.reboots)
	}
	if err := newDriver("late").Step(ctx, m.now); !errors.Is(err, ErrNotHolder) {
		t.Fatalf("got %v, want %v", err, ErrNotHolder)
	}
}

// Guards against a change that is made twice, or whose result is wrong, after a lost answer.
func TestUpdateResolvesLostAnswers(t *testing.T) {
	ctx := context.Background()
	pools := Pools{"a": {}}
	tests := []struct {
		name  string
		lost  int // number of lost answers
		other int // writes of others before the first write
		down  bool
		want  error
	}{
		{"answer lost once", 1, 0, false, nil},
		{"conflict", 0, 3, false, nil},
		{"conflict in every attempt", 0, 1000, false, ErrContended},
		{"store down after a lost answer", 1, 0, true, storer.ErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := storer.NewMemory()
			store := &storer.FaultInjector{Store: memory}
			down, others := false, 0
			store.Before = func(_ context.Context, op storer.Op, _ string) error {
				if down {
					return storer.ErrUnavailable
				}
				if op == storer.OpCompareAndSwap && others < tt.other {
					others++
					if _, err := Update(ctx, memory, "r", fmt.Sprint("other-", others), func(f Fleet) (Fleet, error) {
						return AddVM(f, start, fmt.Sprint("other-", others), VM{Pool: "a"}, pools)
					}); err != nil {
						t.Error(err)
					}
				}
				return nil
			}
			store.After = func(_ context.Context, op storer.Op, _ string) error {
				if op == storer.OpCompareAndSwap && tt.lost > 0 {
					tt.lost--
					down = tt.down
					return storer.ErrOutcomeUnknown
				}
				return nil
			}
			f, err := Update(ctx, store, "r", "mine", func(f Fleet) (Fleet, error) {
				return AddVM(f, start, "vm", VM{Pool: "a"}, pools)
			})
			if !errors.Is(err, tt.want) || tt.want == nil && len(f.VMs) != tt.other+1 {
				t.Fatalf("got %d VMs, %v; want %d, %v", len(f.VMs), err, tt.other+1, tt.want)
			}
		})
	}
}
