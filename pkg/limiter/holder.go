package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Holder counts the running work of one entry daemon against the allowances that the
// ledgers assign to it. It is on the hot path and does no I/O.
type Holder struct {
	id        HolderID
	lease     func() registrar.Lease
	accounts  sync.Map      // team -> *account
	shortages chan *account // accounts whose allowance does not cover the demand
}

// account is the state of one team at this holder. Counts are in slots.
type account struct {
	team string

	mu        sync.Mutex
	ledger    Ledger
	read      bool           // ledger was read
	version   storer.Version // of ledger
	allowance int            // allowance of this holder in ledger
	ceiling   int            // this holder's part of the newest known limit, at most allowance
	term      uint64         // term of the lease under which the share was last written
	withheld  int            // returned or transferred by a write whose outcome is not known yet
	running   int
	waiting   int // sum of the slots of waiters
	queued    int // set by SetQueued
	waiters   []*waiter
	demand    peak
	limit     int
	revision  uint64 // configuration revision of limit; zero while unknown
	signalled bool   // was sent to shortages since balance last looked at it

	op         chan struct{} // held by the Balancer while it changes the ledger
	pending    *write
	claimed    bool      // the first claim was made
	nextRead   time.Time // earliest next claim without a sign of unassigned or spare allowance
	nextReturn time.Time // earliest next reduction after a lowered limit
}

type waiter struct {
	slots int
	ready chan struct{} // closed when the slots were acquired
}

// NewHolder returns a holder without allowances. lease must be cheap and must not block.
func NewHolder(id HolderID, lease func() registrar.Lease) *Holder {
	return &Holder{
		id:        id,
		lease:     lease,
		shortages: make(chan *account, 1024),
	}
}

func (h *Holder) account(team string) *account {
	if a, ok := h.accounts.Load(team); ok {
		return a.(*account)
	}
	a, _ := h.accounts.LoadOrStore(team, &account{
		team: team,
		op:   make(chan struct{}, 1),
	})
	return a.(*account)
}

// LeaseValid reports whether the lease of the holder allows it to start and renew work.
// Every renewal of a session must check it first.
func (h *Holder) LeaseValid() bool { return h.lease().Valid(time.Now()) }

// Acquire takes slots for work that is started now. It fails with ErrNoAllowance or
// ErrLeaseExpired. The caller must call Release when no attempt of the work can run any
// more: when its end at the worker is known, or after its session has ended.
func (h *Holder) Acquire(team string, slots int) error {
	a := h.account(team)
	now := time.Now()
	a.mu.Lock()
	err := h.tryAcquire(a, slots, now)
	if err != nil {
		a.observe(now, slots)
	}
	signal := err != nil && !a.signalled
	a.signalled = a.signalled || signal
	a.mu.Unlock()
	if signal {
		h.signal(a)
	}
	return err
}

// signal tells the Balancer that the allowance of a team does not cover its demand.
func (h *Holder) signal(a *account) {
	select {
	case h.shortages <- a:
	default: // The Balancer looks at all accounts every balancePeriod.
	}
}

// AcquireWait is like Acquire but waits for allowance until ctx ends.
func (h *Holder) AcquireWait(ctx context.Context, team string, slots int) error {
	a := h.account(team)
	now := time.Now()
	a.mu.Lock()
	err := h.tryAcquire(a, slots, now)
	if err == nil {
		a.mu.Unlock()
		return nil
	}
	w := &waiter{
		slots: slots,
		ready: make(chan struct{}),
	}
	a.waiters = append(a.waiters, w)
	a.waiting += slots
	a.observe(now, 0)
	a.signalled = true
	a.mu.Unlock()
	h.signal(a)
	select {
	case <-w.ready:
	case <-ctx.Done():
		if h.abandon(a, w) {
			return Error.Wrap(err)
		}
	}
	if !h.LeaseValid() {
		h.Release(team, slots)
		return Error.Wrap(ErrLeaseExpired)
	}
	return nil
}

// abandon removes a waiter. It returns false if the waiter has already acquired its slots.
func (h *Holder) abandon(a *account, w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.waiting -= w.slots
	h.wake(a, time.Now())
	return true
}

func (h *Holder) tryAcquire(a *account, slots int, now time.Time) error {
	if slots <= 0 {
		return Error.New("acquire: want at least 1 slot, got %d", slots)
	}
	lease := h.lease()
	if !lease.Valid(now) {
		return Error.Wrap(ErrLeaseExpired)
	}
	if len(a.waiters) > 0 || a.running+slots > a.usable(lease.Term) {
		return Error.Wrap(ErrNoAllowance)
	}
	a.running += slots
	a.observe(now, 0)
	return nil
}

// usable returns the number of slots that may run. A share that was last written under an
// earlier term of the lease may have been reclaimed, so none of its slots may run.
func (a *account) usable(term uint64) int {
	if a.term != term {
		return 0
	}
	return min(a.allowance-a.withheld, a.ceiling)
}

// setLedger records the ledger as it was last read or written. The Balancer makes one call at
// a time for an account, so versions arrive in order.
func (a *account) setLedger(id HolderID, l Ledger, version storer.Version) {
	a.read = true
	a.ledger = l
	a.version = version
	s, _ := l.Share(id)
	a.allowance = s.Allowance
	a.setCeiling(id)
}

// setCeiling applies the configured limit even before it is in the ledger.
func (a *account) setCeiling(id HolderID) {
	l, _ := a.ledger.SetLimit(a.limit, a.revision)
	a.ceiling = l.Target(id)
}

// Release gives back slots that Acquire or AcquireWait took.
func (h *Holder) Release(team string, slots int) {
	a := h.account(team)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = max(0, a.running-slots)
	if len(a.waiters) > 0 {
		h.wake(a, now)
	}
}

// wake lets waiters acquire their slots in order, as far as the allowance suffices. The
// caller holds a.mu.
func (h *Holder) wake(a *account, now time.Time) {
	lease := h.lease()
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if !lease.Valid(now) || a.running+w.slots > a.usable(lease.Term) {
			return
		}
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.waiting -= w.slots
		a.running += w.slots
		close(w.ready)
	}
}

// SetQueued sets how many slots the work in queues of the caller needs, in addition to
// callers of AcquireWait.
func (h *Holder) SetQueued(team string, slots int) {
	a := h.account(team)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued = slots
	a.observe(time.Now(), 0)
}

// Usage describes a team at this holder, in slots.
type Usage struct {
	Allowance int
	Running   int
	Waiting   int
	Spare     int // usable beyond the recent demand; a transfer may take at most this
}

// Usage returns the present figures of a team, which entry daemons report to their peers.
func (h *Holder) Usage(team string) Usage {
	a := h.account(team)
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		Allowance: a.allowance,
		Running:   a.running,
		Waiting:   a.waiting + a.queued,
		Spare:     h.spare(a, time.Now()),
	}
}

func (h *Holder) spare(a *account, now time.Time) int {
	lease := h.lease()
	if !lease.Valid(now) {
		return 0
	}
	return max(0, a.usable(lease.Term)-a.wanted(now))
}

// observe records the demand: running work, waiting work and extra slots that were just
// refused.
func (a *account) observe(now time.Time, extra int) {
	a.demand.add(now, a.running+a.waiting+a.queued+extra)
}

// wanted returns the moving maximum of the demand.
func (a *account) wanted(now time.Time) int {
	a.demand.add(now, a.running+a.waiting+a.queued)
	return a.demand.max(now)
}

// peak is a moving maximum over demandWindow.
type peak struct {
	values [demandBuckets]int
	origin time.Time // start of bucket zero
	last   int64     // newest bucket, counted from origin
}

// demandWindow is how long a holder keeps allowance for its recent demand instead of
// transferring it.
const (
	demandWindow  = 2 * time.Second
	demandBuckets = 8
)

func (p *peak) advance(now time.Time) {
	if p.origin.IsZero() {
		p.origin = now
	}
	bucket := int64(now.Sub(p.origin) / (demandWindow / demandBuckets))
	for i := 0; p.last < bucket && i < demandBuckets; i++ {
		p.last++
		p.values[p.index()] = 0
	}
	p.last = max(p.last, bucket)
}

func (p *peak) index() int { return int((p.last%demandBuckets + demandBuckets) % demandBuckets) }

func (p *peak) add(now time.Time, n int) {
	p.advance(now)
	p.values[p.index()] = max(p.values[p.index()], n)
}

func (p *peak) max(now time.Time) int {
	p.advance(now)
	return slices.Max(p.values[:])
}
