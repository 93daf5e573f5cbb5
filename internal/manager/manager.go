// Package manager runs an entry daemon on a platform that keeps its state in a
// transactional store.
//
// Every daemon takes jobs from callers and answers for them (Front). One of them
// at a time owns the fleet and orders the targets (owner). They exchange nothing
// directly: accepted jobs, progress and the state of the queues are in the store.
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

// Keys of the store that the daemons share beside jobs.
const (
	controlPrefix = "control/"
	ownerKey      = controlPrefix + "owner"
	rosterKey     = controlPrefix + "roster"
	queuesKey     = controlPrefix + "queues"
	wavePrefix    = controlPrefix + "wave/"
)

// Directory reads what the platform and its operators keep in the store.
type Directory interface {
	// OperatorPrefix covers the configuration and the waves.
	OperatorPrefix() string
	// ConfigurationKey holds the configuration.
	ConfigurationKey() string
	// TargetPrefix covers the registrations of targets.
	TargetPrefix() string
	// Configuration reads a configuration.
	Configuration(data []byte) (*Configuration, error)
	// Registration reads the registration of a target.
	Registration(item storer.Item) (orchestrator.Registration, error)
	// TargetID returns the target that a key under TargetPrefix is of.
	TargetID(key string) string
	// Wave reads a request for maintenance; ok is false if the key holds none.
	Wave(item storer.Item) (wave orchestrator.Wave, ok bool, err error)
	// WaveStatus returns what operators read of a wave.
	WaveStatus(state orchestrator.WaveState) (storer.Put, error)
}

// Targets carries orders to targets.
type Targets interface {
	// Order carries out a start, a stop or a change of pace.
	Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, int64, error)
	// List extends the lease and returns the lists of a target.
	List(ctx context.Context, plan orchestrator.HoldPlan) (orchestrator.Listing, error)
}

// VMs is the platform's service for VMs.
type VMs interface {
	List(ctx context.Context) ([]orchestrator.VM, error)
	// Order carries out a move or an upkeep in the name of the holder.
	Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, error)
}

// Adviser knows which targets may run a step.
type Adviser interface {
	Ask(ctx context.Context, q orchestrator.Question) (tickets map[string]string, validity time.Duration, err error)
}

// Config configures a Manager.
type Config struct {
	Name      string
	Logger    hclog.Logger
	Store     storer.TransactionalStore
	Directory Directory
	Targets   Targets
	VMs       VMs     // nil where VMs can't be moved
	Adviser   Adviser // nil where nothing is advised
	// Clock is a steady clock that counts suspension. Wall is the Unix time in ms.
	Clock  func() time.Duration
	Wall   func() int64
	Bounds Bounds
	// Recorder takes the metrics; nil for none.
	Recorder *recorder.Recorder
	// Handicap delays this daemon's attempts to become the owner.
	Handicap time.Duration
	// First is true if no owner can have come before.
	First bool
}

// Bounds are the times that the platform and its users state.
type Bounds struct {
	MaxHold           time.Duration // longest lease that a target grants
	StopTime          time.Duration // longest time that a stopped task takes
	EarlyStart        time.Duration // how early an occurrence may start
	Retention         time.Duration // how long the state of an ended job is shown
	RemoteFactor      float64       // slowdown of tasks away from their data
	PaceDelay         time.Duration // time until a change of pace works
	DutyLease         time.Duration // time that separates orders of two holders for VMs
	ConfigApply       time.Duration // time in which a configuration has to be in force
	MinLease          time.Duration // shortest lease of the store
	VMOrdersPerSecond float64       // rate at which the platform takes orders for VMs; zero if not stated
}

// staleAfter returns the age at which knowledge of the configuration is stale.
func (b Bounds) staleAfter() time.Duration {
	if b.ConfigApply <= 0 {
		return staleAfter
	}
	return min(staleAfter, time.Duration(staleShare*float64(b.ConfigApply)))
}

// holdTime returns the lease to ask for at targets.
func (b Bounds) holdTime() time.Duration { return min(holdTime, b.MaxHold-holdReserve) }

// Times of the daemon.
const (
	// ownerTTL is the lease of the owner; a lost owner is replaced after it at the latest.
	ownerTTL = 1500 * time.Millisecond
	// storeTimeout bounds a call to the store; a slow store answers in a quarter of a second.
	storeTimeout = 700 * time.Millisecond
	// holdTime is the lease asked for at targets. It outlasts a takeover and an outage
	// of the store of four seconds, and bounds how long the tasks of a cut target block.
	holdTime = 5800 * time.Millisecond
	// staleAfter is the age at which knowledge of the configuration no longer justifies
	// answers, if the users do not ask for less.
	staleAfter = 1500 * time.Millisecond
	// staleShare is the part of the time in which a configuration has to be in force
	// after which knowledge of it counts as stale.
	staleShare = 0.75
)

// Manager is one daemon.
type Manager struct {
	cfg       Config
	settings  *settings
	operators *follower
	queues    *queueBoard
	board     *follower
	front     *Front
	leading   atomic.Pointer[owner] // set while this daemon is the owner

	mu       sync.Mutex
	draining bool
	resign   context.CancelFunc // ends the ownership and the competition for it
}

// New returns a Manager.
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
		queues:   newQueueBoard(cfg),
	}
	m.operators = newFollower(followerConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("operators"),
		Clock:  cfg.Clock,
		Prefix: cfg.Directory.OperatorPrefix(),
		Wait:   followWait,
		Apply:  m.settings.apply,
	})
	m.board = newFollower(followerConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("queues"),
		Clock:  cfg.Clock,
		Prefix: queuesKey,
		Wait:   time.Second,
		Apply:  m.queues.apply,
	})
	m.front = newFront(cfg, m.settings, m.operators, m.queues)
	return m
}

// Front returns the part that answers callers.
func (m *Manager) Front() *Front { return m.front }

// Ready reports whether this daemon should get new connections.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.draining && m.settings.current() != nil && m.operators.age() < readyAge
}

// readyAge is the age of the last contact with the store at which a daemon reports
// itself as not ready.
const readyAge = 4 * time.Second

// Drain makes the daemon not ready and gives up ownership.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	if m.resign != nil {
		m.resign()
	}
}

// Run works until ctx ends.
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
			Run:  m.operators.run,
		},
		{
			Name: "queues",
			Run:  m.board.run,
		},
		{
			Name: "owner",
			Run:  m.compete,
		},
	}
}

// compete takes part in the election until ctx ends or the daemon drains.
func (m *Manager) compete(stopped context.Context) error {
	ctx, cancel := context.WithCancel(stopped)
	defer cancel()
	m.mu.Lock()
	m.resign = cancel
	if m.draining {
		cancel()
	}
	m.mu.Unlock()
	e := elector.New(elector.Config{
		Store:       m.cfg.Store,
		Logger:      m.cfg.Logger.Named("elector"),
		Key:         ownerKey,
		Name:        m.cfg.Name,
		TTL:         max(ownerTTL, m.cfg.Bounds.MinLease),
		Clock:       m.cfg.Clock,
		Handicap:    m.cfg.Handicap,
		CallTimeout: storeTimeout,
	})
	if err := e.Run(ctx, m.lead); err != nil {
		return err
	}
	<-stopped.Done()
	return nil
}

// lead owns the fleet until ctx ends.
func (m *Manager) lead(ctx context.Context, term elector.Term) {
	o := newOwner(m.cfg, m.settings, m.operators, term)
	m.leading.Store(o)
	defer m.leading.Store(nil)
	if err := o.run(ctx); err != nil {
		m.cfg.Logger.Warn("owner gives up", "fence", uint64(term.Fence), "error", err)
	}
}
