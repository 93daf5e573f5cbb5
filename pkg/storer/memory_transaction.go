package storer

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"time"
)

var _ TransactionalStore = (*Memory)(nil)

// maxHistoryEvents bounds the history of changes.
const maxHistoryEvents = 8192

// Read implements TransactionalStore.
func (m *Memory) Read(ctx context.Context, key string) (Item, error) {
	return m.Get(ctx, key)
}

// Scan returns all items with the prefix.
func (m *Memory) Scan(ctx context.Context, prefix string) (Listing, error) {
	items, err := m.List(ctx, prefix)
	if err != nil {
		return Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return Listing{
		Items:    items,
		Revision: m.version,
	}, nil
}

// ScanPages implements TransactionalStore.
func (m *Memory) ScanPages(ctx context.Context, prefix string, page func(items []Item)) (Version, error) {
	listing, err := m.Scan(ctx, prefix)
	if err == nil && len(listing.Items) > 0 {
		page(listing.Items)
	}
	return listing.Revision, err
}

// WatchPrefix implements TransactionalStore.
func (m *Memory) WatchPrefix(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error) {
	deadline := time.Now().Add(wait)
	for {
		changes, changed, err := m.changesAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 || !time.Now().Before(deadline) {
			return changes, err
		}
		timer := time.NewTimer(min(time.Until(deadline), m.nextExpiry()))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Changes{}, Error.Wrap(ctx.Err())
		}
		timer.Stop()
	}
}

// Commit implements TransactionalStore.
func (m *Memory) Commit(ctx context.Context, t Transaction) (Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, Error.Wrap(err)
	}
	if t.Entries() > MaxTransactionEntries {
		return 0, Error.Wrap(ErrTooLarge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if err := m.check(t); err != nil {
		return 0, err
	}
	m.version++
	for _, put := range t.Puts {
		m.put(put)
	}
	for _, key := range t.Removals {
		m.remove(key)
	}
	m.notify()
	return m.version, nil
}

// GrantLease implements TransactionalStore.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error) {
	id, err := m.Grant(ctx, ttl)
	return id, ttl, err
}

// Compact drops the history of changes, as the platform may do at any time.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.horizon = m.version
}

func (m *Memory) check(t Transaction) error {
	conflict := false
	var items []Item
	for _, condition := range t.Conditions {
		item := m.get(condition.Key)
		conflict = conflict || item.Version != condition.Version
		items = append(items, item)
	}
	if conflict {
		return &ConflictError{
			Items: items,
		}
	}
	for _, put := range t.Puts {
		if len(put.Value) > MaxValueBytes {
			return Error.Wrap(ErrTooLarge)
		}
		if put.Lease != 0 && m.leases[put.Lease] == nil {
			return Error.Wrap(ErrLeaseNotFound)
		}
	}
	return nil
}

func (m *Memory) changesAfter(prefix string, after Version) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	changes := Changes{
		Revision: m.version,
	}
	if after < m.horizon {
		return changes, m.changed, Error.Wrap(ErrHistoryLost)
	}
	first := sort.Search(len(m.history), func(i int) bool { return m.history[i].Item.Version > after })
	for _, event := range m.history[first:] {
		if strings.HasPrefix(event.Item.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, m.changed, nil
}

// nextExpiry returns the time until the next lease expires, at most an hour.
func (m *Memory) nextExpiry() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := time.Hour
	for _, l := range m.leases {
		next = min(next, max(time.Until(l.expires), time.Millisecond))
	}
	return next
}

// put stores a key at the current version, which the caller has incremented.
func (m *Memory) put(put Put) {
	item := Item{
		Key:     put.Key,
		Value:   bytes.Clone(put.Value),
		Version: m.version,
		Lease:   put.Lease,
	}
	m.items[put.Key] = item
	m.record(Event{
		Item: item,
	})
}

// remove deletes a key at the current version, which the caller has incremented.
func (m *Memory) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.record(Event{
		Item: Item{
			Key:     key,
			Version: m.version,
		},
		Deleted: true,
	})
}

// record appends to the history and drops the older half when the history is full.
func (m *Memory) record(event Event) {
	m.history = append(m.history, event)
	if len(m.history) <= maxHistoryEvents {
		return
	}
	dropped := len(m.history) / 2
	m.horizon = m.history[dropped-1].Item.Version
	m.history = append([]Event(nil), m.history[dropped:]...)
}
