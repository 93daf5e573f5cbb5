package limiter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Members is the part of registrar.Registrar that Balancer uses.
type Members interface {
	Lease() registrar.Lease
	Begin(established bool) (end func(), err error)
	RefreshMembers(ctx context.Context) error
	Reclaimable(entry string, incarnation uint64) bool
	Epoch() (epoch string, rank int)
	Observe(start time.Time, err error)
}

// Config holds the dependencies and settings of a Balancer.
type Config struct {
	Store       storer.Store
	Members     Members
	Peers       Peers
	Holder      *Holder
	CallTimeout time.Duration // of one call to the key-value service; a call to a peer may take twice as long
}

const (
	// balancePeriod is the interval between checks for unmet demand and lowered limits.
	balancePeriod = 250 * time.Millisecond
	// excessReturnPeriod is the minimum time between two returns of excess allowance,
	// which bounds the writes that follow a lowered limit.
	excessReturnPeriod = time.Second
	// writeInterval and writeBurst limit how often one holder may claim and request a
	// transfer, so that the writes of the fleet stay within the service's rate.
	writeInterval = 4 * time.Second
	writeBurst    = 4
	// maxConflicts bounds the attempts to write one change after conflicts with other writers.
	maxConflicts = 16
)

// Balancer reads and writes the ledgers for a Holder: it claims, transfers, returns and
// reclaims allowances in the background.
type Balancer struct {
	cfg      Config
	sequence atomic.Uint64

	mu       sync.Mutex
	tokens   float64                       // see takeToken
	refilled time.Time                     // when tokens was last computed
	spares   map[string]map[HolderID]spare // team -> peer

	sweepMu    sync.Mutex
	sweptEpoch string // epoch of the last complete sweep
	epoch      string
	epochStart time.Time
	nextSweep  time.Time
}

// write is a compare-and-swap whose outcome is not known yet.
type write struct {
	ledger     Ledger
	value      []byte
	expected   storer.Version
	term       uint64
	sequence   uint64
	conflicted bool // the key has another version; a read shows whether this write made it
	end        func()
}

// NewBalancer returns a Balancer that knows no limits yet; see SetLimits.
func NewBalancer(cfg Config) *Balancer {
	return &Balancer{
		cfg:    cfg,
		tokens: writeBurst,
		spares: map[string]map[HolderID]spare{},
	}
}

// SetLimits records the limits of a configuration revision. Teams that are not
// named have the limit zero.
func (b *Balancer) SetLimits(revision uint64, limits map[string]int) {
	for team := range limits {
		b.cfg.Holder.account(team)
	}
	b.cfg.Holder.accounts.Range(func(_, v any) bool {
		a := v.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		if revision > a.revision {
			a.limit = limits[a.team]
			a.revision = revision
			a.setCeiling(b.cfg.Holder.id)
		}
		return true
	})
}

// ApplyLimit records a changed limit in the ledger for the writer of the change. It also does
// so if the number equals the recorded one: a holder with an older configuration revision
// can then no longer set its older limit. The change is in force when ApplyLimit returns true,
// which means that the sum of the allowances is within the limit.
func (b *Balancer) ApplyLimit(ctx context.Context, team string, limit int, revision uint64) (bool, error) {
	a := b.cfg.Holder.account(team)
	if err := a.lock(ctx); err != nil {
		return false, err
	}
	defer a.unlock()
	err := b.commit(ctx, a, true, nil, func(l Ledger, _ uint64) (Ledger, bool) { return l.SetLimit(limit, revision) })
	if err != nil {
		return false, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Sum() <= a.ledger.Limit, nil
}

func (a *account) lock(ctx context.Context) error {
	select {
	case a.op <- struct{}{}:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (a *account) tryLock() bool {
	select {
	case a.op <- struct{}{}:
		return true
	default:
		return false
	}
}

func (a *account) unlock() { <-a.op }

// commit applies change to the ledger by compare-and-swap. change gets the ledger and the
// sequence number of the write, and returns false if there is nothing to write. If it
// lowers the allowance of this holder, it sets a.withheld to the difference first. The
// ledger is read before the first attempt if fresh is set or it was never read. end runs
// when the outcome is known.
func (b *Balancer) commit(ctx context.Context, a *account, fresh bool, end func(), change func(Ledger, uint64) (Ledger, bool)) error {
	if end == nil {
		end = func() {}
	}
	if err := b.resolve(ctx, a); err != nil {
		end()
		return err
	}
	for range maxConflicts {
		a.mu.Lock()
		read := a.read
		a.mu.Unlock()
		if fresh || !read {
			if err := b.read(ctx, a); err != nil {
				end()
				return err
			}
			fresh = false
		}
		// The term is taken before the write starts: the write then proves that the
		// share was still there after that term of the lease began.
		w := &write{
			term:     b.cfg.Members.Lease().Term,
			sequence: b.sequence.Add(1),
			end:      end,
		}
		a.mu.Lock()
		base := a.ledger
		w.expected = a.version
		a.mu.Unlock()
		next, ok := change(base, w.sequence)
		if !ok {
			end()
			return nil
		}
		value, err := next.Encode()
		if err != nil {
			end()
			return err
		}
		w.ledger = next
		w.value = value
		err = b.send(ctx, a, w, true)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if err := b.resolve(ctx, a); err != nil {
			return err
		}
	}
	end()
	return Error.Wrap(storer.ErrConflict)
}

// send makes one attempt to write w. Only on the first attempt does ErrUnavailable prove
// that nothing was written; later, an earlier attempt may still take effect.
func (b *Balancer) send(ctx context.Context, a *account, w *write, first bool) error {
	a.pending = w
	call, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	start := time.Now()
	version, err := b.cfg.Store.CompareAndSwap(call, storer.Write{
		Key:      KeyPrefix + a.team,
		Value:    w.value,
		Expected: w.expected,
	})
	b.cfg.Members.Observe(start, err)
	switch {
	case err == nil:
		b.settle(a, w, w.ledger, version, true)
		w.end()
		return nil
	case errors.Is(err, storer.ErrConflict):
		w.conflicted = true
	case first && (errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrTooLarge)):
		a.pending = nil
		a.mu.Lock()
		a.withheld = 0
		a.mu.Unlock()
		w.end()
	}
	return Error.Wrap(err)
}

// resolve finds the outcome of the pending write by repeating it: only a changed
// version proves that a delayed attempt cannot take effect any more.
func (b *Balancer) resolve(ctx context.Context, a *account) error {
	w := a.pending
	if w == nil {
		return nil
	}
	if !w.conflicted {
		err := b.send(ctx, a, w, false)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	l, version, err := b.get(ctx, a)
	if err != nil {
		return err
	}
	s, _ := l.Share(b.cfg.Holder.id)
	b.settle(a, w, l, version, s.Sequence == w.sequence)
	w.end()
	return nil
}

// settle ends the pending write. If the write was applied, the share is confirmed for the
// term in which the write started.
func (b *Balancer) settle(a *account, w *write, l Ledger, version storer.Version, applied bool) {
	a.pending = nil
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withheld = 0
	if applied {
		a.term = w.term
	}
	a.setLedger(b.cfg.Holder.id, l, version)
	b.cfg.Holder.wake(a, time.Now())
}

// read refreshes the ledger. The caller holds a.op.
func (b *Balancer) read(ctx context.Context, a *account) error {
	l, version, err := b.get(ctx, a)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLedger(b.cfg.Holder.id, l, version)
	b.cfg.Holder.wake(a, time.Now())
	return nil
}

func (b *Balancer) get(ctx context.Context, a *account) (Ledger, storer.Version, error) {
	call, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	start := time.Now()
	item, err := b.cfg.Store.Get(call, KeyPrefix+a.team)
	b.cfg.Members.Observe(start, err)
	if err != nil {
		return Ledger{}, 0, Error.Wrap(err)
	}
	if item.Version == 0 {
		return Ledger{}, 0, nil
	}
	l, err := DecodeLedger(item.Value)
	return l, item.Version, err
}

// takeToken reports whether the rate limit (writeInterval, writeBurst) allows another claim
// and transfer, and counts it.
func (b *Balancer) takeToken(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilled.IsZero() {
		b.tokens = min(writeBurst, b.tokens+float64(now.Sub(b.refilled))/float64(writeInterval))
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Run balances allowances until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(balancePeriod)
	defer ticker.Stop()
	balance := func(a *account) {
		if !a.tryLock() {
			return
		}
		wg.Go(func() {
			defer a.unlock()
			// A failure leaves the allowances as they are; the next call tries again.
			_ = b.balance(ctx, a)
		})
	}
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case a := <-b.cfg.Holder.shortages:
			balance(a)
		case <-ticker.C:
			b.cfg.Holder.accounts.Range(func(_, v any) bool {
				balance(v.(*account))
				return true
			})
			if b.sweepMu.TryLock() {
				wg.Go(func() {
					defer b.sweepMu.Unlock()
					_ = b.sweepIfDue(ctx)
				})
			}
		}
	}
}
