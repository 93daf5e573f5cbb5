package manager

import (
	"context"
	"errors"
	"maps"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/forecaster"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// recordInterval is the shortest time between two batches of writes. It limits the calls
	// to the store, and adds to the time until the end of a job can be seen.
	recordInterval = 25 * time.Millisecond
	// publishInterval separates two reports of the queues.
	publishInterval = 300 * time.Millisecond
	// publishRefresh is the time after which an unchanged report is written again.
	publishRefresh = 3 * time.Second
	// forecastInterval separates two writes of the forecast. A new owner knows the arrivals
	// since the last one from the jobs that have not ended.
	forecastInterval = 3 * time.Second
	// waitRounding is the unit to which reported waits are rounded, so that small changes
	// cause no writes.
	waitRounding = 200 * time.Millisecond
	// millicoreRounding is the unit to which reported capacities are rounded.
	millicoreRounding = 10_000
)

// errDeposed means that another daemon has become the owner.
var errDeposed = errors.New("another daemon is the owner")

// recordChanges writes the changes that the engine has decided, until ctx ends.
func (o *owner) recordChanges(ctx context.Context) {
	for sleeper.Sleep(ctx, recordInterval) {
		if !o.leaseValid() {
			continue
		}
		var batch orchestrator.Batch
		var waves []orchestrator.WaveState
		o.locked(func() {
			batch = o.engine.TakeChanges(o.cfg.Clock())
			waves = o.engine.TakeWaves()
		})
		written := o.writeBatch(ctx, &batch)
		o.writeWaves(ctx, waves)
		if written {
			o.locked(func() {
				o.engine.BatchStored(&batch)
				close(o.recorded)
				o.recorded = make(chan struct{})
			})
		}
		if written && !batch.Empty() {
			o.wake()
		}
	}
}

// writeBatch writes the changes in as few transactions as possible, and reports whether all
// writes succeeded. Changes that cannot be encoded are skipped.
func (o *owner) writeBatch(ctx context.Context, batch *orchestrator.Batch) bool {
	written := true
	if batch.Roster != nil {
		written = o.writeRoster(ctx, batch.Roster)
	}
	group := o.newFencedTransaction()
	var changes []orchestrator.Change
	flush := func() {
		if len(changes) > 0 && !o.commitChanges(ctx, group, changes) {
			written = false
		}
		group, changes = o.newFencedTransaction(), nil
	}
	for _, c := range batch.Changes {
		part, err := o.changeTransaction(c)
		if err != nil {
			o.logger.Error("encoding the progress of a job failed", "job", c.Job, "error", err)
			continue
		}
		if group.Entries()+part.Entries() > storer.MaxTransactionEntries {
			flush()
		}
		group.Conditions = append(group.Conditions, part.Conditions...)
		group.Puts = append(group.Puts, part.Puts...)
		group.Removals = append(group.Removals, part.Removals...)
		changes = append(changes, c)
	}
	flush()
	return written
}

// newFencedTransaction returns a transaction that fails if another daemon has become the
// owner.
func (o *owner) newFencedTransaction() storer.Transaction {
	return storer.Transaction{
		Conditions: []storer.Condition{{
			Key:     ownerKey(o.cell),
			Version: o.term.Fence,
		}},
	}
}

// changeTransaction returns the writes for one change. The condition on the version keeps a
// delayed write from overwriting a newer one.
func (o *owner) changeTransaction(c orchestrator.Change) (storer.Transaction, error) {
	t := storer.Transaction{
		Conditions: []storer.Condition{{
			Key:     jobkeeper.ProgressKey(c.Job),
			Version: c.Version,
		}},
	}
	if c.Delete {
		t.Removals = []string{jobkeeper.ProgressKey(c.Job)}
		return t, nil
	}
	c.Progress.Cell = o.cell
	data, err := jobkeeper.EncodeProgress(c.Progress)
	if err != nil {
		return t, err
	}
	t.Puts = []storer.Put{{
		Key:   jobkeeper.ProgressKey(c.Job),
		Value: data,
	}}
	if c.RemoveDocument {
		t.Removals = append(t.Removals, jobkeeper.DocumentKey(o.cell, c.Job))
		if c.Cancelled {
			t.Removals = append(t.Removals, jobkeeper.CancelKey(o.cell, c.Job))
		}
	}
	return t, nil
}

// commitChanges commits one transaction, passes the result of each change to the engine, and
// reports whether they are stored.
func (o *owner) commitChanges(ctx context.Context, t storer.Transaction, changes []orchestrator.Change) bool {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := o.cfg.Store.Commit(call, t)
	o.mu.Lock()
	defer o.mu.Unlock()
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		for _, c := range changes {
			o.engine.Recorded(c, version)
		}
		return true
	case errors.As(err, &conflict):
		o.checkOwner(conflict)
		for _, c := range changes {
			o.resolveConflict(c, conflict.Find(jobkeeper.ProgressKey(c.Job)))
		}
	default:
		o.logger.Warn("writing the progress of jobs failed", "records", len(changes), "error", err)
		for _, c := range changes {
			o.engine.Retry(c)
		}
	}
	return false
}

// resolveConflict handles a change that was not written. found is the progress record that the
// store has instead of the expected one. The caller holds the lock.
func (o *owner) resolveConflict(c orchestrator.Change, found storer.Item) {
	if found.Version == c.Version {
		o.engine.Retry(c)
		return
	}
	if progress, err := jobkeeper.DecodeProgress(found.Value); err == nil && progress.Cell != "" && progress.Cell != o.cell {
		o.logger.Warn("job belongs to another cell", "job", c.Job, "other_cell", progress.Cell)
		o.engine.Forget(c.Job, o.cfg.Clock())
		return
	}
	o.engine.Conflicted(c, found.Version)
}

// checkOwner ends the ownership if a conflict shows that another daemon is the owner.
func (o *owner) checkOwner(conflict *storer.ConflictError) {
	if found := conflict.Find(ownerKey(o.cell)).Version; found != o.term.Fence {
		o.logger.Warn("this daemon is no longer the owner", "fence", uint64(o.term.Fence), "found", uint64(found))
		o.fail(errDeposed)
	}
}

// put writes keys that only the owner writes, and reports whether they are stored. Conditions
// on their versions keep a delayed write from overwriting a newer one.
func (o *owner) put(ctx context.Context, puts ...storer.Put) bool {
	t := o.newFencedTransaction()
	t.Puts = puts
	o.mu.Lock()
	for _, put := range puts {
		t.Conditions = append(t.Conditions, storer.Condition{
			Key:     put.Key,
			Version: o.versions[put.Key],
		})
	}
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := o.cfg.Store.Commit(call, t)
	o.mu.Lock()
	defer o.mu.Unlock()
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		o.checkOwner(conflict)
		for _, put := range puts {
			o.versions[put.Key] = conflict.Find(put.Key).Version
		}
	}
	if err == nil {
		for _, put := range puts {
			o.versions[put.Key] = version
		}
	}
	if err != nil {
		o.logger.Warn("writing the state of the owner failed", "key", puts[0].Key, "error", err)
	}
	return err == nil
}

func (o *owner) writeRoster(ctx context.Context, roster []string) bool {
	data, err := cbor.Marshal(roster)
	if err != nil {
		o.logger.Error("encoding the roster failed", "error", err)
		return false
	}
	return o.put(ctx, storer.Put{
		Key:   rosterKey(o.cell),
		Value: data,
	})
}

// writeWaves records the progress of waves for later owners and for operators.
func (o *owner) writeWaves(ctx context.Context, states []orchestrator.WaveState) {
	for _, state := range states {
		if o.writeWave(ctx, state) {
			continue
		}
		o.mu.Lock()
		o.engine.RetryWave(state.Number)
		o.mu.Unlock()
	}
}

func (o *owner) writeWave(ctx context.Context, state orchestrator.WaveState) bool {
	data, err := cbor.Marshal(state)
	if err != nil {
		o.logger.Error("encoding the state of a wave failed", "wave", state.Number, "error", err)
		return false
	}
	put := storer.Put{
		Key:   waveKey(o.cell, state.Number),
		Value: data,
	}
	if !o.layout.Single() {
		return o.put(ctx, put) // planWaves writes the status of the whole wave
	}
	status, err := o.cfg.Schema.WaveStatus(state)
	if err != nil {
		o.logger.Error("encoding the state of a wave failed", "wave", state.Number, "error", err)
		return false
	}
	return o.put(ctx, put, status)
}

// publishReport reports the state of the cell to the other daemons until ctx ends.
func (o *owner) publishReport(ctx context.Context) {
	var last []byte
	var writtenAt time.Duration
	for sleeper.Sleep(ctx, publishInterval) {
		if !o.leaseValid() {
			continue
		}
		data, err := cbor.Marshal(o.report())
		if err != nil {
			o.logger.Error("encoding the report of the cell failed", "error", err)
			continue
		}
		if string(data) == string(last) && o.cfg.Clock()-writtenAt < publishRefresh {
			continue
		}
		if o.put(ctx, storer.Put{
			Key:   reportKey(o.cell),
			Value: data,
		}) {
			last, writtenAt = data, o.cfg.Clock()
		}
	}
}

// storeForecast stores the forecast for the next owner of the cell until ctx ends.
func (o *owner) storeForecast(ctx context.Context) {
	for sleeper.Sleep(ctx, forecastInterval) {
		if !o.leaseValid() {
			continue
		}
		var state *forecaster.State
		o.locked(func() { state = o.engine.ForecastState(o.cfg.Clock(), o.cfg.UnixMS()) })
		if state == nil {
			continue
		}
		data, err := cbor.Marshal(state)
		if err != nil {
			o.logger.Error("encoding the forecast failed", "error", err)
			continue
		}
		o.put(ctx, storer.Put{
			Key:   forecastKey(o.cell),
			Value: data,
		})
	}
}

// report describes the cell. Figures are rounded, so that small changes cause no writes.
func (o *owner) report() cellReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock()
	r := cellReport{
		Queues:          o.engine.QueueStates(now),
		Configuration:   o.configRevision,
		OverShare:       o.overShare(),
		Evacuated:       o.engine.EvacuatedZones(),
		RecordsVMOrders: true,
		HeldBytes:       o.engine.HeldBytes(),
	}
	if o.durations == nil || now-o.durationsAt >= publishRefresh {
		o.durations, o.durationsAt = o.engine.Durations(), now
	}
	r.Durations = o.durations
	for team, bytes := range r.HeldBytes {
		r.HeldBytes[team] = bytes / heldRounding * heldRounding
	}
	maps.DeleteFunc(r.HeldBytes, func(_ string, bytes int64) bool { return bytes == 0 })
	for i := range r.Queues {
		q := &r.Queues[i]
		q.ExpectedWait = q.ExpectedWait.Round(waitRounding)
		q.OnTimeWait = q.OnTimeWait.Round(waitRounding / 4)
		q.Inflow = math.Round(10*q.Inflow) / 10
		for team, wait := range q.TeamWaits {
			q.TeamWaits[team] = wait.Round(waitRounding)
		}
	}
	if o.layout.Single() {
		return r
	}
	r.Racks = o.engine.Racks()
	for _, load := range o.engine.PoolLoads(now) {
		r.Pools = append(r.Pools, poolReport{
			Pool:       load.Pool,
			Millicores: load.Millicores / millicoreRounding * millicoreRounding,
			BacklogMS:  load.Backlog.Round(waitRounding / 4).Milliseconds(),
		})
	}
	return r
}
