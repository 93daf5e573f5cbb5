package manager

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/forecaster"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// loadTimeout bounds one scan of a prefix at a takeover.
const loadTimeout = 4 * time.Second

// scan reads all items of a prefix. It retries after failures until ctx ends.
func (o *owner) scan(ctx context.Context, prefix string) ([]storer.Item, error) {
	var listing storer.Listing
	err := o.retryRead(ctx, prefix, func() (err error) {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		listing, err = storer.Scan(call, o.cfg.Store, prefix)
		return err
	})
	if err == nil {
		o.progress()
	}
	return listing.Items, err
}

// retryRead reads a prefix for the takeover until that succeeds or ctx ends.
func (o *owner) retryRead(ctx context.Context, prefix string, read func() error) error {
	for {
		err := read()
		if err == nil {
			return nil
		}
		o.logger.Warn("reading the store for the takeover failed, trying again", "prefix", prefix, "error", err)
		if !sleeper.Sleep(ctx, watchRetryDelay) {
			return ctx.Err()
		}
	}
}

// readRoster returns the targets that may run something. known is false if the record can't be
// read.
func (o *owner) readRoster(ctx context.Context) (roster []string, known bool, err error) {
	items, err := o.scan(ctx, rosterKey(o.cell))
	if err != nil {
		return nil, false, err
	}
	for _, item := range items {
		if item.Key != rosterKey(o.cell) {
			continue // of a cell whose name begins alike
		}
		if err := cbor.Unmarshal(item.Value, &roster); err != nil {
			o.logger.Error("roster not readable, waiting for the longest lease of targets", "key", item.Key, "error", err)
			return nil, false, nil
		}
	}
	return roster, true, nil
}

// readForecast returns the forecast of the earlier owner, or nil: the takeover does not depend on
// it.
func (o *owner) readForecast(ctx context.Context) *forecaster.State {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := o.cfg.Store.Read(call, forecastKey(o.cell))
	if err != nil {
		o.logger.Warn("reading the forecast failed, going on without it", "error", err)
		return nil
	}
	if item.Version == 0 {
		return nil
	}
	o.locked(func() { o.versions[forecastKey(o.cell)] = item.Version })
	state := &forecaster.State{}
	if err := cbor.Unmarshal(item.Value, state); err != nil {
		o.logger.Warn("forecast not readable, going on without it", "error", err)
		return nil
	}
	return state
}

func (o *owner) readWaves(ctx context.Context) error {
	items, err := o.scan(ctx, wavePrefix(o.cell))
	if err != nil {
		return err
	}
	o.waveStates = map[int]*orchestrator.WaveState{}
	for _, item := range items {
		state := &orchestrator.WaveState{}
		if err := cbor.Unmarshal(item.Value, state); err != nil {
			o.logger.Error("state of a wave not readable", "key", item.Key, "error", err)
			continue
		}
		o.waveStates[state.Number] = state
	}
	return nil
}

// applyIntake processes new jobs and cancellations. Documents are processed before
// cancellations, because a scan does not return them in the order of the writes.
func (o *owner) applyIntake(events []storer.Event, _ bool) {
	jobs := o.decodeJobs(events)
	o.mu.Lock()
	defer o.mu.Unlock()
	now, wall := o.cfg.Clock(), o.cfg.UnixMS()
	for _, j := range jobs {
		guard(o.logger, "job", j.job.ID, func() error { //nolint:errcheck // logged; the other jobs are processed
			o.engine.AddJob(j.job, j.created, j.progress, j.version, now, wall)
			return nil
		})
	}
	for _, event := range events {
		if id, ok := strings.CutPrefix(event.Item.Key, jobkeeper.CancelPrefix(o.cell)); ok && !event.Deleted {
			guard(o.logger, "cancellation of job", id, func() error { //nolint:errcheck // logged
				o.engine.Cancel(id, now, wall)
				return nil
			})
		}
	}
	o.wake()
}

// storedJobDocument is a document with the progress that belongs to it.
type storedJobDocument struct {
	job      *jobkeeper.Job
	created  storer.Version
	progress *jobkeeper.Progress // nil if nothing has ended yet
	version  storer.Version      // of the progress record
}

// decodeJobs decodes the documents of unknown jobs and reads their progress. A job that was
// accepted since this daemon became the owner has none: its record has the version of the
// document, because one transaction wrote both.
func (o *owner) decodeJobs(events []storer.Event) []storedJobDocument {
	var jobs []storedJobDocument
	for _, event := range events {
		id, ok := strings.CutPrefix(event.Item.Key, jobkeeper.DocumentPrefix(o.cell))
		if !ok || event.Deleted || o.known(id) {
			continue
		}
		job, err := jobkeeper.DecodeJob(event.Item.Value)
		if err != nil {
			o.logger.Error("document of a job not readable", "job", id, "error", err)
			continue
		}
		jobs = append(jobs, storedJobDocument{
			job:     job,
			created: event.Item.Version,
			version: event.Item.Version,
		})
	}
	var readers sync.WaitGroup
	slots := make(chan struct{}, maxProgressReads)
	for i := range jobs {
		if jobs[i].created > o.term.Fence && jobs[i].job.Transfers == 0 {
			continue
		}
		readers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			o.readProgress(&jobs[i])
		})
	}
	readers.Wait()
	return slices.DeleteFunc(jobs, func(j storedJobDocument) bool { return j.version == 0 })
}

// maxProgressReads bounds the concurrent reads of progress records at a takeover.
const maxProgressReads = 16

func (o *owner) known(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.engine.Known(id)
}

// readProgress reads the progress record of a job, and tries again until the owner stops. It
// sets the version to zero if the job has gone to another cell meanwhile.
func (o *owner) readProgress(j *storedJobDocument) {
	for {
		call, cancel := context.WithTimeout(o.ctx, storeTimeout)
		item, err := o.cfg.Store.Read(call, jobkeeper.ProgressKey(j.job.ID))
		cancel()
		if err != nil {
			if !sleeper.Sleep(o.ctx, watchRetryDelay) {
				j.version = 0
				return
			}
			continue
		}
		o.progress()
		j.version = item.Version
		if item.Version == 0 {
			return
		}
		progress, err := jobkeeper.DecodeProgress(item.Value)
		if err != nil {
			o.logger.Error("record of a job not readable", "job", j.job.ID, "error", err)
			return
		}
		if progress.Cell != o.cell {
			j.version = 0
		}
		j.progress = progress
		return
	}
}

// adoptEndedJobs passes the records of ended jobs to the engine, which deletes them when
// their retention has passed.
func (o *owner) adoptEndedJobs(ctx context.Context) {
	o.retryRead(ctx, jobkeeper.ProgressPrefix, func() error { //nolint:errcheck // fails when ctx has ended
		_, err := scanPages(ctx, o.cfg.Store, jobkeeper.ProgressPrefix, o.adoptEnded)
		return err
	})
}

// adoptEnded passes those of the records that are of ended jobs of the cell to the engine.
func (o *owner) adoptEnded(items []storer.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, wall := o.cfg.Clock(), o.cfg.UnixMS()
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, jobkeeper.ProgressPrefix)
		progress, err := jobkeeper.DecodeProgress(item.Value)
		switch {
		case err != nil:
			o.logger.Error("record of a job not readable", "key", item.Key, "error", err)
		case progress.Cell == o.cell && progress.State.Ended():
			o.engine.AddEnded(id, progress, item.Version, now-time.Duration(max(0, wall-progress.EndedMS))*time.Millisecond)
		}
	}
}

// applyRegistrations processes new, changed and removed registrations of targets. If full is
// true, events holds all registrations.
func (o *owner) applyRegistrations(events []storer.Event, full bool) {
	for _, id := range o.register(events, full) {
		o.startTargetLoop(o.ctx, id)
	}
	o.wake()
}

// readRegistration decodes a registration. A panic in the decoder is an error.
func readRegistration(cfg Config, item storer.Item) (r orchestrator.Registration, err error) {
	err = guard(cfg.Logger, "registration", item.Key, func() (err error) {
		r, err = cfg.Schema.Registration(item)
		return err
	})
	return r, err
}

// register passes the registrations of the cell to the engine and returns the targets that
// are registered.
func (o *owner) register(events []storer.Event, full bool) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock()
	present := map[string]bool{}
	var found []string
	for _, event := range events {
		id := o.cfg.Schema.TargetID(event.Item.Key)
		if event.Deleted {
			o.engine.Unregister(id, now)
			continue
		}
		r, err := readRegistration(o.cfg, event.Item)
		if err != nil {
			o.logger.Warn("registration of a target not readable", "key", event.Item.Key, "error", err)
			o.engine.Unregister(id, now)
			continue
		}
		if o.layout.CellOf(partitioner.Member{
			Zone: r.Zone,
			Rack: r.Rack,
		}) != o.cell {
			o.engine.Unregister(id, now)
			continue
		}
		present[id] = true
		o.engine.Register(r, now)
		found = append(found, id)
	}
	if full {
		for id := range o.targetLoops {
			if !present[id] {
				o.engine.Unregister(id, now)
			}
		}
	}
	return found
}

// watchVMs passes the platform's list of VMs to the engine until ctx ends.
func (o *owner) watchVMs(ctx context.Context) {
	pause := minVMPause
	for {
		askedAt := o.cfg.Clock()
		call, cancel := context.WithTimeout(ctx, vmTimeout)
		vms, err := o.cfg.VMs.List(call)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.logger.Warn("reading the list of VMs failed", "error", err)
		}
		if err == nil {
			o.setVMs(vms, askedAt)
			pause = vmPause(len(vms))
		}
		if !sleeper.Sleep(ctx, pause) {
			return
		}
	}
}

// setVMs passes the VMs of the cell to the engine.
func (o *owner) setVMs(vms []orchestrator.VM, askedAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := make([]orchestrator.VM, 0, len(vms)/len(o.layout.Cells())+1)
	cells := make(map[string]string, len(vms))
	for _, vm := range vms {
		cell := o.layout.CellOf(partitioner.Member{
			Zone: vm.Zone,
			Rack: vm.Rack,
		})
		cells[vm.ID] = cell
		if cell == o.cell {
			own = append(own, vm)
		}
	}
	o.vmCells = cells
	o.logUnknownZones(vms)
	o.engine.SetVMs(own, askedAt, o.cfg.Clock())
	o.wake()
}

// logUnknownZones logs, once for each evacuation, that the zone has no VM: its name may be wrong.
// The caller holds the lock.
func (o *owner) logUnknownZones(vms []orchestrator.VM) {
	evacuated := o.settings.evacuatedZones()
	for zone := range evacuated {
		if slices.ContainsFunc(vms, func(vm orchestrator.VM) bool { return vm.Zone == zone }) {
			delete(o.unknownZones, zone)
			continue
		}
		if !o.unknownZones[zone] {
			o.unknownZones[zone] = true
			o.logger.Warn("evacuated availability zone has no VM", "zone", zone, "vms", len(vms))
		}
	}
	maps.DeleteFunc(o.unknownZones, func(zone string, _ bool) bool { return !evacuated[zone] })
}

const (
	// vmTimeout bounds a call to the platform's service for VMs.
	vmTimeout = 2 * time.Second
	// minVMPause is the shortest time between two reads of the list of VMs. A lost VM disappears
	// from the list at once, so the pause bounds how late the loss is noticed.
	minVMPause = 400 * time.Millisecond
	// vmPausePerVM is the pause for each VM of the list. Each owner reads the whole list, about
	// 200 bytes for each VM of the fleet, and so at most half a megabyte a second.
	vmPausePerVM = 400 * time.Microsecond
)

// vmPause returns the time between two reads of a list of n VMs.
func vmPause(n int) time.Duration {
	return max(minVMPause, time.Duration(n)*vmPausePerVM)
}

// waveKey returns the key under which the owners of a cell keep the state of a wave.
func waveKey(cell string, number int) string {
	return fmt.Sprintf("%s%d", wavePrefix(cell), number)
}
