package manager_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// blindStore answers no read of prefixes that contain blind, while the other calls succeed.
type blindStore struct {
	storer.TransactionalStore
	blind *atomic.Pointer[string]
}

func (s *blindStore) blindTo(prefix string) bool {
	part := s.blind.Load()
	return part != nil && strings.Contains(prefix, *part)
}

func (s *blindStore) ScanPages(ctx context.Context, prefix string, page func([]storer.Item)) (storer.Version, error) {
	if s.blindTo(prefix) {
		return 0, storer.ErrUnusable
	}
	return s.TransactionalStore.ScanPages(ctx, prefix, page)
}

func (s *blindStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if s.blindTo(prefix) {
		return storer.Changes{}, storer.ErrUnusable
	}
	return s.TransactionalStore.WatchPrefix(ctx, prefix, after, wait)
}

// Guards against an owner that keeps renewing its lease though it can't act, while another daemon
// could.
func TestOwnerThatCannotActGivesUp(t *testing.T) {
	for _, prefix := range []string{"intake/", "targets/", "operators/"} {
		t.Run(prefix, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newInstallation(t)
				var blind atomic.Pointer[string]
				i.wrapStore = func(s storer.TransactionalStore) storer.TransactionalStore {
					return &blindStore{
						TransactionalStore: s,
						blind:              &blind,
					}
				}
				_, stopFirst := i.start("a1")
				defer stopFirst()
				time.Sleep(time.Second)
				i.wrapStore = nil
				second, stopSecond := i.start("a2")
				defer stopSecond()
				time.Sleep(time.Second)
				blind.Store(&prefix)
				time.Sleep(10 * time.Second)
				if got := second.Front().Submit(t.Context(), call("k1", "0000000000000001", smallJob())); got.Verdict != manager.VerdictOK {
					t.Fatalf("the job is not accepted: %+v", got)
				}
				time.Sleep(3 * time.Second)
				if n := i.targets.startCounts()["0000000000000001.0.0.0"]; n != 1 {
					t.Errorf("the first task started %d times, want once", n)
				}
			})
		})
	}
}

// slowStore answers watches late.
type slowStore struct {
	storer.TransactionalStore
}

func (s *slowStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	time.Sleep(400 * time.Millisecond)
	return s.TransactionalStore.WatchPrefix(ctx, prefix, after, wait)
}

// Guards against owners that give up while they act slowly: each takeover delays work.
func TestOwnerKeepsTheFleetThroughASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		i.wrapStore = func(s storer.TransactionalStore) storer.TransactionalStore {
			return &slowStore{
				TransactionalStore: s,
			}
		}
		_, stop := i.start("a")
		defer stop()
		time.Sleep(3 * time.Second)
		_, before := i.owner("fleet")
		time.Sleep(20 * time.Second)
		if name, after := i.owner("fleet"); after != before {
			t.Errorf("%s is the owner since revision %d, want that of %d", name, after, before)
		}
	})
}
