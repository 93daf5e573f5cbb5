package manager

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/forwarder"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// forgetfulStore loses its history while a call waits for changes.
type forgetfulStore struct {
	storer.TransactionalStore
	keeps time.Duration // how long it has the history
	scans int
}

func (s *forgetfulStore) ScanPages(context.Context, string, func([]storer.Item)) (storer.Version, error) {
	s.scans++
	return 1, nil
}

func (s *forgetfulStore) WatchPrefix(context.Context, string, storer.Version, time.Duration) (storer.Changes, error) {
	time.Sleep(s.keeps)
	return storer.Changes{}, fmt.Errorf("compacted: %w", storer.ErrHistoryLost)
}

// Guards against daemons that read whole prefixes without pause while the store can't tell them
// changes, and against a pause after a single loss, in which changes would be missed.
func TestLostHistoryIsScannedAgainWithPauses(t *testing.T) {
	tests := []struct {
		keeps time.Duration
		want  int // scans within 3 s
	}{
		{0, 20},
		{100 * time.Millisecond, 20},
		{watchRetryDelay, 20},
		{time.Second, 3},
	}
	for _, test := range tests {
		t.Run(test.keeps.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				store := &forgetfulStore{
					keeps: test.keeps,
				}
				w := newPrefixWatcher(watcherConfig{
					Store:  store,
					Logger: hclog.NewNullLogger(),
					Clock:  func() time.Duration { return time.Since(began) },
					Prefix: "op/",
					Apply:  func([]storer.Event, bool) {},
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second-time.Millisecond)
				defer cancel()
				if err := w.run(ctx); err != nil || store.scans != test.want {
					t.Errorf("%d scans, %v; want %d", store.scans, err, test.want)
				}
			})
		})
	}
}

// crowdedStore has a prefix of many large entries.
type crowdedStore struct {
	storer.TransactionalStore
	pages      int
	valueBytes int
}

func (s *crowdedStore) ScanPages(_ context.Context, _ string, page func([]storer.Item)) (storer.Version, error) {
	for n := range s.pages {
		page([]storer.Item{{
			Key:     fmt.Sprint("targets/", n),
			Value:   make([]byte, s.valueBytes),
			Version: 1,
		}})
	}
	return 1, nil
}

func (s *crowdedStore) WatchPrefix(ctx context.Context, _ string, _ storer.Version, _ time.Duration) (storer.Changes, error) {
	<-ctx.Done()
	return storer.Changes{}, ctx.Err()
}

// Guards against daemons that hold everything which another writer has left among the registrations
// of targets while they read these.
func TestLargeEntriesOfAPrefixAreNotHeld(t *testing.T) {
	const pages, maxMB = 200, 10
	heapMB := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc) / (1 << 20)
	}
	before := heapMB()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	began := time.Now()
	w := newPrefixWatcher(watcherConfig{
		Store: &crowdedStore{
			pages:      pages,
			valueBytes: 1 << 20,
		},
		Logger:        hclog.NewNullLogger(),
		Clock:         func() time.Duration { return time.Since(began) },
		Prefix:        "targets/",
		MaxValueBytes: maxRegistrationBytes,
		Apply: func(events []storer.Event, full bool) {
			if mb := heapMB() - before; len(events) != pages || !full || mb > maxMB {
				t.Errorf("%d entries, all %t, take %.0f MB, want %d, true and at most %d MB", len(events), full, mb, pages, maxMB)
			}
			cancel()
		},
	})
	if err := w.run(ctx); err != nil || !w.ready.Load() {
		t.Errorf("ready %t, %v", w.ready.Load(), err)
	}
}

// muteStore answers no call.
type muteStore struct {
	storer.TransactionalStore
}

func (s *muteStore) ScanPages(ctx context.Context, _ string, _ func([]storer.Item)) (storer.Version, error) {
	<-ctx.Done()
	return 0, fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
}

// Guards against a store that answers no page of a prefix and yet counts as one that serves this
// daemon, because the time limit of a page looks like a caller that has gone.
func TestPageWithoutAnswerCountsAsFailureOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		router := forwarder.New(forwarder.Config{
			Name: "edge-1",
		})
		store := &observedStore{
			TransactionalStore: &muteStore{},
			router:             router,
			clock:              clock,
		}
		if _, err := scanPages(t.Context(), store, "op/", func([]storer.Item) {}); err == nil {
			t.Fatal("a scan without an answer succeeds")
		}
		if !router.Unserved(clock() + time.Minute) {
			t.Error("the router does not know that the store gave no answer")
		}
	})
}
