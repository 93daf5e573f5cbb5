package manager

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// recordInterval is the shortest time between two groups of writes. It bounds the
	// calls to the store and adds to the time until an end is shown.
	recordInterval = 25 * time.Millisecond
	// publishInterval separates two reports of the queues.
	publishInterval = 300 * time.Millisecond
	// publishRefresh is the time after which an unchanged report is written again.
	publishRefresh = 3 * time.Second
	// waitStep is the step in which expected waits are reported, so that small
	// changes cost no writes.
	waitStep = 200 * time.Millisecond
)

// errDeposed means that another daemon has become the owner.
var errDeposed = errors.New("another daemon is the owner")

// record writes what the engine decided until ctx ends.
func (o *owner) record(ctx context.Context) {
	for sleeper.Sleep(ctx, recordInterval) {
		if !o.entitled() {
			continue
		}
		o.mu.Lock()
		batch := o.engine.TakeChanges(o.cfg.Clock())
		waves := o.engine.TakeWaves()
		o.mu.Unlock()
		settled := o.writeBatch(ctx, &batch)
		o.writeWaves(ctx, waves)
		o.mu.Lock()
		if settled {
			o.engine.Settled(&batch)
			close(o.settled)
			o.settled = make(chan struct{})
		}
		o.mu.Unlock()
		if settled && !batch.Empty() {
			o.kick()
		}
	}
}

// writeBatch writes the changes in as few transactions as possible.
func (o *owner) writeBatch(ctx context.Context, batch *orchestrator.Batch) bool {
	settled := true
	if batch.Roster != nil {
		settled = o.writeRoster(ctx, batch.Roster)
	}
	group := newGroup(o.term.Fence)
	var changes []orchestrator.Change
	flush := func() {
		if len(changes) > 0 && !o.writeGroup(ctx, group, changes) {
			settled = false
		}
		group, changes = newGroup(o.term.Fence), nil
	}
	for _, c := range batch.Changes {
		part, err := transaction(c)
		if err != nil {
			o.logger.Error("record not encodable", "job", c.Job, "error", err)
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
	return settled
}

// newGroup returns a transaction that fails when another daemon became the owner.
func newGroup(fence storer.Version) storer.Transaction {
	return storer.Transaction{
		Conditions: []storer.Condition{{
			Key:     ownerKey,
			Version: fence,
		}},
	}
}

// transaction returns the writes for one change. The condition on the record keeps
// a write that arrives late from undoing a newer one.
func transaction(c orchestrator.Change) (storer.Transaction, error) {
	t := storer.Transaction{
		Conditions: []storer.Condition{{
			Key:     jobkeeper.ProgressKey(c.Job),
			Version: c.Version,
		}},
	}
	if c.Forget {
		t.Removals = []string{jobkeeper.ProgressKey(c.Job)}
		return t, nil
	}
	data, err := jobkeeper.EncodeProgress(c.Progress)
	if err != nil {
		return t, err
	}
	t.Puts = []storer.Put{{
		Key:   jobkeeper.ProgressKey(c.Job),
		Value: data,
	}}
	if c.RemoveDocument {
		t.Removals = append(t.Removals, jobkeeper.DocumentKey(c.Job))
		if c.Cancelled {
			t.Removals = append(t.Removals, jobkeeper.CancelKey(c.Job))
		}
	}
	return t, nil
}

// writeGroup writes one transaction and tells the engine what became of it.
func (o *owner) writeGroup(ctx context.Context, t storer.Transaction, changes []orchestrator.Change) bool {
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
			found := conflict.Find(jobkeeper.ProgressKey(c.Job)).Version
			if found != c.Version {
				o.engine.Conflicted(c, found)
				continue
			}
			o.engine.Retry(c)
		}
	default:
		o.logger.Warn("records not written", "records", len(changes), "error", err)
		for _, c := range changes {
			o.engine.Retry(c)
		}
	}
	return false
}

// checkOwner gives up when a conflict shows another owner.
func (o *owner) checkOwner(conflict *storer.ConflictError) {
	if conflict.Find(ownerKey).Version != o.term.Fence {
		o.logger.Warn("deposed", "fence", uint64(o.term.Fence), "found", uint64(conflict.Find(ownerKey).Version))
		o.fail(errDeposed)
	}
}

// put writes keys that only the owner writes. It reports whether they are stored.
// Conditions on their versions keep a write that arrives late from undoing a newer one.
func (o *owner) put(ctx context.Context, puts ...storer.Put) bool {
	t := newGroup(o.term.Fence)
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
		o.logger.Warn("state not written", "key", puts[0].Key, "error", err)
	}
	return err == nil
}

func (o *owner) writeRoster(ctx context.Context, roster []string) bool {
	data, err := cbor.Marshal(roster)
	if err != nil {
		o.logger.Error("roster not encodable", "error", err)
		return false
	}
	return o.put(ctx, storer.Put{
		Key:   rosterKey,
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
		o.logger.Error("state of a wave not encodable", "wave", state.Number, "error", err)
		return false
	}
	status, err := o.cfg.Directory.WaveStatus(state)
	if err != nil {
		o.logger.Error("state of a wave not encodable", "wave", state.Number, "error", err)
		return false
	}
	return o.put(ctx, storer.Put{
		Key:   waveKey(state.Number),
		Value: data,
	}, status)
}

// publish reports the state of the queues to the other daemons.
func (o *owner) publish(ctx context.Context) {
	var last []byte
	var writtenAt time.Duration
	for sleeper.Sleep(ctx, publishInterval) {
		if !o.entitled() {
			continue
		}
		o.mu.Lock()
		states := o.engine.QueueStates(o.cfg.Clock())
		o.mu.Unlock()
		for i := range states {
			states[i].Wait = states[i].Wait.Round(waitStep)
		}
		data, err := cbor.Marshal(queueReport{
			Queues: states,
		})
		if err != nil {
			o.logger.Error("state of the queues not encodable", "error", err)
			continue
		}
		if string(data) == string(last) && o.cfg.Clock()-writtenAt < publishRefresh {
			continue
		}
		if o.put(ctx, storer.Put{
			Key:   queuesKey,
			Value: data,
		}) {
			last, writtenAt = data, o.cfg.Clock()
		}
	}
}
