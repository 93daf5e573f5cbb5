package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

var targetTotal = Room{
	Resources:   runner.Resources{Slots: 8, CPUMillis: 32000, MemoryMB: 64000, Accelerators: 2},
	Connections: 64,
}

var smallNeed = Room{
	Resources:   runner.Resources{Slots: 1, CPUMillis: 1000, MemoryMB: 1000},
	Connections: 1,
}

func newPool(n int) *Placer {
	p := New("az-0")
	for i := range n {
		p.Put(Target{
			ID:               fmt.Sprintf("vm-%d", i),
			Rack:             fmt.Sprintf("rack-%d", i/4),
			AvailabilityZone: fmt.Sprintf("az-%d", i/4%4),
			Total:            targetTotal,
			Usable:           true,
		})
	}
	return p
}

// Guards against targets that are loaded beyond one of their resources, unusable targets
// that receive work, refusals although a target has room, and work outside the entry
// daemon's own availability zone while that has room.
func TestPlaceUsesOnlyTargetsThatFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "targets")
		p := newPool(n)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		used := make([]Room, n)
		usable := make([]bool, n)
		for i := range n {
			usable[i] = rapid.Bool().Draw(t, "usable")
			p.SetUsable(fmt.Sprintf("vm-%d", i), usable[i])
		}
		type run struct {
			at int
			Reservation
		}
		var running []run
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(running) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(running))
				r := running[i]
				p.Release(r.Reservation)
				used[r.at] = plus(used[r.at], r.need, -1)
				running = append(running[:i], running[i+1:]...)
				continue
			}
			need := Need{Room: Room{
				Resources: runner.Resources{
					Slots:        rng.IntN(4),
					CPUMillis:    rng.Int64N(20000),
					MemoryMB:     rng.Int64N(40000),
					Accelerators: rng.IntN(2),
				},
				Connections: rng.IntN(30),
			}}
			fitting, own := 0, 0
			for i := range n {
				if after := plus(used[i], need.Room, 1); usable[i] && !overloaded(after) {
					fitting++
					if i/4%4 == 0 {
						own++
					}
				}
			}
			if p.Fits(&need) != (fitting > 0) {
				t.Fatalf("Fits is wrong with %d fitting targets", fitting)
			}
			r, ok := p.Place(rng, &need)
			if ok != (fitting > 0) {
				t.Fatalf("placed %v with %d fitting targets", ok, fitting)
			}
			if !ok {
				continue
			}
			var at int
			if _, err := fmt.Sscanf(r.Target, "vm-%d", &at); err != nil {
				t.Fatal(err)
			}
			if own > 0 && at/4%4 != 0 {
				t.Fatalf("%s is in another availability zone, although %d targets of the placer's zone fit", r.Target, own)
			}
			used[at] = plus(used[at], need.Room, 1)
			if !usable[at] || overloaded(used[at]) {
				t.Fatalf("%s is unusable or overloaded: %+v", r.Target, used[at])
			}
			running = append(running, run{at, r})
		}
	})
}

func overloaded(used Room) bool {
	return used.Slots > targetTotal.Slots || used.Connections > targetTotal.Connections || used.CPUMillis > targetTotal.CPUMillis ||
		used.MemoryMB > targetTotal.MemoryMB || used.Accelerators > targetTotal.Accelerators
}

func plus(a, b Room, sign int) Room {
	t := targetState{used: a}
	t.reserve(&b, sign)
	return t.used
}

// Guards against a choice of one random target instead of the better of two.
func TestPlaceSpreadsWorkOverTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := newPool(40)
	targets := map[string]int{}
	for range 48 { // 12 of the 40 targets are in the availability zone of the placer
		r, ok := p.Place(rng, &Need{Room: smallNeed})
		if !ok {
			t.Fatal("no target")
		}
		targets[r.Target]++
	}
	for id, n := range targets {
		if n > 5 {
			t.Errorf("target %s has %d of 48 requests, mean 4", id, n)
		}
	}
}

// Guards against a busy rack that receives more work while another is idle.
func TestPlacePrefersTheIdleRackAtEqualLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := New("az-0")
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		p.Put(Target{ID: id, Rack: id[:1], AvailabilityZone: "az-0", Total: targetTotal, Usable: true})
	}
	p.SetUsable("b2", false)
	p.RecordUsage("a1", targetTotal)
	for range 20 {
		r, ok := p.Place(rng, &Need{Room: smallNeed})
		if !ok || r.Target != "b1" {
			t.Fatalf("placed on %q, want b1", r.Target)
		}
		p.Release(r)
	}
}

// Guards against a report that hides the work of other entry daemons or counts the work
// of this one twice.
func TestReportCountsOnlyTheWorkOfOthers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := newPool(1)
	for range 3 {
		if _, ok := p.Place(rng, &Need{Room: smallNeed}); !ok {
			t.Fatal("no target")
		}
	}
	p.RecordUsage("vm-0", Room{Resources: runner.Resources{Slots: 5}})
	placed := 0
	for ok := true; ok; placed++ {
		_, ok = p.Place(rng, &Need{Room: smallNeed})
	}
	if placed-1 != 3 {
		t.Fatalf("placed %d, want 3: 8 slots, 3 of this entry daemon and 2 of others", placed-1)
	}
}

// Guards against reservations on a removed target that lower the load of the next target,
// and against a request that is sent to the target that has refused it.
func TestRemovedAndAvoidedTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := newPool(1)
	old, _ := p.Place(rng, &Need{Room: smallNeed})
	p.Remove("vm-0")
	p.Put(Target{ID: "vm-9", Total: targetTotal, Usable: true})
	if _, ok := p.Place(rng, &Need{Room: smallNeed, Avoid: []string{"vm-9"}}); ok {
		t.Fatal("placed on an avoided target")
	}
	for range 8 {
		if _, ok := p.Place(rng, &Need{Room: smallNeed}); !ok {
			t.Fatal("no target")
		}
	}
	p.Release(old)
	if _, ok := p.Place(rng, &Need{Room: smallNeed}); ok {
		t.Fatal("a stale reservation freed a slot")
	}
}

// Guards against a large request that never finds room while small ones keep coming.
func TestHoldFreesATargetForALargeRequest(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := newPool(2)
	var running []Reservation
	for r, ok := p.Place(rng, &Need{Room: smallNeed}); ok; r, ok = p.Place(rng, &Need{Room: smallNeed}) {
		running = append(running, r)
	}
	large := Need{Room: Room{Resources: targetTotal.Resources}, MayUseHeld: true}
	if held, ok := p.Hold(&large); !ok {
		t.Fatalf("holds %q, %v; want a target", held, ok)
	}
	for _, r := range running {
		p.Release(r)
		if _, ok := p.Place(rng, &large); ok {
			return
		}
		p.Place(rng, &Need{Room: smallNeed})
	}
	t.Fatal("small requests took all room that became free")
}

func ExamplePlacer() {
	p := New("az-a")
	for _, zone := range []string{"az-b", "az-a"} {
		p.Put(Target{
			ID:               "vm-" + zone,
			AvailabilityZone: zone,
			Total:            Room{Resources: runner.Resources{Slots: 1}, Connections: 64},
			Usable:           true,
		})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	need := &Need{Room: Room{Resources: runner.Resources{Slots: 1}, Connections: 1}}
	for range 3 {
		r, ok := p.Place(rng, need)
		fmt.Println(r.Target, ok)
	}
	// Output:
	// vm-az-a true
	// vm-az-b true
	//  false
}

// Guards against heap allocations on the path of every request.
func TestPlaceAllocatesNothing(t *testing.T) {
	p := newPool(310)
	rng := rand.New(rand.NewPCG(1, 2))
	need := &Need{Room: smallNeed}
	if n := testing.AllocsPerRun(100, func() {
		r, _ := p.Place(rng, need)
		p.Release(r)
	}); n != 0 {
		t.Fatalf("%v allocations, want 0", n)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 50, 310} {
		for _, busy := range []string{"half", "one_left"} {
			b.Run(fmt.Sprintf("targets=%d/%s", n, busy), func(b *testing.B) {
				p := newPool(n)
				rng := rand.New(rand.NewPCG(1, 2))
				need := &Need{Room: smallNeed}
				for i := range n * 8 {
					if busy == "half" && i >= n*4 || i == n*8-1 {
						break
					}
					p.Place(rng, need)
				}
				b.ReportAllocs()
				for b.Loop() {
					r, _ := p.Place(rng, need)
					p.Release(r)
				}
			})
		}
	}
}
