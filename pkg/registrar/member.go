// Package registrar keeps the membership of the entry daemons: member records
// with heartbeats, the freshness of the configuration, promises between
// members during an outage of the key-value service, and the lease (see Lease)
// that lets a member use its allowances.
//
// The service is the key-value service. The head is the newest committed revision of
// the configuration; keyed work is admitted only shortly after proof that the known
// revision was the head. A member is established once an established member has
// confirmed it, so that every promise from then on takes it into account.
//
// Decisions are methods of State, which does no I/O and reads no clock. Registrar makes
// the calls to the service and to other members.
package registrar

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("registrar")

var (
	// ErrSuperseded means that another incarnation owns the member record, or that the record
	// was marked as left.
	ErrSuperseded = errors.New("member record belongs to another incarnation or is marked as left")
	// ErrNotEstablished means that no established member has confirmed this one yet.
	ErrNotEstablished = errors.New("member not established")
	// ErrPromised means that a promise given to another member forbids the change.
	ErrPromised = errors.New("change forbidden by a promise to another member")
	// ErrPending means that a fenced change (see State.Begin) is under way or its outcome is
	// not known yet, that a promise to another member is still valid, or that State.Missing
	// cannot decide yet.
	ErrPending = errors.New("change or promise not settled yet")
	// ErrNoPromise means that a member refused its promise or did not answer.
	ErrNoPromise = errors.New("promise refused or not answered")
)

// KeyPrefix is the common prefix of the keys of all member records.
const KeyPrefix = "member/"

// maxNameBytes bounds names and addresses in a record.
const maxNameBytes = 255

// Member is the record member/<entry> of an entry daemon.
type Member struct {
	Entry            string `cbor:"1,keyasint"`
	Incarnation      uint64 `cbor:"2,keyasint"` // random, never zero
	Address          string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Counter          uint64 `cbor:"5,keyasint"`           // grows by one with each heartbeat
	Revision         uint64 `cbor:"6,keyasint"`           // configuration revision in force
	Left             bool   `cbor:"7,keyasint,omitempty"` // the member has stopped for good
}

// Key returns the key of the record.
func (m Member) Key() string { return KeyPrefix + m.Entry }

// Encode returns the record in CBOR, as it is stored.
func (m Member) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}

// DecodeMember parses a stored record. It rejects a record without an entry name or
// incarnation, or with fields that are too long.
func DecodeMember(b []byte) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Member{}, Error.New("member record: %w", err)
	}
	if m.Entry == "" || len(m.Entry) > maxNameBytes || len(m.Address) > maxNameBytes || len(m.AvailabilityZone) > maxNameBytes {
		return Member{}, Error.New("member record: entry name missing or a field longer than %d bytes", maxNameBytes)
	}
	if m.Incarnation == 0 {
		return Member{}, Error.New("member record of %q: incarnation is 0", m.Entry)
	}
	return m, nil
}

// Timing holds the time limits of the membership protocol.
type Timing struct {
	HeartbeatInterval time.Duration
	StalenessLimit    time.Duration // how long a proof of the head permits keyed work; also the validity of a promise
	HolderTimeout     time.Duration // how long a heartbeat permits starting and renewing work
	SessionTTL        time.Duration // how long a worker keeps work running after a renewal
	ReportTimeout     time.Duration // a member without a report for this time is not live
	CallTimeout       time.Duration // of one call to the service or to another member
}

// DefaultTiming returns the time limits that entry daemons use.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 5 * time.Second,
		StalenessLimit:    3 * time.Second,
		HolderTimeout:     60 * time.Second,
		SessionTTL:        10 * time.Second,
		ReportTimeout:     3 * time.Second,
		CallTimeout:       500 * time.Millisecond,
	}
}

// ExpireAfter is how long a heartbeat counter must be seen unchanged before the
// allowance of its member may be reclaimed. It includes two session TTLs, because a member
// that is paused between checking its lease and renewing a session extends work once more.
func (t Timing) ExpireAfter() time.Duration {
	return withDrift(t.HolderTimeout+2*t.SessionTTL) + time.Second
}

// ReplacedAfter is how long to wait before the allowance of a member may be reclaimed whose
// process is known to have ended.
func (t Timing) ReplacedAfter() time.Duration {
	return withDrift(2*t.SessionTTL) + time.Second
}

// StaleUseLimit is the time after which a member without proof of freshness has certainly
// stopped using an older configuration.
func (t Timing) StaleUseLimit() time.Duration {
	return withDrift(t.StalenessLimit) + 500*time.Millisecond
}

// PromiseDuration is how long a member keeps its promise. It is longer than the validity that
// the requester assumes, because both clocks may drift by 1% in opposite directions.
func (t Timing) PromiseDuration() time.Duration {
	return t.StalenessLimit + t.StalenessLimit/30
}

// withDrift adds 1%, the assumed upper bound of clock drift.
func withDrift(d time.Duration) time.Duration { return d + d/100 }
