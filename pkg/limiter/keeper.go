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

// Members is the part of registrar.Registrar that Keeper uses.
type Members interface {
	Right() registrar.Right
	Begin(established bool) (end func(), err error)
	RefreshMembers(ctx context.Context) error
	Reclaimable(entry string, incarnation uint64) bool
	Epoch() (epoch string, rank int)
	Observe(start time.Time, err error)
}

// Config holds the dependencies and settings of a Keeper.
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

// Keeper reads and writes the ledgers for a Holder: it claims, transfers, returns and
// reclaims allowances in the background.
type Keeper struct {
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

// NewKeeper returns a Keeper that knows no limits yet; see SetLimits.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{
		cfg:    cfg,
		tokens: writeBurst,
		spares: map[string]map[HolderID]spare{},
	}
}

// SetLimits records the limits of a configuration revision. Teams that are not
// named have the limit zero.
func (k *Keeper) SetLimits(revision uint64, limits map[string]int) {
	for team := range limits {
		k.cfg.Holder.account(team)
	}
	k.cfg.Holder.accounts.Range(func(_, v any) bool {
		a := v.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		if revision > a.revision {
			a.limit = limits[a.team]
			a.revision = revision
			a.setCeiling(k.cfg.Holder.id)
		}
		return true
	})
}

// Settle records a changed limit in the ledger for the writer of the change. It also does
// so if the number equals the recorded one: a holder with an older configuration revision
// can then no longer set its older limit. The change is in force when Settle returns true,
// which means that the sum of the allowances is within the limit.
func (k *Keeper) Settle(ctx context.Context, team string, limit int, revision uint64) (bool, error) {
	a := k.cfg.Holder.account(team)
	if err := a.lock(ctx); err != nil {
		return false, err
	}
	defer a.unlock()
	err := k.commit(ctx, a, true, nil, func(l Ledger, _ uint64) (Ledger, bool) { return l.SetLimit(limit, revision) })
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
func (k *Keeper) commit(ctx context.Context, a *account, fresh bool, end func(), change func(Ledger, uint64) (Ledger, bool)) error {
	if end == nil {
		end = func() {}
	}
	if err := k.resolve(ctx, a); err != nil {
		end()
		return err
	}
	for range maxConflicts {
		a.mu.Lock()
		read := a.read
		a.mu.Unlock()
		if fresh || !read {
			if err := k.read(ctx, a); err != nil {
				end()
				return err
			}
			fresh = false
		}
		// The term is taken before the write starts: the write then proves that the
		// share was still there after that term of the lease began.
		w := &write{
			term:     k.cfg.Members.Right().Term,
			sequence: k.sequence.Add(1),
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
		err = k.send(ctx, a, w, true)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if err := k.resolve(ctx, a); err != nil {
			return err
		}
	}
	end()
	return Error.Wrap(storer.ErrConflict)
}

// send makes one attempt to write w. Only on the first attempt does ErrUnavailable prove
// that nothing was written; later, an earlier attempt may still take effect.
func (k *Keeper) send(ctx context.Context, a *account, w *write, first bool) error {
	a.pending = w
	call, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	start := time.Now()
	version, err := k.cfg.Store.CompareAndSwap(call, storer.Write{
		Key:      KeyPrefix + a.team,
		Value:    w.value,
		Expected: w.expected,
	})
	k.cfg.Members.Observe(start, err)
	switch {
	case err == nil:
		k.settle(a, w, w.ledger, version, true)
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
func (k *Keeper) resolve(ctx context.Context, a *account) error {
	w := a.pending
	if w == nil {
		return nil
	}
	if !w.conflicted {
		err := k.send(ctx, a, w, false)
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	l, version, err := k.get(ctx, a)
	if err != nil {
		return err
	}
	s, _ := l.Share(k.cfg.Holder.id)
	k.settle(a, w, l, version, s.Sequence == w.sequence)
	w.end()
	return nil
}

// settle ends the pending write. If the write was applied, the share is confirmed for the
// term in which the write started.
func (k *Keeper) settle(a *account, w *write, l Ledger, version storer.Version, applied bool) {
	a.pending = nil
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withheld = 0
	if applied {
		a.term = w.term
	}
	a.setLedger(k.cfg.Holder.id, l, version)
	k.cfg.Holder.wake(a, time.Now())
}

// read refreshes the ledger. The caller holds a.op.
func (k *Keeper) read(ctx context.Context, a *account) error {
	l, version, err := k.get(ctx, a)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLedger(k.cfg.Holder.id, l, version)
	k.cfg.Holder.wake(a, time.Now())
	return nil
}

func (k *Keeper) get(ctx context.Context, a *account) (Ledger, storer.Version, error) {
	call, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	start := time.Now()
	item, err := k.cfg.Store.Get(call, KeyPrefix+a.team)
	k.cfg.Members.Observe(start, err)
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
func (k *Keeper) takeToken(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.refilled.IsZero() {
		k.tokens = min(writeBurst, k.tokens+float64(now.Sub(k.refilled))/float64(writeInterval))
	}
	k.refilled = now
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Run balances allowances until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
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
			_ = k.balance(ctx, a)
		})
	}
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case a := <-k.cfg.Holder.shortages:
			balance(a)
		case <-ticker.C:
			k.cfg.Holder.accounts.Range(func(_, v any) bool {
				balance(v.(*account))
				return true
			})
			if k.sweepMu.TryLock() {
				wg.Go(func() {
					defer k.sweepMu.Unlock()
					_ = k.sweepIfDue(ctx)
				})
			}
		}
	}
}
