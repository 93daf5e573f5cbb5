package manager_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// spareSchema adds a spare pool to the configuration.
type spareSchema struct {
	testSchema
}

func (s spareSchema) Configuration(data []byte) (*manager.Configuration, error) {
	conf, err := s.testSchema.Configuration(data)
	if err != nil {
		return nil, err
	}
	conf.Engine.Pools["spare"] = orchestrator.Pool{
		Name:  "spare",
		Spare: true,
	}
	return conf, nil
}

// busyVMs refuses all orders, so that each owner has reason to order the same VMs, and notes them.
type busyVMs struct {
	*fakeVMs
	ordersMu sync.Mutex
	orders   []vmOrderAt
}

type vmOrderAt struct {
	vm    string
	fence storer.Version
	at    time.Time
}

func (b *busyVMs) Order(_ context.Context, o orchestrator.Order) (orchestrator.Outcome, error) {
	b.ordersMu.Lock()
	defer b.ordersMu.Unlock()
	b.orders = append(b.orders, vmOrderAt{
		vm:    o.VM,
		fence: o.Fence,
		at:    time.Now(),
	})
	return orchestrator.OutcomeRefused, nil
}

// of returns the orders with the fence.
func (b *busyVMs) of(fence storer.Version) []vmOrderAt {
	b.ordersMu.Lock()
	defer b.ordersMu.Unlock()
	var orders []vmOrderAt
	for _, o := range b.orders {
		if o.fence == fence {
			orders = append(orders, o)
		}
	}
	return orders
}

var errCrashed = errors.New("daemon has crashed")

// crashableStore and crashableVMs fail all calls of a daemon after crashed is set. Nothing that
// the daemon sends after that arrives.
type crashableStore struct {
	storer.TransactionalStore
	crashed *atomic.Bool
}

func (c *crashableStore) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	if c.crashed.Load() {
		return 0, errCrashed
	}
	return c.TransactionalStore.Commit(ctx, t)
}

func (c *crashableStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if c.crashed.Load() {
		return errCrashed
	}
	return c.TransactionalStore.Renew(ctx, id)
}

func (c *crashableStore) Revoke(ctx context.Context, id storer.LeaseID) error {
	if c.crashed.Load() {
		return errCrashed
	}
	return c.TransactionalStore.Revoke(ctx, id)
}

type crashableVMs struct {
	manager.VMService
	crashed *atomic.Bool
	// atOrder is true if the daemon crashes right after its next order has left it.
	atOrder *atomic.Bool
}

func (c *crashableVMs) Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, error) {
	if c.crashed.Load() {
		return orchestrator.OutcomeUnknown, errCrashed
	}
	outcome, err := c.VMService.Order(ctx, o)
	if c.atOrder.Load() {
		c.crashed.Store(true)
	}
	return outcome, err
}

// newBusyInstallation returns an installation of one cell with 150 VMs in a spare pool, whose
// platform is too busy to move any.
func newBusyInstallation(t *testing.T) (*installation, *busyVMs) {
	i, _ := newDividedInstallation(t)
	i.cells.CellTargets = 1000
	i.schema = spareSchema{}
	i.configure(map[string]string{
		"k1": "schools",
	})
	vms := &busyVMs{
		fakeVMs: newFakeVMs("a", "b"),
	}
	for n := range 150 {
		id := fmt.Sprintf("spare-%03d", n)
		vms.vms[id] = orchestrator.VM{
			ID:    id,
			Pool:  "spare",
			State: orchestrator.VMUp,
			Zone:  "a",
			Capacity: jobkeeper.Resources{
				CPUMillis: 1000,
				MemoryMB:  1000,
			},
		}
	}
	return i, vms
}

// submitBacklog submits a job of which the targets of an installation do only a small part before
// the test ends.
func submitBacklog(t *testing.T, m *manager.Manager) {
	t.Helper()
	job := smallJob()
	job.Steps[0].Count = 1000
	job.Steps[0].EstimateMS = 20_000
	if r := m.Front().Submit(t.Context(), call("k1", "backlog", job)); r.Verdict != manager.VerdictOK {
		t.Fatalf("verdict is %s (%s), want ok", r.Verdict, r.Reason)
	}
}

// After a takeover in a burst, the new owner orders VMs at once, but one for which the earlier
// owner may have given an order only after the time that the platform wants between the orders of
// two owners for one VM. Without a record of these orders, it waits with all.
func TestOnlyVMsWithRecentOrdersWaitAfterATakeover(t *testing.T) {
	const handoverDelay = 3 * time.Second
	tests := []struct {
		name    string
		atOrder bool // the first owner crashes at its first order
		// end makes the first owner lose the ownership.
		end func(i *installation, crashed *atomic.Bool, stop func())
		// within is the time from the takeover to the first order.
		within time.Duration
		least  time.Duration
	}{
		{
			name: "orderly stop",
			end: func(_ *installation, _ *atomic.Bool, stop func()) {
				stop()
			},
			within: time.Second,
		},
		{
			name: "crash",
			end: func(_ *installation, crashed *atomic.Bool, _ func()) {
				crashed.Store(true)
			},
			within: time.Second,
		},
		{
			name:    "crash at the first order",
			atOrder: true,
			end:     func(*installation, *atomic.Bool, func()) {},
			within:  time.Second,
		},
		{
			name: "crash while the store is away",
			end: func(i *installation, crashed *atomic.Bool, _ func()) {
				crashed.Store(true)
				i.store.setFault(func(string, storer.Transaction) (before, after error) {
					return storer.ErrUnavailable, nil
				})
				time.Sleep(1400 * time.Millisecond)
				i.store.setFault(nil)
			},
			within: time.Second,
		},
		{
			name: "record not readable",
			end: func(i *installation, crashed *atomic.Bool, _ func()) {
				crashed.Store(true)
				time.Sleep(100 * time.Millisecond)
				i.put("control/vm-orders/fleet", "\xff")
			},
			within: 4 * time.Second,
			least:  handoverDelay,
		},
		{
			name: "report of a release without the record",
			end: func(i *installation, crashed *atomic.Bool, _ func()) {
				crashed.Store(true)
				time.Sleep(100 * time.Millisecond)
				i.put("shared/report/fleet", "\xa0")
			},
			within: 4 * time.Second,
			least:  handoverDelay,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, vms := newBusyInstallation(t)
				crashed, atOrder := &atomic.Bool{}, &atomic.Bool{}
				atOrder.Store(tt.atOrder)
				i.vms = &crashableVMs{
					VMService: vms,
					crashed:   crashed,
					atOrder:   atOrder,
				}
				i.wrapStore = func(s storer.TransactionalStore) storer.TransactionalStore {
					return &crashableStore{
						TransactionalStore: s,
						crashed:            crashed,
					}
				}
				a, stopA := i.start("a-1")
				stopA = sync.OnceFunc(stopA)
				defer stopA()
				time.Sleep(500 * time.Millisecond)
				i.vms, i.wrapStore = vms, nil
				_, stopB := i.start("b-1")
				defer stopB()
				_, first := i.owner("fleet")
				time.Sleep(4 * time.Second)
				submitBacklog(t, a)
				time.Sleep(500 * time.Millisecond)
				before := vms.of(first)
				if len(before) == 0 {
					t.Fatal("the first owner gives no order")
				}
				tt.end(i, crashed, stopA)
				second, takenOverAt := first, time.Now()
				for name := ""; name == "" || second == first; name, second = i.owner("fleet") {
					takenOverAt = time.Now()
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				after := vms.of(second)
				if len(after) == 0 {
					t.Fatal("the second owner gives no order")
				}
				if waited := after[0].at.Sub(takenOverAt); waited > tt.within || waited < tt.least {
					t.Errorf("first order %v after the takeover, want %v to %v", waited, tt.least, tt.within)
				}
				last := map[string]time.Time{}
				for _, o := range vms.of(first) {
					last[o.vm] = o.at
				}
				both := 0
				for _, o := range after {
					if at, ok := last[o.vm]; ok {
						both++
						if apart := o.at.Sub(at); apart < handoverDelay {
							t.Errorf("orders of two owners for %s are %v apart, want at least %v", o.vm, apart, handoverDelay)
						}
					}
				}
				if both == 0 {
					t.Error("the second owner never orders a VM of the first one's orders")
				}
			})
		})
	}
}

// An order for a VM that is not recorded must not leave the owner: the next one would not know of
// it. That the answer to the write is lost is no reason to give up.
func TestVMOrdersAreRecordedFirst(t *testing.T) {
	tests := []struct {
		name   string
		before error // returned instead of writing the record
		after  error // returned instead of the answer to the first write with orders
		orders bool
	}{
		{
			name:   "record can't be written",
			before: storer.ErrUnavailable,
		},
		{
			name:   "answer lost",
			after:  storer.ErrUnavailable,
			orders: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, vms := newBusyInstallation(t)
				i.vms = vms
				a, stop := i.start("a-1")
				defer stop()
				time.Sleep(4 * time.Second)
				failed := false
				i.store.setFault(func(call string, tx storer.Transaction) (before, after error) {
					if call != "commit" || len(tx.Puts) == 0 || !strings.HasPrefix(tx.Puts[0].Key, "control/vm-orders/") {
						return nil, nil
					}
					if tt.after != nil && failed {
						return nil, nil
					}
					failed = true
					return tt.before, tt.after
				})
				submitBacklog(t, a)
				time.Sleep(time.Second)
				_, fence := i.owner("fleet")
				if got := len(vms.of(fence)) > 0; got != tt.orders {
					t.Errorf("%d orders were sent, want some: %v", len(vms.of(fence)), tt.orders)
				}
				i.store.setFault(nil)
				time.Sleep(3 * time.Second)
				if len(vms.of(fence)) == 0 {
					t.Error("no order is sent after the record can be written")
				}
			})
		})
	}
}
