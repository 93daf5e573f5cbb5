package orchestrator

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/sequencer"
)

// Observer receives events of the engine, for metrics. Its methods must not block.
type Observer interface {
	// JobStarted is called when the first task of a job is ordered to start. wait is the
	// time since the job was due.
	JobStarted(queue, team string, wait time.Duration)
	// JobEnded is called when a job ends. took is the time since it was accepted.
	JobEnded(queue, team, state string, took time.Duration)
	// JobPredicted is called when a job without a schedule is complete, with the reason for which
	// it was accepted and how its end relates to its objective.
	JobPredicted(queue, admission, timeliness string)
	// TaskOrder is called with the answer to an order for a target.
	TaskOrder(kind, outcome string)
	// VMOrder is called with the answer to an order for a VM.
	VMOrder(kind, outcome string)
	// TaskEnd is called once for each end of a run that a target lists, and with "lost" for each
	// run that ended unlisted with its target.
	TaskEnd(pool, how string)
	// TaskKeptApart is called when a task starts on another target than it would have without
	// regard to interference.
	TaskKeptApart(pool string)
	// VMsAhead is called with the number of VMs that are ordered for the forecast of a pool.
	VMsAhead(pool string, n int)
}

// Admission is the reason for which a job was accepted.
type Admission string

// Jobs are accepted because they are expected to be of use, or to check predictions of the contrary.
const (
	AdmissionUseful Admission = "useful"
	AdmissionProbe  Admission = "probe"
)

// Timeliness relates the end of a job to its objective.
type Timeliness string

// A job is useless to its caller if it ends after sequencer.MaxTotalTimeFactor times its objective.
const (
	OnTime  Timeliness = "on_time"
	Late    Timeliness = "late"
	Useless Timeliness = "useless"
)

// timeliness returns that of a job that took the given time.
func timeliness(took, objective time.Duration) Timeliness {
	switch {
	case took <= objective:
		return OnTime
	case took <= sequencer.MaxTotalTimeFactor*objective:
		return Late
	}
	return Useless
}

type nopObserver struct{}

func (nopObserver) JobStarted(string, string, time.Duration)       {}
func (nopObserver) JobEnded(string, string, string, time.Duration) {}
func (nopObserver) JobPredicted(string, string, string)            {}
func (nopObserver) TaskOrder(string, string)                       {}
func (nopObserver) VMOrder(string, string)                         {}
func (nopObserver) TaskEnd(string, string)                         {}
func (nopObserver) TaskKeptApart(string)                           {}
func (nopObserver) VMsAhead(string, int)                           {}

// PoolState is the state of a pool, for metrics. Usable counts targets that may get new
// work; the other amounts are in thousandths of a core.
type PoolState struct {
	Pool                                   string
	Usable                                 int
	Capacity, Busy, Waiting, Late, Offered int64
	// Forecast is the load that is expected until a VM that is ordered now arrives, and
	// ForecastError its relative error. Both are zero if no cycle is known.
	Forecast      int64
	ForecastError float64
	// HeldTeams is the number of teams with work beyond their share while the pool is full.
	HeldTeams int
}

// Usage returns what the runs of each team reserve, including tasks that may be running on
// targets that were not listed yet. The result is a copy.
func (e *Engine) Usage() map[string]jobkeeper.Resources {
	usage := map[string]jobkeeper.Resources{}
	for team := range e.usage {
		usage[team] = e.teamUsage(team)
	}
	return usage
}

// PoolLoad is the load of a pool, for the placement of jobs in cells.
type PoolLoad struct {
	Pool       string
	Millicores int64         // capacity for tasks that end, which the pool has or can gain soon
	Backlog    time.Duration // time that this capacity needs for the known work
}

// PoolLoads returns the load of each pool that is not a spare pool, sorted by name.
func (e *Engine) PoolLoads(now time.Duration) []PoolLoad {
	var loads []PoolLoad
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		if e.spare(name) {
			continue
		}
		p := e.pools[name]
		capacity := e.planCapacity(p, now)
		loads = append(loads, PoolLoad{
			Pool:       name,
			Millicores: capacity.Millicores + capacity.Coming,
			Backlog:    e.expectedWait(p, now),
		})
	}
	return loads
}

// Racks returns the racks of the registered targets, sorted.
func (e *Engine) Racks() []string {
	racks := map[string]bool{}
	for _, t := range e.targets {
		if t.registered && t.Rack != "" {
			racks[t.Rack] = true
		}
	}
	return slices.Sorted(maps.Keys(racks))
}

// PoolStates returns the state of each pool, sorted by name.
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

			Forecast:      p.forecast.arriving,
			ForecastError: p.forecast.err,
			HeldTeams:     len(p.held),
		})
	}
	return states
}
