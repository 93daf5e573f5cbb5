package limiter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	team       = "chalk"
	sessionTTL = 10 * time.Second
	latency    = 2 * time.Millisecond // of one call to the key-value service
)

var errCut = errors.New("link cut")

// fleet simulates holders that share one store, and workers that let work run until its
// end or the end of the session. It runs inside a synctest bubble.
type fleet struct {
	t     *testing.T
	store *storer.Memory
	ctx   context.Context
	wg    sync.WaitGroup
	rng   *rand.Rand
	limit int

	mu       sync.Mutex
	nodes    []*node
	sessions []*session
	vms      map[string]bool
	nextInc  uint64
	calls    map[storer.Op]int
}

type session struct {
	expires time.Time
	jobs    map[int]time.Time // end of each job, one slot each
	nextJob int
}

// running returns how many slots the jobs of the session occupy at the workers.
func (s *session) running(now time.Time) int {
	if !now.Before(s.expires) {
		return 0
	}
	maps.DeleteFunc(s.jobs, func(_ int, end time.Time) bool { return !now.Before(end) })
	return len(s.jobs)
}

// node is one entry daemon. The fields that injected faults change are guarded by fleet.mu.
type node struct {
	*storer.Memory // calls without faults
	f              *fleet
	entry          string
	registrar      *registrar.Registrar
	holder         *Holder
	balancer       *Balancer
	stop           context.CancelFunc
	session        *session

	store       bool // whether it can reach the key-value service
	peers       bool // whether it can reach its peers
	paused      bool
	lostAnswers float64 // share of writes whose answer is lost
	late        bool    // lost writes may take effect seconds later
	demand      int
	jobTime     time.Duration

	beforeWrite func(w storer.Write) // runs before a write takes effect
}

func newFleet(ctx context.Context, t *testing.T, seed uint64, holders, limit int) *fleet {
	f := &fleet{
		t:     t,
		store: storer.NewMemory(),
		ctx:   ctx,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		limit: limit,
		vms:   map[string]bool{},
		calls: map[storer.Op]int{},
	}
	for i := range holders {
		f.nodes = append(f.nodes, &node{
			f:       f,
			entry:   fmt.Sprint("e", i),
			jobTime: 300 * time.Millisecond,
		})
	}
	for i := range holders {
		f.startNode(i)
	}
	return f
}

// startNode begins a new incarnation; the former one must have been killed.
func (f *fleet) startNode(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextInc++
	n := f.nodes[i]
	ctx, cancel := context.WithCancel(f.ctx)
	next := &node{
		Memory:  f.store,
		f:       f,
		entry:   n.entry,
		stop:    cancel,
		store:   true,
		peers:   true,
		jobTime: n.jobTime,
		session: &session{jobs: map[int]time.Time{}},
	}
	f.nodes[i] = next
	f.sessions = append(f.sessions, next.session)
	f.vms[next.entry] = true
	inc := f.nextInc
	next.registrar = registrar.New(registrar.Config{
		Store:  next,
		Peers:  next,
		Timing: registrar.DefaultTiming(),
		Self: registrar.Member{
			Entry:       next.entry,
			Incarnation: inc,
			Address:     next.entry,
		},
	})
	id := HolderID{Entry: next.entry, Incarnation: inc}
	next.holder = NewHolder(id, next.registrar.Lease)
	next.balancer = NewBalancer(Config{
		Store:       next,
		Members:     next.registrar,
		Peers:       next,
		Holder:      next.holder,
		CallTimeout: 500 * time.Millisecond,
	})
	next.balancer.SetLimits(1, map[string]int{team: f.limit})
	f.wg.Go(func() { _ = next.registrar.Run(ctx) })
	f.wg.Go(func() { _ = next.balancer.Run(ctx) })
	f.wg.Go(func() { next.every(ctx, 3*time.Second, next.renew) })
	f.wg.Go(func() { next.every(ctx, 250*time.Millisecond, next.report) })
	f.wg.Go(func() { next.every(ctx, 500*time.Millisecond, next.readHead) })
	f.wg.Go(func() { next.every(ctx, 50*time.Millisecond, next.load) })
}

func (f *fleet) kill(i int, vm bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i].stop()
	f.nodes[i].store, f.nodes[i].peers = false, false
	f.vms[f.nodes[i].entry] = !vm
}

func (n *node) every(ctx context.Context, d time.Duration, step func(ctx context.Context)) {
	for ctx.Err() == nil {
		n.waitWhilePaused(ctx)
		step(ctx)
		time.Sleep(d)
	}
}

// waitWhilePaused blocks while the process is paused.
func (n *node) waitWhilePaused(ctx context.Context) {
	for ctx.Err() == nil {
		n.f.mu.Lock()
		paused := n.paused
		n.f.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// renew checks the lease, may be paused, and then renews the session at the worker. Once
// a session has expired, the worker opens a new one without the former jobs.
func (n *node) renew(ctx context.Context) {
	if !n.holder.LeaseValid() {
		return
	}
	n.waitWhilePaused(ctx)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	now := time.Now()
	s := n.session
	if ctx.Err() != nil {
		return
	}
	if !s.expires.IsZero() && !now.Before(s.expires) {
		s = &session{jobs: map[int]time.Time{}}
		n.session = s
		n.f.sessions = append(n.f.sessions, s)
	}
	s.expires = now.Add(sessionTTL)
}

func (n *node) report(context.Context) {
	f := n.f
	spare := n.holder.Usage(team).Spare
	f.mu.Lock()
	peers, self := slices.Clone(f.nodes), n.peers
	listed := map[string]bool{}
	for vm, ok := range f.vms {
		if ok {
			listed[vm] = true
		}
	}
	f.mu.Unlock()
	for _, p := range peers {
		f.mu.Lock()
		ok := self && p.peers && p != n && p.holder != nil
		f.mu.Unlock()
		if ok {
			p.balancer.ObserveSpare(n.holder.id, team, spare)
			p.registrar.Do(func(s *registrar.State, now time.Time) {
				s.ObserveReport(n.entry, n.holder.id.Incarnation, 1, now)
			})
		}
	}
	n.registrar.Do(func(s *registrar.State, now time.Time) { s.ObserveVMs(listed, now) })
}

func (n *node) readHead(ctx context.Context) {
	start := time.Now()
	_, err := n.Get(ctx, "config/head")
	n.registrar.Observe(start, err)
	if err == nil {
		n.registrar.Do(func(s *registrar.State, _ time.Time) { s.ObserveHead(start, 1) })
	}
}

// load starts jobs until as many slots as demand are busy. If the process is paused after it
// acquired a slot, the worker refuses the start if the session has ended meanwhile.
func (n *node) load(ctx context.Context) {
	f := n.f
	f.mu.Lock()
	s, demand := n.session, n.demand
	have := s.running(time.Now())
	f.mu.Unlock()
	rest := max(0, demand-have)
	defer func() { n.holder.SetQueued(team, rest) }()
	for ; rest > 0; rest-- {
		n.holder.SetQueued(team, rest-1)
		if n.holder.Acquire(team, 1) != nil {
			break
		}
		n.waitWhilePaused(ctx)
		f.mu.Lock()
		now := time.Now()
		if !now.Before(s.expires) || ctx.Err() != nil {
			f.mu.Unlock()
			n.holder.Release(team, 1)
			continue
		}
		id := s.nextJob
		s.nextJob++
		s.jobs[id] = now.Add(n.jobTime)
		wait := n.jobTime
		f.mu.Unlock()
		f.wg.Go(func() {
			// A job ends after jobTime or with its session; then no attempt can run.
			for end := now.Add(wait); ctx.Err() == nil; {
				f.mu.Lock()
				until := s.expires
				f.mu.Unlock()
				t := time.Now()
				if !t.Before(end) || !t.Before(until) {
					break
				}
				time.Sleep(min(end.Sub(t), until.Sub(t)))
			}
			n.waitWhilePaused(ctx)
			n.holder.Release(team, 1)
		})
	}
}

// running returns how many slots are occupied at the workers.
func (f *fleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	n := 0
	for _, s := range f.sessions {
		n += s.running(now)
	}
	return n
}

func (f *fleet) ledger() Ledger {
	item, err := f.store.Get(context.Background(), KeyPrefix+team)
	if err != nil || item.Version == 0 {
		return Ledger{Limit: f.limit}
	}
	l, err := DecodeLedger(item.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

// check fails if more slots run than the limit allows or, after it was lowered, than the
// sum of the allowances, which is still shrinking.
func (f *fleet) check() {
	l := f.ledger()
	if n, bound := f.running(), max(l.Limit, l.Sum()); n > bound {
		f.t.Fatalf("%d slots run, limit %d, ledger %+v", n, l.Limit, l)
	}
}

// run advances the time and checks every 40 ms.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(40 * time.Millisecond)
		f.check()
	}
}

// until advances the time until cond holds and returns how long it took.
func (f *fleet) until(limit time.Duration, cond func() bool) time.Duration {
	start := time.Now()
	for !cond() && time.Since(start) < limit {
		time.Sleep(20 * time.Millisecond)
		f.check()
	}
	return time.Since(start)
}

// The methods below make the node the store and the peers of its entry daemon, with
// injected faults.

func (n *node) call(ctx context.Context, op storer.Op) error {
	n.waitWhilePaused(ctx)
	time.Sleep(latency)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.f.calls[op]++
	if !n.store {
		return storer.ErrUnavailable
	}
	return ctx.Err()
}

func (n *node) Get(ctx context.Context, key string) (storer.Item, error) {
	if err := n.call(ctx, storer.OpGet); err != nil {
		return storer.Item{}, err
	}
	defer n.waitWhilePaused(ctx)
	return n.f.store.Get(context.Background(), key)
}

func (n *node) List(ctx context.Context, prefix string) ([]storer.Item, error) {
	if err := n.call(ctx, storer.OpList); err != nil {
		return nil, err
	}
	defer n.waitWhilePaused(ctx)
	return n.f.store.List(context.Background(), prefix)
}

func (n *node) CompareAndSwap(ctx context.Context, w storer.Write) (storer.Version, error) {
	if err := n.call(ctx, storer.OpCompareAndSwap); err != nil {
		return 0, err
	}
	n.f.mu.Lock()
	lost := n.f.rng.Float64() < n.lostAnswers
	late := lost && n.late
	before := n.beforeWrite
	n.f.mu.Unlock()
	if late {
		// The write reaches the service only after the caller has stopped waiting for it.
		n.f.wg.Go(func() {
			time.Sleep(3 * time.Second)
			_, _ = n.f.store.CompareAndSwap(context.Background(), w)
		})
		return 0, storer.ErrOutcomeUnknown
	}
	if before != nil {
		before(w)
	}
	v, err := n.f.store.CompareAndSwap(context.Background(), w)
	n.waitWhilePaused(ctx)
	if lost {
		return 0, storer.ErrOutcomeUnknown
	}
	return v, err
}

// peer returns the node of an entry, or nil if the two cannot reach each other or the peer
// is paused.
func (n *node) peer(entry string) *node {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	for _, p := range n.f.nodes {
		if p.entry == entry && p.peers && n.peers && !p.paused {
			return p
		}
	}
	return nil
}

func (n *node) RequestPromise(ctx context.Context, to registrar.Member, r registrar.PromiseRequest) (registrar.PromiseAnswer, error) {
	p := n.peer(to.Entry)
	if p == nil {
		return registrar.PromiseAnswer{}, errCut
	}
	return p.registrar.ServePromise(ctx, r), nil
}

func (n *node) ConfirmMember(_ context.Context, to registrar.Member, r registrar.ConfirmRequest) (registrar.ConfirmAnswer, error) {
	p := n.peer(to.Entry)
	if p == nil {
		return registrar.ConfirmAnswer{}, errCut
	}
	return p.registrar.ServeConfirm(r), nil
}

func (n *node) TransferAllowance(ctx context.Context, to HolderID, r TransferRequest) (TransferAnswer, error) {
	p := n.peer(to.Entry)
	if p == nil || p.holder.id != to {
		return TransferAnswer{}, errCut
	}
	return p.balancer.ServeTransfer(ctx, r)
}
