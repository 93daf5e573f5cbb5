package limiter

import (
	"context"
	"strings"
	"time"
)

// Peers sends requests to other holders.
type Peers interface {
	// TransferAllowance asks a peer to transfer allowance to the sender.
	TransferAllowance(ctx context.Context, to HolderID, r TransferRequest) (TransferAnswer, error)
}

// TransferRequest asks for allowance of a team.
type TransferRequest struct {
	Team   string   `cbor:"1,keyasint"`
	Amount int      `cbor:"2,keyasint"`
	Taker  HolderID `cbor:"3,keyasint"`
}

// TransferAnswer states what the giver wrote into the ledger. The taker reads the
// ledger to learn its allowance, so a lost or late answer does no harm.
type TransferAnswer struct {
	Granted int `cbor:"1,keyasint"`
}

type spare struct {
	slots int
	at    time.Time
}

// spareTimeout is how long a report of spare allowance is used.
const spareTimeout = 3 * time.Second

// sweepDelay spreads the sweeps of the live members, so that normally only the
// first one writes.
const sweepDelay = 5 * time.Second

// sweepRetry is the pause after a sweep that failed.
const sweepRetry = time.Second

// ObserveSpare records the spare allowance that a peer reported.
func (k *Keeper) ObserveSpare(peer HolderID, team string, slots int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spares[team] == nil {
		k.spares[team] = map[HolderID]spare{}
	}
	k.spares[team][peer] = spare{
		slots: slots,
		at:    time.Now(),
	}
}

// richest returns the peer with the largest reported spare allowance and forgets the report.
func (k *Keeper) richest(team string, now time.Time) (HolderID, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var best HolderID
	slots := 0
	for peer, s := range k.spares[team] {
		if now.Sub(s.at) >= spareTimeout {
			delete(k.spares[team], peer)
			continue
		}
		if s.slots > slots || s.slots == slots && slots > 0 && peer.compare(best) < 0 {
			best, slots = peer, s.slots
		}
	}
	delete(k.spares[team], best)
	return best, slots
}

// hasSpare tells whether a peer reported spare allowance recently.
func (k *Keeper) hasSpare(team string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.spares[team] {
		if s.slots > 0 && now.Sub(s.at) < spareTimeout {
			return true
		}
	}
	return false
}

// situation is what balance decides on.
type situation struct {
	known       bool // a limit is configured
	read        bool
	confirmed   bool
	limitDiffer bool
	unassigned  bool // the ledger as last read has unassigned allowance
	excess      int  // idle allowance beyond the own part of a lowered limit
	deficit     int  // demand beyond the allowance
}

func (k *Keeper) situation(a *account, now time.Time) situation {
	right := k.cfg.Members.Right()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.signalled = false
	s := situation{
		known:       a.revision > 0,
		read:        a.read,
		confirmed:   a.term == right.Term || a.allowance == 0,
		limitDiffer: a.read && a.revision > a.ledger.Revision && a.limit != a.ledger.Limit,
		unassigned:  a.ledger.Unassigned() > 0,
		deficit:     a.wanted(now) - a.allowance,
	}
	if a.ceiling < a.allowance {
		s.deficit = 0
		s.excess = max(0, a.allowance-max(a.running, a.ceiling))
	}
	return s
}

// balance does what the situation of one team asks for. The caller holds a.op.
func (k *Keeper) balance(ctx context.Context, a *account) error {
	if err := k.resolve(ctx, a); err != nil {
		return err
	}
	now := time.Now()
	if !k.cfg.Members.Right().Valid(now) {
		return nil
	}
	s := k.situation(a, now)
	if s.limitDiffer {
		if err := k.commit(ctx, a, false, nil, func(l Ledger, _ uint64) (Ledger, bool) { return a.withLimit(l) }); err != nil {
			return err
		}
	}
	if !s.confirmed {
		if err := k.confirm(ctx, a); err != nil {
			return err
		}
	}
	if s.excess > 0 && !now.Before(a.nextCut) {
		a.nextCut = now.Add(cutPeriod)
		return k.cut(ctx, a)
	}
	if !s.known || s.deficit <= 0 {
		return nil
	}
	if a.claimed && (!s.unassigned && !k.hasSpare(a.team, now) && now.Before(a.nextRead) || !k.take(now)) {
		return nil
	}
	if err := k.claim(ctx, a); err != nil {
		return err
	}
	return k.requestTransfer(ctx, a)
}

// withLimit applies the limit of the configuration if it differs from the ledger.
func (a *account) withLimit(l Ledger) (Ledger, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit == l.Limit {
		return l, false
	}
	return l.SetLimit(a.limit, a.revision)
}

// confirm writes the own share once, which proves that nobody reclaimed it.
func (k *Keeper) confirm(ctx context.Context, a *account) error {
	return k.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		l, _ = l.Return(k.cfg.Holder.id, 0, sequence)
		_, ok := l.Share(k.cfg.Holder.id)
		return l, ok
	})
}

// cut returns idle allowance after the limit was lowered.
func (k *Keeper) cut(ctx context.Context, a *account) error {
	return k.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		s, _ := l.Share(k.cfg.Holder.id)
		n := s.Allowance - max(a.running, l.Target(k.cfg.Holder.id))
		if n <= 0 {
			return l, false
		}
		a.withheld = n
		l, _ = l.Return(k.cfg.Holder.id, n, sequence)
		return l, true
	})
}

// claim takes unassigned allowance for the demand and a quarter more, so that a
// growing demand needs fewer writes.
func (k *Keeper) claim(ctx context.Context, a *account) error {
	err := k.commit(ctx, a, true, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		l, changed := a.withLimit(l)
		a.mu.Lock()
		want := a.wanted(time.Now())
		a.mu.Unlock()
		s, _ := l.Share(k.cfg.Holder.id)
		need := want - s.Allowance
		if need <= 0 || l.Unassigned() == 0 {
			return l, changed
		}
		l, _ = l.Claim(k.cfg.Holder.id, need+(want+3)/4, sequence)
		return l, true
	})
	if err != nil {
		return err
	}
	a.claimed = true
	a.nextRead = time.Now().Add(writeInterval)
	return nil
}

// requestTransfer asks the richest peer for what is still missing.
func (k *Keeper) requestTransfer(ctx context.Context, a *account) error {
	now := time.Now()
	if s := k.situation(a, now); s.deficit > 0 {
		peer, slots := k.richest(a.team, now)
		if slots == 0 {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, 2*k.cfg.CallTimeout)
		defer cancel()
		_, err := k.cfg.Peers.TransferAllowance(call, peer, TransferRequest{
			Team:   a.team,
			Amount: s.deficit,
			Taker:  k.cfg.Holder.id,
		})
		// The transfer may have taken effect even if the answer was lost.
		if err := k.read(ctx, a); err != nil {
			return err
		}
		if !k.situation(a, now).confirmed {
			return k.confirm(ctx, a)
		}
		return err
	}
	return nil
}

// ServeTransfer gives spare allowance to a peer.
func (k *Keeper) ServeTransfer(ctx context.Context, r TransferRequest) (TransferAnswer, error) {
	if r.Amount <= 0 || r.Taker == k.cfg.Holder.id {
		return TransferAnswer{}, Error.New("transfer: want a positive amount for another holder, got %d for %q", r.Amount, r.Taker.Entry)
	}
	a := k.cfg.Holder.account(r.Team)
	if err := a.lock(ctx); err != nil {
		return TransferAnswer{}, err
	}
	defer a.unlock()
	granted := 0
	err := k.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		granted = 0
		n := min(r.Amount, k.cfg.Holder.spare(a, time.Now()))
		if n <= 0 || l.Sum() > l.Limit {
			return l, false
		}
		a.withheld = n
		l, granted = l.Transfer(k.cfg.Holder.id, r.Taker, n, sequence)
		return l, true
	})
	if err != nil {
		return TransferAnswer{}, err
	}
	return TransferAnswer{Granted: granted}, nil
}

// Leave hands the allowances back. Run must have ended, and nothing may be started
// or renewed any more. What still runs keeps its slots and gives ErrRunning; other
// members reclaim them once the member record is marked as left and the sessions of
// this holder have ended.
func (k *Keeper) Leave(ctx context.Context) error {
	var failed error
	k.cfg.Holder.accounts.Range(func(_, v any) bool {
		if err := k.leave(ctx, v.(*account)); err != nil {
			failed = err
		}
		return true
	})
	return failed
}

func (k *Keeper) leave(ctx context.Context, a *account) error {
	if err := a.lock(ctx); err != nil {
		return err
	}
	defer a.unlock()
	running := 0
	err := k.commit(ctx, a, true, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		s, ok := l.Share(k.cfg.Holder.id)
		if !ok {
			return l, false
		}
		running = a.running
		a.withheld = max(0, s.Allowance-running)
		if running > 0 {
			l, returned := l.Return(k.cfg.Holder.id, a.withheld, sequence)
			return l, returned > 0
		}
		l, _ = l.Reclaim(k.cfg.Holder.id)
		return l, true
	})
	if err == nil && running > 0 {
		return Error.Wrap(ErrRunning)
	}
	return err
}

// sweepIfDue reclaims the allowances of lost holders once after each change of the
// membership that can make one reclaimable.
func (k *Keeper) sweepIfDue(ctx context.Context) error {
	epoch, rank := k.cfg.Members.Epoch()
	now := time.Now()
	if epoch != k.epoch {
		k.epoch = epoch
		k.epochTime = now
	}
	if epoch == k.sweptAt || now.Before(k.nextSweep) || now.Sub(k.epochTime) < time.Duration(min(rank, 4))*sweepDelay {
		return nil
	}
	k.nextSweep = now.Add(sweepRetry)
	if err := k.Sweep(ctx); err != nil {
		return err
	}
	k.sweptAt = epoch
	return nil
}

// Sweep reclaims the allowances of all holders whose work has certainly ended.
func (k *Keeper) Sweep(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	start := time.Now()
	items, err := k.cfg.Store.List(call, KeyPrefix)
	k.cfg.Members.Observe(start, err)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, item := range items {
		l, err := DecodeLedger(item.Value)
		if err != nil {
			return err
		}
		if _, n := k.reclaim(l); n == 0 {
			continue
		}
		if err := k.sweep(ctx, strings.TrimPrefix(item.Key, KeyPrefix)); err != nil {
			return err
		}
	}
	return nil
}

// reclaim removes the shares of lost holders and tells their number.
func (k *Keeper) reclaim(l Ledger) (Ledger, int) {
	n := 0
	for _, s := range l.Shares {
		if s.Holder() != k.cfg.Holder.id && k.cfg.Members.Reclaimable(s.Entry, s.Inc) {
			l, _ = l.Reclaim(s.Holder())
			n++
		}
	}
	return l, n
}

// sweep reclaims in one ledger. The ledger is read before the member list: a holder
// whose heartbeat comes after that list must write the ledger before it uses its
// share, and then the compare-and-swap of the reclaim fails.
func (k *Keeper) sweep(ctx context.Context, team string) error {
	a := k.cfg.Holder.account(team)
	if err := a.lock(ctx); err != nil {
		return err
	}
	defer a.unlock()
	if err := k.resolve(ctx, a); err != nil {
		return err
	}
	if err := k.read(ctx, a); err != nil {
		return err
	}
	if err := k.cfg.Members.RefreshMembers(ctx); err != nil {
		return err
	}
	end, err := k.cfg.Members.Begin(true)
	if err != nil {
		return err
	}
	attempted := false
	return k.commit(ctx, a, false, end, func(l Ledger, _ uint64) (Ledger, bool) {
		if attempted {
			return l, false // the member list is older than this ledger
		}
		attempted = true
		l, n := k.reclaim(l)
		return l, n > 0
	})
}
