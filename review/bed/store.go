package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// maxPageItems is the number of items in a page of a range.
const maxPageItems = 500

// store serves the platform's metadata store over HTTP. The project's store in memory holds the
// items, the history and the leases.
type store struct {
	*storer.Memory
}

type storeItem struct {
	Key        string
	Value      []byte `json:",omitempty"`
	Revision   uint64
	Created    uint64 `json:",omitempty"`
	Lease      uint64
	Deleted    bool   `json:",omitempty"`
	CurrentRev uint64 `json:",omitempty"`
}

func newStore() *store {
	return &store{
		Memory: storer.NewMemory(),
	}
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if _, err := s.Commit(context.Background(), storer.Transaction{
		Puts: []storer.Put{{
			Key:   key,
			Value: data,
		}},
	}); err != nil {
		panic(err)
	}
}

// remove deletes a key.
func (s *store) remove(key string) {
	_, _ = s.Commit(context.Background(), storer.Transaction{
		Removals: []string{key},
	})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	return mux
}

func wireItem(item storer.Item) storeItem {
	return storeItem{
		Key:      item.Key,
		Value:    item.Value,
		Revision: uint64(item.Version),
		Created:  uint64(item.Version),
		Lease:    uint64(item.Lease),
	}
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	item, err := s.Read(r.Context(), r.URL.Query().Get("Key"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if item.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, wireItem(item))
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	listing, err := s.Scan(r.Context(), q.Get("Prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	page := struct {
		Items      []storeItem `json:"items"`
		HasMore    bool
		CurrentRev uint64
	}{
		Items:      []storeItem{},
		CurrentRev: max(1, uint64(listing.Revision)),
	}
	for _, item := range listing.Items {
		if item.Key <= q.Get("After") {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, wireItem(item))
	}
	answer(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	changes, err := s.WatchPrefix(r.Context(), q.Get("Prefix"), storer.Version(after), time.Duration(min(wait, 30_000))*time.Millisecond)
	switch {
	case errors.Is(err, storer.ErrHistoryLost):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	result := struct {
		Events     []storeItem `json:"events"`
		CurrentRev uint64
	}{
		Events:     []storeItem{},
		CurrentRev: max(after, uint64(changes.Revision)),
	}
	for _, event := range changes.Events {
		item := wireItem(event.Item)
		if event.Deleted {
			item = storeItem{
				Key:      event.Item.Key,
				Revision: uint64(event.Item.Version),
				Deleted:  true,
			}
		}
		result.Events = append(result.Events, item)
	}
	answer(w, http.StatusOK, result)
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
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
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		t.Puts = append(t.Puts, storer.Put{
			Key:   p.Key,
			Value: p.Value,
			Lease: storer.LeaseID(p.Lease),
		})
	}
	version, err := s.Commit(r.Context(), t)
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		items := []storeItem{}
		for _, item := range conflict.Items {
			items = append(items, wireItem(item))
		}
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	case errors.Is(err, storer.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		answer(w, http.StatusOK, map[string]uint64{"Revision": uint64(version)})
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TtlMs int64 //nolint:revive // name of the platform
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Second, time.Duration(body.TtlMs)*time.Millisecond)
	lease, ttl, err := s.GrantLease(r.Context(), ttl)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, http.StatusOK, map[string]int64{"Lease": int64(lease), "TtlMs": ttl.Milliseconds()})
}

func leaseID(r *http.Request) storer.LeaseID {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return storer.LeaseID(id)
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	if err := s.Renew(r.Context(), leaseID(r)); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]int64{})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	if err := s.Revoke(r.Context(), leaseID(r)); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
