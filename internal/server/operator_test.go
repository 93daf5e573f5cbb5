package server

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const operatorKey = "operator-key"

// memberList implements Members. It maps each member to the time when it confirms.
type memberList map[string]time.Time

func (m memberList) Unconfirmed(uint64) []string {
	var names []string
	for name, confirms := range m {
		if time.Now().Before(confirms) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func newOperatorAPI(store storer.Store, members Members) *OperatorAPI {
	return NewOperatorAPI(OperatorAPIConfig{
		Committer: &configurer.Committer{
			Store: store,
			View:  configurer.NewView(nil),
		},
		Members:        members,
		KeySHA256:      sha256.Sum256([]byte(operatorKey)),
		BodyLimitBytes: 4 << 10,
	})
}

// call sends a request for the settings tree and decodes the answer.
func call(t *testing.T, o http.Handler, method, path, body string, v any) int {
	t.Helper()
	return request(t, o, method, "/v1/settings/"+path, body, v)
}

// request sends a request and decodes the answer.
func request(t *testing.T, o http.Handler, method, path, body string, v any) int {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set(OperatorKeyHeader, operatorKey)
	w := httptest.NewRecorder()
	o.ServeHTTP(w, r)
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		t.Fatalf("%s %s: %v: %s", method, path, err, w.Body)
	}
	return w.Code
}

func teamBody(id, expected string) string {
	return fmt.Sprintf(`{"change_id": %q, "author": "ann", "expected": %q, "text": "weight = 1\nlimit = 1\n"}`, id, expected)
}

// Guards against paths that can be used without the operator key.
func TestOperatorKeyIsRequired(t *testing.T) {
	o := newOperatorAPI(storer.NewMemory(), memberList{})
	for _, key := range []string{"", "operator-kez", operatorKey + "x"} {
		for _, path := range []string{"documents", "watch?revision=0&wait=0s", "none"} {
			r := httptest.NewRequest(http.MethodGet, "/v1/settings/"+path, nil)
			r.Header.Set(OperatorKeyHeader, key)
			w := httptest.NewRecorder()
			o.ServeHTTP(w, r)
			if w.Code != http.StatusUnauthorized || strings.Contains(w.Body.String(), operatorKey) {
				t.Errorf("key %q, %s: status %d: %s", key, path, w.Code, w.Body)
			}
		}
	}
}

// Guards against a change that is reported as in_force while a member may still use an
// older revision.
func TestChangeStates(t *testing.T) {
	cases := []struct {
		name    string
		after   map[string]time.Duration
		status  int
		state   ChangeState
		missing []string
		takes   time.Duration
	}{
		{name: "at once", status: http.StatusOK, state: ChangeInForce},
		{name: "late", after: map[string]time.Duration{"entry-1": time.Second}, status: http.StatusOK, state: ChangeInForce, takes: time.Second},
		{name: "too late", after: map[string]time.Duration{"entry-1": time.Second, "entry-2": time.Hour}, status: http.StatusAccepted, state: ChangeStored, missing: []string{"entry-2"}, takes: InForceTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				members := memberList{}
				for name, d := range tc.after {
					members[name] = begin.Add(d)
				}
				var a ChangeAnswer
				status := call(t, newOperatorAPI(storer.NewMemory(), members), http.MethodPut, "documents/teams/a", teamBody("change-1", ""), &a)
				if status != tc.status || a.State != tc.state || !slices.Equal(a.Missing, tc.missing) || a.Revision != 1 {
					t.Errorf("status %d, %+v", status, a)
				}
				if took := time.Since(begin); took != tc.takes {
					t.Errorf("took %v, want %v", took, tc.takes)
				}
			})
		})
	}
}

// Guards against refusals without the right reason or without a detail, and against
// refused changes that are stored.
func TestOperatorRefusals(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		status                   int
		reason                   string
	}{
		{name: "conflict", method: http.MethodPut, path: "documents/teams/a", body: teamBody("change-2", ""), status: http.StatusConflict, reason: "conflict"},
		{name: "id reused", method: http.MethodPut, path: "documents/teams/b", body: teamBody("change-1", ""), status: http.StatusConflict, reason: "change_id_reused"},
		{name: "invalid", method: http.MethodPut, path: "documents/teams/b", body: `{"change_id": "change-2", "author": "ann", "text": "weight = 1"}`, status: http.StatusUnprocessableEntity, reason: "invalid"},
		{name: "unknown field", method: http.MethodPut, path: "documents/teams/b", body: `{"id": "change-2"}`, status: http.StatusBadRequest, reason: "bad_request"},
		{name: "two values", method: http.MethodPost, path: "changes", body: `{} {}`, status: http.StatusBadRequest, reason: "bad_request"},
		{name: "too large", method: http.MethodPost, path: "changes", body: `{"id": "` + strings.Repeat("a", 5<<10) + `"}`, status: http.StatusRequestEntityTooLarge, reason: "body_too_large"},
		{name: "absent", method: http.MethodGet, path: "documents/teams/b", status: http.StatusNotFound, reason: "not_found"},
		{name: "absent version", method: http.MethodGet, path: "documents/teams/a?version=none", status: http.StatusNotFound, reason: "not_found"},
		{name: "wait too long", method: http.MethodGet, path: "watch?revision=0&wait=1h", status: http.StatusBadRequest, reason: "bad_request"},
		{name: "unknown key", method: http.MethodPost, path: "keys/withdraw", body: `{"change_id": "change-2", "author": "ann", "key_id": "none"}`, status: http.StatusNotFound, reason: "not_found"},
		{name: "key for an unknown team", method: http.MethodPost, path: "keys/issue", body: `{"change_id": "change-2", "author": "ann", "key_id": "k123", "team": "none"}`, status: http.StatusNotFound, reason: "not_found"},
		{name: "key without hash", method: http.MethodPost, path: "keys/issue", body: `{"change_id": "change-2", "author": "ann", "key_id": "k123", "team": "a"}`, status: http.StatusUnprocessableEntity, reason: "invalid"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := newOperatorAPI(storer.NewMemory(), memberList{})
			var accepted ChangeAnswer
			call(t, o, http.MethodPut, "documents/teams/a", teamBody("change-1", ""), &accepted)
			var refused ErrorAnswer
			if status := call(t, o, tc.method, tc.path, tc.body, &refused); status != tc.status || refused.Reason != tc.reason || refused.Detail == "" {
				t.Errorf("status %d, %+v", status, refused)
			}
			if revision := o.cfg.Committer.View.Current().Tree.Revision; revision != 1 {
				t.Errorf("revision %d after a refusal", revision)
			}
		})
	}
}

// Guards against a change that is reported as not stored although it may be, and against
// requests that get no response during an outage.
func TestOperatorDuringOutage(t *testing.T) {
	for _, tc := range []struct {
		fault  error
		status int
		reason string
	}{
		{fault: storer.ErrUnavailable, status: http.StatusServiceUnavailable, reason: "not_stored"},
		{fault: storer.ErrOutcomeUnknown, status: http.StatusGatewayTimeout, reason: "outcome_unknown"},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newOperatorAPI(&storer.FaultInjector{
				Store: storer.NewMemory(),
				Before: func(_ context.Context, op storer.Op, key string) error {
					if op == storer.OpCompareAndSwap && key == "config/head" {
						return tc.fault
					}
					return nil
				},
			}, memberList{})
			var refused ErrorAnswer
			if status := call(t, o, http.MethodPut, "documents/teams/a", teamBody("change-1", ""), &refused); status != tc.status || refused.Reason != tc.reason {
				t.Errorf("status %d, %+v", status, refused)
			}
		})
	}
}

// Guards against a watch that misses a change or never ends.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperatorAPI(storer.NewMemory(), memberList{})
		begin := time.Now()
		var h History
		call(t, o, http.MethodGet, "watch?revision=0&wait=3s", "", &h)
		if took := time.Since(begin); took != 3*time.Second || h.Revision != 0 || len(h.Changes) != 0 {
			t.Errorf("after %v: %+v", took, h)
		}
		go func() {
			time.Sleep(time.Second)
			var a ChangeAnswer
			call(t, o, http.MethodPut, "documents/teams/a", teamBody("change-1", ""), &a)
		}()
		begin = time.Now()
		call(t, o, http.MethodGet, "watch?revision=0&wait=30s", "", &h)
		if took := time.Since(begin); took != time.Second || h.Revision != 1 || len(h.Changes) != 1 {
			t.Errorf("after %v: %+v", took, h)
		}
	})
}

// Guards against a key that is lost when another operator edits the team at the same time,
// or stored twice when the request is repeated.
func TestKeyChangesRaceWithOtherOperators(t *testing.T) {
	store := storer.NewMemory()
	other := newOperatorAPI(store, memberList{})
	var a ChangeAnswer
	call(t, other, http.MethodPut, "documents/teams/a", teamBody("change-1", ""), &a)
	raced := false
	o := newOperatorAPI(&storer.FaultInjector{
		Store: store,
		Before: func(_ context.Context, op storer.Op, key string) error {
			if op == storer.OpCompareAndSwap && key == "config/head" && !raced {
				raced = true
				call(t, other, http.MethodPut, "documents/teams/a", teamBody("change-2", "change-1"), &a)
			}
			return nil
		},
	}, memberList{})
	issue := fmt.Sprintf(`{"change_id": "change-3", "author": "ann", "key_id": "k123", "team": "a", "sha256": %q}`, strings.Repeat("0", 64))
	for range 2 {
		if status := call(t, o, http.MethodPost, "keys/issue", issue, &a); status != http.StatusOK || a.Revision != 3 {
			t.Errorf("status %d, %+v", status, a)
		}
	}
	for range 2 {
		if status := call(t, o, http.MethodPost, "keys/withdraw", `{"change_id": "change-4", "author": "ann", "key_id": "k123"}`, &a); status != http.StatusOK || a.Revision != 4 {
			t.Errorf("status %d, %+v", status, a)
		}
	}
	keys := o.cfg.Committer.View.Current().Tree.Teams["a"].Keys
	if len(keys) != 1 || !keys[0].Withdrawn {
		t.Errorf("keys %+v", keys)
	}
}

// Guards against a key request that drops settings of the team which only a newer release
// knows.
func TestKeyRequestKeepsUnknownKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperatorAPI(storer.NewMemory(), memberList{})
		if err := o.cfg.Committer.View.Apply(configurer.Delta{
			Revision: 1,
			Documents: []configurer.Document{{
				Path:     "teams/a",
				Version:  "change-1",
				Revision: 1,
				Text:     "weight = 1\nlimit = 1\nburst = 2\n",
			}},
		}, time.Now()); err != nil {
			t.Fatal(err)
		}
		issue := fmt.Sprintf(`{"change_id": "change-2", "author": "ann", "key_id": "k123", "team": "a", "sha256": %q}`, strings.Repeat("0", 64))
		var refused ErrorAnswer
		if status := call(t, o, http.MethodPost, "keys/issue", issue, &refused); status != http.StatusUnprocessableEntity {
			t.Errorf("status %d, %+v", status, refused)
		}
	})
}
