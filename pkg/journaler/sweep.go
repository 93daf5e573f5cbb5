package journaler

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// A crash between the write of a body or a result and the commit of the record
// that references it leaves an unreferenced key. The owner of the shard deletes
// such keys in the background. It lists the keys in short windows of the time in
// their identities, because a call that lists keys also reads their values.

const (
	// sweepWindow is the time within which the first 32 bits of a UUIDv7 are the same. At 200
	// writes/s of the installation at most 205 keys of a shard fall into one window.
	sweepWindow = 1 << 16 * time.Millisecond
	// sweepHorizon is the largest age of identities whose keys are listed. A pass over all
	// windows takes 3.7 h per shard.
	sweepHorizon = 24 * time.Hour
	// defaultSweepAge exceeds the retention of most records, so that few live values are read.
	defaultSweepAge = 15 * time.Minute
)

// sweeper goes through the windows of one prefix from the newest to the oldest, and then
// starts over.
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
		if s.Stats().KeysToDelete == 0 {
			sweepers[n%len(sweepers)].step(s.ctx)
		}
	}
}

// step discards the unreferenced keys of the next window. After an error the window is
// tried again.
func (w *sweeper) step(ctx context.Context) {
	now := w.shard.cfg.Now()
	if w.window.IsZero() || now.Sub(w.window) > sweepHorizon {
		w.window = now.Add(-w.shard.cfg.MinSweepAge)
	}
	keys, err := w.shard.unreferencedKeys(ctx, w.prefix, w.window)
	if err != nil {
		return
	}
	for _, key := range keys {
		w.shard.discard(key)
	}
	w.window = w.window.Add(-sweepWindow)
}

// unreferencedKeys returns the keys of a window that no record references or will reference.
// Keys of this term are left out: their writer discards them if the commit fails. Former
// owners can no longer commit a record. A successor can, so the ownership is verified
// after the keys were listed.
func (s *Shard) unreferencedKeys(ctx context.Context, prefix string, window time.Time) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	items, err := s.cfg.Store.List(ctx, fmt.Sprintf("%s%02d/%08x-", prefix, s.cfg.Shard, window.UnixMilli()>>16))
	if err != nil || len(items) == 0 {
		return nil, err
	}
	if err := s.Verify(ctx); err != nil {
		return nil, err
	}
	referenced := map[string]bool{}
	for _, r := range s.Records() {
		for _, key := range r.keys() {
			referenced[key] = true
		}
	}
	var unreferenced []string
	for _, item := range items {
		if !referenced[item.Key] && !strings.Contains(item.Key, "/"+s.termID+".") {
			unreferenced = append(unreferenced, item.Key)
		}
	}
	return unreferenced, nil
}
