// Package emulator emulates the platform (key-value service, VM list, reboots)
// and its workers, including the faults that the real ones have. The demo and the
// tests run the rest of the project against it.
package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Outage tells how a service of the platform fails all calls.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // answers 503 at once
	OutageHang   Outage = "hang"   // never answers
)

// maxDelay is the largest latency, lag and duration that the emulators accept.
const maxDelay = time.Hour

// PlatformFaults are the faults that can be set at run time.
type PlatformFaults struct {
	// LatencyMS is added to every answer.
	LatencyMS int64 `json:"latency_ms"`
	// Outage applies to the key-value service.
	Outage Outage `json:"outage"`
	// ListOutage applies to the VM list and to reboots.
	ListOutage Outage `json:"list_outage"`
	// LoseWriteAnswers is the number of further successful writes that get no answer; -1 means
	// all.
	LoseWriteAnswers int `json:"lose_writes"`
	// ListLagMS is the age of the VM list.
	ListLagMS int64 `json:"list_lag_ms"`
	// FailReboots is the number of further reboots after which the VM does not return; -1
	// means all.
	FailReboots int `json:"fail_reboots"`
}

func (f PlatformFaults) validate() error {
	largest := maxDelay.Milliseconds()
	switch {
	case f.LatencyMS < 0 || f.LatencyMS > largest:
		return fmt.Errorf("%w: latency_ms must be 0 to %d", errBadRequest, largest)
	case f.ListLagMS < 0 || f.ListLagMS > largest:
		return fmt.Errorf("%w: list_lag_ms must be 0 to %d", errBadRequest, largest)
	case f.LoseWriteAnswers < -1 || f.FailReboots < -1:
		return fmt.Errorf("%w: lose_writes and fail_reboots must be -1 or more", errBadRequest)
	}
	for _, outage := range []Outage{f.Outage, f.ListOutage} {
		if outage != OutageNone && outage != OutageRefuse && outage != OutageHang {
			return fmt.Errorf("%w: outage %q must be empty, %s or %s", errBadRequest, outage, OutageRefuse, OutageHang)
		}
	}
	return nil
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	VMs    []lister.VM
	Faults PlatformFaults
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// Signal sends the admin request in path (drain or reboot) to the worker at address; nil
	// means by HTTP.
	Signal func(ctx context.Context, address, path string) error
	// Logger may be nil.
	Logger hclog.Logger
}

// Platform emulates the platform's services.
type Platform struct {
	store   *storer.Memory
	vms     *lister.Memory
	calls   *calls
	cfg     PlatformConfig
	ctx     context.Context // ends at Close
	cancel  context.CancelFunc
	reboots sync.WaitGroup

	mu     sync.Mutex
	faults PlatformFaults
}

// NewPlatform returns a platform, which has to be closed to end its reboots in progress.
func NewPlatform(cfg PlatformConfig) (*Platform, error) {
	if err := cfg.Faults.validate(); err != nil {
		return nil, err
	}
	for _, vm := range cfg.VMs {
		if err := vm.Validate(); err != nil {
			return nil, err
		}
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Signal == nil {
		cfg.Signal = signalOverHTTP
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		store:  storer.NewMemory(),
		calls:  newCalls(),
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		faults: cfg.Faults,
	}
	p.vms = lister.NewMemory(lister.MemoryConfig{
		VMs:      cfg.VMs,
		Lag:      time.Duration(cfg.Faults.ListLagMS) * time.Millisecond,
		OnReboot: p.startReboot,
	})
	return p, nil
}

// Close ends the reboots in progress and waits for their goroutines.
func (p *Platform) Close() {
	p.cancel()
	p.reboots.Wait()
}

// Handler returns the handler of all services and of the admin API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.routeKeyValue(mux)
	p.routeVMs(mux)
	p.routeAdmin(mux)
	return mux
}

// Faults returns the present faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) error {
	if err := f.validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.vms.SetLag(time.Duration(f.ListLagMS) * time.Millisecond)
	return nil
}

// Calls returns the counts of the calls to the key-value service, the VM list and reboots, by
// kind.
func (p *Platform) Calls() map[string]CallCount {
	return p.calls.counts()
}

// admit applies the outage and the latency and reports whether to carry out the call.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, outage Outage) bool {
	if outage == OutageRefuse {
		writeError(w, http.StatusServiceUnavailable, string(storer.CodeUnavailable))
		return false
	}
	if outage == OutageHang {
		// The server detects that the caller has gone only after the body has been read.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			p.hang(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
	latency := time.Duration(p.Faults().LatencyMS) * time.Millisecond
	if latency == 0 {
		return true
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
	return true
}

func (p *Platform) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
}

func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return consume(&p.faults.LoseWriteAnswers)
}

func (p *Platform) failReboot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return consume(&p.faults.FailReboots)
}

// consume reports whether the next call is to fail, and counts down n. A negative n means that
// all calls fail.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
