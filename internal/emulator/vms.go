package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/comfreyford/comfreyford/pkg/lister"
)

// signalTimeout limits one request from the platform to a worker.
const signalTimeout = 2 * time.Second

// routeVMs registers the VM list and reboots.
func (p *Platform) routeVMs(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		defer p.calls.begin("list_vms")()
		if !p.admit(w, r, p.Faults().ListOutage) {
			return
		}
		vms, err := p.vms.List(r.Context())
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, "unavailable")
			return
		}
		writeJSON(w, http.StatusOK, vms)
	})
	mux.HandleFunc("POST /v1/reboot", func(w http.ResponseWriter, r *http.Request) {
		defer p.calls.begin("reboot")()
		if !p.admit(w, r, p.Faults().ListOutage) {
			return
		}
		query := r.URL.Query()
		writeVMResult(w, p.vms.Reboot(detach(r), query.Get("vm"), query.Get("operation"))) //nolint:contextcheck // a reboot outlives the request that asked for it
	})
}

// routeAdmin registers the admin API.
func (p *Platform) routeAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Faults())
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := readAdminJSON[PlatformFaults](r)
		if err == nil {
			err = p.SetFaults(faults)
		}
		writeAdminResult(w, err)
	})
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Calls())
	})
	mux.HandleFunc("POST /admin/vms", func(w http.ResponseWriter, r *http.Request) {
		vm, err := readAdminJSON[lister.VM](r)
		if err == nil {
			err = p.vms.Put(vm)
		}
		writeAdminResult(w, err)
	})
	mux.HandleFunc("DELETE /admin/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		writeAdminResult(w, p.vms.Remove(r.PathValue("name")))
	})
	mux.HandleFunc("POST /admin/vms/{name}/drain", func(w http.ResponseWriter, r *http.Request) {
		vm, err := p.vms.SetState(r.PathValue("name"), lister.StateLeaving)
		if err == nil {
			err = p.signal(r.Context(), vm.Address, "/admin/drain")
		}
		writeAdminResult(w, err)
	})
}

// startReboot marks the VM as leaving, reboots its worker and marks the VM as live
// after the reboot time. A VM whose worker cannot be reached stays leaving.
func (p *Platform) startReboot(vm lister.VM, operation string) {
	p.reboots.Go(func() {
		if _, err := p.vms.SetState(vm.Name, lister.StateLeaving); err != nil {
			return // removed in the meantime
		}
		failing := p.failReboot()
		duration := p.cfg.RebootTime
		if failing {
			duration = maxDelay
		}
		path := fmt.Sprintf("/admin/reboot?duration_ms=%d", duration.Milliseconds())
		if err := p.signal(p.ctx, vm.Address, path); err != nil {
			p.cfg.Logger.Warn("reboot request to worker failed, VM stays in state leaving", "vm", vm.Name, "error", err)
			return
		}
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.ctx.Done():
			return
		}
		if err := p.vms.CompleteReboot(vm.Name, operation); err != nil {
			p.cfg.Logger.Info("VM was removed during its reboot", "vm", vm.Name)
		}
	})
}

func (p *Platform) signal(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, signalTimeout)
	defer cancel()
	return p.cfg.Signal(ctx, address, path)
}

func signalOverHTTP(ctx context.Context, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	// The worker closes its connections when it reboots, so they are not reused.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("worker %s answered %s", address, resp.Status)
	}
	return nil
}

func writeVMResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, lister.ErrUnknownVM):
		writeError(w, http.StatusNotFound, lister.CodeUnknownVM)
	case errors.Is(err, lister.ErrOperationReused):
		writeError(w, http.StatusConflict, lister.CodeOperationReused)
	case errors.Is(err, lister.ErrInvalid):
		writeError(w, http.StatusBadRequest, lister.CodeInvalid)
	default:
		writeError(w, http.StatusInternalServerError, "internal")
	}
}

// writeAdminResult answers with the text of the error, because people use the admin API.
func writeAdminResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, lister.ErrUnknownVM):
		writeError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, errBadRequest), errors.Is(err, lister.ErrInvalid):
		writeError(w, http.StatusBadRequest, err.Error())
	default:
		writeError(w, http.StatusBadGateway, err.Error())
	}
}
