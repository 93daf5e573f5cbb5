package manager

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// wavePlanInterval is the time between two revisions of the division of waves.
const wavePlanInterval = 200 * time.Millisecond

// cellWave returns the part of a wave that this owner carries out; ok is false as long as the
// wave is not divided or if no VM of it is in the cell.
func (o *owner) cellWave(w orchestrator.Wave) (part orchestrator.Wave, ok bool) {
	if o.layout.Single() {
		return w, true
	}
	plan, _, _ := o.view.wave(w.Number)
	for _, p := range plan.Parts {
		if p.Cell == o.cell {
			w.VMs = p.VMs
			w.MaxUnavailable = p.MaxUnavailable
			return w, true
		}
	}
	return w, false
}

// planWaves divides new waves among the cells, if this is the owner of the first cell, and
// reports when this cell has completed its part, until ctx ends.
func (o *owner) planWaves(ctx context.Context) {
	for sleeper.Sleep(ctx, wavePlanInterval) {
		if !o.leaseValid() {
			continue
		}
		_, waves, _ := o.settings.state()
		for _, w := range waves {
			plan, planned, parts := o.view.wave(w.Number)
			if o.cell == o.layout.Cells()[0] {
				o.planWave(ctx, w, plan, planned, parts)
			}
			if planned && parts[o.cell] != partSettled {
				o.reportWavePart(ctx, w.Number, parts[o.cell])
			}
		}
	}
}

// planWave writes the division of a wave if it is new or if cells have completed their parts.
func (o *owner) planWave(ctx context.Context, w orchestrator.Wave, plan wavePlan, planned bool, parts map[string]partState) {
	settled := map[string]bool{}
	for cell, state := range parts {
		settled[cell] = state == partSettled
	}
	next := plan
	cells := o.cellsOfVMs()
	reassigned := false
	if !planned {
		if cells == nil {
			return
		}
		next.Parts = o.layout.SplitWave(w.VMs, w.MaxUnavailable, func(vm string) string { return cells[vm] })
	} else {
		next.Parts = partitioner.AllotWave(plan.Parts, w.MaxUnavailable, settled)
		if !plan.Complete {
			next.Parts, reassigned = partitioner.ReassignWave(next.Parts, func(vm string) string { return cells[vm] })
		}
	}
	next.Complete = !reassigned && !slices.ContainsFunc(next.Parts, func(p partitioner.WavePart) bool { return parts[p.Cell] == partOpen })
	if planned && !reassigned && next.Complete == plan.Complete && slices.EqualFunc(next.Parts, plan.Parts, func(a, b partitioner.WavePart) bool { return a.MaxUnavailable == b.MaxUnavailable }) {
		return
	}
	data, err := cbor.Marshal(next)
	if err != nil {
		o.logger.Error("encoding the division of a wave failed", "wave", w.Number, "error", err)
		return
	}
	status, err := o.cfg.Schema.WaveStatus(orchestrator.WaveState{
		Number:   w.Number,
		Complete: next.Complete,
	})
	if err != nil {
		o.logger.Error("encoding the state of a wave failed", "wave", w.Number, "error", err)
		return
	}
	if o.put(ctx, storer.Put{
		Key:   wavePlanKey(w.Number),
		Value: data,
	}, status) {
		o.logger.Info("wave divided among cells", "wave", w.Number, "vms", len(w.VMs), "most", w.MaxUnavailable, "parts", len(next.Parts), "complete_parts", len(parts), "complete", next.Complete)
	}
}

// reportWavePart records that this cell has completed its part of a wave, and later that none
// of its VMs is down any more, so that the other cells may use its part of MaxUnavailable.
func (o *owner) reportWavePart(ctx context.Context, number int, reported partState) {
	var complete, settled bool
	o.locked(func() { complete, settled = o.engine.WaveProgress(number) })
	state := partOpen
	switch {
	case settled:
		state = partSettled
	case complete:
		state = partComplete
	}
	if state != reported {
		o.put(ctx, storer.Put{
			Key:   wavePartKey(number, o.cell),
			Value: []byte(state),
		})
	}
}

// cellsOfVMs returns the cell of each VM of the fleet, or nil before the list was read.
func (o *owner) cellsOfVMs() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.vmCells
}
