package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// A burst of short jobs that arrives as the owner changes must not wait for the time that VMs
// with recent orders of the earlier owner have to be left alone.
func TestBurstAtATakeoverGetsVMsAtOnce(t *testing.T) {
	const delay = 3100 * time.Millisecond
	tests := []struct {
		name   string
		known  bool
		recent []string
		// moved is how many VMs have moved after 2 s, which leaves room for the time of a list.
		moved int
		// within is when the burst has ended.
		within time.Duration
	}{
		{
			name:   "orders known, none recent",
			known:  true,
			moved:  2,
			within: 5 * time.Second,
		},
		{
			name:   "orders known, some recent",
			known:  true,
			recent: []string{"vm-s00", "vm-s01", "vm-s02"},
			moved:  2,
			within: 5 * time.Second,
		},
		{
			name:   "orders known, all recent",
			known:  true,
			recent: []string{"vm-s00", "vm-s01", "vm-s02", "vm-s03", "vm-s04", "vm-s05"},
			within: 9 * time.Second,
		},
		{
			name:   "orders not known",
			within: 9 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorldWithSpares(t, 6)
			w.run(3 * time.Second)
			w.vmListInterval = 200 * time.Millisecond
			w.vmOrderDelay = delay
			w.vmOrdersKnown = tt.known
			takenOverAt := w.now
			for _, vm := range tt.recent {
				w.recentVMOrders = append(w.recentVMOrders, orchestrator.RecentVMOrder{
					VM:    vm,
					Until: takenOverAt + delay,
				})
			}
			w.takeOver()
			for n := range 6 {
				w.submit(testJob(fmt.Sprintf("j%d", n), "schools", 2000, 2))
			}
			w.run(2 * time.Second)
			if w.moves < tt.moved || tt.moved == 0 && w.moves > 0 {
				t.Errorf("%d VMs moved in the first 2 s, want %d", w.moves, tt.moved)
			}
			for _, vm := range tt.recent {
				if f := w.targets[vm[len("vm-"):]]; f.Pool != "spare" || f.state != orchestrator.VMUp {
					t.Errorf("%s was ordered before its time", vm)
				}
			}
			ended := func() bool {
				for n := range 6 {
					if w.state(fmt.Sprintf("j%d", n)) != jobkeeper.StateComplete {
						return false
					}
				}
				return true
			}
			if !w.runUntil(tt.within-2*time.Second, ended) {
				t.Errorf("the burst has not ended %v after the takeover", tt.within)
			}
			w.verify()
		})
	}
}

// A VM that the earlier owner has sent to a pool must count there while it moves. If it did not,
// the new owner would order another one for the same shortage.
func TestMoveOfTheEarlierOwnerCounts(t *testing.T) {
	tests := []struct {
		name     string
		recorded bool
		moves    int
	}{
		{
			name:     "recorded",
			recorded: true,
		},
		{
			name:  "not recorded",
			moves: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorldWithSpares(t, 20)
			w.run(3 * time.Second)
			w.vmListInterval = 50 * time.Millisecond
			w.submit(testJob("a", "schools", 3000, 8))
			if !w.runUntil(time.Second, func() bool { return w.moves > 0 }) {
				t.Fatal("the earlier owner moves no VM")
			}
			before := w.moves
			w.vmOrderDelay = 3100 * time.Millisecond
			w.vmOrdersKnown = true
			for _, id := range sortedKeys(w.targets) {
				if f := w.targets[id]; tt.recorded && f.state == orchestrator.VMMoving {
					w.recentVMOrders = append(w.recentVMOrders, orchestrator.RecentVMOrder{
						VM:    f.VM,
						Pool:  "desk",
						Until: w.now + w.vmOrderDelay,
					})
				}
			}
			w.takeOver()
			w.run(w.moveTime)
			if more := w.moves - before; more < tt.moves || tt.recorded && more > 0 {
				t.Errorf("the new owner ordered %d moves after %d of the earlier one, want %d", more, before, tt.moves)
			}
			w.verify()
		})
	}
}

// Targets that a new owner has not listed yet count as missing capacity, for which it must not
// order VMs.
func TestNewOwnerOrdersNoVMsBeforeItKnowsThePools(t *testing.T) {
	w := newWorldWithSpares(t, 6)
	w.addTarget("t1", "desk", cores(8))
	w.run(3 * time.Second)
	w.vmListInterval = 50 * time.Millisecond
	w.vmOrderDelay = 3100 * time.Millisecond
	w.vmOrdersKnown = true
	w.targets["t0"].reachable = false
	w.takeOver()
	w.submit(testJob("a", "schools", 300, 8))
	w.run(500 * time.Millisecond)
	w.targets["t0"].reachable = true
	w.run(time.Second)
	if w.moves > 0 {
		t.Errorf("%d VMs moved for a job for which the pool has room", w.moves)
	}
	w.verify()
}
