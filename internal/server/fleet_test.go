package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// newFleetOperatorAPI returns an operator API with two pools in its region and one elsewhere.
func newFleetOperatorAPI(t *testing.T, store storer.Store) *OperatorAPI {
	t.Helper()
	o := newOperatorAPI(store, memberList{})
	o.cfg.Region = "north"
	change := configurer.Change{
		ID:     "change-1",
		Author: "ann",
		Edits: []configurer.Edit{
			{Path: "pools/quotes", Text: "region = \"north\"\nmin_vms = 1\n"},
			{Path: "pools/spare", Text: "region = \"north\"\n"},
			{Path: "pools/south", Text: "region = \"south\"\n"},
			{Path: "teams/craie", Text: "weight = 1\nlimit = 40\n"},
		},
	}
	if _, err := o.cfg.Committer.Commit(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	return o
}

func addBody(id, pool string, names ...string) string {
	var vms []string
	for _, name := range names {
		vms = append(vms, fmt.Sprintf(`{"name": %q, "pool": %q, "rack": "r1", "availability_zone": "north-a"}`, name, pool))
	}
	return fmt.Sprintf(`{"operation_id": %q, "add": [%s]}`, id, strings.Join(vms, ","))
}

// Guards against refused changes that take effect in part, and against refusals without
// the right reason or without a detail.
func TestFleetRefusals(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		reason     string
	}{
		{name: "no id", body: `{"remove": ["vm-1"]}`, status: http.StatusBadRequest, reason: "bad_request"},
		{name: "no VMs", body: `{"operation_id": "change-b"}`, status: http.StatusBadRequest, reason: "bad_request"},
		{name: "unknown field", body: `{"operation_id": "change-b", "drop": []}`, status: http.StatusBadRequest, reason: "bad_request"},
		{name: "no rack", body: `{"operation_id": "change-b", "add": [{"name": "vm-9", "pool": "spare", "availability_zone": "a"}]}`, status: http.StatusBadRequest, reason: "bad_request"},
		{name: "too large", body: addBody("change-b", "spare", strings.Repeat("a", 5<<10)), status: http.StatusRequestEntityTooLarge, reason: "body_too_large"},
		{name: "unknown pool", body: addBody("change-b", "none", "vm-9"), status: http.StatusUnprocessableEntity, reason: "unknown_pool"},
		{name: "pool of another region", body: addBody("change-b", "south", "vm-9"), status: http.StatusUnprocessableEntity, reason: "unknown_pool"},
		{name: "second VM exists", body: addBody("change-b", "spare", "vm-9", "vm-1"), status: http.StatusConflict, reason: "vm_exists"},
		{name: "VM twice", body: addBody("change-b", "spare", "vm-9", "vm-9"), status: http.StatusConflict, reason: "vm_exists"},
		{name: "wrong pool", body: `{"operation_id": "change-b", "move": [{"name": "vm-1", "from": "spare", "to": "quotes"}]}`, status: http.StatusConflict, reason: "wrong_pool"},
		{name: "move to another region", body: `{"operation_id": "change-b", "move": [{"name": "vm-1", "from": "quotes", "to": "south"}]}`, status: http.StatusUnprocessableEntity, reason: "unknown_pool"},
		{name: "below the minimum", body: `{"operation_id": "change-b", "move": [{"name": "vm-1", "from": "quotes", "to": "spare"}]}`, status: http.StatusConflict, reason: "pool_minimum"},
		{name: "unknown VM", body: `{"operation_id": "change-b", "remove": ["vm-9"]}`, status: http.StatusNotFound, reason: "unknown_vm"},
		{name: "serving VM", body: `{"operation_id": "change-b", "remove": ["vm-1"]}`, status: http.StatusConflict, reason: "vm_state"},
		{name: "id of another change", body: addBody("change-a", "spare", "vm-9"), status: http.StatusConflict, reason: "operation_reused"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := newFleetOperatorAPI(t, storer.NewMemory())
			var accepted FleetAnswer
			if status := request(t, o, http.MethodPost, "/v1/fleet/changes", addBody("change-a", "quotes", "vm-1"), &accepted); status != http.StatusOK || accepted.VMs != 1 {
				t.Fatalf("status %d, %+v", status, accepted)
			}
			var refused ErrorAnswer
			if status := request(t, o, http.MethodPost, "/v1/fleet/changes", tc.body, &refused); status != tc.status || refused.Reason != tc.reason || refused.Detail == "" {
				t.Errorf("status %d, %+v", status, refused)
			}
			var doc FleetDocument
			request(t, o, http.MethodGet, "/v1/fleet", "", &doc)
			if len(doc.VMs) != 1 || doc.VMs[0].Name != "vm-1" || doc.VMs[0].Pool != "quotes" {
				t.Errorf("after a refusal: %+v", doc.VMs)
			}
		})
	}
}

// Guards against a fleet that is shown or changed without the operator key.
func TestFleetNeedsTheOperatorKey(t *testing.T) {
	o := newFleetOperatorAPI(t, storer.NewMemory())
	for _, path := range []string{"GET /v1/fleet", "POST /v1/fleet/changes", "GET /v1/status"} {
		method, path, _ := strings.Cut(path, " ")
		w := httptest.NewRecorder()
		o.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(addBody("change-a", "spare", "vm-1"))))
		if w.Code != http.StatusUnauthorized {
			t.Errorf("%s %s: status %d", method, path, w.Code)
		}
	}
}

// Guards against a change that takes effect twice or is reported wrongly when the
// key-value service's response to its write is lost.
func TestFleetChangeWithLostAnswer(t *testing.T) {
	cases := []struct {
		name   string
		after  bool // whether the writes without a response take effect
		lost   int  // number of writes whose outcome is unknown
		down   bool // whether the service is unavailable after the lost writes
		status int
		reason string
		vms    int // after the request is repeated while the service is available
	}{
		{name: "took effect", after: true, lost: 1, status: http.StatusOK, vms: 2},
		{name: "did not take effect", lost: 1, status: http.StatusOK, vms: 2},
		{name: "unknown", after: true, lost: 1, down: true, status: http.StatusGatewayTimeout, reason: "outcome_unknown", vms: 2},
		{name: "not stored", down: true, status: http.StatusServiceUnavailable, reason: "not_stored", vms: 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			healthy, lost, down := true, tc.lost, tc.down && tc.lost == 0
			fault := func(_ context.Context, op storer.Op, key string) error {
				if healthy || key != "fleet/north" {
					return nil
				}
				if op == storer.OpCompareAndSwap && lost > 0 {
					lost--
					down = tc.down
					return storer.ErrOutcomeUnknown
				}
				if down {
					return storer.ErrUnavailable
				}
				return nil
			}
			faulty := &storer.FaultInjector{Store: storer.NewMemory()}
			if tc.after {
				faulty.After = fault
			} else {
				faulty.Before = fault
			}
			o := newFleetOperatorAPI(t, faulty)
			healthy = false
			body := addBody("change-a", "quotes", "vm-1", "vm-2")
			var answer struct {
				FleetAnswer
				ErrorAnswer
			}
			if status := request(t, o, http.MethodPost, "/v1/fleet/changes", body, &answer); status != tc.status || answer.Reason != tc.reason {
				t.Errorf("status %d, %+v", status, answer)
			}
			healthy = true
			if status := request(t, o, http.MethodPost, "/v1/fleet/changes", body, &answer); status != http.StatusOK || answer.VMs != tc.vms {
				t.Errorf("repeated request: status %d, %+v", status, answer)
			}
		})
	}
}

// Guards against VMs that cannot leave a pool after its document was removed.
func TestMoveFromRemovedPool(t *testing.T) {
	o := newFleetOperatorAPI(t, storer.NewMemory())
	var a FleetAnswer
	request(t, o, http.MethodPost, "/v1/fleet/changes", addBody("change-a", "quotes", "vm-1"), &a)
	var c ChangeAnswer
	call(t, o, http.MethodPut, "documents/pools/quotes", `{"change_id": "change-2", "author": "ann", "expected": "change-1", "remove": true}`, &c)
	if status := request(t, o, http.MethodPost, "/v1/fleet/changes", `{"operation_id": "change-b", "move": [{"name": "vm-1", "from": "quotes", "to": "spare"}]}`, &a); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

type fakeStatus struct{}

func (fakeStatus) MemberStatus() []MemberStatus {
	return []MemberStatus{{Name: "b"}, {Name: "a", Live: true}}
}

func (fakeStatus) RunningSlots(string) int { return 5 }

func (fakeStatus) PoolStatus() []PoolStatus {
	return []PoolStatus{{Name: "quotes", Usable: 1, Queued: 7}}
}

// Guards against a status request that fails during an outage, or that reports figures
// which could not be read as zero.
func TestStatusDuringOutage(t *testing.T) {
	down := false
	store := &storer.FaultInjector{
		Store: storer.NewMemory(),
		Before: func(context.Context, storer.Op, string) error {
			if down {
				return storer.ErrUnavailable
			}
			return nil
		},
	}
	o := newFleetOperatorAPI(t, store)
	o.cfg.Status = fakeStatus{}
	var a FleetAnswer
	request(t, o, http.MethodPost, "/v1/fleet/changes", addBody("change-a", "quotes", "vm-1"), &a)
	ledger, err := limiter.Ledger{
		Limit:  40,
		Shares: []limiter.Share{{Entry: "a", Inc: 1, Allowance: 30}, {Entry: "b", Inc: 1, Allowance: 4}},
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), storer.Write{
		Key:   "limit/craie",
		Value: ledger,
	}); err != nil {
		t.Fatal(err)
	}
	var s Status
	request(t, o, http.MethodGet, "/v1/status", "", &s)
	if len(s.Teams) != 1 || s.Teams[0].Allowances == nil || *s.Teams[0].Allowances != 34 || s.Teams[0].Limit != 40 || s.Teams[0].Running != 5 {
		t.Errorf("teams %+v", s.Teams)
	}
	if len(s.Pools) != 2 || s.Pools[0].Name != "quotes" || *s.Pools[0].VMs != 1 || s.Pools[0].Usable != 1 || *s.Pools[1].VMs != 0 {
		t.Errorf("pools %+v", s.Pools)
	}
	if !slices.IsSortedFunc(s.Members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) }) || len(s.Problems) != 0 {
		t.Errorf("members %+v, problems %v", s.Members, s.Problems)
	}
	down = true
	time.Sleep(time.Millisecond) // the age has a resolution of 1 ms
	s = Status{}
	if status := request(t, o, http.MethodGet, "/v1/status", "", &s); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if len(s.Problems) != 2 || s.Teams[0].Allowances != nil || s.Pools[0].VMs != nil || s.Teams[0].Running != 5 || s.AgeMS < 1 {
		t.Errorf("during an outage: %+v", s)
	}
	var refused ErrorAnswer
	if status := request(t, o, http.MethodGet, "/v1/fleet", "", &refused); status != http.StatusServiceUnavailable || refused.Reason != "unavailable" {
		t.Errorf("fleet during an outage: status %d, %+v", status, refused)
	}
}
