// Package orchestrator holds the state of the daemon that orders the targets of
// an installation, and decides what each of them runs.
//
// One daemon at a time owns the fleet. Its fencing token is the revision of the
// write that acquired ownership, so targets refuse the orders of an earlier
// owner. Nothing is written before a task starts: the targets' lists of running
// and ended tasks are the truth about what runs, and a new owner reads them
// before it starts anything that they could already be running. Ends are
// recorded before they are acknowledged to the target.
//
// An Engine does no I/O and reads no clock. Inputs are methods; Orders and
// TakeChanges return what is to be carried out. Times are durations on a steady
// clock that also counts suspension. An Engine is not safe for concurrent use.
package orchestrator

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/ejector"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Queue is what the configuration says of a queue.
type Queue struct {
	Name          string
	Pool          string
	Priority      int
	MaxAttempts   int
	StretchFactor float64       // objective of a job relative to its longest chain of work
	TargetLatency time.Duration // added to the objective
	Advised       bool          // only targets that the adviser approves may run a step
	Advice        time.Duration // validity of a ticket of the adviser
}

// Objective returns the time within which a job with the given longest chain of work
// should end.
func (q Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(max(1, q.StretchFactor)*float64(chain)) + q.TargetLatency
}

// Team is what the configuration says of a team.
type Team struct {
	Name   string
	Weight float64             // jobs a second that the team may expect to be served
	Limit  jobkeeper.Resources // zero amounts mean no limit
}

// Pool is what the configuration says of a pool.
type Pool struct {
	Name  string
	Spare bool // its VMs are switched off until they move elsewhere
}

// Configuration is the part of the operators' configuration that the engine needs.
type Configuration struct {
	Queues map[string]Queue
	Teams  map[string]Team
	Pools  map[string]Pool
}

// Config configures an Engine.
type Config struct {
	Logger hclog.Logger
	// Observer is told what happens; nil for nobody.
	Observer Observer
	// Fence is the fencing token of this ownership.
	Fence storer.Version
	// AcquiredAt is the time at which ownership was acquired.
	AcquiredAt time.Duration
	// Hold is the lease that orders ask for at targets.
	Hold time.Duration
	// MaxHold is the longest lease that a target grants.
	MaxHold time.Duration
	// Linger is how long an earlier owner may have extended leases after its right ended.
	Linger time.Duration
	// StopTime is the longest time that a stopped task takes to end.
	StopTime time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// RemoteFactor is the slowdown of tasks away from the rack of their data.
	RemoteFactor float64
	// PaceDelay is the time after which a change of pace has its effect.
	PaceDelay time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// DutyDelay is the time after the acquisition before the first order for a VM, so
	// that orders of two owners do not mix.
	DutyDelay time.Duration
	// VMOrdersPerSecond is the rate at which the platform takes orders for VMs; zero if
	// it is not known.
	VMOrdersPerSecond float64
	// Roster names the targets that the previous owner used.
	Roster []string
	// First is true when no owner came before this one.
	First bool
}

// clockDrift is the greatest difference in rate between the clocks of a target
// and of a daemon; the platform states 2%.
const clockDrift = 0.03

// Engine is the state of the owner.
type Engine struct {
	cfg              Config
	conf             Configuration
	jobs             map[string]*job
	active           []*job // jobs that have not ended, in the order in which they came
	targets          map[string]*target
	pools            map[string]*pool
	usage            map[string]jobkeeper.Resources // reserved by team
	teamBuckets      map[string]*tokenBucket        // by team
	runs             uint64
	orders           []Order
	questions        []Question
	dirty            map[string]bool
	roster           roster
	fleet            *fleet
	moves            movePlan
	plannedAt        time.Duration
	sweptAt          time.Duration
	uncertainByTeam  map[string]jobkeeper.Resources // by team, during one Tick
	unansweredStarts int                            // starts without an answer yet
	byVM             map[string]*target             // targets by VM
	regroupDue       bool                           // the lists of targets by pool are out of date
	waitLoggedAt     time.Duration
	takingOver       bool // tasks may run on targets of the roster that were not listed yet
	stats            Stats
}

// Stats counts what the engine decided since it started.
type Stats struct {
	Starts, Done, Failed, Stopped, Lapsed, Lost, Rejected, Suspected, Moves, Upkeeps int
}

// pool groups the targets that run one application.
type pool struct {
	name    string
	ejector *ejector.Ejector
	targets []*target
	demand  demand
	offered offeredLoad
	// displaced are lasting tasks that have to leave their VMs and have no room elsewhere.
	displaced []unplacedTasks
}

// New returns an Engine without jobs and targets.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:         cfg,
		jobs:        map[string]*job{},
		targets:     map[string]*target{},
		pools:       map[string]*pool{},
		usage:       map[string]jobkeeper.Resources{},
		teamBuckets: map[string]*tokenBucket{},
		dirty:       map[string]bool{},
		fleet:       newFleet(),
		byVM:        map[string]*target{},
		takingOver:  !cfg.First,
	}
	e.roster = newRoster(cfg.Roster)
	if e.cfg.Observer == nil {
		e.cfg.Observer = nopObserver{}
	}
	return e
}

// Configure replaces the configuration.
func (e *Engine) Configure(conf Configuration) {
	e.conf = conf
}

// Orders returns the orders to carry out and forgets them.
func (e *Engine) Orders() []Order {
	orders := e.orders
	e.orders = nil
	return orders
}

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// Tick decides what to start, stop, pace and move now. wallMS is the Unix time.
func (e *Engine) Tick(now time.Duration, wallMS int64) {
	e.uncertainByTeam = nil
	e.regroup()
	e.indexVMs()
	e.expireTargets(now)
	e.completeTakeover(now)
	e.openOccurrences(now, wallMS)
	e.stopStuck(now)
	e.resolveUnconfirmed(now)
	e.pace(now)
	e.maintain(now)
	e.plan(now)
	e.start(now)
	e.rebalance(now)
}

// pool returns the pool with the name, which it creates if needed.
func (e *Engine) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{
			name: name,
			ejector: ejector.New(ejector.Config{
				Consecutive: suspectFailures,
				Base:        suspectBase,
				MaxShare:    suspectShare,
			}),
		}
		e.pools[name] = p
	}
	return p
}

// instant converts a time on the engine's clock for packages that use time.Time.
func instant(now time.Duration) time.Time {
	return time.Unix(0, int64(now))
}
