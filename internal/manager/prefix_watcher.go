package manager

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// watchWait bounds one call that waits for changes, so that dead connections are noticed.
	watchWait = 500 * time.Millisecond
	// watchRetryDelay separates attempts after a failed call, and a scan from the next one if the
	// store loses its history at once.
	watchRetryDelay = 150 * time.Millisecond
)

type watcherConfig struct {
	Store  storer.TransactionalStore
	Logger hclog.Logger
	Clock  func() time.Duration
	Prefix string
	Wait   time.Duration
	// Pause separates two waits, so that frequent changes cause few calls.
	Pause time.Duration
	// Apply processes all items after a scan (full is true), or the changes since the last
	// call.
	Apply func(events []storer.Event, full bool)
}

// prefixWatcher follows the changes of all keys with a prefix. Its times are on the clock of
// the configuration, in ns.
type prefixWatcher struct {
	cfg           watcherConfig
	lastSuccessAt atomic.Int64  // when the last successful call was sent
	loaded        chan struct{} // closed after the first scan
	ready         atomic.Bool   // set after the first scan
	unreachable   bool          // the last call failed
	lastFailureAt atomic.Int64  // when a call last failed
}

func newPrefixWatcher(cfg watcherConfig) *prefixWatcher {
	w := &prefixWatcher{
		cfg:    cfg,
		loaded: make(chan struct{}),
	}
	w.lastSuccessAt.Store(-int64(time.Hour))
	w.lastFailureAt.Store(-int64(time.Hour))
	return w
}

// age returns the time since the content of the prefix was last known to be current.
func (w *prefixWatcher) age() time.Duration {
	return w.cfg.Clock() - time.Duration(w.lastSuccessAt.Load())
}

// failedWithin reports whether a call has failed in the last d.
func (w *prefixWatcher) failedWithin(d time.Duration) bool {
	return w.cfg.Clock()-time.Duration(w.lastFailureAt.Load()) < d
}

// run follows the prefix until ctx ends.
func (w *prefixWatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := w.scan(ctx)
		scannedAt := w.cfg.Clock()
		if err == nil {
			err = w.follow(ctx, revision)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, storer.ErrHistoryLost) {
			w.cfg.Logger.Info("store no longer has the history of changes, scanning again", "prefix", w.cfg.Prefix)
			sleeper.Sleep(ctx, watchRetryDelay-(w.cfg.Clock()-scannedAt))
			continue
		}
		sleeper.Sleep(ctx, watchRetryDelay)
	}
	return nil
}

func (w *prefixWatcher) scan(ctx context.Context) (storer.Version, error) {
	call, cancel := context.WithTimeout(ctx, 4*storeTimeout)
	defer cancel()
	sentAt := w.cfg.Clock()
	listing, err := w.cfg.Store.Scan(call, w.cfg.Prefix)
	if err != nil {
		w.failed(err)
		return 0, err
	}
	events := make([]storer.Event, 0, len(listing.Items))
	for _, item := range listing.Items {
		events = append(events, storer.Event{
			Item: item,
		})
	}
	w.cfg.Apply(events, true)
	w.succeeded(sentAt)
	if !w.ready.Swap(true) {
		close(w.loaded)
	}
	return listing.Revision, nil
}

// follow applies changes until ctx ends or the store no longer has the history. It retries
// other failures.
func (w *prefixWatcher) follow(ctx context.Context, revision storer.Version) error {
	for ctx.Err() == nil {
		wait := w.cfg.Wait
		if w.unreachable {
			wait = 0 // a call that gets no answer is noticed sooner
		}
		call, cancel := context.WithTimeout(ctx, wait+storeTimeout)
		sentAt := w.cfg.Clock()
		changes, err := w.cfg.Store.WatchPrefix(call, w.cfg.Prefix, revision, wait)
		cancel()
		switch {
		case errors.Is(err, storer.ErrHistoryLost):
			return err
		case err != nil:
			w.failed(err)
			sleeper.Sleep(ctx, watchRetryDelay)
			continue
		}
		if len(changes.Events) > 0 {
			w.cfg.Apply(changes.Events, false)
		}
		w.succeeded(sentAt)
		revision = max(revision, changes.Revision)
		if w.cfg.Pause > 0 {
			sleeper.Sleep(ctx, w.cfg.Pause)
		}
	}
	return ctx.Err()
}

func (w *prefixWatcher) succeeded(sentAt time.Duration) {
	if w.unreachable {
		w.unreachable = false
		w.cfg.Logger.Info("watching the store works again", "prefix", w.cfg.Prefix, "after_ms", w.age().Milliseconds())
	}
	w.lastSuccessAt.Store(int64(sentAt))
}

func (w *prefixWatcher) failed(err error) {
	w.lastFailureAt.Store(int64(w.cfg.Clock()))
	if !w.unreachable {
		w.unreachable = true
		w.cfg.Logger.Warn("watching the store failed, trying again", "prefix", w.cfg.Prefix, "age_ms", w.age().Milliseconds(), "error", err)
	}
}
