// Package registrar keeps the membership of the entry daemons: member records
// with heartbeats, the freshness of the configuration, promises between
// members during an outage of the key-value service, and the bounded right of
// a holder to use its allowances.
//
// Decisions are methods of State, which does no I/O and reads no clock.
// Registrar carries them out.
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
	// ErrSuperseded means that another incarnation owns the member record or that the record was marked as left.
	ErrSuperseded = errors.New("member superseded")
	// ErrNotEstablished means that no established member has confirmed this one yet.
	ErrNotEstablished = errors.New("member not established")
	// ErrPromised means that a promise given to another member forbids the change.
	ErrPromised = errors.New("promise outstanding")
	// ErrPending means that a fenced change is under way or its outcome is unknown.
	ErrPending = errors.New("fenced change pending")
	// ErrNoPromise means that a member refused its promise or did not answer.
	ErrNoPromise = errors.New("promise refused")
)

// KeyPrefix is the common prefix of the keys of all member records.
const KeyPrefix = "member/"

// maxNameBytes bounds names and addresses in a record.
const maxNameBytes = 255

// Member is the record member/<entry>.
type Member struct {
	Entry            string `cbor:"1,keyasint"`
	Incarnation      uint64 `cbor:"2,keyasint"` // random, never zero
	Address          string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Counter          uint64 `cbor:"5,keyasint"` // grows by one with each heartbeat
	Revision         uint64 `cbor:"6,keyasint"` // configuration revision in force
	Left             bool   `cbor:"7,keyasint,omitempty"`
}

// Key returns the key of the record.
func (m Member) Key() string { return KeyPrefix + m.Entry }

// Encode returns the stored form of the record.
func (m Member) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}

// DecodeMember parses a stored record.
func DecodeMember(b []byte) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Member{}, Error.New("member record: %w", err)
	}
	if m.Entry == "" || len(m.Entry) > maxNameBytes || len(m.Address) > maxNameBytes || len(m.AvailabilityZone) > maxNameBytes {
		return Member{}, Error.New("member record: want an entry name and fields of at most %d bytes", maxNameBytes)
	}
	if m.Incarnation == 0 {
		return Member{}, Error.New("member record of %q: want an incarnation other than 0", m.Entry)
	}
	return m, nil
}

// Timing holds the time limits of the membership protocol.
type Timing struct {
	HeartbeatInterval time.Duration
	StalenessLimit    time.Duration // how long a proof of the head permits keyed work; also the validity of a promise
	HolderTimeout     time.Duration // how long a heartbeat permits starting and renewing work
	SessionTTL        time.Duration
	ReportTimeout     time.Duration // a member without a report for this time is not live
	CallTimeout       time.Duration // bound of one call to the service or a peer
}

// DefaultTiming returns the limits of the design.
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
// allowance of its member may be reclaimed. A renewal that was checked just
// before a pause extends work once more, hence two session TTLs.
func (t Timing) ExpireAfter() time.Duration {
	return withDrift(t.HolderTimeout+2*t.SessionTTL) + time.Second
}

// ReplacedAfter is the wait for a member whose process is known to be gone.
func (t Timing) ReplacedAfter() time.Duration {
	return withDrift(2*t.SessionTTL) + time.Second
}

// LoseRightAfter is when a member without proof of freshness has certainly stopped
// using an older configuration.
func (t Timing) LoseRightAfter() time.Duration {
	return withDrift(t.StalenessLimit) + 500*time.Millisecond
}

// PromiseHold is how long the giver keeps a promise. It exceeds the validity that
// the asker counts on, because both clocks may drift by 1% in opposite directions.
func (t Timing) PromiseHold() time.Duration {
	return t.StalenessLimit + t.StalenessLimit/30
}

// withDrift adds the assumed bound of 1% on clock-rate drift.
func withDrift(d time.Duration) time.Duration { return d + d/100 }
