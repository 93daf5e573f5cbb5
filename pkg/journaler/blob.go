package journaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Prefixes of the keys of bodies and results, which never change once written.
const (
	bodyPrefix   = "journal/body/"
	resultPrefix = "journal/result/"
)

// inlineBlob describes data that stays inside the record.
func inlineBlob(data []byte) Blob {
	return Blob{
		Inline: data,
		Size:   len(data),
		Digest: xxhash.Sum64(data),
	}
}

// putBlob stores data above MaxInlineBytes, or any data if external is set, at
// a key of its own before a record references it. The key contains the term and a
// counter, so that a paused former owner cannot overwrite or delete the data of
// its successor.
func (s *Shard) putBlob(ctx context.Context, prefix string, id uuid.UUID, data []byte, external bool) (Blob, error) {
	blob := inlineBlob(data)
	if !external && len(data) <= MaxInlineBytes {
		return blob, nil
	}
	blob.Inline = nil
	blob.Key = fmt.Sprintf("%s%02d/%s/%s.%d", prefix, s.cfg.Shard, id, s.termID, s.nameCounter.Add(1))
	sent := false
	for {
		if err := s.cfg.Limiter.Wait(ctx); err != nil {
			return s.blobError(blob, sent, err)
		}
		_, err := s.cfg.Store.CompareAndSwap(ctx, storer.Write{
			Key:   blob.Key,
			Value: data,
		})
		switch {
		case err == nil, sent && errors.Is(err, storer.ErrConflict):
			return blob, nil
		case errors.Is(err, storer.ErrOutcomeUnknown):
			sent = true
		default:
			return s.blobError(blob, sent, err)
		}
		if err := sleep(ctx, s.cfg.RetryDelay); err != nil {
			return s.blobError(blob, sent, err)
		}
	}
}

func (s *Shard) blobError(blob Blob, sent bool, err error) (Blob, error) {
	if sent {
		s.discard(blob.Key)
	}
	return Blob{}, &CommitError{
		Effect: EffectNone,
		Err:    fmt.Errorf("%w: %w", ErrUnavailable, err),
	}
}

// getBlob returns the data of a blob, or ErrCorrupt if its size or digest is wrong.
func (s *Shard) getBlob(ctx context.Context, blob Blob) ([]byte, error) {
	data := blob.Inline
	if blob.Key != "" {
		item, err := s.cfg.Store.Get(ctx, blob.Key)
		if err != nil {
			return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
		data = item.Value
	}
	if len(data) != blob.Size || xxhash.Sum64(data) != blob.Digest {
		return nil, Error.Wrap(fmt.Errorf("%w: %q has %d bytes, want %d with the recorded digest", ErrCorrupt, blob.Key, len(data), blob.Size))
	}
	return data, nil
}

// discard queues a key that no record references for deletion.
func (s *Shard) discard(key string) {
	if key == "" {
		return
	}
	s.mu.Lock()
	s.garbage = append(s.garbage, key)
	s.mu.Unlock()
	s.signal()
}

// deleteOne deletes the oldest discarded key. After a failed call the key stays
// in the list, and the committer is woken again after the retry delay.
func (s *Shard) deleteOne(ctx context.Context) bool {
	s.mu.Lock()
	key := s.garbage[0]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	if s.cfg.Limiter.Wait(ctx) != nil {
		return s.deleteLater()
	}
	item, err := s.cfg.Store.Get(ctx, key)
	if err == nil && item.Version != 0 {
		err = s.cfg.Store.Delete(ctx, key, item.Version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbage = s.garbage[1:]
	if err != nil {
		s.garbage = append(s.garbage, key)
		return s.deleteLater()
	}
	if s.expiredKeys[key] {
		s.deletedKeys[key] = true
	}
	return true
}

func (s *Shard) deleteLater() bool {
	time.AfterFunc(s.cfg.RetryDelay, s.signal)
	return false
}
