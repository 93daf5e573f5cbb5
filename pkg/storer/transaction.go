package storer

import (
	"context"
	"time"
)

// Condition requires that a key has the version. Zero requires that the key is absent.
type Condition struct {
	Key     string
	Version Version
}

// Put writes one key. The key is deleted when its lease ends; zero means no lease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys atomically if all conditions hold. It has at most
// MaxTransactionEntries conditions, puts and removals in total.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removals   []string
}

// MaxTransactionEntries is the platform's limit for one transaction.
const MaxTransactionEntries = 32

// Entries returns the number of conditions, puts and removals.
func (t Transaction) Entries() int {
	return len(t.Conditions) + len(t.Puts) + len(t.Removals)
}

// ConflictError reports the current items of the keys in the conditions. An absent key
// has version zero. It matches ErrConflict.
type ConflictError struct {
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes errors.Is match ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Find returns the item with the given key; absent keys have version zero.
func (e *ConflictError) Find(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{
		Key: key,
	}
}

// Event is a change of a key: the item that was written, or a deletion.
type Event struct {
	Item    Item
	Deleted bool
}

// Changes are the changes of the keys with a prefix, up to a revision of the store.
type Changes struct {
	Events   []Event
	Revision Version
}

// Listing holds the items with a prefix. They are read in pages and are not a snapshot:
// Revision is that of the first page, so that WatchPrefix from there misses no change.
type Listing struct {
	Items    []Item
	Revision Version
}

// Scan returns all items with the prefix. Where other writers may leave any number or size of them,
// ScanPages needs less memory.
func Scan(ctx context.Context, store TransactionalStore, prefix string) (Listing, error) {
	var listing Listing
	revision, err := store.ScanPages(ctx, prefix, func(items []Item) { listing.Items = append(listing.Items, items...) })
	if err != nil {
		return Listing{}, err
	}
	listing.Revision = revision
	return listing, nil
}

// TransactionalStore is a key-value service with one revision for all keys.
//
// Every method may return ErrUnavailable: nothing was done. Methods that write may also
// return ErrOutcomeUnknown. A transaction may then still take effect, even seconds later,
// while its conditions hold.
type TransactionalStore interface {
	// Read returns the current item; an absent key has version zero.
	Read(ctx context.Context, key string) (Item, error)
	// ScanPages passes the items with the prefix to page, some at a time, and returns the revision of
	// the Listing that Scan returns. After an error, page may have received a part of them.
	ScanPages(ctx context.Context, prefix string, page func(items []Item)) (Version, error)
	// WatchPrefix returns the changes of keys with the prefix after the revision. It waits for
	// the first one at most for wait. ErrHistoryLost and ErrUnusable mean that the caller has to scan
	// again.
	WatchPrefix(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
	// Commit applies the transaction and returns its revision. A conflict is reported as a
	// *ConflictError; ErrLeaseNotFound means that a lease of a put has ended.
	Commit(ctx context.Context, t Transaction) (Version, error)
	// GrantLease creates a lease and returns its time to live, which may differ from ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew extends a lease by its time to live; ErrLeaseNotFound when it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
