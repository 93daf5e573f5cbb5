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

// Members is what Keeper needs of a registrar.Registrar.
type Members interface {
	Right() registrar.Right
	Begin(established bool) (end func(), err error)
	RefreshMembers(ctx context.Context) error
	Reclaimable(entry string, incarnation uint64) bool
	Epoch() (epoch string, rank int)
	Observe(start time.Time, err error)
}

// Config constructs a Keeper.
type Config struct {
	Store       storer.Store
	Members     Members
	Peers       Peers
	Holder      *Holder
	CallTimeout time.Duration // bound of one call to the service or a peer
}

const (
	// balancePeriod is how often unmet demand and lowered limits are looked at.
	balancePeriod = 250 * time.Millisecond
	// cutPeriod bounds the writes that follow a lowered limit.
	cutPeriod = time.Second
	// writeInterval and writeBurst bound the rounds of claim and transfer of one
	// holder, so that the writes of the fleet stay within the service's rate.
	writeInterval = 4 * time.Second
	writeBurst    = 4
	// maxConflicts bounds the attempts of one change against other writers.
	maxConflicts = 16
)

// Keeper moves allowances between the ledgers and a Holder.
type Keeper struct {
	cfg      Config
	sequence atomic.Uint64

	mu     sync.Mutex
	tokens float64
	filled time.Time
	spares map[string]map[HolderID]spare // team -> peer

	sweepMu   sync.Mutex
	sweptAt   string // epoch of the last complete sweep
	epoch     string
	epochTime time.Time
	nextSweep time.Time
}

// write is a compare-and-swap whose outcome is not known yet.
type write struct {
	ledger     Ledger
	value      []byte
	expected   storer.Version
	term       uint64
	sequence   uint64
	conflicted bool // the key has another version; a read tells whose
	end        func()
}

// NewKeeper returns a Keeper.
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

// Settle records a changed limit in the ledger for the writer of the change, also if
// the number equals the recorded one: a holder with an older revision can then no
// longer set its older limit. The change is in force when Settle returns true, which
// means that the sum of the allowances is within the limit.
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

// commit applies change to the ledger by compare-and-swap. change returns false if
// there is nothing to write; what it lowers of the own allowance it withholds before.
// end runs when the outcome is known.
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
		// share was still there after the right of that term began.
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

// send writes once. Only the first attempt may take ErrUnavailable for a proof that
// nothing was written; later, an earlier attempt may still take effect.
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

// settle ends the pending write. If it took effect, the share is confirmed for its term.
func (k *Keeper) settle(a *account, w *write, l Ledger, version storer.Version, took bool) {
	a.pending = nil
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withheld = 0
	if took {
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

// take tells whether the rate bound permits another round of claim and transfer.
func (k *Keeper) take(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.filled.IsZero() {
		k.tokens = min(writeBurst, k.tokens+float64(now.Sub(k.filled))/float64(writeInterval))
	}
	k.filled = now
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
			// A failure leaves the allowances as they are; the next turn tries again.
			_ = k.balance(ctx, a)
		})
	}
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case a := <-k.cfg.Holder.short:
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
