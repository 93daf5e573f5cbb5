package journaler

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// A crash between the write of a body or a result and the commit of the record
// that names it leaves a key that no record names. The owner of the shard looks
// for such keys in the background. The keys are listed by the time in their
// identities, because a call that lists a shard's keys also reads their values.

const (
	// sweepWindow is the time that the first 32 bits of a UUIDv7 cover. At 200
	// writes/s of the installation at most 205 keys of a shard fall into one window.
	sweepWindow = 1 << 16 * time.Millisecond
	// sweepHorizon bounds the age of the identities. A pass over it takes 3.7 h per shard.
	sweepHorizon = 24 * time.Hour
	// defaultSweepAge exceeds the retention of most records, so that few live values are read.
	defaultSweepAge = 15 * time.Minute
)

// sweeper walks from the newest window to the oldest one, and again.
type sweeper struct {
	shard  *Shard
	prefix string
	window time.Time
}

// sweepKeys lists one window in each interval until the shard is lost.
func (s *Shard) sweepKeys() {
	sweepers := []*sweeper{
		{
			shard:  s,
			prefix: bodyPrefix,
		},
		{
			shard:  s,
			prefix: resultPrefix,
		},
	}
	for n := 0; sleep(s.ctx, sweepInterval) == nil; n++ {
		if s.Stats().Discarded == 0 {
			sweepers[n%len(sweepers)].step(s.ctx)
		}
	}
}

// step discards the unnamed keys of the next window. After an error the window is tried again.
func (w *sweeper) step(ctx context.Context) {
	now := w.shard.cfg.Now()
	if w.window.IsZero() || now.Sub(w.window) > sweepHorizon {
		w.window = now.Add(-w.shard.cfg.SweepAge)
	}
	keys, err := w.shard.unnamed(ctx, w.prefix, w.window)
	if err != nil {
		return
	}
	for _, key := range keys {
		w.shard.discard(key)
	}
	w.window = w.window.Add(-sweepWindow)
}

// unnamed returns the keys of a window that no record names now or later on. The
// listed keys are those of this term, whose writer looks after them, and those of
// former owners, which can no longer commit a record. Only a successor's keys would
// be live ones, and the check of the ownership after the list excludes those.
func (s *Shard) unnamed(ctx context.Context, prefix string, window time.Time) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	items, err := s.cfg.Store.List(ctx, fmt.Sprintf("%s%02d/%08x-", prefix, s.cfg.Shard, window.UnixMilli()>>16))
	if err != nil || len(items) == 0 {
		return nil, err
	}
	if err := s.Verify(ctx); err != nil {
		return nil, err
	}
	named := map[string]bool{}
	for _, r := range s.Records() {
		for _, key := range r.keys() {
			named[key] = true
		}
	}
	var unnamed []string
	for _, item := range items {
		if !named[item.Key] && !strings.Contains(item.Key, "/"+s.term+".") {
			unnamed = append(unnamed, item.Key)
		}
	}
	return unnamed, nil
}
