// Package manager runs an entry daemon on a platform that keeps its state in a transactional
// store.
//
// Every daemon accepts jobs and answers callers (Front). The fleet is divided into cells; one
// daemon at a time owns a cell and sends orders to its targets (owner). Accepted jobs, progress and
// the state of the cells are in the store. The daemons do not communicate directly, except that one
// which the store turns away hands calls to a neighbor.
package manager

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/internal/supervisor"
	"github.com/comfreyford/comfreyford/pkg/elector"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("manager")

// Keys of the store that the daemons share, apart from those of jobs.
const (
	controlPrefix = "control/"
)

// ownerKey returns the key that holds the name of the owner of a cell.
func ownerKey(cell string) string { return controlPrefix + "owner/" + cell }

// rosterKey returns the key of the targets of a cell that may run something.
func rosterKey(cell string) string { return controlPrefix + "roster/" + cell }

// forecastKey returns the key of the forecast of the load of a cell.
func forecastKey(cell string) string { return controlPrefix + "forecast/" + cell }

// vmOrdersKey returns the key of the VMs of a cell for which its owner gave its last orders.
func vmOrdersKey(cell string) string { return controlPrefix + "vm-orders/" + cell }

// waveStatePrefix is the prefix of the states of the maintenance waves in all cells.
const waveStatePrefix = controlPrefix + "wave/"

// wavePrefix returns the prefix of the states of the maintenance waves in a cell.
func wavePrefix(cell string) string { return waveStatePrefix + cell + "/" }

// StoreSchema knows the keys under which the platform and its operators keep their entries in
// the store, and decodes the entries.
type StoreSchema interface {
	// OperatorPrefix is the prefix of the configuration, the maintenance waves and the
	// evacuations.
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
	// Evacuation decodes a request to evacuate an availability zone; ok is false if the item is
	// none.
	Evacuation(item storer.Item) (zone string, ok bool, err error)
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
	// WorkBytes bounds the memory that the owner of a cell needs for accepted work. Callers are
	// refused beyond it. Zero means no bound.
	WorkBytes int64
	// Recorder takes the metrics; nil for none.
	Recorder *recorder.Recorder
	// ElectionDelay postpones this daemon's attempts to become the owner, so that daemons on
	// stronger VMs come first.
	ElectionDelay time.Duration
	// AvailabilityZone is the zone of this daemon. It owns cells of other zones only if no
	// daemon there does.
	AvailabilityZone string
	// Cells bounds the sizes of cells.
	Cells partitioner.Config
	// Neighbors lets this daemon hand calls to others while the store turns it away; nil for none.
	Neighbors *NeighborConfig
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
	view          *fleetView
	sharedWatch   *prefixWatcher
	owners        *elector.Owners
	ownersWatch   *prefixWatcher
	front         *Front
	advice        *adviserQueue
	neighbors     *neighborhood // nil if calls are not handed on

	mu             sync.Mutex
	draining       bool
	cancelElection context.CancelFunc // ends the ownership and the participation in the elections
	owned          map[string]*owner  // by cell, while this daemon is the owner
	// stalledAt is when this daemon last gave up the ownership of a cell because it could not act.
	stalledAt map[string]time.Duration
}

// New returns a Manager, which does nothing until Run or its Components run.
func New(cfg Config) *Manager {
	if cfg.Recorder != nil {
		cfg.Store = &measuredStore{
			TransactionalStore: cfg.Store,
			recorder:           cfg.Recorder,
		}
	}
	var neighbors *neighborhood
	if cfg.Neighbors != nil {
		neighbors = newNeighborhood(cfg)
		cfg.Store = &observedStore{
			TransactionalStore: cfg.Store,
			router:             neighbors.router,
			clock:              cfg.Clock,
		}
	}
	m := &Manager{
		cfg:       cfg,
		settings:  newSettings(cfg),
		view:      newFleetView(cfg),
		owners:    elector.NewOwners(),
		advice:    newAdviserQueue(cfg),
		neighbors: neighbors,
		owned:     map[string]*owner{},
		stalledAt: map[string]time.Duration{},
	}
	m.operatorWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("operators"),
		Clock:  cfg.Clock,
		Prefix: cfg.Schema.OperatorPrefix(),
		Wait:   watchWait,
		Apply:  m.settings.apply,
	})
	m.sharedWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("shared"),
		Clock:  cfg.Clock,
		Prefix: sharedPrefix,
		Wait:   time.Second,
		Pause:  sharedPause,
		Apply:  m.view.apply,
	})
	m.ownersWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: cfg.Logger.Named("owners"),
		Clock:  cfg.Clock,
		Prefix: ownerKey(""),
		Wait:   time.Second,
		Apply:  m.owners.Apply,
	})
	m.front = newFront(cfg, m.settings, m.operatorWatch, m.view, neighbors)
	return m
}

// Front returns the part that answers callers.
func (m *Manager) Front() *Front { return m.front }

// Ready reports whether this daemon should receive new connections.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	layout, _ := m.view.currentLayout()
	served := m.operatorWatch.age() < maxReadyAge || m.neighbors != nil && m.neighbors.router.ServedWithin(maxReadyAge, m.cfg.Clock())
	return !m.draining && layout != nil && m.settings.current() != nil && served
}

// maxReadyAge is the time since the last contact with the store, or with a neighbor that served a
// call, from which a daemon reports itself as not ready.
const maxReadyAge = 4 * time.Second

// Drain makes the daemon report itself as not ready, gives up the ownership and leaves the
// election.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	if m.neighbors != nil {
		m.neighbors.draining.Store(true)
	}
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
	components := []supervisor.Component{
		{
			Name: "operators",
			Run:  m.operatorWatch.run,
		},
		{
			Name: "shared",
			Run:  m.sharedWatch.run,
		},
		{
			Name: "owners",
			Run:  m.ownersWatch.run,
		},
		{
			Name: "elections",
			Run:  m.runElections,
		},
	}
	if m.neighbors != nil {
		components = append(components, supervisor.Component{
			Name: "neighbors",
			Run:  m.neighbors.run,
		})
	}
	return components
}

const (
	// sharedPause separates two reads of the state that all daemons share, so that reports of
	// many cells cause few calls. It is as long as the time between two reports of a cell.
	sharedPause = publishInterval
	// foreignCellDelay is how long a daemon waits before it tries to become the owner of a
	// cell in another availability zone: longer than a daemon there needs.
	foreignCellDelay = 700 * time.Millisecond
	// ownedCellDelay is how much longer a daemon waits for each cell that it already owns, so
	// that the cells spread over the daemons.
	ownedCellDelay = 300 * time.Millisecond
)

// runElections takes part in the elections of the owners of all cells until the daemon
// drains. It returns when stopped ends.
func (m *Manager) runElections(stopped context.Context) error {
	ctx, cancel := context.WithCancel(stopped)
	defer cancel()
	m.mu.Lock()
	m.cancelElection = cancel
	if m.draining {
		cancel()
	}
	m.mu.Unlock()
	layout, err := m.awaitLayout(ctx)
	if err == nil {
		var elections sync.WaitGroup
		for _, cell := range layout.Cells() {
			elections.Go(func() { m.runElection(ctx, *layout, cell) })
		}
		elections.Wait()
	}
	<-stopped.Done()
	return nil
}

// runElection takes part in the election of the owner of a cell until ctx ends.
func (m *Manager) runElection(ctx context.Context, layout partitioner.Layout, cell string) {
	foreign := !layout.InZone(cell, m.cfg.AvailabilityZone)
	err := elector.New(elector.Config{
		Store:        m.cfg.Store,
		Logger:       m.cfg.Logger.Named("elector"),
		Key:          ownerKey(cell),
		Name:         m.cfg.Name,
		TTL:          max(ownerTTL, m.cfg.Bounds.MinLease),
		Clock:        m.cfg.Clock,
		AttemptDelay: func() time.Duration { return m.attemptDelay(cell, foreign) },
		Owners:       m.owners,
		CallTimeout:  storeTimeout,
	}).Run(ctx, func(ctx context.Context, term elector.Term) {
		guard(m.cfg.Logger, "cell", cell, func() error { //nolint:errcheck // logged; the election goes on
			m.lead(ctx, layout, cell, term)
			return nil
		})
	})
	if err != nil {
		m.cfg.Logger.Error("election ended", "cell", cell, "error", err)
	}
}

// attemptDelay returns how long this daemon waits before it tries to become the owner of a
// cell without one.
func (m *Manager) attemptDelay(cell string, foreign bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := m.cfg.ElectionDelay + time.Duration(len(m.owned))*ownedCellDelay
	if foreign {
		delay += foreignCellDelay
	}
	if at, stalled := m.stalledAt[cell]; stalled && m.cfg.Clock()-at < 2*stalledDelay {
		delay += stalledDelay
	}
	return delay
}

// lead runs the owner of a cell until ctx ends or the owner fails.
func (m *Manager) lead(ctx context.Context, layout partitioner.Layout, cell string, term elector.Term) {
	o := newOwner(m.cfg, m.settings, m.operatorWatch, m.view, m.advice, layout, cell, term)
	m.setOwned(cell, o)
	defer m.setOwned(cell, nil)
	err := o.run(ctx)
	if errors.Is(err, errStalled) {
		m.mu.Lock()
		m.stalledAt[cell] = m.cfg.Clock()
		m.mu.Unlock()
	}
	if err != nil {
		m.cfg.Logger.Warn("owner returned an error", "cell", cell, "fence", uint64(term.Fence), "error", err)
	}
}

func (m *Manager) setOwned(cell string, o *owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o == nil {
		delete(m.owned, cell)
		return
	}
	m.owned[cell] = o
}

// runningOwners returns the owners that run on this daemon, sorted by cell.
func (m *Manager) runningOwners() []*owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners := make([]*owner, 0, len(m.owned))
	for _, cell := range slices.Sorted(maps.Keys(m.owned)) {
		owners = append(owners, m.owned[cell])
	}
	return owners
}
