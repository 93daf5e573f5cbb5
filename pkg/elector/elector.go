// Package elector gives one daemon at a time the ownership of a resource, by a lease of the
// platform's key-value service.
//
// The owner counts the validity of its lease from before it sent the call that granted or
// renewed it, on a steady clock that includes suspension, and shortens it by the drift between
// clocks. The revision of the write that acquired ownership is the fencing token.
package elector

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("elector")

const (
	// clockDrift is the fraction by which the owner shortens the validity of its lease,
	// because clocks differ in rate by up to 2%.
	clockDrift = 0.03
	// renewalsPerTTL is the number of renewals attempted within the time to live of a lease.
	renewalsPerTTL = 4
	// retryDelay separates attempts after a failed call.
	retryDelay = 150 * time.Millisecond
	// maxJitter spreads the attempts of daemons that notice at the same time that there is no
	// owner.
	maxJitter = 30 * time.Millisecond
)

// Config configures an Elector.
type Config struct {
	Store  storer.TransactionalStore
	Logger hclog.Logger
	Key    string        // store key that holds the name of the owner
	Name   string        // name of this daemon, stored under Key while it is the owner
	TTL    time.Duration // requested time to live of the lease
	// Clock is a steady clock that includes suspension.
	Clock func() time.Duration
	// AttemptDelay returns a time to wait before this daemon tries to acquire ownership, so
	// that daemons that are better suited come first; nil for none.
	AttemptDelay func() time.Duration
	// Owners is kept up to date by the caller; it includes Key.
	Owners *Owners
	// CallTimeout bounds a call to the store.
	CallTimeout time.Duration
}

// Elector competes with the Electors of other daemons for the ownership of one resource.
type Elector struct {
	cfg           Config
	previousLease storer.LeaseID // lease of this daemon's previous ownership
}

// New returns an Elector.
func New(cfg Config) *Elector {
	if cfg.AttemptDelay == nil {
		cfg.AttemptDelay = func() time.Duration { return 0 }
	}
	return &Elector{
		cfg: cfg,
	}
}

// Term is one period of ownership.
type Term struct {
	Fence      storer.Version // fencing token
	AcquiredAt time.Duration
	Lease      storer.LeaseID
	ValidUntil func() time.Duration // end of the validity of the lease, on the clock of Config
	RenewedAt  func() time.Duration // when the last successful renewal was sent
}

// Run competes for the ownership until ctx is done. Each time this daemon becomes the owner,
// it calls lead with a context that ends with the ownership. If lead returns, Run gives up the
// ownership and competes again.
func (e *Elector) Run(ctx context.Context, lead func(ctx context.Context, term Term)) error {
	delayed := false // this daemon has waited since it saw that there is no owner
	for ctx.Err() == nil {
		owner, known, changed := e.cfg.Owners.owner(e.cfg.Key)
		if owner.Version != 0 && owner.Lease == e.previousLease {
			// The ownership of this daemon ended, for example during an outage of the store, and
			// the lease could not be revoked. The store may still have it.
			e.revoke(ctx, owner.Lease)
			await(ctx, changed, retryDelay+jitter())
			continue
		}
		if !known || owner.Version != 0 {
			delayed = false
			await(ctx, changed, 0)
			continue
		}
		if !delayed {
			delayed = true
			sleeper.Sleep(ctx, e.cfg.AttemptDelay()+jitter())
			continue
		}
		delayed = false
		if err := e.acquireAndLead(ctx, lead); err != nil && ctx.Err() == nil {
			e.cfg.Logger.Info("ownership not acquired", "error", err)
			sleeper.Sleep(ctx, retryDelay+jitter())
		}
	}
	return nil
}

// await returns when changed is closed, after limit unless that is zero, or when ctx ends.
func await(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	var expired <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-expired:
	}
}

// acquireAndLead tries once to acquire the ownership and, if it succeeds, leads until the
// ownership ends.
func (e *Elector) acquireAndLead(ctx context.Context, lead func(ctx context.Context, term Term)) error {
	call, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	sentAt := e.cfg.Clock()
	lease, ttl, err := e.cfg.Store.GrantLease(call, e.cfg.TTL)
	if err != nil {
		return Error.Wrap(err)
	}
	fence, err := e.cfg.Store.Commit(call, storer.Transaction{
		Conditions: []storer.Condition{{
			Key: e.cfg.Key,
		}},
		Puts: []storer.Put{{
			Key:   e.cfg.Key,
			Value: []byte(e.cfg.Name),
			Lease: lease,
		}},
	})
	if err != nil {
		if !errors.Is(err, storer.ErrConflict) {
			// The write may still take effect; the key then disappears when its lease expires.
			e.cfg.Logger.Info("acquiring the ownership failed, but the write may still take effect", "lease", uint64(lease), "error", err)
		}
		e.revoke(ctx, lease)
		return Error.Wrap(err)
	}
	e.cfg.Logger.Info("ownership acquired", "key", e.cfg.Key, "fence", uint64(fence), "ttl_ms", ttl.Milliseconds())
	e.lead(ctx, lead, lease, fence, ttl, sentAt)
	return nil
}

// lead calls the owner's function and renews the lease until the ownership ends.
func (e *Elector) lead(ctx context.Context, lead func(ctx context.Context, term Term), lease storer.LeaseID, fence storer.Version, ttl, sentAt time.Duration) {
	validity := newLeaseValidity(sentAt, ttl)
	leading, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leading, Term{
			Fence:      fence,
			AcquiredAt: e.cfg.Clock(),
			Lease:      lease,
			ValidUntil: validity.until,
			RenewedAt:  validity.renewedAt,
		})
	}()
	reason := e.renew(leading, lease, ttl, validity, done)
	stop()
	<-done
	e.cfg.Logger.Warn("ownership ended", "key", e.cfg.Key, "fence", uint64(fence), "reason", reason)
	e.previousLease = lease
	e.revoke(context.WithoutCancel(ctx), lease)
}

// renew renews the lease until it is lost, ctx ends or the owner's function returns. It
// returns the reason.
func (e *Elector) renew(ctx context.Context, lease storer.LeaseID, ttl time.Duration, validity *leaseValidity, done <-chan struct{}) string {
	for {
		select {
		case <-ctx.Done():
			return "stopped"
		case <-done:
			return "owner function returned"
		case <-time.After(ttl / renewalsPerTTL):
		}
		if e.cfg.Clock() >= validity.until() {
			return "lease expired before the store answered a renewal"
		}
		left := validity.until() - e.cfg.Clock()
		call, cancel := context.WithTimeout(ctx, min(left, ttl/2))
		sentAt := e.cfg.Clock()
		err := e.cfg.Store.Renew(call, lease)
		cancel()
		switch {
		case err == nil:
			validity.extend(sentAt, ttl)
		case errors.Is(err, storer.ErrLeaseNotFound):
			return "store no longer has the lease"
		case ctx.Err() != nil:
			return "stopped"
		default:
			e.cfg.Logger.Warn("lease renewal failed", "left_ms", (validity.until() - e.cfg.Clock()).Milliseconds(), "error", err)
		}
	}
}

func (e *Elector) revoke(ctx context.Context, lease storer.LeaseID) {
	call, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	if err := e.cfg.Store.Revoke(call, lease); err != nil && !errors.Is(err, storer.ErrLeaseNotFound) {
		e.cfg.Logger.Info("lease not revoked, it will expire", "lease", uint64(lease), "error", err)
	}
}

func jitter() time.Duration {
	return rand.N(maxJitter)
}
