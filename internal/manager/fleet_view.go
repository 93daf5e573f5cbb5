package manager

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Keys of the store that every daemon follows: the division of the fleet, the reports of the
// owners, and the division of maintenance waves.
const (
	sharedPrefix   = "shared/"
	layoutKey      = sharedPrefix + "layout"
	reportPrefix   = sharedPrefix + "report/"
	wavePlanPrefix = sharedPrefix + "wave/plan/"
	wavePartPrefix = sharedPrefix + "wave/part/" // then the number of the wave and the cell
)

func reportKey(cell string) string { return reportPrefix + cell }

func wavePlanKey(number int) string { return wavePlanPrefix + strconv.Itoa(number) }

func wavePartKey(number int, cell string) string {
	return fmt.Sprintf("%s%d/%s", wavePartPrefix, number, cell)
}

// cellReport is what the owner of a cell publishes to the other daemons.
type cellReport struct {
	Queues []orchestrator.QueueState `cbor:"1,keyasint,omitempty"`
	Pools  []poolReport              `cbor:"2,keyasint,omitempty"`
	Racks  []string                  `cbor:"3,keyasint,omitempty"`
	// Configuration is the revision of the configuration that the owner uses.
	Configuration storer.Version `cbor:"4,keyasint"`
	// OverShare holds what teams use that exceed their share in the cell.
	OverShare map[string]jobkeeper.Resources `cbor:"5,keyasint,omitempty"`
	// Durations are those that the owner has learned, renewed every publishRefresh.
	Durations []orchestrator.QueueDurations `cbor:"6,keyasint,omitempty"`
	// Evacuated holds the runs that are left in evacuated availability zones.
	Evacuated []orchestrator.ZoneRuns `cbor:"7,keyasint,omitempty"`
	// RecordsVMOrders is true if the owner records its orders for VMs. Owners of earlier releases
	// don't.
	RecordsVMOrders bool `cbor:"8,keyasint,omitempty"`
	// HeldBytes is the memory that the owner needs for the accepted work of each team, rounded to
	// heldRounding.
	HeldBytes map[string]int64 `cbor:"9,keyasint,omitempty"`
}

// poolReport is the part of a cell's report on a pool.
type poolReport struct {
	Pool       string `cbor:"1,keyasint"`
	Millicores int64  `cbor:"2,keyasint,omitempty"` // capacity that the pool has or can gain
	BacklogMS  int64  `cbor:"3,keyasint,omitempty"` // time that this capacity needs for the known work
}

// receivedReport is a report with the time at which it arrived.
type receivedReport struct {
	cellReport
	at time.Duration
}

// wavePlan is the division of a maintenance wave among the cells. The owner of the first cell
// writes it.
type wavePlan struct {
	Parts    []partitioner.WavePart `cbor:"1,keyasint"`
	Complete bool                   `cbor:"2,keyasint,omitempty"` // the operators have been told so
}

// partState is the state of a cell's part of a maintenance wave, as its owner reports it.
type partState string

const (
	partOpen     partState = ""         // not complete
	partComplete partState = "complete" // each VM had its maintenance or has left the fleet
	partSettled  partState = "settled"  // and none of them is down
)

// fleetView is what this daemon knows of all cells.
type fleetView struct {
	cfg Config

	mu        sync.Mutex
	layout    *partitioner.Layout // nil until the fleet is divided
	reports   map[string]receivedReport
	wavePlans map[int]wavePlan
	waveParts map[int]map[string]partState // by wave and cell
	changed   chan struct{}                // closed and replaced when the layout is set
}

func newFleetView(cfg Config) *fleetView {
	return &fleetView{
		cfg:       cfg,
		reports:   map[string]receivedReport{},
		wavePlans: map[int]wavePlan{},
		waveParts: map[int]map[string]partState{},
		changed:   make(chan struct{}),
	}
}

// apply processes changes under sharedPrefix.
func (v *fleetView) apply(events []storer.Event, _ bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, event := range events {
		if err := v.applyEvent(event); err != nil {
			v.cfg.Logger.Warn("shared state of the daemons not readable", "key", event.Item.Key, "error", err)
		}
	}
}

func (v *fleetView) applyEvent(event storer.Event) error {
	key := event.Item.Key
	switch {
	case event.Deleted:
		return nil
	case key == layoutKey:
		return v.setLayout(event.Item)
	case strings.HasPrefix(key, reportPrefix):
		var report cellReport
		if err := cbor.Unmarshal(event.Item.Value, &report); err != nil {
			return err
		}
		v.reports[strings.TrimPrefix(key, reportPrefix)] = receivedReport{
			cellReport: report,
			at:         v.cfg.Clock(),
		}
	case strings.HasPrefix(key, wavePlanPrefix):
		number, err := strconv.Atoi(strings.TrimPrefix(key, wavePlanPrefix))
		if err != nil {
			return err
		}
		var plan wavePlan
		if err := cbor.Unmarshal(event.Item.Value, &plan); err != nil {
			return err
		}
		v.wavePlans[number] = plan
	case strings.HasPrefix(key, wavePartPrefix):
		wave, cell, _ := strings.Cut(strings.TrimPrefix(key, wavePartPrefix), "/")
		number, err := strconv.Atoi(wave)
		if err != nil {
			return err
		}
		if v.waveParts[number] == nil {
			v.waveParts[number] = map[string]partState{}
		}
		v.waveParts[number][cell] = partState(event.Item.Value)
	}
	return nil
}

// setLayout sets the layout unless it is known: it never changes. The caller holds the lock.
func (v *fleetView) setLayout(item storer.Item) error {
	if v.layout != nil || item.Version == 0 {
		return nil
	}
	var l partitioner.Layout
	if err := cbor.Unmarshal(item.Value, &l); err != nil {
		return err
	}
	v.layout = &l
	v.cfg.Logger.Info("fleet divided", "cells", len(l.Cells()), "groups", l.Groups, "parts", l.Parts)
	close(v.changed)
	v.changed = make(chan struct{})
	return nil
}

// currentLayout returns the layout, or nil, and a channel that closes when it is set.
func (v *fleetView) currentLayout() (*partitioner.Layout, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.layout, v.changed
}

// maxReportAge is the greatest age of an owner's report that is relied on. Unchanged reports
// are written again after publishRefresh.
const maxReportAge = 5 * time.Second

// report returns the last report of a cell and the time since it arrived; ok is false if
// there is none that can be relied on.
func (v *fleetView) report(cell string) (r cellReport, age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	received, found := v.reports[cell]
	age = v.cfg.Clock() - received.at
	return received.cellReport, age, found && age <= maxReportAge
}

// heldBytes returns the memory that the owner of a cell needs for accepted work, and for that of a
// team, by its last report, however old that is, and when it arrived.
func (v *fleetView) heldBytes(cell, team string) (all, ofTeam int64, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	received := v.reports[cell]
	for _, bytes := range received.HeldBytes {
		all += bytes
	}
	return all, received.HeldBytes[team], received.at
}

// queue returns the state of a queue in a cell.
func (r *cellReport) queue(name string) orchestrator.QueueState {
	for _, q := range r.Queues {
		if q.Queue == name {
			return q
		}
	}
	return orchestrator.QueueState{}
}

// durations returns what the owner of the cell has learned of a queue. Without anything learned,
// the result predicts what callers estimate.
func (r *cellReport) durations(queue string) orchestrator.QueueDurations {
	for _, d := range r.Durations {
		if d.Tasks.Queue == queue {
			return d
		}
	}
	return orchestrator.QueueDurations{}
}

// learnedDurations returns what owners have learned, from the last report of each cell.
func (v *fleetView) learnedDurations() []orchestrator.QueueDurations {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []orchestrator.QueueDurations
	for _, r := range v.reports {
		all = append(all, r.Durations...)
	}
	return all
}

// pool returns the state of a pool in a cell.
func (r *cellReport) pool(name string) poolReport {
	for _, p := range r.Pools {
		if p.Pool == name {
			return p
		}
	}
	return poolReport{}
}

// waitingJobs returns the number of waiting jobs of a queue in all cells.
func (v *fleetView) waitingJobs(queue string) int {
	layout, _ := v.currentLayout()
	if layout == nil {
		return 0
	}
	sum := 0
	for _, cell := range layout.Cells() {
		if r, _, ok := v.report(cell); ok {
			sum += r.queue(queue).Waiting
		}
	}
	return sum
}

// candidates describes cells to the partitioner, for a job on a pool whose data is on a rack
// ("" for none). Cells without a reliable report are left out unless there is none else; then those count by
// the capacity that they reported last.
func (v *fleetView) candidates(cells []string, pool, rack string) []partitioner.Candidate {
	var candidates []partitioner.Candidate
	for _, cell := range cells {
		r, _, ok := v.report(cell)
		if !ok {
			continue
		}
		p := r.pool(pool)
		c := partitioner.Candidate{
			Cell:       cell,
			Millicores: p.Millicores,
			Backlog:    time.Duration(p.BacklogMS) * time.Millisecond,
		}
		for _, known := range r.Racks {
			c.HasData = c.HasData || rack != "" && known == rack
		}
		candidates = append(candidates, c)
	}
	if len(candidates) > 0 {
		return candidates
	}
	for _, cell := range cells {
		candidates = append(candidates, partitioner.Candidate{
			Cell:       cell,
			Millicores: v.lastMillicores(cell, pool),
		})
	}
	return candidates
}

// lastMillicores returns the capacity of a pool by the last report of a cell, however old it is.
// After an outage of the store it is the best that is known.
func (v *fleetView) lastMillicores(cell, pool string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.reports[cell].cellReport
	return r.pool(pool).Millicores
}

// wave returns the plan of a wave and the states that the cells have reported of their parts.
func (v *fleetView) wave(number int) (plan wavePlan, planned bool, parts map[string]partState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	plan, planned = v.wavePlans[number]
	return plan, planned, maps.Clone(v.waveParts[number])
}
