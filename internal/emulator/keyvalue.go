package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// maxRequestBytes limits the body of a request to the platform.
	maxRequestBytes = 2 * storer.MaxValueBytes
	// maxWatch is the longest wait of one watch.
	maxWatch = time.Minute
)

// errBadRequest is answered with status 400.
var errBadRequest = errors.New("bad request")

// keyValueHandler handles one call of the key-value service and returns the value that is
// encoded as the answer.
type keyValueHandler func(r *http.Request) (any, error)

// routeKeyValue registers the calls of the key-value service.
func (p *Platform) routeKeyValue(mux *http.ServeMux) {
	routes := []struct {
		pattern string
		op      storer.Op
		write   bool
		handle  keyValueHandler
	}{
		{"GET /v1/kv", storer.OpGet, false, p.get},
		{"GET /v1/kv/list", storer.OpList, false, p.list},
		{"GET /v1/kv/watch", storer.OpWatch, false, p.watch},
		{"POST /v1/kv/compare_and_swap", storer.OpCompareAndSwap, true, p.compareAndSwap},
		{"POST /v1/kv/delete", storer.OpDelete, true, p.delete},
		{"POST /v1/leases", storer.OpGrant, true, p.grant},
		{"POST /v1/leases/{id}/renew", storer.OpRenew, true, p.renew},
		{"DELETE /v1/leases/{id}", storer.OpRevoke, true, p.revoke},
	}
	for _, route := range routes {
		mux.HandleFunc(route.pattern, func(w http.ResponseWriter, r *http.Request) {
			p.serveKeyValue(w, r, route.op, route.write, route.handle)
		})
	}
}

func (p *Platform) serveKeyValue(w http.ResponseWriter, r *http.Request, op storer.Op, write bool, handle keyValueHandler) {
	defer p.calls.begin(string(op))()
	total := KindAllReads
	if write {
		total = KindAllWrites
	}
	defer p.calls.begin(total)()
	if !p.admit(w, r, p.Faults().Outage) {
		return
	}
	answer, err := handle(r)
	if write && err == nil && p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	switch code := storer.CodeOf(err); {
	case err == nil:
		writeJSON(w, http.StatusOK, answer)
	case errors.Is(err, errBadRequest):
		writeError(w, http.StatusBadRequest, "bad_request")
	case code == storer.CodeConflict:
		writeError(w, http.StatusConflict, string(code))
	case code == storer.CodeTooLarge:
		writeError(w, http.StatusRequestEntityTooLarge, string(code))
	case code == storer.CodeLeaseNotFound:
		writeError(w, http.StatusNotFound, string(code))
	default:
		writeError(w, http.StatusInternalServerError, "internal")
	}
}

func (p *Platform) get(r *http.Request) (any, error) {
	return p.store.Get(r.Context(), r.URL.Query().Get("key"))
}

func (p *Platform) list(r *http.Request) (any, error) {
	items, err := p.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if items == nil {
		items = []storer.Item{}
	}
	return items, err
}

func (p *Platform) watch(r *http.Request) (any, error) {
	query := r.URL.Query()
	known, err := strconv.ParseUint(query.Get("known"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: known: %w", errBadRequest, err)
	}
	wait, err := parseMilliseconds(query.Get("wait_ms"), maxWatch)
	if err != nil {
		return nil, fmt.Errorf("%w: wait_ms: %w", errBadRequest, err)
	}
	return p.store.Watch(r.Context(), query.Get("key"), storer.Version(known), wait)
}

func (p *Platform) compareAndSwap(r *http.Request) (any, error) {
	req, err := readJSON[storer.WriteRequest](r)
	if err != nil {
		return nil, err
	}
	version, err := p.store.CompareAndSwap(detach(r), storer.Write(req))
	return storer.WriteAnswer{Version: version}, err
}

func (p *Platform) delete(r *http.Request) (any, error) {
	req, err := readJSON[storer.WriteRequest](r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Delete(detach(r), req.Key, req.Expected)
}

func (p *Platform) grant(r *http.Request) (any, error) {
	req, err := readJSON[storer.LeaseRequest](r)
	if err != nil {
		return nil, err
	}
	if req.TTLMS <= 0 {
		return nil, fmt.Errorf("%w: ttl_ms must be positive", errBadRequest)
	}
	id, err := p.store.Grant(detach(r), time.Duration(req.TTLMS)*time.Millisecond)
	return storer.LeaseAnswer{ID: id}, err
}

func (p *Platform) renew(r *http.Request) (any, error) {
	id, err := leaseID(r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Renew(detach(r), id)
}

func (p *Platform) revoke(r *http.Request) (any, error) {
	id, err := leaseID(r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Revoke(detach(r), id)
}

// detach returns a context for a write that has arrived: the write is carried out even if its
// caller closes the connection.
func detach(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func leaseID(r *http.Request) (storer.LeaseID, error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: lease: %w", errBadRequest, err)
	}
	return storer.LeaseID(id), nil
}

// parseMilliseconds parses a number of milliseconds from 0 to largest.
func parseMilliseconds(s string, largest time.Duration) (time.Duration, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, err
	}
	if n < 0 || n > largest.Milliseconds() {
		return 0, fmt.Errorf("%d is not in 0 to %d", n, largest.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

func readJSON[T any](r *http.Request) (T, error) {
	var v T
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return v, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	if len(data) > maxRequestBytes {
		return v, fmt.Errorf("%w: body larger than %d bytes", errBadRequest, maxRequestBytes)
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return v, nil
}

// readAdminJSON refuses unknown fields, so that a misspelled fault is not ignored.
func readAdminJSON[T any](r *http.Request) (T, error) {
	var v T
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return v, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		return // the caller is gone
	}
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, map[string]string{"error": code})
}
