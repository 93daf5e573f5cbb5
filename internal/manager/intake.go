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

// loadTimeout bounds one read of a whole prefix at a takeover.
const loadTimeout = 4 * time.Second

// scan reads a prefix, again after failures, until ctx ends.
func (o *owner) scan(ctx context.Context, prefix string) ([]storer.Item, error) {
	for {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		listing, err := o.cfg.Store.Scan(call, prefix)
		cancel()
		if err == nil {
			return listing.Items, nil
		}
		o.logger.Warn("takeover waits for the store", "prefix", prefix, "error", err)
		if !sleeper.Sleep(ctx, followRetry) {
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
	o.states = map[int]*orchestrator.WaveState{}
	for _, item := range items {
		state := &orchestrator.WaveState{}
		if err := cbor.Unmarshal(item.Value, state); err != nil {
			o.logger.Error("state of a wave not readable", "key", item.Key, "error", err)
			continue
		}
		o.states[state.Number] = state
	}
	return nil
}

// applyIntake takes new jobs and cancellations. Documents come before
// cancellations, because a listing is not in the order of the writes.
func (o *owner) applyIntake(events []storer.Event, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, wall := o.cfg.Clock(), o.cfg.Wall()
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
	o.kick()
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

// applyRegistry takes changed registrations.
func (o *owner) applyRegistry(events []storer.Event, full bool) {
	o.mu.Lock()
	now := o.cfg.Clock()
	present := map[string]bool{}
	var found []string
	for _, event := range events {
		id := o.cfg.Directory.TargetID(event.Item.Key)
		if event.Deleted {
			o.engine.Unregister(id, now)
			continue
		}
		r, err := o.cfg.Directory.Registration(event.Item)
		if err != nil {
			o.logger.Warn("registration not usable", "key", event.Item.Key, "error", err)
			o.engine.Unregister(id, now)
			continue
		}
		present[id] = true
		o.engine.Register(r, now)
		found = append(found, id)
	}
	if full {
		for id := range o.holders {
			if !present[id] {
				o.engine.Unregister(id, now)
			}
		}
	}
	o.mu.Unlock()
	for _, id := range found {
		o.hold(o.ctx, id)
	}
	o.kick()
}

// watchVMs keeps the list of VMs while there is something to move or to maintain.
func (o *owner) watchVMs(ctx context.Context) {
	for {
		askedAt := o.cfg.Clock()
		call, cancel := context.WithTimeout(ctx, vmTimeout)
		vms, err := o.cfg.VMs.List(call)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.logger.Warn("list of VMs not read", "error", err)
		}
		if err == nil {
			o.mu.Lock()
			o.engine.SetVMs(vms, askedAt, o.cfg.Clock())
			o.mu.Unlock()
			o.kick()
		}
		if !sleeper.Sleep(ctx, vmPause) {
			return
		}
	}
}

const (
	// vmTimeout bounds a call to the platform's service for VMs.
	vmTimeout = 2 * time.Second
	// vmPause separates two readings of the list of VMs, which shows a lost VM at once.
	vmPause = 400 * time.Millisecond
)

// waveKey is where the owners keep the state of a wave.
func waveKey(number int) string {
	return fmt.Sprintf("%s%d", wavePrefix, number)
}
