package journaler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// run is the committer. Everything that arrives while it waits for the limiter
// or for the store goes into the next commit.
func (s *Shard) run() {
	var sweeping sync.WaitGroup
	defer close(s.idle)
	defer sweeping.Wait()
	defer s.cancel()
	sweeping.Go(s.sweepKeys)
	// A channel timer in a select makes the race detector of Go 1.26 crash now and then within
	// testing/synctest, so a function sends the ticks.
	sweep := make(chan struct{}, 1)
	ticker := time.AfterFunc(sweepInterval, func() { sweep <- struct{}{} })
	defer ticker.Stop()
	for {
		expiryDue := false
		select {
		case <-s.wake:
		case <-sweep:
			ticker.Reset(sweepInterval)
			if err := s.Verify(s.ctx); errors.Is(err, ErrOwnershipLost) {
				s.refuseChanges(err)
				return
			}
			expiryDue = true
		case <-s.ctx.Done():
			s.refuseChanges(ErrNotOwner)
			return
		}
		if !s.process(expiryDue) {
			return
		}
	}
}

// process commits the waiting transitions and deletes discarded keys, at most one key
// between two commits, so that neither starves the other. It returns false when the
// shard is no longer owned here.
func (s *Shard) process(expiryDue bool) bool {
	for {
		pending, garbage, closed := s.queueState()
		if closed {
			return false
		}
		if !pending && !garbage && !expiryDue {
			return true
		}
		if pending || expiryDue {
			if err := s.commitOnce(); err != nil {
				s.refuseChanges(err)
				return false
			}
			expiryDue = false
		}
		if garbage && s.ctx.Err() == nil {
			if !s.deleteOne(s.ctx) && !pending {
				return true
			}
			expiryDue = s.expiredKeysDeleted()
		}
	}
}

func (s *Shard) queueState() (pending, garbage, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.starts)+len(s.cancels) > 0, len(s.garbage) > 0, s.closed != nil
}

// expiredKeysDeleted reports whether all keys of expired records are deleted.
func (s *Shard) expiredKeysDeleted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.expiredKeys) > 0 && len(s.expiredKeys) == len(s.deletedKeys)
}

// commitOnce writes all waiting transitions with one compare-and-swap. Its
// error means that the shard is lost.
func (s *Shard) commitOnce() error {
	s.mu.Lock()
	starts, cancels := len(s.starts), len(s.cancels)
	s.mu.Unlock()
	if starts+cancels > 0 {
		if err := s.cfg.Limiter.Wait(s.ctx); err != nil {
			return ErrNotOwner
		}
	}
	batch := s.take()
	now := s.cfg.Now()
	next := s.doc.Clone()
	s.expire(next, now)
	written := len(next.Records) != len(s.doc.Records)
	for _, c := range batch {
		c.err = c.apply(next, now)
		written = written || c.err == nil
	}
	if !written {
		answer(batch, nil)
		return nil
	}
	next.Commit.Seq++
	version, err := s.swap(s.ctx, next, s.version)
	if err == nil {
		s.publish(next, version)
	}
	answer(batch, err)
	if err != nil && (CommitEffect(err) != EffectNone || errors.Is(err, ErrOwnershipLost)) {
		return ErrOwnershipLost
	}
	return nil
}

// take removes the next batch from the queues.
func (s *Shard) take() []*change {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := min(len(s.starts), maxBatch-min(len(s.cancels), maxBatch/2))
	cancels := min(len(s.cancels), maxBatch-starts)
	batch := make([]*change, 0, starts+cancels)
	batch = append(batch, s.starts[:starts]...)
	batch = append(batch, s.cancels[:cancels]...)
	s.starts = s.starts[starts:]
	s.cancels = s.cancels[cancels:]
	return batch
}

// answer returns to each caller the error of its transition or that of the commit.
func answer(batch []*change, commit error) {
	for _, c := range batch {
		if commit == nil || c.err == nil {
			c.done <- firstError(commit, c.err)
			continue
		}
		// c.err was found on a document that was not committed.
		c.done <- notApplied(commit)
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) publish(next *Document, version storer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = next
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the expired records that have no keys left and queues the keys of the
// others for deletion.
func (s *Shard) expire(next *Document, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := next.Expire(now, s.deletedKeys)
	for _, key := range pending {
		if !s.expiredKeys[key] {
			s.expiredKeys[key] = true
			s.garbage = append(s.garbage, key)
		}
	}
	if len(pending) == 0 && len(s.garbage) == 0 {
		clear(s.expiredKeys)
		clear(s.deletedKeys)
	}
}

// swap writes the document and, if the answer is lost, finds out whether the write took
// effect. A nil error means that it did; any other error is a *CommitError.
func (s *Shard) swap(ctx context.Context, next *Document, expected storer.Version) (storer.Version, error) {
	data, err := s.codec.encode(next)
	if err != nil {
		return 0, notApplied(err)
	}
	version, err := s.write(ctx, data, expected)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, storer.ErrConflict):
		return 0, notApplied(ErrOwnershipLost)
	case isDefinite(err):
		return 0, notApplied(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return s.resolve(ctx, next.Commit, data, expected)
}

// resolve finds out whether a write whose answer was lost took effect. While
// the version is unchanged the write may still arrive, so the same value is
// written again. Only one of the two writes can take effect; the commit in the
// stored document shows whether one did.
func (s *Shard) resolve(ctx context.Context, commit Commit, data []byte, expected storer.Version) (storer.Version, error) {
	for {
		item, err := s.read(ctx)
		if err == nil && item.Version != expected {
			return s.outcomeFrom(item, commit)
		}
		if err == nil && s.cfg.Limiter.Wait(ctx) == nil {
			version, err := s.write(ctx, data, expected)
			if err == nil {
				return version, nil
			}
			if errors.Is(err, storer.ErrConflict) {
				continue
			}
		}
		if err := sleep(ctx, s.cfg.RetryDelay); err != nil {
			return 0, &CommitError{
				Effect: EffectUnknown,
				Err:    err,
			}
		}
	}
}

// outcomeFrom reads from a changed document whether it includes the commit.
func (s *Shard) outcomeFrom(item storer.Item, commit Commit) (storer.Version, error) {
	doc, err := s.codec.decode(item.Value)
	if err != nil {
		return 0, &CommitError{
			Effect: EffectUnknown,
			Err:    err,
		}
	}
	if doc.Commit == commit {
		return item.Version, nil
	}
	return 0, &CommitError{
		Effect: doc.EffectOfCommit(commit),
		Err:    ErrOwnershipLost,
	}
}

func (s *Shard) write(ctx context.Context, data []byte, expected storer.Version) (storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.cfg.Store.CompareAndSwap(ctx, storer.Write{
		Key:      ShardKey(s.cfg.Shard),
		Value:    data,
		Expected: expected,
	})
}

func (s *Shard) read(ctx context.Context) (storer.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.cfg.Store.Get(ctx, ShardKey(s.cfg.Shard))
}
