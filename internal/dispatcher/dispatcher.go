package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/retrier"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

const (
	// deferrableThreshold is the utilisation of a pool from which deferrable work waits. With
	// 0.8 and a deferrableReserve of 1 min, the p999 wait of urgent work is longer and the
	// usage of teams is further from their fair shares.
	deferrableThreshold = 0.7
	// deferrableReserve is the time before its deadline from which deferrable work starts at
	// any utilisation.
	deferrableReserve = 10 * time.Minute
	// tickInterval is the time between ticks while requests are queued. It bounds how long a
	// request waits after allowance has arrived.
	tickInterval = 5 * time.Millisecond
	// idleInterval is the time between ticks while no request is queued. The 200 ticks per
	// second of tickInterval cost an idle entry daemon 3% of a core, and its bound is 2.5%.
	idleInterval = 100 * time.Millisecond
)

// Peers forwards requests to other entry daemons.
type Peers interface {
	// PeerWithSpare returns the live peer that reported the most spare allowance of the team,
	// or "" if none has enough for the slots.
	PeerWithSpare(team string, slots int) string
	// Forward sends a request to a peer and returns its result. ReasonPeerUnreachable means
	// that the request was not delivered.
	Forward(ctx context.Context, peer string, r Request) Result
	// ForwardJob sends a job request to a peer and returns its result.
	ForwardJob(ctx context.Context, peer string, r JobRequest) Result
}

// Config configures a Dispatcher. Seed and the fields with a default are optional; Journal is
// set by SetJournal.
type Config struct {
	Entry            string
	AvailabilityZone string
	Tree             func() *configurer.Tree
	// ConfigFresh reports whether the configuration is recent enough to admit requests with a
	// key.
	ConfigFresh     func() bool
	Holder          *limiter.Holder
	Journal         *journaler.Journal
	Peers           Peers
	Recorder        *recorder.Recorder
	Logger          hclog.Logger
	MaxRequestBytes int64
	MaxAnswerBytes  int64
	Seed            uint64

	MaxJournalBytes    int64         // body of a journaled request; default and maximum journaler.MaxBlobBytes
	InteractiveTimeout time.Duration // of urgent and interactive requests that state none; default 30 s
	DeferrableTimeout  time.Duration // of deferrable requests that state none; default 1 h
	HealthInterval     time.Duration // between health and usage requests to a target; default 1 s
	SilenceLimit       time.Duration // without a byte from a target until its connection is replaced; default 2 s
	// Connect returns a client of the worker at an address; default a runner.Client.
	Connect func(address string) Target
}

// Dispatcher admits requests, queues them, runs them on targets and returns their results.
type Dispatcher struct {
	cfg               Config
	ctx               context.Context // ends at Close
	cancel            context.CancelFunc
	registry          registry
	teamSessions      *runner.SessionPool // sessions of work that counts against a team's limit
	openQueueSessions *runner.SessionPool // sessions of work on open queues
	running           sync.WaitGroup      // requests being served

	mu      sync.Mutex
	pools   map[string]*pool
	queued  map[string]int // queued slots by team
	retrier *retrier.Retrier
	rng     *rand.Rand

	draining atomic.Bool
	wakeups  chan struct{} // signals Run that a request was queued
}

// New returns a Dispatcher without targets. SetJournal must be called before the
// first request.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		pools:   map[string]*pool{},
		queued:  map[string]int{},
		wakeups: make(chan struct{}, 1),
		retrier: retrier.New(retrier.Config{}),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	d.registry = registry{
		d:       d,
		targets: map[string]*target{},
	}
	d.teamSessions = runner.NewSessionPool(runner.SessionPoolConfig{MayRun: cfg.Holder.LeaseValid})
	d.openQueueSessions = runner.NewSessionPool(runner.SessionPoolConfig{MayRun: func() bool { return true }})
	return d
}

// withDefaults fills in the fields that may be zero. The timeouts of requests have
// their defaults in retrier, those of connections in runner.
func (c Config) withDefaults() Config {
	if c.MaxJournalBytes <= 0 || c.MaxJournalBytes > journaler.MaxBlobBytes {
		c.MaxJournalBytes = journaler.MaxBlobBytes
	}
	if c.HealthInterval <= 0 {
		c.HealthInterval = usageInterval
	}
	if c.Connect == nil {
		c.Connect = func(address string) Target {
			return runner.NewClient(runner.ClientConfig{
				Address:        address,
				MaxBodyBytes:   c.MaxAnswerBytes,
				HealthInterval: c.HealthInterval,
				SilenceLimit:   c.SilenceLimit,
			})
		}
	}
	return c
}

// timeout returns the timeout of a request that states none; zero selects the default of
// retrier.
func (c Config) timeout(class configurer.Class) time.Duration {
	if class == configurer.ClassDeferrable {
		return c.DeferrableTimeout
	}
	return c.InteractiveTimeout
}

// SetJournal sets the journal. New can't take it, because the journal is constructed with the
// dispatcher.
func (d *Dispatcher) SetJournal(j *journaler.Journal) {
	d.cfg.Journal = j
}

// Run periodically grants slots to requests that wait for allowance or lower utilisation,
// until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	next := idleInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wakeups:
			if next == idleInterval {
				next = tickInterval
				timer.Reset(next)
			}
			continue
		case <-timer.C:
		}
		next = idleInterval
		now := time.Now()
		for _, p := range d.allPools() {
			if p.tick(now) {
				next = tickInterval
			}
		}
		timer.Reset(next)
	}
}

// wakeUp makes Run tick every tickInterval because a request was queued.
func (d *Dispatcher) wakeUp() {
	select {
	case d.wakeups <- struct{}{}:
	default: // a signal is pending already
	}
}

// Drain refuses new requests and waits until the running ones have ended or ctx is done.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining.Store(true)
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Close ends the calls to targets.
func (d *Dispatcher) Close() {
	d.teamSessions.Close()
	d.openQueueSessions.Close()
	d.cancel()
	d.registry.mu.Lock()
	for _, t := range d.registry.targets {
		t.stop()
		t.client.Close()
	}
	d.registry.mu.Unlock()
	d.registry.wg.Wait()
}

// beginRequest counts a request as running. It returns false while draining.
func (d *Dispatcher) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining.Load() {
		return false
	}
	d.running.Add(1)
	return true
}

func (d *Dispatcher) pool(name string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		p = newPool(d, name, d.cfg.Seed+uint64(len(d.pools))+1)
		d.pools[name] = p
	}
	return p
}

func (d *Dispatcher) allPools() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	return pools
}

// addQueued adds to the queued slots of a team and tells the limiter, so that it requests
// allowance for them.
func (d *Dispatcher) addQueued(team string, slots int) {
	if team == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued[team] += slots
	d.cfg.Holder.SetQueued(team, d.queued[team])
}

// SetWeights applies the team weights of a new configuration.
func (d *Dispatcher) SetWeights(tree *configurer.Tree) {
	for _, p := range d.allPools() {
		p.mu.Lock()
		for name, team := range tree.Teams {
			p.sched.SetWeight(name, team.Weight)
		}
		p.mu.Unlock()
	}
}

// SetPeerUsage sets the resources that the peers together use for a team in a pool.
func (d *Dispatcher) SetPeerUsage(poolName, team string, used runner.Resources) {
	p := d.pool(poolName)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.SetPeerUsage(team, used)
}

// UsedResources returns the resources that the work of this entry daemon uses, by pool and
// team.
func (d *Dispatcher) UsedResources() map[string]map[string]runner.Resources {
	teams := []string{""} // work on open queues
	for team := range d.cfg.Tree().Teams {
		teams = append(teams, team)
	}
	running := map[string]map[string]runner.Resources{}
	for _, p := range d.allPools() {
		p.mu.Lock()
		for _, team := range teams {
			if used := p.sched.Running(team); used != (runner.Resources{}) {
				if running[p.name] == nil {
					running[p.name] = map[string]runner.Resources{}
				}
				running[p.name][team] = used
			}
		}
		p.mu.Unlock()
	}
	return running
}

// idleReportAge is the maximum age of a report by which a VM counts as idle. It is half of
// planner.DefaultMinDrain, so that the report was made after every entry daemon had stopped
// sending work.
const idleReportAge = planner.DefaultMinDrain / 2

// Idle tells whether a VM runs no work of any entry daemon, according to the latest report of
// its worker. It is false if that report is older than idleReportAge.
func (d *Dispatcher) Idle(vm string) bool {
	t, err := d.registry.find(vm)
	if err != nil {
		return false
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	m := t.pool.members[vm]
	return m != nil && m.grants == 0 && m.tasks == 0 && time.Since(m.measuredAt) <= idleReportAge
}

// PoolState describes a pool for status pages and metrics.
type PoolState struct {
	Pool    string `json:"pool"`
	Usable  int    `json:"usable"`
	Ejected int    `json:"ejected"`
	Queued  int    `json:"queued"`
}

// Pools returns the state of all pools.
func (d *Dispatcher) Pools() []PoolState {
	var states []PoolState
	for _, p := range d.allPools() {
		p.mu.Lock()
		now := time.Now()
		state := PoolState{
			Pool:    p.name,
			Ejected: p.ejector.Count(now),
			Queued:  p.waiting,
		}
		for name, m := range p.members {
			if m.target.usable() && !p.ejector.Ejected(now, name) {
				state.Usable++
			}
		}
		p.mu.Unlock()
		states = append(states, state)
	}
	return states
}

// admittedRequest is a request that passed admission, with the settings of its queue.
type admittedRequest struct {
	Request
	queue configurer.Queue
	pool  *pool
	need  placer.Need
	id    uuid.UUID // identity; only of journaled requests
}

func (p *admittedRequest) needsJournal() bool {
	return p.queue.Class == configurer.ClassDeferrable || !p.Idempotent()
}

func (p *admittedRequest) retryKey() retrier.Key {
	return retrier.Key{
		Team: p.Team,
		Pool: p.pool.name,
	}
}

// Submit runs a request, or accepts it as a job if it is deferrable. The caller closes the
// result's body.
func (d *Dispatcher) Submit(ctx context.Context, r Request) Result {
	if !d.beginRequest() {
		return NotRun(ReasonDraining, "this entry daemon is shutting down")
	}
	start := time.Now()
	p, refusal := d.admit(r, start)
	if refusal != nil {
		d.running.Done()
		d.cfg.Recorder.Request(labels(r.Team, "", *refusal), time.Since(start))
		return *refusal
	}
	var result Result
	if p.needsJournal() {
		result = d.runJournaled(ctx, p)
	} else {
		result = d.runIdempotent(ctx, p)
	}
	finish := func() {
		d.cfg.Recorder.Request(labels(p.Team, string(p.queue.Class), result), time.Since(start))
		d.running.Done()
	}
	if result.Body == nil {
		finish()
		return result
	}
	result.Body = &closer{
		ReadCloser: result.Body,
		onClose:    finish,
	}
	return result
}

func labels(team, class string, result Result) recorder.Labels {
	return recorder.Labels{
		Team:    team,
		Class:   class,
		Outcome: string(result.Outcome),
		Reason:  string(result.Reason),
	}
}

// admit checks the request against the configuration. A refusal is always "not run".
func (d *Dispatcher) admit(r Request, now time.Time) (*admittedRequest, *Result) {
	refuse := func(reason Reason, detail string) (*admittedRequest, *Result) {
		result := NotRun(reason, detail)
		return nil, &result
	}
	tree := d.cfg.Tree()
	queue, ok := tree.Queues[r.Queue]
	if !ok {
		return refuse(ReasonUnknownQueue, "no queue of this name")
	}
	switch {
	case queue.Open:
		// Work on open queues belongs to no team and counts against no limit.
		r.Team = ""
	case r.KeyRefusal != "":
		return refuse(r.KeyRefusal, "the key was not accepted")
	case r.Team == "":
		return refuse(ReasonKeyRequired, "the queue is not open to all")
	case !d.cfg.ConfigFresh():
		return refuse(ReasonConfigStale, "the configuration may be out of date here")
	case !validKey(tree, r.Team, r.KeyID):
		return refuse(ReasonKeyRefused, "the key was withdrawn")
	}
	if r.Deadline.IsZero() {
		r.Deadline = retrier.Deadline(now, d.cfg.timeout(queue.Class), queue.Class)
	}
	if !r.Deadline.After(now) {
		return refuse(ReasonDeadline, "the deadline has passed")
	}
	p := &admittedRequest{
		Request: r,
		queue:   queue,
		pool:    d.pool(queue.Pool),
	}
	p.need.Resources = queue.Resources
	p.need.Slots = max(1, p.need.Slots)
	p.need.Connections = 1
	if !p.needsJournal() {
		return p, nil
	}
	if r.Identity == "" {
		return refuse(ReasonIdentityRequired, "Idempotency-Key: want a UUIDv7 for non-idempotent and deferrable requests")
	}
	id, err := journaler.ParseIdentity(r.Identity)
	if err != nil {
		return refuse(ReasonBadIdentity, "Idempotency-Key: want a UUIDv7")
	}
	p.id = id
	return p, nil
}

// validKey checks the key against the configuration of this entry daemon, which
// may be newer than that of a peer which forwarded the request.
func validKey(tree *configurer.Tree, team, id string) bool {
	for _, key := range tree.Teams[team].Keys {
		if key.ID == id {
			return !key.Withdrawn
		}
	}
	return false
}
