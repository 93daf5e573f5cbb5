// Package elector gives one daemon at a time the ownership of a resource, by a
// lease of the platform's key-value service.
//
// The owner counts its right from before the call that proved it was sent, on a
// steady clock that includes suspension, and shortens it by the drift between
// clocks. The revision of the acquiring write is the fencing token.
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
	// drift shortens the owner's right, because clocks differ in rate by up to 2%.
	drift = 0.03
	// renewals is the number of renewals attempted in one time to live.
	renewals = 4
	// retryDelay separates attempts to acquire after a failed call.
	retryDelay = 150 * time.Millisecond
	// maxJitter spreads the attempts of daemons that see the same lapse.
	maxJitter = 30 * time.Millisecond
	// watchWait bounds one wait for a change of the owner.
	watchWait = time.Second
)

// Config configures an Elector.
type Config struct {
	Store  storer.TransactionalStore
	Logger hclog.Logger
	Key    string        // key that holds the owner
	Name   string        // written as the owner
	TTL    time.Duration // lease asked for
	Clock  func() time.Duration
	// Handicap delays this daemon's attempts, so that daemons on stronger VMs win.
	Handicap time.Duration
	// CallTimeout bounds a call to the store.
	CallTimeout time.Duration
}

// Elector competes for one resource.
type Elector struct {
	cfg       Config
	abandoned storer.LeaseID // lease of the last ownership of this daemon
}

// New returns an Elector.
func New(cfg Config) *Elector {
	return &Elector{
		cfg: cfg,
	}
}

// Term is one ownership.
type Term struct {
	Fence      storer.Version // fencing token
	AcquiredAt time.Duration
	Lease      storer.LeaseID
	ValidUntil func() time.Duration // end of the right on the clock of Config
	RenewedAt  func() time.Duration // when the last successful renewal was sent
}

// Run competes until ctx is done. While this daemon is the owner, it calls lead with
// a context that ends when the right does.
func (e *Elector) Run(ctx context.Context, lead func(ctx context.Context, term Term)) error {
	waited := false // for daemons on stronger VMs, since the vacancy was seen
	for ctx.Err() == nil {
		owner, revision, err := e.owner(ctx)
		if err != nil {
			e.cfg.Logger.Debug("owner unknown", "error", err)
			sleeper.Sleep(ctx, retryDelay+jitter())
			continue
		}
		if owner.Version != 0 && owner.Lease == e.abandoned {
			// The store kept the lease through an outage that this daemon did not survive
			// as the owner.
			e.revoke(ctx, owner.Lease)
			continue
		}
		if owner.Version != 0 {
			waited = false
			e.awaitVacancy(ctx, revision)
			continue
		}
		if !waited {
			waited = true
			sleeper.Sleep(ctx, e.cfg.Handicap+jitter())
			continue
		}
		waited = false
		if err := e.compete(ctx, lead); err != nil && ctx.Err() == nil {
			e.cfg.Logger.Info("ownership not acquired", "error", err)
			sleeper.Sleep(ctx, retryDelay+jitter())
		}
	}
	return nil
}

func (e *Elector) owner(ctx context.Context) (storer.Item, storer.Version, error) {
	call, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	listing, err := e.cfg.Store.Scan(call, e.cfg.Key)
	if err != nil {
		return storer.Item{}, 0, err
	}
	for _, item := range listing.Items {
		if item.Key == e.cfg.Key {
			return item, listing.Revision, nil
		}
	}
	return storer.Item{}, listing.Revision, nil
}

// awaitVacancy returns when the owner may have changed.
func (e *Elector) awaitVacancy(ctx context.Context, revision storer.Version) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+e.cfg.CallTimeout)
		changes, err := e.cfg.Store.Follow(call, e.cfg.Key, revision, watchWait)
		cancel()
		if err != nil {
			sleeper.Sleep(ctx, retryDelay)
			return
		}
		if len(changes.Events) > 0 {
			return
		}
		revision = changes.Revision
	}
}

// compete tries once to acquire the ownership and leads if it succeeds.
func (e *Elector) compete(ctx context.Context, lead func(ctx context.Context, term Term)) error {
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
			// The write may still arrive; it names a lease that ends unless renewed.
			e.cfg.Logger.Info("acquiring write without answer", "lease", uint64(lease), "error", err)
		}
		e.revoke(ctx, lease)
		return Error.Wrap(err)
	}
	e.cfg.Logger.Info("ownership acquired", "key", e.cfg.Key, "fence", uint64(fence), "ttl_ms", ttl.Milliseconds())
	e.lead(ctx, lead, lease, fence, ttl, sentAt)
	return nil
}

// lead runs the owner's work and renews the lease until it is lost.
func (e *Elector) lead(ctx context.Context, lead func(ctx context.Context, term Term), lease storer.LeaseID, fence storer.Version, ttl, sentAt time.Duration) {
	held := newRight(sentAt, ttl)
	leading, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leading, Term{
			Fence:      fence,
			AcquiredAt: e.cfg.Clock(),
			Lease:      lease,
			ValidUntil: held.until,
			RenewedAt:  held.renewedAt,
		})
	}()
	reason := e.renew(leading, lease, ttl, held, done)
	stop()
	<-done
	e.cfg.Logger.Warn("ownership ended", "key", e.cfg.Key, "fence", uint64(fence), "reason", reason)
	e.abandoned = lease
	e.revoke(context.WithoutCancel(ctx), lease)
}

// renew returns when the lease is lost, the context ends or the owner gives up.
func (e *Elector) renew(ctx context.Context, lease storer.LeaseID, ttl time.Duration, held *right, done <-chan struct{}) string {
	for {
		select {
		case <-ctx.Done():
			return "stopped"
		case <-done:
			return "given up"
		case <-time.After(ttl / renewals):
		}
		if e.cfg.Clock() >= held.until() {
			return "lease lapsed without an answer from the store"
		}
		left := held.until() - e.cfg.Clock()
		call, cancel := context.WithTimeout(ctx, min(left, ttl/2))
		sentAt := e.cfg.Clock()
		err := e.cfg.Store.Renew(call, lease)
		cancel()
		switch {
		case err == nil:
			held.extend(sentAt, ttl)
		case errors.Is(err, storer.ErrLeaseNotFound):
			return "lease ended in the store"
		case ctx.Err() != nil:
			return "stopped"
		default:
			e.cfg.Logger.Warn("lease not renewed", "left_ms", (held.until() - e.cfg.Clock()).Milliseconds(), "error", err)
		}
	}
}

func (e *Elector) revoke(ctx context.Context, lease storer.LeaseID) {
	call, cancel := context.WithTimeout(ctx, e.cfg.CallTimeout)
	defer cancel()
	if err := e.cfg.Store.Revoke(call, lease); err != nil && !errors.Is(err, storer.ErrLeaseNotFound) {
		e.cfg.Logger.Info("lease left to lapse", "lease", uint64(lease), "error", err)
	}
}

func jitter() time.Duration {
	return rand.N(maxJitter)
}
