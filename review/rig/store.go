package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	pageItems = 500
	pageBytes = 1 << 20
)

// store serves the project's in-memory store over the protocol of the platform's store.
type store struct {
	memory *storer.Memory
}

func newStore() *store {
	return &store{
		memory: storer.NewMemory(),
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.lease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		leaseCall(w, r, func(id storer.LeaseID) error { return s.memory.Renew(r.Context(), id) })
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		leaseCall(w, r, func(id storer.LeaseID) error { return s.memory.Revoke(r.Context(), id) })
	})
	return mux
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value []byte) {
	if _, err := s.memory.Commit(context.Background(), storer.Transaction{
		Puts: []storer.Put{{
			Key:   key,
			Value: value,
		}},
	}); err != nil {
		fail("store: %v", err)
	}
}

// remove deletes a key as the platform does for a worker that has left.
func (s *store) remove(key string) {
	if _, err := s.memory.Commit(context.Background(), storer.Transaction{
		Removals: []string{key},
	}); err != nil {
		fail("store: %v", err)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		fail("answer: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}

func encodeItem(item storer.Item) map[string]any {
	return map[string]any{
		"Key":      item.Key,
		"Value":    item.Value,
		"Revision": item.Version,
		"Created":  item.Version,
		"Lease":    item.Lease,
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	item, err := s.memory.Read(r.Context(), r.URL.Query().Get("Key"))
	if err != nil || item.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, encodeItem(item))
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	listing, err := s.memory.Scan(r.Context(), r.URL.Query().Get("Prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items, size, more := []map[string]any{}, 0, false
	for _, item := range listing.Items {
		if item.Key <= r.URL.Query().Get("After") {
			continue
		}
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, encodeItem(item))
		size += len(item.Value)
	}
	answer(w, http.StatusOK, map[string]any{
		"items":      items,
		"HasMore":    more,
		"CurrentRev": listing.Revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	changes, err := s.memory.WatchPrefix(r.Context(), q.Get("Prefix"), storer.Version(after), time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, storer.ErrHistoryLost):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	events := []map[string]any{}
	for _, e := range changes.Events {
		event := encodeItem(e.Item)
		if e.Deleted {
			event = map[string]any{
				"Key":      e.Item.Key,
				"Revision": e.Item.Version,
				"Deleted":  true,
			}
		}
		events = append(events, event)
	}
	answer(w, http.StatusOK, map[string]any{
		"events":     events,
		"CurrentRev": changes.Revision,
	})
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := storer.Transaction{
		Removals: body.Remove,
	}
	for _, c := range body.ExpectedRev {
		t.Conditions = append(t.Conditions, storer.Condition{
			Key:     c.Key,
			Version: storer.Version(c.Revision),
		})
	}
	for _, p := range body.Puts {
		t.Puts = append(t.Puts, storer.Put{
			Key:   p.Key,
			Value: p.Value,
			Lease: storer.LeaseID(p.Lease),
		})
	}
	version, err := s.memory.Commit(r.Context(), t)
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		items := []map[string]any{}
		for _, item := range conflict.Items {
			items = append(items, encodeItem(item))
		}
		answer(w, http.StatusPreconditionFailed, map[string]any{
			"items": items,
		})
	case errors.Is(err, storer.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, storer.ErrTooLarge):
		w.WriteHeader(http.StatusBadRequest)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		answer(w, http.StatusOK, map[string]any{
			"Revision": version,
		})
	}
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TtlMs int64 //nolint:revive // name of the platform
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, ttl, err := s.memory.GrantLease(r.Context(), time.Duration(body.TtlMs)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"Lease": id,
		"TtlMs": ttl.Milliseconds(),
	})
}

func leaseCall(w http.ResponseWriter, r *http.Request, call func(storer.LeaseID) error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := call(storer.LeaseID(id)); err != nil {
		w.WriteHeader(http.StatusNotFound)
	}
}
