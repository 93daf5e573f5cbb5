package manager

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/elector"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// maxTickInterval is the longest time between two decisions.
	maxTickInterval = 100 * time.Millisecond
	// minTickInterval is the shortest time between two decisions, so that events that arrive
	// together are handled by one.
	minTickInterval = 6 * time.Millisecond
	// intakePause separates two reads of new jobs.
	intakePause = 10 * time.Millisecond
	// targetsPause separates two reads of registrations, which change often because of
	// heartbeats.
	targetsPause = 200 * time.Millisecond
	// maxRegistrationBytes bounds the registration of a target, which has some hundred bytes. Another
	// writer may leave entries of any size among them.
	maxRegistrationBytes = 64 << 10
	// maxKnowledgeAge is the age of the known jobs, targets and configuration from which no
	// task is started: meanwhile jobs may have been cancelled and targets may be draining.
	maxKnowledgeAge = 1700 * time.Millisecond
)

// owner sends orders to the targets of a cell during one period of ownership.
type owner struct {
	cfg               Config
	cell              string
	layout            partitioner.Layout
	view              *fleetView
	logger            hclog.Logger
	settings          *settings
	operatorWatch     *prefixWatcher
	intakeWatch       *prefixWatcher
	registrationWatch *prefixWatcher
	term              elector.Term
	advice            *adviserQueue
	capacity          *capacityControl

	mu             sync.Mutex
	engine         *orchestrator.Engine
	targetLoops    map[string]*targetLoop // by target
	recorded       chan struct{}          // closed and replaced when ends of tasks were recorded
	wakeup         chan struct{}
	configRevision storer.Version                  // revision of the configuration that the engine uses
	knownWaves     map[int]bool                    // waves that the engine has, by number
	waveStates     map[int]*orchestrator.WaveState // read at the takeover, by number of the wave
	versions       map[string]storer.Version       // store versions of keys that only owners write
	vmOrders       *vmOrderLog
	vmOrdersKnown  bool // at the takeover, VMs with recent orders of the earlier owner were known
	workers        sync.WaitGroup
	shares         teamShares
	durations      []orchestrator.QueueDurations // learned ones, as they were reported last
	durationsAt    time.Duration
	vmCells        map[string]string // cell of each VM of the fleet; nil before the first list
	unknownZones   map[string]bool   // evacuated zones without a VM, which were logged
	paused         bool              // decisions wait for a newer state of the store
	progressAt     atomic.Int64      // when progress was called last
	ctx            context.Context   // ends with the ownership; for calls that callbacks start
	fail           context.CancelCauseFunc
}

func newOwner(cfg Config, settings *settings, operatorWatch *prefixWatcher, view *fleetView, advice *adviserQueue, layout partitioner.Layout, cell string, term elector.Term) *owner {
	o := &owner{
		cfg:           cfg,
		cell:          cell,
		layout:        layout,
		view:          view,
		logger:        cfg.Logger.Named("owner").With("cell", cell),
		settings:      settings,
		operatorWatch: operatorWatch,
		term:          term,
		advice:        advice,
		capacity:      newCapacityControl(cfg, view),
		targetLoops:   map[string]*targetLoop{},
		recorded:      make(chan struct{}),
		wakeup:        make(chan struct{}, 1),
		knownWaves:    map[int]bool{},
		versions:      map[string]storer.Version{},
		unknownZones:  map[string]bool{},
		vmOrders:      newVMOrderLog(cfg.Bounds.VMHandoverDelay + vmHandoverMargin),
	}
	o.intakeWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: o.logger,
		Clock:  cfg.Clock,
		Prefix: jobkeeper.IntakePrefix(cell),
		Wait:   watchWait,
		Pause:  intakePause,
		Apply:  o.applyIntake,
	})
	o.registrationWatch = newPrefixWatcher(watcherConfig{
		Store:  cfg.Store,
		Logger: o.logger,
		Clock:  cfg.Clock,
		Prefix: cfg.Schema.TargetPrefix(),
		Wait:   watchWait,
		Pause:  targetsPause,
		Apply:  o.applyRegistrations,

		MaxValueBytes: maxRegistrationBytes,
	})
	return o
}

// run takes over the fleet and sends orders until ctx ends or a write shows that another
// daemon is the owner.
func (o *owner) run(ctx context.Context) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	o.ctx = ctx
	o.fail = fail
	o.progress()
	o.spawn(func() { o.giveUpIfStalled(ctx) })
	if err := o.load(ctx); err != nil {
		fail(err)
		o.workers.Wait()
		return context.Cause(ctx)
	}
	o.spawn(func() { o.intakeWatch.run(ctx) }) //nolint:errcheck // ends with ctx
	// Targets are listed only when the jobs are known: the end of an unknown task would be
	// acknowledged and lost.
	select {
	case <-ctx.Done():
	case <-o.intakeWatch.loaded:
	}
	o.spawn(func() { o.registrationWatch.run(ctx) }) //nolint:errcheck // ends with ctx
	o.spawn(func() { o.decide(ctx) })
	o.spawn(func() { o.recordChanges(ctx) })
	o.spawn(func() { o.publishReport(ctx) })
	o.spawn(func() { o.storeForecast(ctx) })
	o.spawn(func() { o.adoptEndedJobs(ctx) })
	if !o.layout.Single() {
		o.spawn(func() { o.planWaves(ctx) })
		o.spawn(func() { o.transferJobs(ctx) })
	}
	if o.cfg.VMs != nil {
		o.spawn(func() { o.watchVMs(ctx) })
		o.spawn(func() { o.recordVMOrders(ctx, o.vmOrdersKnown) })
	}
	<-ctx.Done()
	o.workers.Wait()
	if !errors.Is(context.Cause(ctx), errDeposed) && !o.leaseValid() {
		go o.extendThroughOutage(context.WithoutCancel(ctx))
	}
	o.logger.Info("owner stopped", "fence", uint64(o.term.Fence), "stats", o.engine.Stats())
	return context.Cause(ctx)
}

// spawn runs f in the background. A panic in it ends the ownership: another owner starts from
// the state in the store.
func (o *owner) spawn(f func()) {
	o.workers.Go(func() {
		if err := guard(o.logger, "cell", o.cell, func() error {
			f()
			return nil
		}); err != nil {
			o.fail(err)
		}
	})
}

// locked calls f with the lock, which it releases also after a panic.
func (o *owner) locked(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// leaseValid reports whether the owner's lease is still valid.
func (o *owner) leaseValid() bool {
	return o.cfg.Clock() < o.term.ValidUntil()
}

// withinLease bounds a call by d and by the end of the lease, so that a daemon that is paused
// between the check of its lease and a call does not make the call afterwards. The call may be
// sent only while permitted returns true.
func (o *owner) withinLease(ctx context.Context, d time.Duration, permitted func() bool) (context.Context, context.CancelFunc) {
	return context.WithTimeout(WithPermit(ctx, permitted), min(d, o.term.ValidUntil()-o.cfg.Clock()))
}

// mayOrderVMs reports whether the lease is valid and was renewed recently.
func (o *owner) mayOrderVMs() bool {
	return o.leaseValid() && o.cfg.Clock()-o.term.RenewedAt() < maxRenewalAge
}

// load reads the state that the previous owner left in the store, and creates the engine.
func (o *owner) load(ctx context.Context) error {
	startedAt := o.cfg.Clock()
	if err := o.awaitConfiguration(ctx); err != nil {
		return err
	}
	roster, rosterKnown, err := o.readRoster(ctx)
	if err != nil {
		return err
	}
	if err := o.readWaves(ctx); err != nil {
		return err
	}
	if err := o.readVMOrders(ctx); err != nil {
		return err
	}
	forecast := o.readForecast(ctx)
	b := o.cfg.Bounds
	var observer orchestrator.Observer
	if o.cfg.Recorder != nil {
		observer = o.cfg.Recorder
	}
	engine := orchestrator.New(orchestrator.Config{
		Logger:            o.logger,
		Observer:          observer,
		Fence:             o.term.Fence,
		AcquiredAt:        o.term.AcquiredAt,
		LeaseDuration:     b.targetLease(),
		MaxLeaseDuration:  b.MaxTargetLease,
		OutageExtension:   outageExtension,
		StopTime:          b.StopTime,
		EarlyStart:        b.EarlyStart,
		RemoteFactor:      b.RemoteFactor,
		PaceDelay:         b.PaceDelay,
		Retention:         b.Retention + retentionMargin,
		VMOrderDelay:      o.vmOrderDelay(),
		VMOrdersKnown:     o.vmOrdersKnown,
		RecentVMOrders:    o.vmOrders.recent(),
		VMOrdersPerSecond: b.VMOrdersPerSecond / float64(len(o.layout.Cells())),
		Roster:            roster,
		RosterUnknown:     !rosterKnown,
		FirstOwner:        rosterKnown && len(roster) == 0,
	})
	engine.LoadDurations(o.view.learnedDurations())
	if forecast != nil {
		engine.RestoreForecast(forecast, o.cfg.Clock(), o.cfg.UnixMS())
	}
	o.mu.Lock()
	o.engine = engine
	o.mu.Unlock()
	o.configure()
	o.logger.Info("takeover", "fence", uint64(o.term.Fence), "roster", len(roster), "read_ms", (o.cfg.Clock() - startedAt).Milliseconds())
	return nil
}

const (
	// leaseMargin keeps requested leases below Bounds.MaxTargetLease.
	leaseMargin = 200 * time.Millisecond
	// retentionMargin keeps the states of ended jobs a little longer than promised.
	retentionMargin = 10 * time.Second
	// vmHandoverMargin is added to the time between the VM orders of two owners.
	vmHandoverMargin = 100 * time.Millisecond
	// maxRenewalAge is the greatest age of the last lease renewal at which an owner sends
	// orders for VMs.
	maxRenewalAge = 500 * time.Millisecond
)

// vmOrderDelay returns how long a new owner waits before its first order for any VM, so that the
// orders of two owners do not mix. It is counted from the acquisition, because an owner that
// stops in order may have given an order just before. If the store was unreachable within
// Bounds.VMHandoverDelay, it is only the margin: the previous owner could not renew its lease
// in the outage and is taken to have stopped long ago. The VMs of its last orders, if they are
// known, wait for the whole delay also then.
func (o *owner) vmOrderDelay() time.Duration {
	if o.vmOrdersKnown && o.operatorWatch.failedWithin(o.cfg.Bounds.VMHandoverDelay) {
		return vmHandoverMargin
	}
	return o.cfg.Bounds.VMHandoverDelay + vmHandoverMargin
}

// awaitConfiguration waits for the first configuration, which holds the pools and the maximum
// attempts of queues.
func (o *owner) awaitConfiguration(ctx context.Context) error {
	for {
		conf, _, changed := o.settings.state()
		if conf != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// wake makes decide run the engine without waiting for the rest of maxTickInterval.
func (o *owner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// decide runs the engine periodically, and when woken, until ctx ends.
func (o *owner) decide(ctx context.Context) {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wakeup:
		case <-timer.C:
		}
		o.tick(ctx)
		timer.Reset(minTickInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(maxTickInterval)
	}
}

// tick runs the engine once and sends its orders and advice requests. If the lease has expired
// or the known state is too old, it only applies changes of the configuration and the waves.
func (o *owner) tick(ctx context.Context) {
	fresh := o.fresh() // before configure, which then passes on nothing older
	o.configure()
	if !o.leaseValid() || !fresh {
		o.logPause(true)
		return
	}
	o.logPause(false)
	o.progress()
	var orders []orchestrator.Order
	var requests []orchestrator.AdviceRequest
	o.locked(func() {
		o.engine.Tick(o.cfg.Clock(), o.cfg.UnixMS())
		orders = o.engine.Orders()
		requests = o.engine.AdviceRequests()
	})
	for _, order := range orders {
		o.dispatch(ctx, order)
	}
	for _, q := range requests {
		o.ask(ctx, q)
	}
}

// logPause logs when decisions stop, because the lease has expired or the known state is too
// old, and when they resume.
func (o *owner) logPause(paused bool) {
	if paused == o.paused {
		return
	}
	o.paused = paused
	o.logger.Warn("orders to targets and VMs paused or resumed", "paused", paused, "right_left_ms", (o.term.ValidUntil() - o.cfg.Clock()).Milliseconds(),
		"jobs_age_ms", o.intakeWatch.age().Milliseconds(), "targets_age_ms", o.registrationWatch.age().Milliseconds(), "configuration_age_ms", o.operatorWatch.age().Milliseconds())
}

// fresh reports whether the known jobs, cancellations, targets and configuration are recent
// enough to start tasks.
func (o *owner) fresh() bool {
	return o.intakeWatch.ready.Load() && o.registrationWatch.ready.Load() && o.intakeWatch.age() < maxKnowledgeAge &&
		o.registrationWatch.age() < maxKnowledgeAge && o.operatorWatch.age() < maxKnowledgeAge && o.configRevision != 0
}

// configure passes a changed configuration, evacuations and changed waves to the engine.
func (o *owner) configure() {
	conf, waves, _ := o.settings.state()
	if conf == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyShares(conf)
	o.engine.SetEvacuatedZones(o.settings.evacuatedZones(), o.cfg.Clock())
	o.configRevision = conf.revision
	present := map[int]bool{}
	for _, w := range waves {
		part, ok := o.cellWave(w)
		if !ok {
			continue
		}
		present[w.Number] = true
		if !o.knownWaves[w.Number] || !o.layout.Single() {
			o.engine.AddWave(part, o.waveStates[w.Number], o.cfg.Clock())
		}
	}
	for number := range o.knownWaves {
		if !present[number] {
			o.engine.RemoveWave(number)
		}
	}
	o.knownWaves = present
}

// ask sends a request to the adviser in the background.
func (o *owner) ask(ctx context.Context, q orchestrator.AdviceRequest) {
	o.spawn(func() {
		answer := o.advice.ask(ctx, q)
		o.locked(func() { o.engine.HandleAdvice(answer) })
		o.wake()
	})
}
