package manager

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// loadTimeout bounds one scan of a prefix at a takeover.
const loadTimeout = 4 * time.Second

// scan reads all items of a prefix. It retries after failures until ctx ends.
func (o *owner) scan(ctx context.Context, prefix string) ([]storer.Item, error) {
	for {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		listing, err := o.cfg.Store.Scan(call, prefix)
		cancel()
		if err == nil {
			return listing.Items, nil
		}
		o.logger.Warn("reading the store for the takeover failed, trying again", "prefix", prefix, "error", err)
		if !sleeper.Sleep(ctx, watchRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

func (o *owner) readRoster(ctx context.Context) ([]string, error) {
	items, err := o.scan(ctx, rosterKey)
	if err != nil {
		return nil, err
	}
	var roster []string
	for _, item := range items {
		if err := cbor.Unmarshal(item.Value, &roster); err != nil {
			return nil, Error.New("%s: %w", rosterKey, err)
		}
	}
	return roster, nil
}

func (o *owner) readRecords(ctx context.Context) error {
	items, err := o.scan(ctx, jobkeeper.ProgressPrefix)
	if err != nil {
		return err
	}
	o.records = map[string]storedProgress{}
	for _, item := range items {
		progress, err := jobkeeper.DecodeProgress(item.Value)
		if err != nil {
			o.logger.Error("record of a job not readable", "key", item.Key, "error", err)
			continue
		}
		o.records[strings.TrimPrefix(item.Key, jobkeeper.ProgressPrefix)] = storedProgress{
			progress: progress,
			version:  item.Version,
		}
	}
	return nil
}

func (o *owner) readWaves(ctx context.Context) error {
	items, err := o.scan(ctx, wavePrefix)
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
	o.mu.Lock()
	defer o.mu.Unlock()
	now, wall := o.cfg.Clock(), o.cfg.UnixMS()
	for _, event := range events {
		if id, ok := strings.CutPrefix(event.Item.Key, jobkeeper.DocumentPrefix); ok && !event.Deleted {
			o.addJob(id, event.Item, now, wall)
		}
	}
	for _, event := range events {
		if id, ok := strings.CutPrefix(event.Item.Key, jobkeeper.CancelPrefix); ok && !event.Deleted {
			o.engine.Cancel(id, now, wall)
		}
	}
	o.wake()
}

func (o *owner) addJob(id string, item storer.Item, now time.Duration, wall int64) {
	if o.engine.Known(id) {
		return
	}
	job, err := jobkeeper.DecodeJob(item.Value)
	if err != nil {
		o.logger.Error("document of a job not readable", "job", id, "error", err)
		return
	}
	stored := o.records[id]
	o.engine.AddJob(job, item.Version, stored.progress, stored.version, now, wall)
}

// applyRegistrations processes new, changed and removed registrations of targets. If full is
// true, events holds all registrations.
func (o *owner) applyRegistrations(events []storer.Event, full bool) {
	o.mu.Lock()
	now := o.cfg.Clock()
	present := map[string]bool{}
	var found []string
	for _, event := range events {
		id := o.cfg.Schema.TargetID(event.Item.Key)
		if event.Deleted {
			o.engine.Unregister(id, now)
			continue
		}
		r, err := o.cfg.Schema.Registration(event.Item)
		if err != nil {
			o.logger.Warn("registration of a target not readable", "key", event.Item.Key, "error", err)
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
	o.mu.Unlock()
	for _, id := range found {
		o.startTargetLoop(o.ctx, id)
	}
	o.wake()
}

// watchVMs passes the platform's list of VMs to the engine until ctx ends.
func (o *owner) watchVMs(ctx context.Context) {
	for {
		askedAt := o.cfg.Clock()
		call, cancel := context.WithTimeout(ctx, vmTimeout)
		vms, err := o.cfg.VMs.List(call)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.logger.Warn("reading the list of VMs failed", "error", err)
		}
		if err == nil {
			o.mu.Lock()
			o.engine.SetVMs(vms, askedAt, o.cfg.Clock())
			o.mu.Unlock()
			o.wake()
		}
		if !sleeper.Sleep(ctx, vmPause) {
			return
		}
	}
}

const (
	// vmTimeout bounds a call to the platform's service for VMs.
	vmTimeout = 2 * time.Second
	// vmPause separates two reads of the list of VMs. A lost VM disappears from the list at
	// once, so the pause bounds how late the loss is noticed.
	vmPause = 400 * time.Millisecond
)

// waveKey returns the key under which owners keep the state of a wave.
func waveKey(number int) string {
	return fmt.Sprintf("%s%d", wavePrefix, number)
}
