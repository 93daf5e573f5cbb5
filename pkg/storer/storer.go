// Package storer defines the key-value service that the platform provides. All state that
// must outlast a process is kept there.
//
// Store needs only compare-and-swap on the version of one key, leases and watches;
// TransactionalStore changes several keys at once. A write can take effect although its
// answer is lost, so callers put an operation id into each value and look for it after
// ErrOutcomeUnknown.
package storer

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Error is the class of all errors of this package.
var Error = errs.Class("storer")

var (
	// ErrConflict means that the key has another version than expected; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the service did not carry out the call; nothing was written.
	ErrUnavailable = errors.New("service unavailable")
	// ErrOutcomeUnknown means that a write got no valid answer: it may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge means that a value exceeds MaxValueBytes or a transaction
	// MaxTransactionEntries; nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrUnusable means that the service answered a read, but that the answer is too large, takes too
	// long to arrive or can't be decoded. The same read most likely gets the same answer.
	ErrUnusable = errors.New("answer of the service can't be used")
	// ErrHistoryLost means that changes since the requested revision are no longer available.
	ErrHistoryLost = errors.New("history lost")
)

// Version identifies one write of a key. A later write has a greater version,
// also after the key was deleted and created again. Zero means that the key is absent.
type Version uint64

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Item is a key with its value. Version is zero when the key is absent.
type Item struct {
	Key     string  `json:"key" cbor:"1,keyasint"`
	Value   []byte  `json:"value" cbor:"2,keyasint"`
	Version Version `json:"version" cbor:"3,keyasint"`
	Lease   LeaseID `json:"lease,omitempty" cbor:"4,keyasint,omitempty"`
}

// Write describes one compare-and-swap.
type Write struct {
	Key      string
	Value    []byte
	Expected Version // version the key must have; zero: the key must be absent
	Lease    LeaseID // the key is deleted when this lease ends; zero: none
}

// Store is the platform's key-value service.
//
// Every method may return ErrUnavailable. Writes may return ErrOutcomeUnknown.
// Errors wrap the sentinel errors of this package; test them with errors.Is.
type Store interface {
	// Get returns the item; an absent key gives an Item with Version zero and no error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap writes if the key has the expected version and returns the new one.
	CompareAndSwap(ctx context.Context, w Write) (Version, error)
	// Delete removes the key if it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch waits until the key has another version than known and returns the item.
	// It returns the unchanged item when wait has passed.
	Watch(ctx context.Context, key string, known Version, wait time.Duration) (Item, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live; ErrLeaseNotFound when it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
