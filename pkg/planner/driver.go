package planner

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

var (
	// ErrNotHolder means that another process holds the maintenance lease.
	ErrNotHolder = errors.New("maintenance lease held by another process")
	// ErrReboot means that the document was committed but the request of a reboot failed.
	ErrReboot = errors.New("reboot request failed")
	// ErrContended means that every attempt conflicted with another writer. Nothing was
	// written unless the error also wraps storer.ErrOutcomeUnknown.
	ErrContended = errors.New("too many concurrent writers")
)

// Platform is what the Driver uses of the platform that runs the VMs.
type Platform interface {
	// Reboot requests a reboot. A repeated request with the same operation id has no
	// effect, even after that reboot has been completed and others have followed.
	Reboot(ctx context.Context, vm, operation string) error
	// VMs lists the VMs. The list may lag behind the actual state.
	VMs(ctx context.Context) ([]VMStatus, error)
}

// Settings are the parts of the settings tree that maintenance reads.
type Settings struct {
	Pools Pools
	Waves map[string]configurer.Wave
}

// DefaultLeaseTTL is how long maintenance is interrupted when the leaseholder is lost.
const DefaultLeaseTTL = 15 * time.Second

// maxAttempts limits the compare-and-swaps of one Update.
const maxAttempts = 16

// Config configures a Driver.
type Config struct {
	Holder   string // name of this process, unique for each start
	Region   string
	Store    storer.Store
	Platform Platform
	Settings func() Settings
	Idle     func(vm string) bool // whether a VM runs no work; nil if not known
	NewID    func() string        // returns a new unique operation id
	LeaseTTL time.Duration        // zero: DefaultLeaseTTL
	Limits   Limits
}

// Driver performs maintenance in one region. It is not safe for concurrent use.
type Driver struct {
	cfg   Config
	lease storer.LeaseID
	fleet Fleet // document of the last Step whose update succeeded
}

type holder struct {
	Name string `cbor:"1,keyasint"`
}

// NewDriver returns a Driver that holds no lease.
func NewDriver(cfg Config) *Driver {
	if cfg.LeaseTTL <= 0 {
		cfg.LeaseTTL = DefaultLeaseTTL
	}
	return &Driver{cfg: cfg}
}

// Step performs the maintenance that is due now. Errors wrap ErrNotHolder if another
// process is the leaseholder, or errors of the store or the platform. Every Step may be
// repeated, also by another Driver and after any error.
func (d *Driver) Step(ctx context.Context, now time.Time) error {
	if err := d.ensureLease(ctx); err != nil {
		return err
	}
	vms, err := d.cfg.Platform.VMs(ctx)
	if err != nil {
		return Error.New("list of VMs: %w", err)
	}
	settings := d.cfg.Settings()
	f, err := Update(ctx, d.cfg.Store, d.cfg.Region, d.cfg.NewID(), func(f Fleet) (Fleet, error) {
		return Plan(f, now, Input{
			Pools:  settings.Pools,
			Waves:  settings.Waves,
			VMs:    vms,
			Idle:   d.cfg.Idle,
			Limits: d.cfg.Limits,
		}), nil
	})
	if err != nil {
		return err
	}
	d.fleet = f
	return d.requestReboots(ctx, f)
}

// Fleet returns the document that the last successful update committed or read.
func (d *Driver) Fleet() Fleet { return d.fleet }

// requestReboots requests every reboot that the committed document records as open. A
// request whose answer was lost is repeated in the next Step.
func (d *Driver) requestReboots(ctx context.Context, f Fleet) error {
	var failed []error
	for _, id := range f.sortedVMs() {
		vm := f.VMs[id]
		if vm.Operation == "" {
			continue
		}
		if err := d.cfg.Platform.Reboot(ctx, id, vm.Operation); err != nil {
			failed = append(failed, Error.New("%w: %s: %w", ErrReboot, id, err))
		}
	}
	return errors.Join(failed...)
}

// Release gives up the lease, so that another process can continue at once.
func (d *Driver) Release(ctx context.Context) error {
	if d.lease == 0 {
		return nil
	}
	err := d.cfg.Store.Revoke(ctx, d.lease)
	if err == nil || errors.Is(err, storer.ErrLeaseNotFound) {
		d.lease = 0
		return nil
	}
	return Error.Wrap(err)
}

// ensureLease renews the lease, or acquires it if it is free.
func (d *Driver) ensureLease(ctx context.Context) error {
	key := "lease/maintenance/" + d.cfg.Region
	if d.lease != 0 {
		err := d.cfg.Store.Renew(ctx, d.lease)
		if err != nil && !errors.Is(err, storer.ErrLeaseNotFound) {
			return Error.New("renewal of %s: %w", key, err)
		}
		if err != nil {
			d.lease = 0
		}
	}
	item, err := d.cfg.Store.Get(ctx, key)
	if err != nil {
		return Error.New("read of %s: %w", key, err)
	}
	if item.Version != 0 {
		if d.lease != 0 && item.Lease == d.lease {
			return nil
		}
		return Error.Wrap(ErrNotHolder)
	}
	return d.acquireLease(ctx, key)
}

func (d *Driver) acquireLease(ctx context.Context, key string) error {
	if d.lease == 0 {
		lease, err := d.cfg.Store.Grant(ctx, d.cfg.LeaseTTL)
		if err != nil {
			return Error.New("lease for %s: %w", key, err)
		}
		d.lease = lease
	}
	value, err := cbor.Marshal(holder{Name: d.cfg.Holder})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = d.cfg.Store.CompareAndSwap(ctx, storer.Write{
		Key:   key,
		Value: value,
		Lease: d.lease,
	})
	if errors.Is(err, storer.ErrConflict) {
		return Error.Wrap(ErrNotHolder)
	}
	if err != nil {
		// If the write took effect, the next call finds the key under this lease.
		return Error.New("write of %s: %w", key, err)
	}
	return nil
}

// Update commits one change of the fleet document of a region and returns a document that
// contains it. If another writer was first, change is called again on the newer document;
// its errors are returned unchanged. operation identifies the change: after a lost answer it
// is looked up in the document, so that a change that took effect is not made again. An
// error that wraps storer.ErrOutcomeUnknown means that the change may have taken effect;
// calling Update again with the same operation resolves this.
func Update(ctx context.Context, s storer.Store, region, operation string, change func(Fleet) (Fleet, error)) (Fleet, error) {
	key := "fleet/" + region
	unknown := false
	for range maxAttempts {
		item, err := s.Get(ctx, key)
		if err != nil {
			return Fleet{}, updateError(key, err, unknown)
		}
		f, err := Decode(region, item.Value)
		if err != nil {
			return Fleet{}, err
		}
		if slices.Contains(f.Recent, operation) {
			return f, nil
		}
		next, err := change(f)
		if err != nil {
			return f, err
		}
		if reflect.DeepEqual(f, next) {
			return f, nil
		}
		next.Recent = append(slices.Clone(f.Recent), operation)
		next.Recent = next.Recent[max(0, len(next.Recent)-recentLimit):]
		data, err := next.Encode()
		if err != nil {
			return f, err
		}
		_, err = s.CompareAndSwap(ctx, storer.Write{
			Key:      key,
			Value:    data,
			Expected: item.Version,
		})
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, storer.ErrOutcomeUnknown):
			unknown = true
		case !errors.Is(err, storer.ErrConflict):
			return Fleet{}, updateError(key, err, unknown)
		}
	}
	return Fleet{}, updateError(key, ErrContended, unknown)
}

// updateError adds the key to an error of Update, and storer.ErrOutcomeUnknown if an earlier
// write may have taken effect.
func updateError(key string, err error, unknown bool) error {
	if unknown && !errors.Is(err, storer.ErrOutcomeUnknown) {
		return Error.New("%s: %w: %w", key, storer.ErrOutcomeUnknown, err)
	}
	return Error.New("%s: %w", key, err)
}
