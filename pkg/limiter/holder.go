package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Holder is the hot path of one entry daemon: it starts and ends work within the
// allowances that the ledgers give to it. It does no I/O.
type Holder struct {
	id       HolderID
	right    func() registrar.Right
	accounts sync.Map // team -> *account
	short    chan *account
}

// account is the part of one team that this holder has.
type account struct {
	team string

	mu        sync.Mutex
	ledger    Ledger
	read      bool           // ledger was read
	version   storer.Version // of ledger
	allowance int            // own allowance in ledger
	ceiling   int            // own part of the newest known limit, at most allowance
	term      uint64         // term of the right under which the share was last written
	withheld  int            // given away by a write whose outcome is not known yet
	running   int
	waiting   int // sum of the slots of waiters
	queued    int
	waiters   []*waiter
	demand    peak
	limit     int
	revision  uint64 // configuration revision of limit; zero while unknown
	signalled bool

	op       chan struct{} // held by the Keeper while it changes the ledger
	pending  *write
	claimed  bool      // the first claim was made
	nextRead time.Time // earliest next read that only looks for unassigned allowance
	nextCut  time.Time // earliest next reduction after a lowered limit
}

type waiter struct {
	slots int
	ready chan struct{} // closed when the slots were acquired
}

// NewHolder returns a holder without allowances. right must be cheap and must not block.
func NewHolder(id HolderID, right func() registrar.Right) *Holder {
	return &Holder{
		id:    id,
		right: right,
		short: make(chan *account, 1024),
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

// Permitted tells whether the holder may start and renew work at all. Every renewal
// of a session must check it first.
func (h *Holder) Permitted() bool { return h.right().Valid(time.Now()) }

// Acquire takes slots for work that is started now. It fails with ErrNoAllowance or
// ErrRightExpired. Release must follow when no attempt can run any more: after its
// end at the worker is known, or after its session has ended.
func (h *Holder) Acquire(team string, slots int) error {
	a := h.account(team)
	now := time.Now()
	a.mu.Lock()
	err := h.take(a, slots, now)
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

// signal tells the Keeper that the allowance of a team falls short.
func (h *Holder) signal(a *account) {
	select {
	case h.short <- a:
	default: // The periodic pass of the Keeper finds it.
	}
}

// AcquireWait is Acquire that waits for allowance until ctx ends.
func (h *Holder) AcquireWait(ctx context.Context, team string, slots int) error {
	a := h.account(team)
	now := time.Now()
	a.mu.Lock()
	err := h.take(a, slots, now)
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
	if !h.Permitted() {
		h.Release(team, slots)
		return Error.Wrap(ErrRightExpired)
	}
	return nil
}

// abandon removes a waiter and tells whether it had acquired nothing.
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

func (h *Holder) take(a *account, slots int, now time.Time) error {
	if slots <= 0 {
		return Error.New("acquire: want at least 1 slot, got %d", slots)
	}
	right := h.right()
	if !right.Valid(now) {
		return Error.Wrap(ErrRightExpired)
	}
	if len(a.waiters) > 0 || a.running+slots > a.usable(right.Term) {
		return Error.Wrap(ErrNoAllowance)
	}
	a.running += slots
	a.observe(now, 0)
	return nil
}

// usable returns the slots that may run. A share that was written under an earlier
// term of the right may have been reclaimed and counts for nothing.
func (a *account) usable(term uint64) int {
	if a.term != term {
		return 0
	}
	return min(a.allowance-a.withheld, a.ceiling)
}

// setLedger records the ledger as it was last read or written. The Keeper reads and
// writes one at a time, so versions arrive in order.
func (a *account) setLedger(id HolderID, l Ledger, version storer.Version) {
	a.read = true
	a.ledger = l
	a.version = version
	s, _ := l.Share(id)
	a.allowance = s.Allowance
	a.setCeiling(id)
}

// setCeiling applies a limit of the configuration even before the ledger shows it.
func (a *account) setCeiling(id HolderID) {
	l, _ := a.ledger.SetLimit(a.limit, a.revision)
	a.ceiling = l.Target(id)
}

// Release ends work that acquired slots.
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

// wake acquires for the waiters in order. The lock of the account is held.
func (h *Holder) wake(a *account, now time.Time) {
	right := h.right()
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if !right.Valid(now) || a.running+w.slots > a.usable(right.Term) {
			return
		}
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.waiting -= w.slots
		a.running += w.slots
		close(w.ready)
	}
}

// SetQueued states how many slots wait in queues of the caller, in addition to AcquireWait.
func (h *Holder) SetQueued(team string, slots int) {
	a := h.account(team)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued = slots
	a.observe(time.Now(), 0)
}

// Figures describes a team at this holder, in slots.
type Figures struct {
	Allowance int
	Running   int
	Waiting   int
	Spare     int // usable beyond the recent demand; what a transfer may take
}

// Figures returns the figures for the report to peers.
func (h *Holder) Figures(team string) Figures {
	a := h.account(team)
	a.mu.Lock()
	defer a.mu.Unlock()
	return Figures{
		Allowance: a.allowance,
		Running:   a.running,
		Waiting:   a.waiting + a.queued,
		Spare:     h.spare(a, time.Now()),
	}
}

func (h *Holder) spare(a *account, now time.Time) int {
	right := h.right()
	if !right.Valid(now) {
		return 0
	}
	return max(0, a.usable(right.Term)-a.wanted(now))
}

// observe records the demand: running work, waiting work and extra slots that were refused.
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
	last   int64
}

// demandWindow is how long a giver keeps allowance for its own recent demand.
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
