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
	// pageTimeout bounds the reading of one page of a prefix.
	pageTimeout = 4 * storeTimeout
)

type watcherConfig struct {
	Store  storer.TransactionalStore
	Logger hclog.Logger
	Clock  func() time.Duration
	Prefix string
	Wait   time.Duration
	// Pause separates two waits, so that frequent changes cause few calls.
	Pause time.Duration
	// MaxValueBytes is the largest value that an item of the prefix can have. Larger ones, which
	// another writer may leave, are passed on without their values. Zero means no limit.
	MaxValueBytes int
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
	pageAt        atomic.Int64  // when a page of a scan last arrived
}

func newPrefixWatcher(cfg watcherConfig) *prefixWatcher {
	w := &prefixWatcher{
		cfg:    cfg,
		loaded: make(chan struct{}),
	}
	w.lastSuccessAt.Store(-int64(time.Hour))
	w.lastFailureAt.Store(-int64(time.Hour))
	w.pageAt.Store(-int64(time.Hour))
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
		if cannotFollow(err) {
			sleeper.Sleep(ctx, watchRetryDelay-(w.cfg.Clock()-scannedAt))
			continue
		}
		sleeper.Sleep(ctx, watchRetryDelay)
	}
	return nil
}

// cannotFollow reports whether a watch failed in a way that repeating it does not help: the store no
// longer has the history, or the changes since the revision are too large for one answer.
func cannotFollow(err error) bool {
	return errors.Is(err, storer.ErrHistoryLost) || errors.Is(err, storer.ErrUnusable)
}

func (w *prefixWatcher) scan(ctx context.Context) (storer.Version, error) {
	sentAt := w.cfg.Clock()
	var events []storer.Event
	revision, err := scanPages(ctx, w.cfg.Store, w.cfg.Prefix, func(items []storer.Item) {
		w.pageAt.Store(int64(w.cfg.Clock()))
		for _, item := range items {
			events = append(events, w.bounded(storer.Event{
				Item: item,
			}))
		}
	})
	if err != nil {
		w.failed(err)
		return 0, err
	}
	w.cfg.Apply(events, true)
	w.succeeded(sentAt)
	if !w.ready.Swap(true) {
		close(w.loaded)
	}
	return revision, nil
}

// scanPages reads a prefix page by page. The time limit is for each page, because other writers may
// leave any number of them.
func scanPages(ctx context.Context, store storer.TransactionalStore, prefix string, page func(items []storer.Item)) (storer.Version, error) {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := time.AfterFunc(pageTimeout, func() { cancel(context.DeadlineExceeded) })
	defer limit.Stop()
	return store.ScanPages(call, prefix, func(items []storer.Item) {
		limit.Reset(pageTimeout)
		page(items)
	})
}

// bounded returns the event without its value if that exceeds MaxValueBytes.
func (w *prefixWatcher) bounded(event storer.Event) storer.Event {
	if limit := w.cfg.MaxValueBytes; limit > 0 && len(event.Item.Value) > limit {
		event.Item.Value = nil
	}
	return event
}

// follow applies changes until ctx ends or they can't be followed from the revision. It retries
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
		case cannotFollow(err):
			w.cfg.Logger.Info("changes in the store can't be followed, scanning again", "prefix", w.cfg.Prefix, "error", err)
			return err
		case err != nil:
			w.failed(err)
			sleeper.Sleep(ctx, watchRetryDelay)
			continue
		}
		if len(changes.Events) > 0 {
			for i, event := range changes.Events {
				changes.Events[i] = w.bounded(event)
			}
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
