// Package orchestrator decides which target runs which task, and when VMs move between
// pools or go into maintenance. It holds the state of the daemon that owns the fleet.
//
// One daemon at a time owns the fleet. Its fencing token is the revision of the
// write that acquired ownership, so targets refuse the orders of an earlier
// owner. Nothing is written before a task starts: the targets' lists of running
// and ended tasks are authoritative, and a new owner reads them before it starts
// anything that they could already be running. The end of a run is recorded in the
// store before it is acknowledged to the target.
//
// An Engine does no I/O and reads no clock. Inputs are methods; Orders, AdviceRequests,
// TakeChanges and TakeWaves return what the caller has to carry out. Times are durations
// on a monotonic clock that also counts suspension. An Engine is not safe for concurrent use.
package orchestrator

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/ejector"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/sequencer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Queue is the configuration of a queue.
type Queue struct {
	Name            string
	Pool            string
	Priority        int
	MaxAttempts     int
	StretchFactor   float64       // objective of a job relative to its critical path; at least 1 is used
	TargetLatency   time.Duration // added to the objective
	AdviceRequired  bool          // a step runs only on targets that the adviser has approved
	AdviceBase      time.Duration // time that the adviser takes for a request, apart from AdvicePerTarget
	AdvicePerTarget time.Duration // time that it takes for each target that the request names
	AdviceValidity  time.Duration // how long an approval of the adviser is valid
}

// adviceDuration returns how long the adviser takes for a request about n targets.
func (q Queue) adviceDuration(n int) time.Duration {
	return q.AdviceBase + time.Duration(n)*q.AdvicePerTarget
}

// Terms returns the settings that a job of the queue keeps.
func (q Queue) Terms() jobkeeper.QueueTerms {
	return jobkeeper.QueueTerms{
		Priority:        q.Priority,
		MaxAttempts:     q.MaxAttempts,
		StretchFactor:   q.StretchFactor,
		TargetLatencyMS: q.TargetLatency.Milliseconds(),
		AdviceRequired:  q.AdviceRequired,

		AdviceBaseMS:      q.AdviceBase.Milliseconds(),
		AdvicePerTargetMS: q.AdvicePerTarget.Milliseconds(),
		AdviceValidityMS:  q.AdviceValidity.Milliseconds(),
	}
}

// Objective returns the time from acceptance within which a job with the given critical
// path should end.
func (q Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(max(1, q.StretchFactor)*float64(criticalPath)) + q.TargetLatency
}

// Team is the configuration of a team.
type Team struct {
	Name   string
	Weight float64             // jobs per second that the team is entitled to; zero for any
	Limit  jobkeeper.Resources // upper limit of its running tasks; zero amounts mean no limit
	// Excluded is true if none of its tasks may start here, because other cells have the
	// whole of its limit.
	Excluded bool
}

// Pool is the configuration of a pool.
type Pool struct {
	Name  string
	Spare bool // its VMs are switched off until they move to another pool
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
	// Observer receives events for metrics; may be nil.
	Observer Observer
	// Fence is the fencing token of this ownership.
	Fence storer.Version
	// AcquiredAt is the time at which ownership was acquired.
	AcquiredAt time.Duration
	// LeaseDuration is the duration of the lease that orders request at targets. The runs of a
	// target end when its lease expires.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that a target grants.
	MaxLeaseDuration time.Duration
	// OutageExtension is how long an earlier owner may go on extending the leases of targets
	// after it lost ownership.
	OutageExtension time.Duration
	// StopTime is the longest time that a stopped task takes to end.
	StopTime time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// RemoteFactor is the slowdown of tasks that run outside the rack of their data.
	RemoteFactor float64
	// PaceDelay is the time until a change of pace takes effect.
	PaceDelay time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// VMOrderDelay is the time between the acquisition of ownership and the first order for
	// a VM, so that the orders of two owners do not overlap. Moves need not wait for it if
	// VMOrdersKnown is true.
	VMOrderDelay time.Duration
	// VMOrdersKnown is true if no earlier owner may have given orders lately for other VMs than
	// those of RecentVMOrders.
	VMOrdersKnown  bool
	RecentVMOrders []RecentVMOrder
	// VMOrdersPerSecond is the rate at which the platform accepts orders for VMs; zero if
	// unknown.
	VMOrdersPerSecond float64
	// Roster names the targets that the previous owner used.
	Roster []string
	// RosterUnknown is true if the roster could not be read. Every target may then be running
	// tasks until the longest lease has expired.
	RosterUnknown bool
	// FirstOwner is true if there was no earlier owner.
	FirstOwner bool
	// IgnoreInterference is true if tasks are placed without regard to which kinds slow each other
	// down, for comparison.
	IgnoreInterference bool
}

// clockDrift bounds the relative difference in rate between the clocks of a target and
// of a daemon; it is above the 2% that the platform states.
const clockDrift = 0.03

// Engine holds the scheduling state of the owner of the fleet.
type Engine struct {
	cfg              Config
	conf             Configuration
	jobs             map[string]*job
	active           []*job // jobs that have not ended, in the order in which they were added
	targets          map[string]*target
	pools            map[string]*pool
	usage            map[string]jobkeeper.Resources // reserved by runs, by team
	teamBuckets      map[string]*tokenBucket        // by team
	durations        durations
	runs             uint64
	orders           []Order
	adviceWanted     []adviceWish
	adviceRequests   []AdviceRequest
	unansweredAdvice int
	adviceByWait     bool // the next request is for the step that has waited longest for one
	dirty            map[string]bool
	given            map[string]givenJob // jobs that other cells run, by ID
	stopping         []*job              // ended jobs that may have runs on targets that were not listed yet
	roster           roster
	fleet            *fleet
	moves            movePlan
	loadForecast     *loadForecast
	plannedAt        time.Duration
	sweptAt          time.Duration
	uncertainByTeam  map[string]jobkeeper.Resources // cached for the duration of a Tick
	unansweredStarts int
	suspects         []*task // tasks with crashes that are weighed
	lapses           map[string]lapse
	strayStarts      map[string][]strayStart // by target
	byVM             map[string]*target
	regroupDue       bool // pool.targets is out of date
	waitLoggedAt     time.Duration
	interference     interference
	takingOver       bool // tasks may be running on roster targets that were not listed yet
	stats            Stats
}

// Stats counts events since the engine was created.
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
	waits   sequencer.Waits // by the last plan
	shares  sequencer.ShareAccount
	held    map[string]*hold // by team
	// forecast is the load that is expected of a recurring one.
	forecast poolForecast
	speed    poolSpeed
	// gangReserved is true if room is kept for a gang in the present round, gangChecks is how
	// many were considered.
	gangReserved bool
	gangChecks   int
	// displaced are long-running tasks that have to leave their VMs and fit on no other target.
	displaced []unplacedTasks
	crashes   []*crash // of its targets, within crashMemory
}

// New returns an Engine for a new owner. It has no jobs and targets until they are added.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:          cfg,
		jobs:         map[string]*job{},
		targets:      map[string]*target{},
		pools:        map[string]*pool{},
		usage:        map[string]jobkeeper.Resources{},
		teamBuckets:  map[string]*tokenBucket{},
		durations:    newDurations(),
		dirty:        map[string]bool{},
		given:        map[string]givenJob{},
		lapses:       map[string]lapse{},
		strayStarts:  map[string][]strayStart{},
		fleet:        newFleet(),
		loadForecast: newLoadForecast(),
		byVM:         map[string]*target{},
		interference: newInterference(),
		takingOver:   !cfg.FirstOwner,
	}
	e.roster = newRoster(cfg.Roster)
	e.inheritVMOrders()
	if e.cfg.Observer == nil {
		e.cfg.Observer = nopObserver{}
	}
	return e
}

// Configure replaces the configuration.
func (e *Engine) Configure(conf Configuration) {
	e.conf = conf
}

// Orders returns and removes the orders that are to be carried out.
func (e *Engine) Orders() []Order {
	orders := e.orders
	e.orders = nil
	return orders
}

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// Tick decides what to start, stop, pace and move now. wallMS is the Unix time in
// milliseconds.
func (e *Engine) Tick(now time.Duration, wallMS int64) {
	e.uncertainByTeam = nil
	e.regroup()
	e.indexVMs()
	e.expireTargets(now)
	e.expireStrays(now)
	e.failCrashLooping(now, wallMS)
	e.completeTakeover(now)
	e.openOccurrences(now, wallMS)
	e.stopStuck(now)
	e.resolveUnconfirmed(now)
	e.reviewInterference(now)
	e.pace(now)
	e.maintain(now)
	e.vacate(now)
	e.plan(now)
	e.start(now)
	e.rebalance(now)
}

// pool returns the pool with the name and creates it if it does not exist.
func (e *Engine) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{
			name: name,
			held: map[string]*hold{},
			ejector: ejector.New(ejector.Config{
				Consecutive: ejectAfterFailures,
				Base:        firstEjection,
				MaxShare:    maxEjectedShare,
			}),
		}
		e.pools[name] = p
	}
	return p
}

// instant converts a time on the engine's clock to a time.Time for the ejector.
func instant(now time.Duration) time.Time {
	return time.Unix(0, int64(now))
}
