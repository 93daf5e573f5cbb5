package registrar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// runPeriod is the interval of Run. It leaves time for two rounds of promises within the
// validity of one, so that the loss of one round is not noticed.
const runPeriod = time.Second

// recordRetention is how long the record of a member that left is kept.
const recordRetention = time.Hour

// Begin starts a fenced change; see State.Begin. The returned function ends it and must be
// called only when the outcome is known.
func (r *Registrar) Begin(established bool) (end func(), err error) {
	r.Do(func(s *State, now time.Time) { err = s.Begin(established, now) })
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func() { once.Do(func() { r.Do(func(s *State, _ time.Time) { s.End() }) }) }, nil
}

// Reclaimable is State.Reclaimable.
func (r *Registrar) Reclaimable(entry string, incarnation uint64) bool {
	var ok bool
	r.Do(func(s *State, _ time.Time) { ok = s.Reclaimable(entry, incarnation) })
	return ok
}

// Epoch is State.Epoch, together with the rank of this member among the live members in
// order of their names, from zero.
func (r *Registrar) Epoch() (epoch string, rank int) {
	r.Do(func(s *State, now time.Time) {
		epoch = s.Epoch()
		for i, name := range s.Live(now) {
			if name == s.Self.Entry {
				rank = i
			}
		}
	})
	return epoch, rank
}

// CleanUpRecords marks the records of members whose VM is gone as left, since they cannot do
// it themselves, and deletes records one hour after their member left. If the member writes a
// heartbeat in between, the change fails, because it expects the version that was read.
func (r *Registrar) CleanUpRecords(ctx context.Context) error {
	var due []Member
	r.Do(func(s *State, _ time.Time) {
		for entry, o := range s.Others {
			old := o.Member.Left && s.ListStart.Sub(o.StatusSince) >= recordRetention
			if old || !o.Member.Left && s.Gone(entry) {
				due = append(due, o.Member)
			}
		}
	})
	for _, m := range due {
		if err := r.cleanUpRecord(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (r *Registrar) cleanUpRecord(ctx context.Context, seen Member) error {
	end, err := r.Begin(true)
	if err != nil {
		return err
	}
	item, err := r.get(ctx, seen.Key())
	if err != nil {
		end()
		return err
	}
	m, err := DecodeMember(item.Value)
	if err != nil || m != seen {
		end()
		return err
	}
	m.Left = true
	value, err := m.Encode()
	if err != nil {
		end()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
	defer cancel()
	start := time.Now()
	if seen.Left {
		err = r.cfg.Store.Delete(ctx, seen.Key(), item.Version)
	} else {
		_, err = r.cfg.Store.CompareAndSwap(ctx, storer.Write{
			Key:      seen.Key(),
			Value:    value,
			Expected: item.Version,
		})
	}
	r.Observe(start, err)
	// A delayed write does no harm, so the change need not stay pending: it takes effect
	// only if the record, of a member that is gone or has left, has not changed.
	end()
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return Error.Wrap(err)
	}
	return nil
}

// Run sends heartbeats, refreshes the member list and asks for promises during an outage,
// until ctx ends. It returns ErrSuperseded when the record belongs to another incarnation
// or is marked as left; the process must then stop.
func (r *Registrar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	// A hanging service must not delay the rounds of promises.
	wg.Go(func() { r.extendPeriodically(ctx) })
	var nextHeartbeat time.Time // next heartbeat
	for {
		now := time.Now()
		if !now.Before(nextHeartbeat) {
			nextHeartbeat = now.Add(r.cfg.Timing.HeartbeatInterval)
			if err := r.maintain(ctx); errors.Is(err, ErrSuperseded) {
				return err
			} else if err != nil {
				nextHeartbeat = now.Add(runPeriod)
			}
		}
		// After a failure the next iteration asks again.
		_ = r.Establish(ctx)
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(runPeriod):
		}
	}
}

func (r *Registrar) maintain(ctx context.Context) error {
	if err := r.Heartbeat(ctx); err != nil {
		return err
	}
	if r.cfg.ReadsMembers == nil || r.cfg.ReadsMembers() {
		if err := r.RefreshMembers(ctx); err != nil {
			return err
		}
	}
	if err := r.CleanUpRecords(ctx); err != nil && !errors.Is(err, ErrNotEstablished) && !errors.Is(err, ErrPromised) {
		return err
	}
	return nil
}

func (r *Registrar) extendPeriodically(ctx context.Context) {
	ticker := time.NewTicker(runPeriod)
	defer ticker.Stop()
	for {
		r.extendIfNeeded(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// extendIfNeeded asks for promises if the service cannot be reached and the proof of the
// head is older than half of runPeriod or the lease is about to expire.
func (r *Registrar) extendIfNeeded(ctx context.Context) {
	var needed, probe bool
	t := r.cfg.Timing
	r.Do(func(s *State, now time.Time) {
		old := now.Sub(s.FreshAsOf) > runPeriod/2 || !s.Lease.Valid(now.Add(t.StalenessLimit))
		needed = old && !s.EstablishedAt.IsZero()
		probe = needed && now.Sub(s.LastSuccess) >= t.StalenessLimit && now.Sub(s.LastFailure) >= t.StalenessLimit
	})
	if probe {
		// Only the outcome of the call matters, and get records it.
		_, _ = r.get(ctx, r.cfg.Self.Key())
	}
	if needed {
		r.Do(func(s *State, now time.Time) { needed = s.Unreachable(now) })
	}
	if needed {
		// A failure leaves freshness and lease as they are; the next iteration asks again.
		_ = r.ExtendByPromises(ctx)
	}
}
