package storer

import (
	"context"
	"time"
)

// Op names a method of Store.
type Op string

// The methods of Store.
const (
	OpGet            Op = "get"
	OpList           Op = "list"
	OpCompareAndSwap Op = "compare_and_swap"
	OpDelete         Op = "delete"
	OpWatch          Op = "watch"
	OpGrant          Op = "grant"
	OpRenew          Op = "renew"
	OpRevoke         Op = "revoke"
)

// FaultInjector injects faults into another Store.
type FaultInjector struct {
	Store Store
	// Before runs before the call; its error is returned and the call is not made.
	Before func(ctx context.Context, op Op, key string) error
	// After runs after a successful call; its error replaces the result, as if the answer
	// were lost.
	After func(ctx context.Context, op Op, key string) error
}

var _ Store = (*FaultInjector)(nil)

// Get implements Store.
func (f *FaultInjector) Get(ctx context.Context, key string) (Item, error) {
	return inject(ctx, f, OpGet, key, func() (Item, error) { return f.Store.Get(ctx, key) })
}

// List implements Store.
func (f *FaultInjector) List(ctx context.Context, prefix string) ([]Item, error) {
	return inject(ctx, f, OpList, prefix, func() ([]Item, error) { return f.Store.List(ctx, prefix) })
}

// CompareAndSwap implements Store.
func (f *FaultInjector) CompareAndSwap(ctx context.Context, w Write) (Version, error) {
	return inject(ctx, f, OpCompareAndSwap, w.Key, func() (Version, error) { return f.Store.CompareAndSwap(ctx, w) })
}

// Delete implements Store.
func (f *FaultInjector) Delete(ctx context.Context, key string, expected Version) error {
	_, err := inject(ctx, f, OpDelete, key, func() (struct{}, error) {
		return struct{}{}, f.Store.Delete(ctx, key, expected)
	})
	return err
}

// Watch implements Store.
func (f *FaultInjector) Watch(ctx context.Context, key string, known Version, wait time.Duration) (Item, error) {
	return inject(ctx, f, OpWatch, key, func() (Item, error) { return f.Store.Watch(ctx, key, known, wait) })
}

// Grant implements Store.
func (f *FaultInjector) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return inject(ctx, f, OpGrant, "", func() (LeaseID, error) { return f.Store.Grant(ctx, ttl) })
}

// Renew implements Store.
func (f *FaultInjector) Renew(ctx context.Context, id LeaseID) error {
	_, err := inject(ctx, f, OpRenew, "", func() (struct{}, error) { return struct{}{}, f.Store.Renew(ctx, id) })
	return err
}

// Revoke implements Store.
func (f *FaultInjector) Revoke(ctx context.Context, id LeaseID) error {
	_, err := inject(ctx, f, OpRevoke, "", func() (struct{}, error) { return struct{}{}, f.Store.Revoke(ctx, id) })
	return err
}

func inject[T any](ctx context.Context, f *FaultInjector, op Op, key string, call func() (T, error)) (T, error) {
	var zero T
	if f.Before != nil {
		if err := f.Before(ctx, op, key); err != nil {
			return zero, Error.Wrap(err)
		}
	}
	v, err := call()
	if err != nil {
		return zero, err
	}
	if f.After != nil {
		if err := f.After(ctx, op, key); err != nil {
			return zero, Error.Wrap(err)
		}
	}
	return v, nil
}
