package manager_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// silentStore gives no answer to a call that is sent while silent is set.
type silentStore struct {
	storer.TransactionalStore
	silent *atomic.Bool
}

// lost waits for the end of a call that gets no answer, and returns nil for other calls.
func (s *silentStore) lost(ctx context.Context) error {
	if !s.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentStore) ScanPages(ctx context.Context, prefix string, page func([]storer.Item)) (storer.Version, error) {
	if err := s.lost(ctx); err != nil {
		return 0, err
	}
	return s.TransactionalStore.ScanPages(ctx, prefix, page)
}

func (s *silentStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if err := s.lost(ctx); err != nil {
		return storer.Changes{}, err
	}
	return s.TransactionalStore.WatchPrefix(ctx, prefix, after, wait)
}

func (s *silentStore) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	if err := s.lost(ctx); err != nil {
		return 0, err
	}
	return s.TransactionalStore.Commit(ctx, t)
}

func (s *silentStore) GrantLease(ctx context.Context, ttl time.Duration) (storer.LeaseID, time.Duration, error) {
	if err := s.lost(ctx); err != nil {
		return 0, 0, err
	}
	return s.TransactionalStore.GrantLease(ctx, ttl)
}

func (s *silentStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if err := s.lost(ctx); err != nil {
		return err
	}
	return s.TransactionalStore.Renew(ctx, id)
}

func (s *silentStore) Revoke(ctx context.Context, id storer.LeaseID) error {
	if err := s.lost(ctx); err != nil {
		return err
	}
	return s.TransactionalStore.Revoke(ctx, id)
}

// Callers that come as the store answers again must not wait for calls that were sent before and
// get no answer.
func TestJobStartsSoonAfterTheStoreAnswersAgain(t *testing.T) {
	const within = 1200 * time.Millisecond
	for n := range 20 {
		outage := 4*time.Second + time.Duration(n)*100*time.Millisecond
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newInstallation(t)
				silent := &atomic.Bool{}
				i.wrapStore = func(s storer.TransactionalStore) storer.TransactionalStore {
					return &silentStore{
						TransactionalStore: s,
						silent:             silent,
					}
				}
				m, stop := i.start("a")
				defer stop()
				time.Sleep(time.Second)
				silent.Store(true)
				time.Sleep(outage)
				silent.Store(false)
				answersAt := time.Now()
				for m.Front().Submit(t.Context(), call("k1", "j1", smallJob())).Verdict != manager.VerdictOK {
					time.Sleep(10 * time.Millisecond)
				}
				for len(i.targets.startCounts()) == 0 && time.Since(answersAt) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if waited := time.Since(answersAt); waited > within {
					t.Errorf("first start %v after the store answers again, want at most %v", waited, within)
				}
			})
		})
	}
}
