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

// TransferAnswer reports the number of slots that the donor transferred in the ledger.
// The recipient reads the ledger to learn its allowance, so a lost or late answer does
// no harm.
type TransferAnswer struct {
	Granted int `cbor:"1,keyasint"`
}

// spare is the spare allowance that a peer reported.
type spare struct {
	slots int
	at    time.Time
}

// spareTimeout is the age from which a report of spare allowance is ignored.
const spareTimeout = 3 * time.Second

// sweepDelay is multiplied by the rank of a live member to delay its sweep, so that
// normally only the first member writes.
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

// takeLargestSpare returns the peer with the largest reported spare allowance and removes
// its report, so that one report leads to at most one request.
func (k *Keeper) takeLargestSpare(team string, now time.Time) (HolderID, int) {
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

// hasSpare reports whether any peer has reported spare allowance within spareTimeout.
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

// balanceInput is the state of one team from which balance decides what to do.
type balanceInput struct {
	limitKnown   bool // a limit is configured
	ledgerRead   bool
	confirmed    bool // the share was written in the current term of the lease, or is zero
	limitDiffers bool // a newer configuration revision has another limit than the ledger
	unassigned   bool // the ledger as last read has unassigned allowance
	excess       int  // idle slots beyond this holder's part of a lowered limit
	deficit      int  // slots of demand beyond the allowance
}

func (k *Keeper) balanceInput(a *account, now time.Time) balanceInput {
	lease := k.cfg.Members.Right()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.signalled = false
	s := balanceInput{
		limitKnown:   a.revision > 0,
		ledgerRead:   a.read,
		confirmed:    a.term == lease.Term || a.allowance == 0,
		limitDiffers: a.read && a.revision > a.ledger.Revision && a.limit != a.ledger.Limit,
		unassigned:   a.ledger.Unassigned() > 0,
		deficit:      a.wanted(now) - a.allowance,
	}
	if a.ceiling < a.allowance {
		s.deficit = 0
		s.excess = max(0, a.allowance-max(a.running, a.ceiling))
	}
	return s
}

// balance applies a changed limit, confirms the share, returns excess allowance or
// obtains missing allowance for one team. The caller holds a.op.
func (k *Keeper) balance(ctx context.Context, a *account) error {
	if err := k.resolve(ctx, a); err != nil {
		return err
	}
	now := time.Now()
	if !k.cfg.Members.Right().Valid(now) {
		return nil
	}
	s := k.balanceInput(a, now)
	if s.limitDiffers {
		if err := k.commit(ctx, a, false, nil, func(l Ledger, _ uint64) (Ledger, bool) { return a.withLimit(l) }); err != nil {
			return err
		}
	}
	if !s.confirmed {
		if err := k.confirm(ctx, a); err != nil {
			return err
		}
	}
	if s.excess > 0 && !now.Before(a.nextReturn) {
		a.nextReturn = now.Add(excessReturnPeriod)
		return k.returnExcess(ctx, a)
	}
	if !s.limitKnown || s.deficit <= 0 {
		return nil
	}
	if a.claimed && (!s.unassigned && !k.hasSpare(a.team, now) && now.Before(a.nextRead) || !k.takeToken(now)) {
		return nil
	}
	if err := k.claim(ctx, a); err != nil {
		return err
	}
	return k.requestTransfer(ctx, a)
}

// withLimit sets the configured limit in the ledger if it differs.
func (a *account) withLimit(l Ledger) (Ledger, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit == l.Limit {
		return l, false
	}
	return l.SetLimit(a.limit, a.revision)
}

// confirm writes the share of this holder with its allowance unchanged, which proves that
// no other member has reclaimed it.
func (k *Keeper) confirm(ctx context.Context, a *account) error {
	return k.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		l, _ = l.Return(k.cfg.Holder.id, 0, sequence)
		_, ok := l.Share(k.cfg.Holder.id)
		return l, ok
	})
}

// returnExcess makes idle allowance unassigned after the limit was lowered.
func (k *Keeper) returnExcess(ctx context.Context, a *account) error {
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

// claim takes unassigned allowance for the demand plus a quarter, so that a growing demand
// needs fewer writes.
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

// requestTransfer asks the peer with the largest spare allowance for the slots that are
// still missing.
func (k *Keeper) requestTransfer(ctx context.Context, a *account) error {
	now := time.Now()
	if s := k.balanceInput(a, now); s.deficit > 0 {
		peer, slots := k.takeLargestSpare(a.team, now)
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
		if !k.balanceInput(a, now).confirmed {
			return k.confirm(ctx, a)
		}
		return err
	}
	return nil
}

// ServeTransfer transfers spare allowance to the peer that sent the request. The answer
// may grant fewer slots than requested, also none.
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

// Leave returns the allowances of this holder. Run must have ended, and no work may be
// started or renewed any more. If work is still running, Leave keeps its slots and returns
// ErrRunning; other members reclaim these slots once the member record is marked as left
// and the sessions of this holder have ended.
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

// sweepIfDue runs Sweep once after each change of the membership that can make the
// allowance of a lost holder reclaimable.
func (k *Keeper) sweepIfDue(ctx context.Context) error {
	epoch, rank := k.cfg.Members.Epoch()
	now := time.Now()
	if epoch != k.epoch {
		k.epoch = epoch
		k.epochStart = now
	}
	if epoch == k.sweptEpoch || now.Before(k.nextSweep) || now.Sub(k.epochStart) < time.Duration(min(rank, 4))*sweepDelay {
		return nil
	}
	k.nextSweep = now.Add(sweepRetry)
	if err := k.Sweep(ctx); err != nil {
		return err
	}
	k.sweptEpoch = epoch
	return nil
}

// Sweep reclaims, in all ledgers, the allowances of holders whose work has certainly ended.
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

// reclaim removes the shares of lost holders and returns how many it removed.
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

// sweep reclaims allowances in the ledger of one team. The ledger is read before the
// member list: a holder whose heartbeat is written after that list was read must write
// the ledger before it uses its share, and then the compare-and-swap of the reclaim fails.
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
