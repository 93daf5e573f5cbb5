package rebalancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func policies() map[string]MovePolicy {
	return map[string]MovePolicy{
		"none":       NoMoves{},
		"threshold":  Threshold{High: 1, Low: 0.7},
		"hysteresis": &Hysteresis{MoveDelay: 5 * time.Second, ReturnDelay: time.Minute, MoveCost: 5},
		"break_even": &BreakEven{MoveCost: 20},
	}
}

// Guards against moves of VMs that the spare pool does not have or that were not
// borrowed, pools below their minimum, and moves in both directions for a pool in one round.
func TestMovesRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for name, p := range policies() {
			in := Observation{Spare: rapid.IntRange(0, 8).Draw(t, "spare")}
			for i := range 3 {
				in.Pools = append(in.Pools, Pool{
					Name:    fmt.Sprint(i),
					VMs:     rapid.IntRange(0, 12).Draw(t, "vms"),
					MinVMs:  rapid.IntRange(0, 6).Draw(t, "min"),
					VMSlots: 8,
				})
			}
			now := start
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "passed")) * time.Second)
				for i := range in.Pools {
					in.Pools[i].Demand = rapid.Float64Range(0, 300).Draw(t, "demand")
				}
				lent, returned := map[string]bool{}, map[string]bool{}
				for _, m := range p.Decide(now, in) {
					var i int
					if _, err := fmt.Sscan(m.Pool, &i); err != nil {
						t.Fatal(err)
					}
					pool := &in.Pools[i]
					if m.Return {
						returned[m.Pool] = true
						pool.Borrowed--
						pool.VMs--
						if pool.Borrowed < 0 || pool.VMs < pool.MinVMs {
							t.Fatalf("%s: pool %+v returned a VM that it must keep", name, *pool)
						}
						continue // returned VMs are lent in a later round at the earliest
					}
					lent[m.Pool] = true
					in.Spare--
					pool.Borrowed++
					pool.VMs++
					if in.Spare < 0 {
						t.Fatalf("%s: more VMs lent than the spare pool has", name)
					}
				}
				for id := range returned {
					in.Spare++
					if lent[id] {
						t.Fatalf("%s: pool %s borrows and returns VMs in one round", name, id)
					}
				}
			}
		}
	})
}

// Guards against moves for short peaks, against lasting peaks without a move and against
// borrowed VMs that are never returned.
func TestPoliciesFollowLastingChanges(t *testing.T) {
	tests := []struct {
		name  string
		quick bool // moves for a peak of 2 s
		lends bool
	}{
		{"none", false, false},
		{"threshold", true, true},
		{"hysteresis", false, true},
		{"break_even", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := Observation{Spare: 4, Pools: []Pool{{Name: "a", VMs: 10, VMSlots: 8}}}
			p := policies()[tt.name]
			now := start
			run := func(d time.Duration, demand float64) {
				in.Pools[0].Demand = demand
				for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
					for _, m := range p.Decide(now, in) {
						step := 1
						if m.Return {
							step = -1
						}
						in.Spare -= step
						in.Pools[0].VMs += step
						in.Pools[0].Borrowed += step
					}
				}
			}
			run(2*time.Second, 110)
			if got := in.Pools[0].Borrowed > 0; got != tt.quick {
				t.Errorf("a peak of 2 s moved VMs: %v, want %v", got, tt.quick)
			}
			run(time.Second, 40)
			run(time.Minute, 110)
			if got := in.Pools[0].Borrowed == 4; got != tt.lends {
				t.Errorf("all spare VMs lent to a lasting peak: %v, want %v", got, tt.lends)
			}
			run(10*time.Minute, 40)
			if in.Pools[0].Borrowed != 0 {
				t.Errorf("%d borrowed VMs were not returned", in.Pools[0].Borrowed)
			}
		})
	}
}

// Guards against spare VMs that go to one pool while another is more overloaded.
func TestSpareVMsGoToTheMostOverloadedPool(t *testing.T) {
	in := Observation{Spare: 3, Pools: []Pool{
		{Name: "a", VMs: 10, VMSlots: 8, Demand: 96},
		{Name: "b", VMs: 5, VMSlots: 8, Demand: 80},
	}}
	lent := map[string]int{}
	for _, m := range (Threshold{High: 1}).Decide(start, in) {
		lent[m.Pool]++
	}
	if lent["b"] != 3 {
		t.Fatalf("lent %v, want all to b, whose demand is twice its capacity", lent)
	}
}

// Guards against moves back and forth when short peaks or short troughs follow each other.
func TestHysteresisIgnoresShortPeaksAndTroughs(t *testing.T) {
	tests := []struct {
		name     string
		borrowed int
		demand   float64 // for 2 s in each 12 s
		between  float64
	}{
		{"peaks", 0, 160, 40},
		{"troughs", 2, 40, 90},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := policies()["hysteresis"]
			in := Observation{Spare: 8, Pools: []Pool{{Name: "a", VMs: 10 + tt.borrowed, VMSlots: 8, Borrowed: tt.borrowed}}}
			for step := range 600 {
				in.Pools[0].Demand = tt.between
				if step%24 >= 20 {
					in.Pools[0].Demand = tt.demand
				}
				if moves := p.Decide(start.Add(time.Duration(step)*500*time.Millisecond), in); len(moves) > 0 {
					t.Fatalf("moves %v after %d s", moves, step/2)
				}
			}
		})
	}
}

func ExampleHysteresis() {
	p := &Hysteresis{MoveDelay: 5 * time.Second, ReturnDelay: time.Minute, MoveCost: 5}
	in := Observation{Spare: 8, Pools: []Pool{{Name: "quotes", VMs: 10, VMSlots: 8, Demand: 95}}}
	now := time.Unix(0, 0)
	for range 4 {
		fmt.Println(p.Decide(now, in))
		now = now.Add(2500 * time.Millisecond)
	}
	// Output:
	// []
	// []
	// [{quotes false} {quotes false}]
	// [{quotes false} {quotes false}]
}
