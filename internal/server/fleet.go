package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// fleetTimeout limits the total time of one request's calls to the key-value service.
const fleetTimeout = configurer.CommitTimeout

// errOperationReused means that the operation id was already used for a different change.
var errOperationReused = errors.New("operation id was used for another change")

var (
	operationIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{7,63}$`)
	namePattern        = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
)

// FleetVM is a VM in the fleet document.
type FleetVM struct {
	Name             string        `json:"name"`
	Pool             string        `json:"pool"`
	Rack             string        `json:"rack"`
	AvailabilityZone string        `json:"availability_zone"`
	State            planner.State `json:"state"`
	SinceMS          int64         `json:"since_ms"` // Unix time of the last change of state or pool
	Wave             string        `json:"wave,omitempty"`
}

// WaveProgress is the progress of a maintenance wave.
type WaveProgress struct {
	Name      string            `json:"name"`
	Pool      string            `json:"pool"`
	State     planner.WaveState `json:"state"`
	Reason    planner.Reason    `json:"reason,omitempty"` // why the wave is paused
	Pending   int               `json:"pending"`
	Done      int               `json:"done"`
	InWork    []string          `json:"in_work"`
	Failed    []string          `json:"failed"`
	Skipped   []string          `json:"skipped"`
	StartedMS int64             `json:"started_ms"`
	EndedMS   int64             `json:"ended_ms,omitempty"`
}

// Ended reports whether the wave has ended.
func (w WaveProgress) Ended() bool { return w.EndedMS != 0 }

// FleetDocument is the answer to a request for the fleet document.
type FleetDocument struct {
	Region string         `json:"region"`
	VMs    []FleetVM      `json:"vms"`   // sorted by name
	Waves  []WaveProgress `json:"waves"` // sorted by name
}

// VMAdd adds a VM to a pool.
type VMAdd struct {
	Name             string `json:"name" toml:"name"`
	Pool             string `json:"pool" toml:"pool"`
	Rack             string `json:"rack" toml:"rack"`
	AvailabilityZone string `json:"availability_zone" toml:"availability_zone"`
}

// VMMove moves a VM to another pool. It is refused when the VM is not in From.
type VMMove struct {
	Name string `json:"name"`
	From string `json:"from"`
	To   string `json:"to"`
}

// FleetChange adds, moves and removes VMs. Either all of it takes effect or nothing.
type FleetChange struct {
	OperationID string   `json:"operation_id"` // a repeated change with the same id takes effect once
	Add         []VMAdd  `json:"add,omitempty"`
	Move        []VMMove `json:"move,omitempty"`
	Remove      []string `json:"remove,omitempty"`
}

// FleetAnswer is the answer to an accepted change of the fleet.
type FleetAnswer struct {
	OperationID string `json:"operation_id"`
	Region      string `json:"region"`
	VMs         int    `json:"vms"` // in the region after the change
}

// routeFleet registers the paths of the fleet and the status.
func (o *OperatorAPI) routeFleet() {
	o.mux.HandleFunc("GET /v1/fleet", o.getFleet)
	o.mux.HandleFunc("POST /v1/fleet/changes", o.changeFleet)
	o.mux.HandleFunc("GET /v1/status", o.status)
}

func (o *OperatorAPI) getFleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), fleetTimeout)
	defer cancel()
	f, err := o.readFleet(ctx)
	if err != nil {
		o.writeFleetError(w, err, "unavailable")
		return
	}
	doc := FleetDocument{
		Region: f.Region,
		VMs:    []FleetVM{},
		Waves:  waveProgress(f),
	}
	for _, name := range slices.Sorted(maps.Keys(f.VMs)) {
		vm := f.VMs[name]
		doc.VMs = append(doc.VMs, FleetVM{
			Name:             name,
			Pool:             vm.Pool,
			Rack:             vm.Rack,
			AvailabilityZone: vm.AvailabilityZone,
			State:            vm.State,
			SinceMS:          vm.SinceMS,
			Wave:             vm.Wave,
		})
	}
	writeJSON(w, http.StatusOK, doc)
}

func (o *OperatorAPI) readFleet(ctx context.Context) (planner.Fleet, error) {
	item, err := o.cfg.Committer.Store.Get(ctx, "fleet/"+o.cfg.Region)
	if err != nil {
		return planner.Fleet{}, err
	}
	return planner.Decode(o.cfg.Region, item.Value)
}

func waveProgress(f planner.Fleet) []WaveProgress {
	list := []WaveProgress{}
	for _, name := range slices.Sorted(maps.Keys(f.Waves)) {
		w := f.Waves[name]
		p := WaveProgress{
			Name:      name,
			Pool:      w.Pool,
			State:     w.State,
			Reason:    w.Reason,
			Pending:   len(w.Pending),
			Done:      len(w.Done),
			Failed:    w.Failed,
			Skipped:   w.Skipped,
			StartedMS: w.StartedMS,
			EndedMS:   w.EndedMS,
		}
		for id, vm := range f.VMs {
			if vm.Wave == name && vm.State != planner.StateFailed {
				p.InWork = append(p.InWork, id)
			}
		}
		slices.Sort(p.InWork)
		list = append(list, p)
	}
	return list
}

func (o *OperatorAPI) changeFleet(w http.ResponseWriter, r *http.Request) {
	var change FleetChange
	if !decode(w, r, &change) {
		return
	}
	if err := change.check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), fleetTimeout)
	defer cancel()
	o.refresh(ctx)
	pools := o.regionPools()
	operation, err := change.operation()
	if err != nil {
		o.writeFleetError(w, err, "not_stored")
		return
	}
	f, err := planner.Update(ctx, o.cfg.Committer.Store, o.cfg.Region, operation, func(f planner.Fleet) (planner.Fleet, error) {
		return change.apply(f, time.Now(), pools)
	})
	if err != nil {
		o.writeFleetError(w, err, "not_stored")
		return
	}
	o.cfg.Logger.Info("fleet changed", "operation", change.OperationID, "added", len(change.Add), "moved", len(change.Move), "removed", len(change.Remove))
	writeJSON(w, http.StatusOK, FleetAnswer{
		OperationID: change.OperationID,
		Region:      f.Region,
		VMs:         len(f.VMs),
	})
}

// regionPools returns the pools of the settings tree in this region.
func (o *OperatorAPI) regionPools() planner.Pools {
	pools := planner.Pools{}
	for name, p := range o.cfg.Committer.View.Current().Tree.Pools {
		if p.Region == o.cfg.Region {
			pools[name] = p
		}
	}
	return pools
}

// check validates the fields that can be checked without reading the fleet document.
func (c FleetChange) check() error {
	if !operationIDPattern.MatchString(c.OperationID) {
		return fmt.Errorf("operation_id: got %q; want 8 to 64 letters, digits and hyphens", c.OperationID)
	}
	if len(c.Add)+len(c.Move)+len(c.Remove) == 0 {
		return errors.New("no VMs; want at least one of add, move and remove")
	}
	for i, vm := range c.Add {
		for _, field := range []struct{ name, value string }{
			{name: "name", value: vm.Name},
			{name: "rack", value: vm.Rack},
			{name: "availability_zone", value: vm.AvailabilityZone},
		} {
			if !namePattern.MatchString(field.value) {
				return fmt.Errorf("add[%d].%s: got %q; want 1 to 128 of letters, digits, \".\", \"-\" and \"_\" that start with a letter or digit", i, field.name, field.value)
			}
		}
	}
	return nil
}

// operation returns the id that the fleet document records. It includes a hash of the
// change, so that reuse of an operation id for a different change is detected.
func (c FleetChange) operation() (string, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return c.OperationID + "#" + hex.EncodeToString(sum[:8]), nil
}

// apply returns the fleet after the change.
func (c FleetChange) apply(f planner.Fleet, now time.Time, pools planner.Pools) (planner.Fleet, error) {
	if slices.ContainsFunc(f.Recent, func(id string) bool { return strings.HasPrefix(id, c.OperationID+"#") }) {
		return f, fmt.Errorf("%w: %s", errOperationReused, c.OperationID)
	}
	var err error
	for _, vm := range c.Add {
		if f, err = planner.AddVM(f, now, vm.Name, planner.VM{
			Pool:             vm.Pool,
			Rack:             vm.Rack,
			AvailabilityZone: vm.AvailabilityZone,
		}, pools); err != nil {
			return f, err
		}
	}
	for _, m := range c.Move {
		known := pools
		if _, ok := pools[m.From]; !ok {
			// VMs of a pool that was removed from the settings can still be moved.
			known = maps.Clone(pools)
			known[m.From] = configurer.Pool{Region: f.Region}
		}
		if _, ok := pools[m.To]; !ok {
			return f, fmt.Errorf("%w: %q", planner.ErrUnknownPool, m.To)
		}
		if f, err = planner.Move(f, now, m.Name, m.From, m.To, known); err != nil {
			return f, err
		}
	}
	for _, name := range c.Remove {
		if f, err = planner.RemoveVM(f, name); err != nil {
			return f, err
		}
	}
	return f, nil
}

// writeFleetError sends the error response for err. unavailableReason is the reason in it when
// the key-value service is unavailable or the document is changed too often by others.
func (o *OperatorAPI) writeFleetError(w http.ResponseWriter, err error, unavailableReason string) {
	status, reason := http.StatusInternalServerError, "internal"
	for _, known := range []struct {
		err    error
		status int
		reason string
	}{
		// This comes first, because ErrOutcomeUnknown also wraps the error of the last call.
		{err: storer.ErrOutcomeUnknown, status: http.StatusGatewayTimeout, reason: "outcome_unknown"},
		{err: storer.ErrUnavailable, status: http.StatusServiceUnavailable, reason: unavailableReason},
		{err: planner.ErrContended, status: http.StatusServiceUnavailable, reason: unavailableReason},
		{err: storer.ErrTooLarge, status: http.StatusUnprocessableEntity, reason: "fleet_too_large"},
		{err: errOperationReused, status: http.StatusConflict, reason: "operation_reused"},
		{err: planner.ErrUnknownVM, status: http.StatusNotFound, reason: "unknown_vm"},
		{err: planner.ErrUnknownPool, status: http.StatusUnprocessableEntity, reason: "unknown_pool"},
		{err: planner.ErrVMExists, status: http.StatusConflict, reason: "vm_exists"},
		{err: planner.ErrWrongPool, status: http.StatusConflict, reason: "wrong_pool"},
		{err: planner.ErrVMState, status: http.StatusConflict, reason: "vm_state"},
		{err: planner.ErrMinimum, status: http.StatusConflict, reason: "pool_minimum"},
	} {
		if errors.Is(err, known.err) {
			status, reason = known.status, known.reason
			break
		}
	}
	if status >= http.StatusInternalServerError {
		o.cfg.Logger.Error("fleet request failed", "reason", reason, "error", err)
	}
	writeError(w, status, reason, err.Error())
}
