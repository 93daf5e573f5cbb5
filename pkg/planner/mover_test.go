package planner

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// moverFixture has three VMs in pool a and three in a spare pool that must keep one. VM 3
// does not answer.
type moverFixture struct {
	t      *testing.T
	store  *storer.Memory
	faulty *storer.FaultInjector
	mover  *Mover
	now    time.Time
	demand float64
	ids    int
}

func newMoverFixture(t *testing.T) *moverFixture {
	x := &moverFixture{
		t:     t,
		store: storer.NewMemory(),
		now:   start,
	}
	x.faulty = &storer.FaultInjector{Store: x.store}
	settings := Pools{
		"a":     {Region: "r", MinVMs: 1},
		"spare": {Region: "r", Spare: true, MinVMs: 1},
	}
	_, err := Update(t.Context(), x.store, "r", "setup", func(f Fleet) (Fleet, error) {
		var err error
		for i := range 6 {
			pool := []string{"a", "spare"}[i/3]
			if f, err = AddVM(f, start, fmt.Sprint(i), VM{Pool: pool}, settings); err != nil {
				return f, err
			}
		}
		return f, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	x.mover = NewMover(MoverConfig{
		Region: "r",
		Store:  x.faulty,
		Pools:  func() Pools { return settings },
		Policy: configurer.DefaultPolicy,
		Load: func() Load {
			return Load{
				Demand:  map[string]float64{"a": x.demand},
				VMSlots: map[string]int{"a": 8},
				Ready:   func(vm string) bool { return vm != "3" },
			}
		},
		NewID: func() string {
			x.ids++
			return fmt.Sprint("op", x.ids)
		},
	})
	return x
}

func (x *moverFixture) fleet() Fleet {
	item, err := x.store.Get(x.t.Context(), "fleet/r")
	if err != nil {
		x.t.Fatal(err)
	}
	f, err := Decode("r", item.Value)
	if err != nil {
		x.t.Fatal(err)
	}
	return f
}

// run makes a step every second for d at a constant demand, in slots, and returns the
// number of VMs in pool a.
func (x *moverFixture) run(d time.Duration, demand float64) int {
	x.demand = demand
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(time.Second) {
		err := x.mover.Step(x.t.Context(), x.now, x.fleet())
		if err != nil && !errors.Is(err, storer.ErrOutcomeUnknown) {
			x.t.Fatal(err)
		}
	}
	n := 0
	for _, vm := range x.fleet().VMs {
		if vm.Pool == "a" {
			n++
		}
	}
	return n
}

// Guards against a spare pool that lends no VM, against moves for short peaks, against VMs
// that never return or return without having been lent, and against lending a VM that does
// not answer.
func TestMoverLendsAndTakesBack(t *testing.T) {
	x := newMoverFixture(t)
	if n := x.run(3*time.Second, 60); n != 3 {
		t.Errorf("a peak of 3 s: %d VMs, want 3", n)
	}
	if n := x.run(time.Minute, 60); n != 5 {
		t.Errorf("a lasting peak: %d VMs, want 5: the spare pool keeps one", n)
	}
	if pool := x.fleet().VMs["3"].Pool; pool != "spare" {
		t.Errorf("a VM that does not answer was lent to pool %s", pool)
	}
	if n := x.run(10*time.Minute, 0); n != 3 {
		t.Errorf("after the peak: %d VMs, want 3", n)
	}
	for _, id := range []string{"0", "1", "2"} {
		if pool := x.fleet().VMs[id].Pool; pool != "a" {
			t.Errorf("%s is in %s, but was never lent", id, pool)
		}
	}
}

// Guards against operators' weights without an effect.
func TestMoveCostFollowsTheWeights(t *testing.T) {
	cases := []struct {
		name   string
		policy configurer.Policy
		want   float64
	}{
		{
			name:   "default",
			policy: configurer.DefaultPolicy(),
			want:   DefaultMoveCost,
		},
		{
			name: "higher weight of moves",
			policy: configurer.Policy{
				WeightMoves: 4,
				WeightShare: 2,
			},
			want: 2 * DefaultMoveCost,
		},
		{
			name:   "no weight of moves",
			policy: configurer.Policy{WeightShare: 1},
		},
		{
			name:   "no weight of share",
			policy: configurer.Policy{WeightMoves: 1},
			want:   math.Inf(1),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := moveCost(DefaultMoveCost, c.policy); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a move that is made twice, or also for another VM, when its answer was lost
// and the first write took effect.
func TestMoverMakesAMoveOnceWhenItsAnswerIsLost(t *testing.T) {
	x := newMoverFixture(t)
	writes := 0
	x.faulty.After = func(_ context.Context, op storer.Op, _ string) error {
		if op != storer.OpCompareAndSwap {
			return nil
		}
		writes++
		return storer.ErrOutcomeUnknown
	}
	if n := x.run(30*time.Second, 30); n != 4 {
		t.Errorf("%d VMs, want 4: one more is wanted", n)
	}
	if writes != 1 || x.ids != 1 {
		t.Errorf("%d writes with %d operation ids for one move", writes, x.ids)
	}
}

// Guards against a new leaseholder that acts on demand observed in an earlier term.
func TestResetDiscardsObservations(t *testing.T) {
	x := newMoverFixture(t)
	x.run(4*time.Second, 60)
	x.mover.Reset()
	x.now = x.now.Add(time.Minute)
	if n := x.run(4*time.Second, 60); n != 3 {
		t.Errorf("%d VMs after 4 s in the new term, want 3", n)
	}
}
