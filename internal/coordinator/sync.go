package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	fleetInterval       = time.Second
	maintenanceInterval = time.Second
	memberInterval      = 500 * time.Millisecond
	watchWait           = 30 * time.Second
	fleetPrefix         = "fleet/"
	syncTimeout         = time.Second
	// journalWritesPerSecond is shared by all live entry daemons, so that the load on
	// the key-value service does not grow with their number.
	journalWritesPerSecond = 200
)

// syncConfig keeps the configuration up to date until ctx is done.
func (e *Entry) syncConfig(ctx context.Context) error {
	return runPeriodically(ctx, e.cfg.Settings.ConfigPollInterval, func() {
		if err := e.syncConfigOnce(ctx); err != nil && ctx.Err() == nil {
			e.logger("config").Debug("failed to confirm the newest revision", "error", err)
		}
	})
}

// syncConfigOnce polls the relay. It reads the head from the key-value service if this entry
// daemon is the relay, or if the relay does not confirm the newest revision.
func (e *Entry) syncConfigOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	if relay := e.relay(start); relay != "" {
		if err := e.pollRelay(ctx, relay, start); err == nil {
			e.confirmRevision()
			return nil
		}
	}
	err := e.view.Refresh(ctx, e.store)
	e.registrar.Observe(start, err)
	if err != nil {
		return err
	}
	e.confirmRevision()
	return nil
}

// relay returns the relay of this availability zone, which is the live member with the lowest
// name, or "" if that is this entry daemon.
func (e *Entry) relay(now time.Time) string {
	for _, p := range e.peers.live(now) {
		if p.zone == e.cfg.Settings.AvailabilityZone {
			if p.name < e.cfg.Settings.Name {
				return p.name
			}
			break
		}
	}
	return ""
}

// errUnconfirmed means that the peer itself has not recently confirmed that its revision is
// the newest.
var errUnconfirmed = errors.New("peer has not recently confirmed its revision")

func (e *Entry) pollRelay(ctx context.Context, relay string, start time.Time) error {
	address, err := e.peers.address(relay)
	if err != nil {
		return err
	}
	return e.pollAddress(ctx, address, start)
}

func (e *Entry) pollAddress(ctx context.Context, address string, start time.Time) error {
	answer, err := messenger.Call[pollRequest, pollAnswer](ctx, e.messenger, address, kindPollConfig, pollRequest{
		Revision: e.view.Current().Tree.Revision,
	})
	if err != nil {
		return err
	}
	if err := e.view.Apply(answer.Delta, start); err != nil {
		return err
	}
	if !answer.Delta.Proved || answer.Delta.Age > configurer.StalenessLimit/2 {
		return Error.Wrap(errUnconfirmed)
	}
	return nil
}

// confirmRevision tells the membership the current revision and when it was confirmed to be
// the newest.
func (e *Entry) confirmRevision() {
	state := e.view.Current()
	if state.FreshAsOf.IsZero() {
		return
	}
	e.registrar.Do(func(s *registrar.State, _ time.Time) { s.ObserveHead(state.FreshAsOf, state.Tree.Revision) })
}

// watchConfig watches the head for changes while this entry daemon is the relay, so that they
// arrive sooner than by polling.
func (e *Entry) watchConfig(ctx context.Context) error {
	var known storer.Version
	for ctx.Err() == nil {
		if e.relay(time.Now()) != "" {
			sleeper.Sleep(ctx, e.cfg.Settings.ConfigPollInterval)
			continue
		}
		start := time.Now()
		version, err := e.view.Watch(ctx, e.store, known, watchWait)
		if err != nil {
			if ctx.Err() == nil {
				e.registrar.Observe(start, err)
				sleeper.Sleep(ctx, e.cfg.Settings.ConfigPollInterval)
			}
			continue
		}
		known = version
	}
	return nil
}

// applyConfig applies each new revision to the components that use it.
func (e *Entry) applyConfig(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		state := e.view.Current()
		if state.Tree.Revision > revision {
			revision = state.Tree.Revision
			// Reports already name this revision, so peers refuse promises for an older one.
			// The next poll may come only after the key-value service has become unreachable.
			e.confirmRevision()
			e.applyTree(state.Tree)
			e.logger("config").Info("revision in force", "revision", revision)
		}
		if _, err := e.view.Await(ctx, revision); err != nil {
			return nil
		}
	}
	return nil
}

func (e *Entry) applyTree(tree *configurer.Tree) {
	limits := map[string]int{}
	for name, team := range tree.Teams {
		limits[name] = team.Limit
	}
	e.limits.SetLimits(tree.Revision, limits)
	e.dispatcher.SetWeights(tree)
	e.useKeys(tree)
}

// servePoll answers a poll of another entry daemon.
func (e *Entry) servePoll(_ context.Context, _ string, r pollRequest) (pollAnswer, error) {
	return pollAnswer{
		Delta: e.view.Since(r.Revision, time.Now()),
	}, nil
}

// sendReports periodically reports to all known members and contact peers.
func (e *Entry) sendReports(ctx context.Context) error {
	var r reporter
	return runPeriodically(ctx, e.cfg.Settings.ReportInterval, func() {
		message := e.buildReport(&r)
		for _, address := range e.reportAddresses() {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, syncTimeout)
				defer cancel()
				// A peer that misses a report gets all figures again later.
				_, _ = messenger.Call[report, reportAnswer](ctx, e.messenger, address, kindReport, message)
			}()
		}
	})
}

func (e *Entry) buildReport(r *reporter) report {
	spare := map[string]int{}
	for team := range e.view.Current().Tree.Teams {
		spare[team] = e.holder.Usage(team).Spare
	}
	usage := map[usageKey]runner.Resources{}
	for pool, teams := range e.dispatcher.UsedResources() {
		for team, used := range teams {
			usage[usageKey{
				pool: pool,
				team: team,
			}] = used
		}
	}
	pools := r.poolChanges(e.dispatcher.Demand())
	teams, used := r.teamChanges(spare, usage)
	return report{
		Entry:       e.cfg.Settings.Name,
		Incarnation: e.incarnation,
		Revision:    e.view.Current().Tree.Revision,
		Address:     e.peerAddress(),
		Zone:        e.cfg.Settings.AvailabilityZone,
		Teams:       teams,
		Usage:       used,
		Pools:       pools,
	}
}

// reportAddresses returns the addresses of the known members and of the contact peers, without
// its own.
func (e *Entry) reportAddresses() []string {
	seen := map[string]bool{e.peerAddress(): true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	e.registrar.Do(func(s *registrar.State, _ time.Time) {
		for _, m := range s.Known() {
			add(m.Address)
		}
	})
	for _, address := range e.cfg.Settings.ContactPeers {
		add(address)
	}
	return addresses
}

// serveReport stores the report of a peer.
func (e *Entry) serveReport(_ context.Context, peer string, r report) (reportAnswer, error) {
	if r.Entry != peer {
		return reportAnswer{}, Error.New("report of %q came with the certificate of %q", r.Entry, peer)
	}
	now := time.Now()
	spare := e.peers.observe(r, now)
	known := false
	e.registrar.Do(func(s *registrar.State, now time.Time) {
		o := s.Others[r.Entry]
		known = o != nil && o.Member.Incarnation == r.Incarnation
		s.ObserveReport(r.Entry, r.Incarnation, r.Revision, now)
	})
	if !known {
		e.refreshMembers()
	}
	// The figures that the report leaves out are passed on too, because they are still valid
	// and the limiter forgets each after 3 s.
	for team, slots := range spare {
		e.limits.ObserveSpare(limiter.HolderID{
			Entry:       r.Entry,
			Incarnation: r.Incarnation,
		}, team, slots)
	}
	return reportAnswer{}, nil
}

// refreshMembers reads the member list in the background because a peer is not in it yet. A
// member gives promises only to members that it knows, and the next regular read may come only
// after the key-value service has become unreachable.
func (e *Entry) refreshMembers() {
	if !e.refreshingMembers.CompareAndSwap(false, true) {
		return
	}
	e.wg.Go(func() {
		defer e.refreshingMembers.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		if err := e.registrar.RefreshMembers(ctx); err != nil {
			e.logger("members").Debug("failed to read the member list", "error", err)
		}
		// The list is read at most once per second, also while a peer has no record.
		sleeper.Sleep(ctx, syncTimeout)
	})
}

// followMembers periodically gives the journal the live members, and the dispatcher the usage
// and the held targets of the peers.
func (e *Entry) followMembers(ctx context.Context) error {
	var m memberView
	return runPeriodically(ctx, memberInterval, func() {
		now := time.Now()
		var names []string
		for _, p := range e.peers.live(now) {
			names = append(names, p.name)
		}
		members, known := m.observe(now, e.cfg.Settings.Name, names)
		if known && e.registrar.Lease().Valid(now) {
			e.writeLimiter.SetRate(journalWritesPerSecond / float64(max(1, len(members))))
			call, cancel := context.WithTimeout(ctx, syncTimeout)
			e.journal.SetMembers(call, members)
			cancel()
		}
		for key, used := range e.peers.usage(now) {
			e.dispatcher.SetPeerUsage(key.pool, key.team, used)
		}
		e.dispatcher.SetPeerHolds(e.peers.heldTargets(now))
	})
}

// memberView decides when enough reports have arrived to know which peers are live. A process
// that has just started or was paused has received none, and would otherwise take over all
// shards.
type memberView struct {
	joined       bool
	lastObserved time.Time
	reportsDue   time.Time // when every live peer has had the time to report
}

// observe returns the live members, and false while they are not known. Before this
// member has joined it leaves itself out, so that others keep their shards.
func (m *memberView) observe(now time.Time, self string, peers []string) ([]string, bool) {
	if now.Sub(m.lastObserved) > reportTimeout/2 {
		m.reportsDue = now.Add(reportTimeout)
	}
	m.lastObserved = now
	if now.Before(m.reportsDue) {
		return peers, !m.joined
	}
	m.joined = true
	return append([]string{self}, peers...), true
}

// syncFleet keeps the targets of the dispatcher up to date.
func (e *Entry) syncFleet(ctx context.Context) error {
	return runPeriodically(ctx, fleetInterval, func() {
		if err := e.syncFleetOnce(ctx); err != nil && ctx.Err() == nil {
			e.logger("fleet").Debug("failed to read the fleet", "error", err)
		}
	})
}

func (e *Entry) syncFleetOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	item, err := e.store.Get(ctx, fleetPrefix+e.cfg.Settings.Region)
	e.registrar.Observe(start, err)
	if err != nil {
		return Error.Wrap(err)
	}
	fleet, err := planner.Decode(e.cfg.Settings.Region, item.Value)
	if err != nil {
		return err
	}
	vms, err := e.platform.List(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	e.registrar.Do(func(s *registrar.State, now time.Time) { s.ObserveVMs(listed, now) })
	e.dispatcher.SetTargets(vms, fleet)
	return nil
}

// maintain performs maintenance while this entry daemon holds the lease of its region.
func (e *Entry) maintain(ctx context.Context) error {
	err := runPeriodically(ctx, maintenanceInterval, func() {
		err := e.maintainOnce(ctx, time.Now())
		if err != nil && !errors.Is(err, planner.ErrNotHolder) && ctx.Err() == nil {
			e.logger("maintenance").Debug("maintenance step failed", "error", err)
		}
	})
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), syncTimeout)
	defer cancel()
	// If the release fails, the lease expires by itself.
	_ = e.driver.Release(release)
	return err
}

func (e *Entry) maintainOnce(ctx context.Context, now time.Time) error {
	err := e.driver.Step(ctx, now)
	if errors.Is(err, planner.ErrNotHolder) {
		e.mover.Reset()
	}
	if err != nil && !errors.Is(err, planner.ErrReboot) {
		return err
	}
	return errors.Join(err, e.mover.Step(ctx, now, e.driver.Fleet()))
}

// poolLoad returns the load of the pools: what this entry daemon and its live peers run and
// queue.
func (e *Entry) poolLoad() planner.Load {
	now := time.Now()
	load := planner.Load{
		Demand:  map[string]float64{},
		VMSlots: e.dispatcher.VMSlots(),
		Tasks:   e.dispatcher.RunningTasks,
		Ready:   e.dispatcher.Ready,
	}
	for pool, d := range e.dispatcher.Demand() {
		load.Demand[pool] += float64(d.QueuedSlots)
	}
	for pool, n := range e.peers.queuedSlots(now) {
		load.Demand[pool] += float64(n)
	}
	for pool, teams := range e.dispatcher.UsedResources() {
		for _, used := range teams {
			load.Demand[pool] += float64(used.Slots)
		}
	}
	for key, used := range e.peers.usage(now) {
		load.Demand[key.pool] += float64(used.Slots)
	}
	return load
}

// runPeriodically calls f at once and then after each interval until ctx is done.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) error {
	for {
		f()
		if !sleeper.Sleep(ctx, interval) {
			return nil
		}
	}
}
