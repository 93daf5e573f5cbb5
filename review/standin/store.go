package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Transaction is a transaction as the store receives it.
type Transaction struct {
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

// Store is the platform's metadata store.
type Store struct {
	memory *storer.Memory

	mu sync.Mutex
	// lose decides whether a transaction gets no answer, and after which time it is carried out.
	lose func(Transaction) (after time.Duration, lost bool)
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		memory: storer.NewMemory(),
	}
}

// LoseAnswers makes the store ask f about each transaction; nil ends that.
func (s *Store) LoseAnswers(f func(Transaction) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = f
}

// Put writes a key, as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(storer.Transaction{
		Puts: []storer.Put{{
			Key:   key,
			Value: data,
		}},
	})
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.commit(storer.Transaction{
		Removals: []string{key},
	})
}

func (s *Store) commit(t storer.Transaction) {
	if _, err := s.memory.Commit(context.Background(), t); err != nil {
		panic(err)
	}
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	item, err := s.memory.Read(context.Background(), key)
	if err != nil {
		return nil
	}
	return item.Value
}

// Handler serves the protocol of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.lease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.leaseCall(w, r, s.memory.Renew)
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.leaseCall(w, r, s.memory.Revoke)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
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

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	item, err := s.memory.Read(r.Context(), r.URL.Query().Get("Key"))
	if err != nil || item.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, encodeItem(item))
}

// maxPage is the number of items in a page.
const maxPage = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	listing, err := s.memory.Scan(r.Context(), r.URL.Query().Get("Prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []map[string]any{}
	more := false
	for _, item := range listing.Items {
		if item.Key <= r.URL.Query().Get("After") {
			continue
		}
		if len(items) == maxPage {
			more = true
			break
		}
		items = append(items, encodeItem(item))
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"items":      items,
		"HasMore":    more,
		"CurrentRev": max(1, listing.Revision),
	})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	changes, err := s.memory.WatchPrefix(r.Context(), q.Get("Prefix"), storer.Version(after), time.Duration(wait)*time.Millisecond)
	if errors.Is(err, storer.ErrHistoryLost) {
		w.WriteHeader(http.StatusGone)
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
	writeJSON(w, http.StatusOK, map[string]any{
		"events":     events,
		"CurrentRev": max(1, changes.Revision),
	})
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body Transaction
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
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if after, lost := lose(body); lost {
			time.AfterFunc(after, func() {
				// If its condition no longer holds, it has no effect.
				_, _ = s.memory.Commit(context.Background(), t)
			})
			<-r.Context().Done() // the connection returns nothing further
			panic(http.ErrAbortHandler)
		}
	}
	version, err := s.memory.Commit(r.Context(), t)
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		items := []map[string]any{}
		for _, item := range conflict.Items {
			items = append(items, encodeItem(item))
		}
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{
			"items": items,
		})
	case errors.Is(err, storer.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, map[string]any{
			"Revision": version,
		})
	}
}

func (s *Store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TtlMs int64 //nolint:revive // name of the platform
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, ttl, err := s.memory.GrantLease(r.Context(), time.Duration(max(body.TtlMs, 1000))*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"Lease": id,
		"TtlMs": ttl.Milliseconds(),
	})
}

func (s *Store) leaseCall(w http.ResponseWriter, r *http.Request, call func(context.Context, storer.LeaseID) error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := call(r.Context(), storer.LeaseID(id)); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}
