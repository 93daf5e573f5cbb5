// Package limiter keeps the number of running slots of each team within the upper
// limit of the team across the whole fleet.
//
// Every team has a ledger in the key-value service that divides the limit into
// allowances of the holders. A holder is one incarnation of an entry daemon. It starts
// work only within its allowance and while its lease (registrar.Lease) is valid, which
// needs no I/O. The methods of Ledger are pure functions, Holder is the hot path, and
// Balancer changes the ledgers in the background.
package limiter

import (
	"cmp"
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("limiter")

var (
	// ErrNoAllowance means that the allowance of this holder does not suffice at present.
	ErrNoAllowance = errors.New("no allowance")
	// ErrLeaseExpired means that the lease of this holder has expired, so that it may not
	// start or renew work.
	ErrLeaseExpired = errors.New("lease of the holder expired")
	// ErrRunning means that work is still running.
	ErrRunning = errors.New("work is still running")
)

// KeyPrefix is the common prefix of the keys of all ledgers.
const KeyPrefix = "limit/"

// maxSlots bounds limits and allowances so that their sums do not overflow.
const maxSlots = 1 << 31

// HolderID identifies an incarnation of an entry daemon.
type HolderID struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

func (h HolderID) compare(o HolderID) int {
	return cmp.Or(cmp.Compare(h.Entry, o.Entry), cmp.Compare(h.Incarnation, o.Incarnation))
}

// Share is the entry of one holder in a ledger.
type Share struct {
	_         struct{} `cbor:",toarray"`
	Entry     string
	Inc       uint64
	Allowance int    // slots
	Sequence  uint64 // number of the last write by the holder itself that changed the share
}

// Holder returns the holder of the share.
func (s Share) Holder() HolderID {
	return HolderID{
		Entry:       s.Entry,
		Incarnation: s.Inc,
	}
}

// Ledger is the document limit/<team>. Methods that change it return a changed copy. Only
// Claim increases the sum of the allowances, and only up to the limit.
type Ledger struct {
	Limit    int     `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint"` // configuration revision that set the limit
	Shares   []Share `cbor:"3,keyasint"` // sorted by holder
}

// Encode returns the ledger in CBOR, as it is stored.
func (l Ledger) Encode() ([]byte, error) {
	b, err := cbor.Marshal(l)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}

// DecodeLedger parses a stored ledger and rejects one that breaks the invariants: limit and
// allowances in range, shares sorted by holder without duplicates.
func DecodeLedger(b []byte) (Ledger, error) {
	var l Ledger
	if err := cbor.Unmarshal(b, &l); err != nil {
		return Ledger{}, Error.New("ledger: %w", err)
	}
	if l.Limit < 0 || l.Limit > maxSlots {
		return Ledger{}, Error.New("ledger: want a limit between 0 and %d, got %d", maxSlots, l.Limit)
	}
	for i, s := range l.Shares {
		if s.Entry == "" || s.Allowance < 0 || s.Allowance > maxSlots {
			return Ledger{}, Error.New("ledger: want a holder and an allowance between 0 and %d, got %q and %d", maxSlots, s.Entry, s.Allowance)
		}
		if i > 0 && l.Shares[i-1].Holder().compare(s.Holder()) >= 0 {
			return Ledger{}, Error.New("ledger: want shares sorted by holder, got %q out of order", s.Entry)
		}
	}
	return l, nil
}

// Sum returns the sum of all allowances.
func (l Ledger) Sum() int {
	n := 0
	for _, s := range l.Shares {
		n += s.Allowance
	}
	return n
}

// Unassigned returns the slots of the limit that no holder has. It is zero while the sum of
// the allowances is above the limit.
func (l Ledger) Unassigned() int { return max(0, l.Limit-l.Sum()) }

// Share returns the share of a holder, and false if it has none.
func (l Ledger) Share(h HolderID) (Share, bool) {
	i, ok := l.find(h)
	if !ok {
		return Share{}, false
	}
	return l.Shares[i], true
}

// Target returns how many slots a holder may use and keep: its allowance or, while the sum
// is above the limit, a part of the limit in proportion to its allowance.
func (l Ledger) Target(h HolderID) int {
	s, _ := l.Share(h)
	sum := l.Sum()
	if sum <= l.Limit {
		return s.Allowance
	}
	return int(int64(s.Allowance) * int64(l.Limit) / int64(sum))
}

func (l Ledger) find(h HolderID) (int, bool) {
	return slices.BinarySearchFunc(l.Shares, h, func(s Share, h HolderID) int { return s.Holder().compare(h) })
}

// edit returns a copy of the ledger and a pointer to the share of the holder in it, which
// is created if absent.
func (l Ledger) edit(h HolderID) (Ledger, *Share) {
	i, ok := l.find(h)
	l.Shares = slices.Clone(l.Shares)
	if !ok {
		l.Shares = slices.Insert(l.Shares, i, Share{
			Entry: h.Entry,
			Inc:   h.Incarnation,
		})
	}
	return l, &l.Shares[i]
}

// Claim assigns up to n unassigned slots to a holder and returns how many.
func (l Ledger) Claim(h HolderID, n int, sequence uint64) (Ledger, int) {
	n = max(0, min(n, l.Unassigned()))
	l, s := l.edit(h)
	s.Allowance += n
	s.Sequence = sequence
	return l, n
}

// Transfer moves up to n slots from one holder, which writes the change, to another, and
// returns how many.
func (l Ledger) Transfer(from, to HolderID, n int, sequence uint64) (Ledger, int) {
	s, ok := l.Share(from)
	if !ok || from == to {
		return l, 0
	}
	n = max(0, min(n, s.Allowance))
	l, donor := l.edit(from)
	donor.Allowance -= n
	donor.Sequence = sequence
	l, recipient := l.edit(to)
	recipient.Allowance += n
	return l, n
}

// Return makes up to n slots of a holder unassigned and returns how many. With n = 0 it
// sets only the sequence number, which confirms the share once it is written.
func (l Ledger) Return(h HolderID, n int, sequence uint64) (Ledger, int) {
	s, ok := l.Share(h)
	if !ok {
		return l, 0
	}
	n = max(0, min(n, s.Allowance))
	l, share := l.edit(h)
	share.Allowance -= n
	share.Sequence = sequence
	return l, n
}

// Reclaim removes the share of a holder whose work has certainly ended, and returns the
// allowance that the share had.
func (l Ledger) Reclaim(h HolderID) (Ledger, int) {
	i, ok := l.find(h)
	if !ok {
		return l, 0
	}
	n := l.Shares[i].Allowance
	l.Shares = slices.Delete(slices.Clone(l.Shares), i, i+1)
	return l, n
}

// SetLimit records the limit of a configuration revision. It returns false and changes
// nothing unless the revision is newer than the recorded one. Allowances stay; Target
// follows the limit.
func (l Ledger) SetLimit(limit int, revision uint64) (Ledger, bool) {
	if revision <= l.Revision {
		return l, false
	}
	l.Limit = max(0, min(limit, maxSlots))
	l.Revision = revision
	return l, true
}
