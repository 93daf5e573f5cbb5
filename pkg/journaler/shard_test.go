package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

func open(t testing.TB, store storer.Store, owner string, limiter Limiter) *Shard {
	t.Helper()
	s, err := OpenShard(t.Context(), ShardConfig{
		Store:       store,
		Shard:       ShardOf(idAt(time.Now(), 1)),
		Owner:       owner,
		Limiter:     limiter,
		MinSweepAge: time.Nanosecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func accept(ctx context.Context, s *Shard, id uuid.UUID) error {
	return s.Change(ctx, func(d *Document, _ time.Time) error {
		return d.Accept(id, Request{
			Queue: "q",
			Team:  "a",
		}, inlineBlob(nil))
	})
}

// stored reads the records that the store holds.
func stored(t testing.TB, store storer.Store, id uuid.UUID) map[uuid.UUID]Record {
	t.Helper()
	item, err := store.Get(t.Context(), ShardKey(ShardOf(id)))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := mustCodec(t).decode(item.Value)
	if err != nil {
		t.Fatal(err)
	}
	return doc.Records
}

// Guards against an error that states the wrong effect after faults of the
// store, with or without another owner that takes the shard in between.
func TestCommitErrorsTellTheTruth(t *testing.T) {
	for _, tt := range []struct {
		name     string
		before   error // of the first write
		after    error
		takeover string // when another owner takes over: never (""), "before" or "after" the write
		want     Effect
		reason   error
	}{
		{
			name: "plain",
			want: EffectApplied,
		},
		{
			name:   "refused",
			before: storer.ErrUnavailable,
			want:   EffectNone,
			reason: ErrUnavailable,
		},
		{
			name:   "request lost",
			before: storer.ErrOutcomeUnknown,
			want:   EffectApplied,
		},
		{
			name:  "answer lost",
			after: storer.ErrOutcomeUnknown,
			want:  EffectApplied,
		},
		{
			name:     "conflict",
			takeover: "before",
			want:     EffectNone,
			reason:   ErrOwnershipLost,
		},
		{
			name:     "request lost, then taken over",
			before:   storer.ErrOutcomeUnknown,
			takeover: "before",
			want:     EffectNone,
			reason:   ErrOwnershipLost,
		},
		{
			name:     "applied, then taken over",
			after:    storer.ErrOutcomeUnknown,
			takeover: "after",
			want:     EffectApplied,
			reason:   ErrOwnershipLost,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := storer.NewMemory()
				armed := false
				var successor *Shard
				hook := func(point string, fault error) func(context.Context, storer.Op, string) error {
					return func(_ context.Context, op storer.Op, _ string) error {
						if op != storer.OpCompareAndSwap || !armed {
							return nil
						}
						if tt.takeover == point {
							successor = open(t, memory, "b", &WriteLimiter{})
						}
						if point == "after" || tt.before != nil {
							armed = false
						}
						return fault
					}
				}
				s := open(t, &storer.FaultInjector{
					Store:  memory,
					Before: hook("before", tt.before),
					After:  hook("after", tt.after),
				}, "a", &WriteLimiter{})
				armed = true
				id := idAt(time.Now(), 1)
				err := accept(t.Context(), s, id)
				_, there := stored(t, memory, id)[id]
				if CommitEffect(err) != tt.want || !errors.Is(err, tt.reason) || there != (tt.want == EffectApplied) {
					t.Errorf("effect %s (%v), stored %t", CommitEffect(err), err, there)
				}
				for _, s := range []*Shard{s, successor} {
					if s != nil {
						_ = s.Close(t.Context())
					}
				}
			})
		})
	}
}

// Guards against a caller that is told "not applied" while its write is under way.
func TestAbandonedWriteIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		s := open(t, &storer.FaultInjector{
			Store: storer.NewMemory(),
			After: func(context.Context, storer.Op, string) error {
				if down.Load() {
					return storer.ErrOutcomeUnknown
				}
				return nil
			},
		}, "a", &WriteLimiter{})
		down.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := accept(ctx, s, idAt(time.Now(), 1)); CommitEffect(err) != EffectUnknown {
			t.Errorf("taken write: %v", err)
		}
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := accept(ctx, s, idAt(time.Now(), 2)); CommitEffect(err) != EffectNone {
			t.Errorf("waiting write: %v", err)
		}
		down.Store(false)
		_ = s.Close(t.Context())
	})
}

// Guards against more writes than the rate allows and against a commit per transition.
func TestGroupCommitKeepsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var writes atomic.Int64
		limiter := &WriteLimiter{}
		s := open(t, counting(storer.NewMemory(), &writes), "a", limiter)
		limiter.SetRate(10)
		writes.Store(0)
		start := time.Now()
		var wg sync.WaitGroup
		for n := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				if err := accept(t.Context(), s, idAt(start, byte(n))); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if limit := int64(time.Since(start)/(100*time.Millisecond)) + 1; writes.Load() > limit {
			t.Errorf("%d writes, want at most %d", writes.Load(), limit)
		}
		_ = s.Close(t.Context())
	})
}

// Guards against keys that are never deleted after a crash and against the deletion of
// keys in use, also by an owner that has not noticed its successor yet.
func TestSweepDeletesOnlyUnnamedKeys(t *testing.T) {
	body := make([]byte, 2*MaxInlineBytes)
	put := func(t *testing.T, s *Shard, id uuid.UUID, named bool) string {
		blob, err := s.putBlob(t.Context(), bodyPrefix, id, body, true)
		if err == nil && named {
			err = s.Change(t.Context(), func(d *Document, _ time.Time) error {
				return d.Accept(id, Request{Queue: "q"}, blob)
			})
		}
		if err != nil {
			t.Error(err)
		}
		return blob.Key
	}
	for _, tt := range []struct {
		name   string
		writer string // which owner writes the key: "former", "present" or "successor"
		named  bool
		kept   bool
	}{
		{
			name:   "left by a crash",
			writer: "former",
		},
		{
			name:   "named by a record of the former owner",
			writer: "former",
			named:  true,
			kept:   true,
		},
		{
			name:   "not committed yet",
			writer: "present",
			kept:   true,
		},
		{
			name:   "named by a record of an unnoticed successor",
			writer: "successor",
			named:  true,
			kept:   true,
		},
		{
			name:   "not committed yet by an unnoticed successor",
			writer: "successor",
			kept:   true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory, id := storer.NewMemory(), idAt(time.Now(), 1)
				ofID := fmt.Sprintf("%s%02d/%s", bodyPrefix, ShardOf(id), id)
				var key string
				shards := []*Shard{open(t, memory, "former", &WriteLimiter{})}
				if tt.writer == "former" {
					key = put(t, shards[0], id, tt.named)
				}
				takenOver := tt.writer != "successor"
				present := open(t, &storer.FaultInjector{
					Store: memory,
					Before: func(_ context.Context, op storer.Op, prefix string) error {
						if op == storer.OpList && strings.HasPrefix(ofID, prefix) && !takenOver {
							takenOver = true
							successor := open(t, memory, "successor", &WriteLimiter{})
							shards = append(shards, successor)
							key = put(t, successor, id, tt.named)
						}
						return nil
					},
				}, "present", &WriteLimiter{})
				if tt.writer == "present" {
					key = put(t, present, id, tt.named)
				}
				found, err := present.unreferencedKeys(t.Context(), bodyPrefix, time.Now())
				if slices.Contains(found, key) == tt.kept || (err != nil) != (tt.writer == "successor") {
					t.Errorf("found %v, %v", found, err)
				}
				time.Sleep(time.Minute)
				item, err := memory.Get(t.Context(), key)
				if kept := item.Version != 0; err != nil || key == "" || kept != tt.kept {
					t.Errorf("%s is kept: %t, %v", key, kept, err)
				}
				for _, s := range append(shards, present) {
					_ = s.Close(t.Context())
				}
			})
		})
	}
}

// Guards against many cancellations that keep starts out of the commits.
func TestCancellationsDoNotStarveStarts(t *testing.T) {
	s := &Shard{}
	for range 10 * maxBatch {
		s.cancels = append(s.cancels, &change{})
	}
	first := &change{}
	s.starts = append(s.starts, first)
	if batch := s.take(); len(batch) != maxBatch || batch[0] != first {
		t.Errorf("batch of %d does not begin with the start", len(batch))
	}
	for range maxBatch {
		s.starts = append(s.starts, &change{})
	}
	if s.take(); len(s.starts) != maxBatch/2 {
		t.Errorf("%d starts left, want %d", len(s.starts), maxBatch/2)
	}
}

func counting(store storer.Store, writes *atomic.Int64) storer.Store {
	return &storer.FaultInjector{
		Store: store,
		Before: func(_ context.Context, op storer.Op, _ string) error {
			if op == storer.OpCompareAndSwap {
				writes.Add(1)
			}
			return nil
		},
	}
}

// BenchmarkGroupCommit reports the calls to the store per 1,000 transitions
// when each call takes 2 ms.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var writes atomic.Int64
			s := open(b, &storer.FaultInjector{
				Store: counting(storer.NewMemory(), &writes),
				Before: func(context.Context, storer.Op, string) error {
					time.Sleep(2 * time.Millisecond)
					return nil
				},
			}, "a", &WriteLimiter{})
			ids := make(chan uuid.UUID, callers)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for id := range ids {
						if err := accept(b.Context(), s, id); err != nil {
							b.Error(err)
						}
						_ = s.Change(b.Context(), func(d *Document, now time.Time) error {
							return d.Fail(id, VerdictCannotRun, now.Add(-time.Hour))
						})
					}
				})
			}
			for n := 0; b.Loop(); n++ {
				ids <- idAt(time.Now().Add(-time.Hour).Add(time.Duration(n)*time.Millisecond), 1)
			}
			close(ids)
			wg.Wait()
			b.ReportMetric(float64(writes.Load())*1000/float64(2*b.N), "calls/1000")
			_ = s.Close(b.Context())
		})
	}
}

// BenchmarkRecordSize reports the encoded size of one finished record.
func BenchmarkRecordSize(b *testing.B) {
	d, c := NewDocument(), mustCodec(b)
	for n := range 1000 {
		id := idAt(baseTime.Add(time.Duration(n)*time.Millisecond), 1)
		task := id.String() + ".1"
		if err := errors.Join(
			d.Accept(id, Request{
				Queue:      "reorder",
				Team:       "craie",
				Method:     "POST",
				Path:       "/plans",
				DeadlineMS: baseTime.UnixMilli(),
			}, inlineBlob(make([]byte, 64))),
			d.Start(id, Attempt{
				Task:    task,
				Target:  "10.0.0.12:7000",
				BootID:  uuid.NewString(),
				Session: task,
			}),
			d.Finish(id, task, Result{
				Status: 200,
				Kept:   true,
				Type:   "application/json",
				Inline: make([]byte, 64),
				Size:   64,
				Digest: 1 << 60,
			}, baseTime),
		); err != nil {
			b.Fatal(err)
		}
	}
	var data []byte
	for b.Loop() {
		var err error
		if data, err = c.encode(d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/1000, "bytes/record")
}
