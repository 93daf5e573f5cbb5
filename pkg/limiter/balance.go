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
	Team      string   `cbor:"1,keyasint"`
	Amount    int      `cbor:"2,keyasint"`
	Recipient HolderID `cbor:"3,keyasint"`
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
func (b *Balancer) ObserveSpare(peer HolderID, team string, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spares[team] == nil {
		b.spares[team] = map[HolderID]spare{}
	}
	b.spares[team][peer] = spare{
		slots: slots,
		at:    time.Now(),
	}
}

// takeLargestSpare returns the peer with the largest reported spare allowance and removes
// its report, so that one report leads to at most one request.
func (b *Balancer) takeLargestSpare(team string, now time.Time) (HolderID, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best HolderID
	slots := 0
	for peer, s := range b.spares[team] {
		if now.Sub(s.at) >= spareTimeout {
			delete(b.spares[team], peer)
			continue
		}
		if s.slots > slots || s.slots == slots && slots > 0 && peer.compare(best) < 0 {
			best, slots = peer, s.slots
		}
	}
	delete(b.spares[team], best)
	return best, slots
}

// hasSpare reports whether any peer has reported spare allowance within spareTimeout.
func (b *Balancer) hasSpare(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.spares[team] {
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

func (b *Balancer) balanceInput(a *account, now time.Time) balanceInput {
	lease := b.cfg.Members.Lease()
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
func (b *Balancer) balance(ctx context.Context, a *account) error {
	if err := b.resolve(ctx, a); err != nil {
		return err
	}
	now := time.Now()
	if !b.cfg.Members.Lease().Valid(now) {
		return nil
	}
	s := b.balanceInput(a, now)
	if s.limitDiffers {
		if err := b.commit(ctx, a, false, nil, func(l Ledger, _ uint64) (Ledger, bool) { return a.withLimit(l) }); err != nil {
			return err
		}
	}
	if !s.confirmed {
		if err := b.confirm(ctx, a); err != nil {
			return err
		}
	}
	if s.excess > 0 && !now.Before(a.nextReturn) {
		a.nextReturn = now.Add(excessReturnPeriod)
		return b.returnExcess(ctx, a)
	}
	if !s.limitKnown || s.deficit <= 0 {
		return nil
	}
	if a.claimed && (!s.unassigned && !b.hasSpare(a.team, now) && now.Before(a.nextRead) || !b.takeToken(now)) {
		return nil
	}
	if err := b.claim(ctx, a); err != nil {
		return err
	}
	return b.requestTransfer(ctx, a)
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
func (b *Balancer) confirm(ctx context.Context, a *account) error {
	return b.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		l, _ = l.Return(b.cfg.Holder.id, 0, sequence)
		_, ok := l.Share(b.cfg.Holder.id)
		return l, ok
	})
}

// returnExcess makes idle allowance unassigned after the limit was lowered.
func (b *Balancer) returnExcess(ctx context.Context, a *account) error {
	return b.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		s, _ := l.Share(b.cfg.Holder.id)
		n := s.Allowance - max(a.running, l.Target(b.cfg.Holder.id))
		if n <= 0 {
			return l, false
		}
		a.withheld = n
		l, _ = l.Return(b.cfg.Holder.id, n, sequence)
		return l, true
	})
}

// claim takes unassigned allowance for the demand plus a quarter, so that a growing demand
// needs fewer writes.
func (b *Balancer) claim(ctx context.Context, a *account) error {
	err := b.commit(ctx, a, true, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		l, changed := a.withLimit(l)
		a.mu.Lock()
		want := a.wanted(time.Now())
		a.mu.Unlock()
		s, _ := l.Share(b.cfg.Holder.id)
		need := want - s.Allowance
		if need <= 0 || l.Unassigned() == 0 {
			return l, changed
		}
		l, _ = l.Claim(b.cfg.Holder.id, need+(want+3)/4, sequence)
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
func (b *Balancer) requestTransfer(ctx context.Context, a *account) error {
	now := time.Now()
	if s := b.balanceInput(a, now); s.deficit > 0 {
		peer, slots := b.takeLargestSpare(a.team, now)
		if slots == 0 {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, 2*b.cfg.CallTimeout)
		defer cancel()
		_, err := b.cfg.Peers.TransferAllowance(call, peer, TransferRequest{
			Team:      a.team,
			Amount:    s.deficit,
			Recipient: b.cfg.Holder.id,
		})
		// The transfer may have taken effect even if the answer was lost.
		if err := b.read(ctx, a); err != nil {
			return err
		}
		if !b.balanceInput(a, now).confirmed {
			return b.confirm(ctx, a)
		}
		return err
	}
	return nil
}

// ServeTransfer transfers spare allowance to the peer that sent the request. The answer
// may grant fewer slots than requested, also none.
func (b *Balancer) ServeTransfer(ctx context.Context, r TransferRequest) (TransferAnswer, error) {
	if r.Amount <= 0 || r.Recipient == b.cfg.Holder.id {
		return TransferAnswer{}, Error.New("transfer: want a positive amount for another holder, got %d for %q", r.Amount, r.Recipient.Entry)
	}
	a := b.cfg.Holder.account(r.Team)
	if err := a.lock(ctx); err != nil {
		return TransferAnswer{}, err
	}
	defer a.unlock()
	granted := 0
	err := b.commit(ctx, a, false, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		granted = 0
		n := min(r.Amount, b.cfg.Holder.spare(a, time.Now()))
		if n <= 0 || l.Sum() > l.Limit {
			return l, false
		}
		a.withheld = n
		l, granted = l.Transfer(b.cfg.Holder.id, r.Recipient, n, sequence)
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
func (b *Balancer) Leave(ctx context.Context) error {
	var failed error
	b.cfg.Holder.accounts.Range(func(_, v any) bool {
		if err := b.leave(ctx, v.(*account)); err != nil {
			failed = err
		}
		return true
	})
	return failed
}

func (b *Balancer) leave(ctx context.Context, a *account) error {
	if err := a.lock(ctx); err != nil {
		return err
	}
	defer a.unlock()
	running := 0
	err := b.commit(ctx, a, true, nil, func(l Ledger, sequence uint64) (Ledger, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		s, ok := l.Share(b.cfg.Holder.id)
		if !ok {
			return l, false
		}
		running = a.running
		a.withheld = max(0, s.Allowance-running)
		if running > 0 {
			l, returned := l.Return(b.cfg.Holder.id, a.withheld, sequence)
			return l, returned > 0
		}
		l, _ = l.Reclaim(b.cfg.Holder.id)
		return l, true
	})
	if err == nil && running > 0 {
		return Error.Wrap(ErrRunning)
	}
	return err
}

// sweepIfDue runs Sweep once after each change of the membership that can make the
// allowance of a lost holder reclaimable.
func (b *Balancer) sweepIfDue(ctx context.Context) error {
	epoch, rank := b.cfg.Members.Epoch()
	now := time.Now()
	if epoch != b.epoch {
		b.epoch = epoch
		b.epochStart = now
	}
	if epoch == b.sweptEpoch || now.Before(b.nextSweep) || now.Sub(b.epochStart) < time.Duration(min(rank, 4))*sweepDelay {
		return nil
	}
	b.nextSweep = now.Add(sweepRetry)
	if err := b.Sweep(ctx); err != nil {
		return err
	}
	b.sweptEpoch = epoch
	return nil
}

// Sweep reclaims, in all ledgers, the allowances of holders whose work has certainly ended.
func (b *Balancer) Sweep(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	start := time.Now()
	items, err := b.cfg.Store.List(call, KeyPrefix)
	b.cfg.Members.Observe(start, err)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, item := range items {
		l, err := DecodeLedger(item.Value)
		if err != nil {
			return err
		}
		if _, n := b.reclaim(l); n == 0 {
			continue
		}
		if err := b.sweep(ctx, strings.TrimPrefix(item.Key, KeyPrefix)); err != nil {
			return err
		}
	}
	return nil
}

// reclaim removes the shares of lost holders and returns how many it removed.
func (b *Balancer) reclaim(l Ledger) (Ledger, int) {
	n := 0
	for _, s := range l.Shares {
		if s.Holder() != b.cfg.Holder.id && b.cfg.Members.Reclaimable(s.Entry, s.Inc) {
			l, _ = l.Reclaim(s.Holder())
			n++
		}
	}
	return l, n
}

// sweep reclaims allowances in the ledger of one team. The ledger is read before the
// member list: a holder whose heartbeat is written after that list was read must write
// the ledger before it uses its share, and then the compare-and-swap of the reclaim fails.
func (b *Balancer) sweep(ctx context.Context, team string) error {
	a := b.cfg.Holder.account(team)
	if err := a.lock(ctx); err != nil {
		return err
	}
	defer a.unlock()
	if err := b.resolve(ctx, a); err != nil {
		return err
	}
	if err := b.read(ctx, a); err != nil {
		return err
	}
	if err := b.cfg.Members.RefreshMembers(ctx); err != nil {
		return err
	}
	end, err := b.cfg.Members.Begin(true)
	if err != nil {
		return err
	}
	attempted := false
	return b.commit(ctx, a, false, end, func(l Ledger, _ uint64) (Ledger, bool) {
		if attempted {
			return l, false // the member list is older than this ledger
		}
		attempted = true
		l, n := b.reclaim(l)
		return l, n > 0
	})
}
