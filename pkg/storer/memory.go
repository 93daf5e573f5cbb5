package storer

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Memory is an in-memory Store and TransactionalStore for tests and the emulated platform.
// It reads the time from package time, so it follows the virtual time of testing/synctest.
type Memory struct {
	mu      sync.Mutex
	version Version
	lease   LeaseID
	items   map[string]Item
	leases  map[LeaseID]*lease
	history []Event
	horizon Version       // changes up to this version are no longer in history
	changed chan struct{} // closed and replaced at each change
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		items:   map[string]Item{},
		leases:  map[LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

var _ Store = (*Memory)(nil)

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Item, error) {
	if err := ctx.Err(); err != nil {
		return Item{}, Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	return m.get(key), nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Item, error) {
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var items []Item
	for key := range m.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, m.get(key))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, nil
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, w Write) (Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, Error.Wrap(err)
	}
	if len(w.Value) > MaxValueBytes {
		return 0, Error.Wrap(ErrTooLarge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.items[w.Key].Version != w.Expected {
		return 0, Error.Wrap(ErrConflict)
	}
	if w.Lease != 0 && m.leases[w.Lease] == nil {
		return 0, Error.Wrap(ErrLeaseNotFound)
	}
	m.version++
	m.put(Put{
		Key:   w.Key,
		Value: w.Value,
		Lease: w.Lease,
	})
	m.notify()
	return m.version, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expected Version) error {
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.items[key].Version != expected {
		return Error.Wrap(ErrConflict)
	}
	m.version++
	m.remove(key)
	m.notify()
	return nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, key string, known Version, wait time.Duration) (Item, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		item, changed, expiry := m.watchState(key)
		if item.Version != known {
			return item, nil
		}
		select {
		case <-changed:
		case <-expiry:
		case <-timer.C:
			return item, nil
		case <-ctx.Done():
			return Item{}, Error.Wrap(ctx.Err())
		}
	}
}

// Grant implements Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease++
	m.leases[m.lease] = &lease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
	}
	return m.lease, nil
}

// Renew implements Store.
func (m *Memory) Renew(ctx context.Context, id LeaseID) error {
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	l := m.leases[id]
	if l == nil {
		return Error.Wrap(ErrLeaseNotFound)
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(ctx context.Context, id LeaseID) error {
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.leases[id] == nil {
		return Error.Wrap(ErrLeaseNotFound)
	}
	m.endLease(id)
	return nil
}

func (m *Memory) get(key string) Item {
	item := m.items[key]
	item.Key = key
	item.Value = bytes.Clone(item.Value)
	return item
}

// watchState returns the item, a channel that closes at the next change and one that
// fires when the lease of the item expires. The latter is nil without a lease.
func (m *Memory) watchState(key string) (Item, <-chan struct{}, <-chan time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	item := m.get(key)
	var expiry <-chan time.Time
	if l := m.leases[item.Lease]; l != nil {
		expiry = time.After(time.Until(l.expires))
	}
	return item, m.changed, expiry
}

// expireLeases ends the leases whose time has passed. The caller holds mu.
func (m *Memory) expireLeases() {
	now := time.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.endLease(id)
		}
	}
}

func (m *Memory) endLease(id LeaseID) {
	delete(m.leases, id)
	m.version++
	for key, item := range m.items {
		if item.Lease == id {
			m.remove(key)
		}
	}
	m.notify()
}

func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
