package manager

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/elector"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// tickInterval is the longest time between two decisions.
	tickInterval = 100 * time.Millisecond
	// tickPause is the shortest time between two decisions: what arrives together
	// is decided together.
	tickPause = 6 * time.Millisecond
	// intakePause separates two reads of new jobs.
	intakePause = 10 * time.Millisecond
	// targetsPause separates two reads of registrations; heartbeats make them change often.
	targetsPause = 200 * time.Millisecond
	// freshness is the greatest age of knowledge on which a start may rest: jobs may
	// be cancelled and targets may drain meanwhile.
	freshness = 1700 * time.Millisecond
)

// owner orders the targets during one ownership.
type owner struct {
	cfg       Config
	logger    hclog.Logger
	settings  *settings
	operators *follower
	intake    *follower
	registry  *follower
	term      elector.Term

	mu       sync.Mutex
	engine   *orchestrator.Engine
	holders  map[string]*holder // by target
	settled  chan struct{}      // closed and replaced when ends were recorded
	kicked   chan struct{}
	taken    storer.Version // revision of the configuration that the engine has
	waves    map[int]bool
	states   map[int]*orchestrator.WaveState
	records  map[string]storedProgress
	versions map[string]storer.Version // of keys that only owners write
	workers  sync.WaitGroup
	paused   bool            // decisions wait for newer knowledge
	ctx      context.Context // of the term, for calls that callbacks start
	fail     context.CancelCauseFunc
}

// storedProgress is a record that was read at the start of the term.
type storedProgress struct {
	progress *jobkeeper.Progress
	version  storer.Version
}

func newOwner(cfg Config, settings *settings, operators *follower, term elector.Term) *owner {
	o := &owner{
		cfg:       cfg,
		logger:    cfg.Logger.Named("owner"),
		settings:  settings,
		operators: operators,
		term:      term,
		holders:   map[string]*holder{},
		settled:   make(chan struct{}),
		kicked:    make(chan struct{}, 1),
		waves:     map[int]bool{},
		versions:  map[string]storer.Version{},
	}
	o.intake = newFollower(followerConfig{
		Store:  cfg.Store,
		Logger: o.logger,
		Clock:  cfg.Clock,
		Prefix: jobkeeper.IntakePrefix,
		Wait:   followWait,
		Pause:  intakePause,
		Apply:  o.applyIntake,
	})
	o.registry = newFollower(followerConfig{
		Store:  cfg.Store,
		Logger: o.logger,
		Clock:  cfg.Clock,
		Prefix: cfg.Directory.TargetPrefix(),
		Wait:   followWait,
		Pause:  targetsPause,
		Apply:  o.applyRegistry,
	})
	return o
}

// run takes over and orders until ctx ends or a write shows that another owner came.
func (o *owner) run(ctx context.Context) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	o.ctx = ctx
	o.fail = fail
	if err := o.load(ctx); err != nil {
		return err
	}
	o.spawn(func() { o.intake.run(ctx) }) //nolint:errcheck // ends with ctx
	// The lists of targets mean nothing before the jobs are known: an end of an
	// unknown task would be acknowledged and forgotten.
	select {
	case <-ctx.Done():
	case <-o.intake.loaded:
	}
	o.spawn(func() { o.registry.run(ctx) }) //nolint:errcheck // ends with ctx
	o.spawn(func() { o.decide(ctx) })
	o.spawn(func() { o.record(ctx) })
	o.spawn(func() { o.publish(ctx) })
	if o.cfg.VMs != nil {
		o.spawn(func() { o.watchVMs(ctx) })
	}
	<-ctx.Done()
	o.workers.Wait()
	if !errors.Is(context.Cause(ctx), errDeposed) && !o.entitled() {
		go o.linger(context.WithoutCancel(ctx))
	}
	o.logger.Info("owner stopped", "fence", uint64(o.term.Fence), "stats", o.engine.Stats())
	return context.Cause(ctx)
}

func (o *owner) spawn(f func()) {
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		f()
	}()
}

// entitled reports whether the ownership still holds.
func (o *owner) entitled() bool {
	return o.cfg.Clock() < o.term.ValidUntil()
}

// load reads what the earlier owner left in the store and creates the engine.
func (o *owner) load(ctx context.Context) error {
	startedAt := o.cfg.Clock()
	if err := o.awaitConfiguration(ctx); err != nil {
		return err
	}
	roster, err := o.readRoster(ctx)
	if err != nil {
		return err
	}
	if err := o.readRecords(ctx); err != nil {
		return err
	}
	if err := o.readWaves(ctx); err != nil {
		return err
	}
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
		Hold:              b.holdTime(),
		MaxHold:           b.MaxHold,
		Linger:            lingerTime,
		StopTime:          b.StopTime,
		EarlyStart:        b.EarlyStart,
		RemoteFactor:      b.RemoteFactor,
		PaceDelay:         b.PaceDelay,
		Retention:         b.Retention + retentionReserve,
		DutyDelay:         o.dutyDelay(),
		VMOrdersPerSecond: b.VMOrdersPerSecond,
		Roster:            roster,
		First:             len(roster) == 0,
	})
	o.mu.Lock()
	o.engine = engine
	o.mu.Unlock()
	now, wall := o.cfg.Clock(), o.cfg.Wall()
	for id, r := range o.records {
		if r.progress.State.Ended() {
			o.engine.AddEnded(id, r.progress, r.version, now-time.Duration(max(0, wall-r.progress.EndedMS))*time.Millisecond)
		}
	}
	o.configure()
	o.logger.Info("takeover", "fence", uint64(o.term.Fence), "roster", len(roster), "records", len(o.records), "read_ms", (now - startedAt).Milliseconds())
	return nil
}

const (
	// holdReserve keeps leases below the bound of the platform.
	holdReserve = 200 * time.Millisecond
	// retentionReserve keeps states a little longer than promised.
	retentionReserve = 10 * time.Second
	// dutyReserve is added to the time that separates orders of two holders for VMs.
	dutyReserve = 100 * time.Millisecond
	// dutyRenewal is the greatest age of the last renewal with which an owner gives
	// orders for VMs. The earlier owner's last order is then known to be older than
	// the rest of its lease.
	dutyRenewal = 500 * time.Millisecond
)

// dutyDelay returns how long a new owner waits before its first order for a VM, so
// that orders of two holders do not mix. After an outage of the store the earlier
// owner stopped long ago.
func (o *owner) dutyDelay() time.Duration {
	if o.operators.lostWithin(o.cfg.Bounds.DutyLease) {
		return dutyReserve
	}
	lease := time.Duration((1 - leaseDrift) * float64(ownerTTL))
	return max(0, o.cfg.Bounds.DutyLease-lease+dutyRenewal) + dutyReserve
}

// leaseDrift is the greatest difference in rate between clocks; the platform states 2%.
const leaseDrift = 0.03

// awaitConfiguration waits until attempts and pools of the queues are known.
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

// kick makes the next decision due.
func (o *owner) kick() {
	select {
	case o.kicked <- struct{}{}:
	default:
	}
}

// decide runs the engine until ctx ends.
func (o *owner) decide(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kicked:
		case <-timer.C:
		}
		o.tick(ctx)
		timer.Reset(tickPause)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(tickInterval)
	}
}

// tick decides once if what the owner knows is new enough.
func (o *owner) tick(ctx context.Context) {
	o.configure()
	if !o.entitled() || !o.fresh() {
		o.notePause(true)
		return
	}
	o.notePause(false)
	o.mu.Lock()
	o.engine.Tick(o.cfg.Clock(), o.cfg.Wall())
	orders := o.engine.Orders()
	questions := o.engine.Questions()
	o.mu.Unlock()
	for _, order := range orders {
		o.dispatch(ctx, order)
	}
	for _, q := range questions {
		o.ask(ctx, q)
	}
}

// notePause logs when the owner stops deciding, because what it knows is too old, and
// when it goes on.
func (o *owner) notePause(paused bool) {
	if paused == o.paused {
		return
	}
	o.paused = paused
	o.logger.Warn("decisions paused", "paused", paused, "right_left_ms", (o.term.ValidUntil() - o.cfg.Clock()).Milliseconds(),
		"jobs_age_ms", o.intake.age().Milliseconds(), "targets_age_ms", o.registry.age().Milliseconds(), "configuration_age_ms", o.operators.age().Milliseconds())
}

// fresh reports whether jobs, cancellations, targets and configuration are known
// well enough to start something.
func (o *owner) fresh() bool {
	return o.intake.ready.Load() && o.registry.ready.Load() && o.intake.age() < freshness &&
		o.registry.age() < freshness && o.operators.age() < freshness && o.taken != 0
}

// configure passes a changed configuration and changed waves to the engine.
func (o *owner) configure() {
	conf, waves, _ := o.settings.state()
	if conf == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if conf.revision != o.taken {
		o.taken = conf.revision
		o.engine.Configure(conf.Engine)
	}
	present := map[int]bool{}
	for _, w := range waves {
		present[w.Number] = true
		if !o.waves[w.Number] {
			o.engine.AddWave(w, o.states[w.Number], o.cfg.Clock())
		}
	}
	for number := range o.waves {
		if !present[number] {
			o.engine.RemoveWave(number)
		}
	}
	o.waves = present
}

// ask puts a question to the adviser.
func (o *owner) ask(ctx context.Context, q orchestrator.Question) {
	if o.cfg.Adviser == nil {
		return
	}
	o.spawn(func() {
		askedAt := o.cfg.Clock()
		call, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		tickets, validity, err := o.cfg.Adviser.Ask(call, q)
		o.mu.Lock()
		o.engine.Advised(q, tickets, validity, askedAt, err)
		o.mu.Unlock()
		o.kick()
	})
}

// adviceTimeout bounds a question to the adviser, which answers one at a time.
const adviceTimeout = 2500 * time.Millisecond
