package orchestrator

import (
	"maps"
	"slices"
	"time"
)

// Observer is told what the engine decides and learns, for metrics. Its methods must
// not block.
type Observer interface {
	// JobStarted is called with the order for the first task of a job.
	JobStarted(queue, team string, wait time.Duration)
	// JobEnded is called when a job ends.
	JobEnded(queue, team, state string, took time.Duration)
	// TaskOrder is called with the answer to an order for a target.
	TaskOrder(kind, outcome string)
	// VMOrder is called with the answer to an order for a VM.
	VMOrder(kind, outcome string)
	// TaskEnd is called for each listed end.
	TaskEnd(pool, how string)
}

// nopObserver is the Observer of engines that nobody observes.
type nopObserver struct{}

func (nopObserver) JobStarted(string, string, time.Duration)       {}
func (nopObserver) JobEnded(string, string, string, time.Duration) {}
func (nopObserver) TaskOrder(string, string)                       {}
func (nopObserver) VMOrder(string, string)                         {}
func (nopObserver) TaskEnd(string, string)                         {}

// PoolState is what the engine knows of a pool, for metrics. Amounts are in
// thousandths of a core.
type PoolState struct {
	Pool                                   string
	Usable                                 int
	Capacity, Busy, Waiting, Late, Offered int64
}

// PoolStates returns the state of each pool, by name.
func (e *Engine) PoolStates(now time.Duration) []PoolState {
	states := make([]PoolState, 0, len(e.pools))
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[name]
		states = append(states, PoolState{
			Pool:     name,
			Usable:   p.demand.usable,
			Capacity: p.demand.capacityMillicores,
			Busy:     p.demand.busyMillicores,
			Waiting:  p.demand.waitingMillicores,
			Late:     p.demand.lateMillicores,
			Offered:  int64(p.offered.rate(now)),
		})
	}
	return states
}
