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
	// followWait bounds one wait for changes, so that silent connections are noticed.
	followWait = 500 * time.Millisecond
	// followRetry separates attempts after a failed call.
	followRetry = 150 * time.Millisecond
)

// followerConfig configures a follower.
type followerConfig struct {
	Store  storer.TransactionalStore
	Logger hclog.Logger
	Clock  func() time.Duration
	Prefix string
	Wait   time.Duration
	// Pause separates two waits, so that many changes cost few calls.
	Pause time.Duration
	// Apply takes all items after a scan (full), or the changes since the last call.
	Apply func(events []storer.Event, full bool)
}

// follower keeps up with the content of a prefix.
type follower struct {
	cfg      followerConfig
	provedAt atomic.Int64 // when the last successful call was sent
	loaded   chan struct{}
	ready    atomic.Bool
	lost     bool
	failedAt atomic.Int64 // when a call last failed
}

func newFollower(cfg followerConfig) *follower {
	f := &follower{
		cfg:    cfg,
		loaded: make(chan struct{}),
	}
	f.provedAt.Store(-int64(time.Hour))
	f.failedAt.Store(-int64(time.Hour))
	return f
}

// age returns how old the knowledge of the prefix is at most.
func (f *follower) age() time.Duration {
	return f.cfg.Clock() - time.Duration(f.provedAt.Load())
}

// lostWithin reports whether a call failed within the time.
func (f *follower) lostWithin(d time.Duration) bool {
	return f.cfg.Clock()-time.Duration(f.failedAt.Load()) < d
}

// run follows the prefix until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.scan(ctx)
		if err == nil {
			err = f.follow(ctx, revision)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, storer.ErrHistoryLost) {
			f.cfg.Logger.Info("history lost, scanning again", "prefix", f.cfg.Prefix)
			continue
		}
		sleeper.Sleep(ctx, followRetry)
	}
	return nil
}

func (f *follower) scan(ctx context.Context) (storer.Version, error) {
	call, cancel := context.WithTimeout(ctx, 4*storeTimeout)
	defer cancel()
	sentAt := f.cfg.Clock()
	listing, err := f.cfg.Store.Scan(call, f.cfg.Prefix)
	if err != nil {
		f.failed(err)
		return 0, err
	}
	events := make([]storer.Event, 0, len(listing.Items))
	for _, item := range listing.Items {
		events = append(events, storer.Event{
			Item: item,
		})
	}
	f.cfg.Apply(events, true)
	f.succeeded(sentAt)
	if !f.ready.Swap(true) {
		close(f.loaded)
	}
	return listing.Revision, nil
}

// follow applies changes until a call fails.
func (f *follower) follow(ctx context.Context, revision storer.Version) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, f.cfg.Wait+storeTimeout)
		sentAt := f.cfg.Clock()
		changes, err := f.cfg.Store.Follow(call, f.cfg.Prefix, revision, f.cfg.Wait)
		cancel()
		switch {
		case errors.Is(err, storer.ErrHistoryLost):
			return err
		case err != nil:
			f.failed(err)
			sleeper.Sleep(ctx, followRetry)
			continue
		}
		if len(changes.Events) > 0 {
			f.cfg.Apply(changes.Events, false)
		}
		f.succeeded(sentAt)
		revision = max(revision, changes.Revision)
		if f.cfg.Pause > 0 {
			sleeper.Sleep(ctx, f.cfg.Pause)
		}
	}
	return ctx.Err()
}

func (f *follower) succeeded(sentAt time.Duration) {
	if f.lost {
		f.lost = false
		f.cfg.Logger.Info("store regained", "prefix", f.cfg.Prefix, "after_ms", f.age().Milliseconds())
	}
	f.provedAt.Store(int64(sentAt))
}

func (f *follower) failed(err error) {
	f.failedAt.Store(int64(f.cfg.Clock()))
	if !f.lost {
		f.lost = true
		f.cfg.Logger.Warn("store lost", "prefix", f.cfg.Prefix, "age_ms", f.age().Milliseconds(), "error", err)
	}
}
