// Package manager runs an entry daemon on a platform that keeps its state in a transactional
// store.
//
// Every daemon accepts jobs and answers callers (Front). One daemon at a time owns the fleet
// and sends orders to the targets (owner). The daemons do not communicate directly: accepted
// jobs, progress and the state of the queues are in the store.
package manager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/internal/supervisor"
	"github.com/comfreyford/comfreyford/pkg/elector"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("manager")

// Keys of the store that the daemons share, apart from those of jobs.
const (
	controlPrefix = "control/"
	ownerKey      = controlPrefix + "owner"
	rosterKey     = controlPrefix + "roster"
	queuesKey     = controlPrefix + "queues"
	wavePrefix    = controlPrefix + "wave/"
)

// StoreSchema knows the keys under which the platform and its operators keep their entries in
// the store, and decodes the entries.
type StoreSchema interface {
	// OperatorPrefix is the prefix of the configuration and the maintenance waves.
	OperatorPrefix() string
	// ConfigurationKey is the key of the configuration.
	ConfigurationKey() string
	// TargetPrefix is the prefix of the registrations of targets.
	TargetPrefix() string
	// Configuration decodes a configuration.
	Configuration(data []byte) (*Configuration, error)
	// Registration decodes the registration of a target.
	Registration(item storer.Item) (orchestrator.Registration, error)
	// TargetID returns the ID of the target whose registration has the key.
	TargetID(key string) string
	// Wave decodes a request for a maintenance wave; ok is false if the item is none.
	Wave(item storer.Item) (wave orchestrator.Wave, ok bool, err error)
	// WaveStatus returns the entry from which operators read the status of a wave.
	WaveStatus(state orchestrator.WaveState) (storer.Put, error)
}

// TargetClient sends orders and list requests to targets.
type TargetClient interface {
	// Order carries out a start, a stop or a change of pace. The second result is the clock of
	// the target in ms.
	Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, int64, error)
	// List extends the lease as requested and returns the lists of running and ended tasks.
	List(ctx context.Context, request orchestrator.ListRequest) (orchestrator.Listing, error)
}

// VMService is the platform's service for VMs.
type VMService interface {
	List(ctx context.Context) ([]orchestrator.VM, error)
	// Order carries out a move or the maintenance (upkeep) of a VM on behalf of the owner.
	Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, error)
}

// Adviser approves the targets on which the tasks of a step may run.
type Adviser interface {
	// Ask returns a ticket for each approved target, by target ID, and how long the tickets
	// are valid.
	Ask(ctx context.Context, q orchestrator.AdviceRequest) (tickets map[string]string, validity time.Duration, err error)
}

// Config configures a Manager.
type Config struct {
	Name    string
	Logger  hclog.Logger
	Store   storer.TransactionalStore
	Schema  StoreSchema
	Targets TargetClient
	VMs     VMService // nil where VMs cannot be moved or maintained
	Adviser Adviser   // nil where targets need no approval
	// Clock is a steady clock that includes time in suspension. UnixMS returns the Unix time
	// in ms.
	Clock  func() time.Duration
	UnixMS func() int64
	Bounds Bounds
	// Recorder takes the metrics; nil for none.
	Recorder *recorder.Recorder
	// ElectionDelay postpones this daemon's attempts to become the owner, so that daemons on
	// stronger VMs come first.
	ElectionDelay time.Duration
	// First is true if no owner can have come before.
	First bool
}

// Bounds are limits and delays that the platform and its users state.
type Bounds struct {
	MaxTargetLease    time.Duration // longest lease that a target grants
	StopTime          time.Duration // longest time that a stopped task takes to end
	EarlyStart        time.Duration // how long before its due time an occurrence may start
	Retention         time.Duration // how long the state of an ended job can be read
	RemoteFactor      float64       // slowdown of tasks away from the rack of their data
	PaceDelay         time.Duration // time until a change of pace takes effect
	VMHandoverDelay   time.Duration // shortest time between the VM orders of two owners
	ConfigApply       time.Duration // time within which a new configuration has to be in force
	MinLease          time.Duration // shortest lease that the store grants
	VMOrdersPerSecond float64       // rate at which the platform accepts orders for VMs; zero if not stated
}

// staleAfter returns the age from which the known configuration is too old to answer callers.
func (b Bounds) staleAfter() time.Duration {
	if b.ConfigApply <= 0 {
		return staleAfter
	}
	return min(staleAfter, time.Duration(staleShare*float64(b.ConfigApply)))
}

// targetLease returns the lease to request from targets.
func (b Bounds) targetLease() time.Duration { return min(targetLease, b.MaxTargetLease-leaseMargin) }

const (
	// ownerTTL is the time to live of the owner's lease. A lost owner is replaced when it
	// expires at the latest.
	ownerTTL = 1500 * time.Millisecond
	// storeTimeout bounds a call to the store; a slow store answers in 250 ms.
	storeTimeout = 700 * time.Millisecond
	// targetLease is the lease requested from targets. It outlasts a takeover and an
	// outage of the store of 4 s, and bounds how long the tasks of an unreachable target wait
	// before they can start elsewhere.
	targetLease = 5800 * time.Millisecond
	// staleAfter is the age from which the known configuration is too old to answer callers,
	// unless Bounds.ConfigApply requires less.
	staleAfter = 1500 * time.Millisecond
	// staleShare is the fraction of Bounds.ConfigApply after which the known configuration is
	// too old.
	staleShare = 0.75
)

// Manager is an entry daemon: it answers callers, and owns the fleet while it is elected.
type Manager struct {
	cfg           Config
	settings      *settings
	operatorWatch *prefixWatcher
	queues        *queueStates
	queueWatch    *prefixWatcher
	front         *Front
	leading       atomic.Pointer[owner] // set while this daemon is the owner

	mu             sync.Mutex
	draining       bool
	cancelElection context.CancelFunc // ends the ownership and the participation in the election
}

// New returns a Manager, which does nothing until Run or its Components run.
func New(cfg Config) *Manager {
	if cfg.Recorder != nil {
		cfg.Store = &measuredStore{
			TransactionalStore: cfg.Store,
			recorder:           cfg.Recorder,
		}
	}
	m := &Manager{
		cfg:      cfg,
		settings: newSettings(cfg),
		queues:   newQueueStates(cfg),
	}
	m.operatorWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("operators"),
		Clock:  cfg.Clock,
		Prefix: cfg.Schema.OperatorPrefix(),
		Wait:   watchWait,
		Apply:  m.settings.apply,
	})
	m.queueWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("queues"),
		Clock:  cfg.Clock,
		Prefix: queuesKey,
		Wait:   time.Second,
		Apply:  m.queues.apply,
	})
	m.front = newFront(cfg, m.settings, m.operatorWatch, m.queues)
	return m
}

// Front returns the part that answers callers.
func (m *Manager) Front() *Front { return m.front }

// Ready reports whether this daemon should receive new connections.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.draining && m.settings.current() != nil && m.operatorWatch.age() < maxReadyAge
}

// maxReadyAge is the time since the last contact with the store from which a daemon reports
// itself as not ready.
const maxReadyAge = 4 * time.Second

// Drain makes the daemon report itself as not ready, gives up the ownership and leaves the
// election.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	if m.cancelElection != nil {
		m.cancelElection()
	}
}

// Run runs the components under a supervisor until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	tree := supervisor.Start(supervisor.Config{
		Logger: m.cfg.Logger.Named("supervisor"),
	}, supervisor.Component{
		Name:     "manager",
		Children: m.Components(),
	})
	<-ctx.Done()
	return tree.Stop()
}

// Components returns the parts of the daemon, for a supervisor.
func (m *Manager) Components() []supervisor.Component {
	return []supervisor.Component{
		{
			Name: "operators",
			Run:  m.operatorWatch.run,
		},
		{
			Name: "queues",
			Run:  m.queueWatch.run,
		},
		{
			Name: "owner",
			Run:  m.runElection,
		},
	}
}

// runElection takes part in the election of the owner until the daemon drains. It returns when
// stopped ends.
func (m *Manager) runElection(stopped context.Context) error {
	ctx, cancel := context.WithCancel(stopped)
	defer cancel()
	m.mu.Lock()
	m.cancelElection = cancel
	if m.draining {
		cancel()
	}
	m.mu.Unlock()
	e := elector.New(elector.Config{
		Store:        m.cfg.Store,
		Logger:       m.cfg.Logger.Named("elector"),
		Key:          ownerKey,
		Name:         m.cfg.Name,
		TTL:          max(ownerTTL, m.cfg.Bounds.MinLease),
		Clock:        m.cfg.Clock,
		AttemptDelay: m.cfg.ElectionDelay,
		CallTimeout:  storeTimeout,
	})
	if err := e.Run(ctx, m.lead); err != nil {
		return err
	}
	<-stopped.Done()
	return nil
}

// lead runs the owner until ctx ends or the owner fails.
func (m *Manager) lead(ctx context.Context, term elector.Term) {
	o := newOwner(m.cfg, m.settings, m.operatorWatch, term)
	m.leading.Store(o)
	defer m.leading.Store(nil)
	if err := o.run(ctx); err != nil {
		m.cfg.Logger.Warn("owner returned an error", "fence", uint64(term.Fence), "error", err)
	}
}
