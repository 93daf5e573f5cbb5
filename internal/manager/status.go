package manager

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// This file reads the state of a fleet from the store, for operators. It needs no daemon, so
// that it also shows a cell that nobody owns.

// Status is the state of a fleet as the store has it.
type Status struct {
	Revision      storer.Version `json:"revision"` // of the store
	Configuration int64          `json:"configuration"`
	Cells         []CellStatus   `json:"cells"`
	Waves         []WaveStatus   `json:"waves"`
	// Evacuations are the evacuated availability zones, with the runs that are left there.
	Evacuations []orchestrator.ZoneRuns `json:"evacuations,omitempty"`
	// Problems are entries that can't be read.
	Problems []string `json:"problems,omitempty"`
}

// CellStatus is the state of a cell.
type CellStatus struct {
	Cell  string         `json:"cell"`
	Zones []string       `json:"availability_zones"` // empty for a fleet that is not divided
	Owner string         `json:"owner"`              // empty if there is none
	Fence storer.Version `json:"fencing_token"`
	// Targets is the number of targets that may be running something.
	Targets int `json:"targets"`
	// Current is true if the owner uses the newest configuration.
	Current bool          `json:"configuration_current"`
	Queues  []QueueStatus `json:"queues"` // those with waiting jobs or a wait
	Pools   []PoolStatus  `json:"pools"`
}

// QueueStatus is the state of a queue in a cell.
type QueueStatus struct {
	Queue          string `json:"queue"`
	Waiting        int    `json:"waiting_jobs"`
	ExpectedWaitMS int64  `json:"expected_wait_ms"`
}

// PoolStatus is the state of a pool in a cell.
type PoolStatus struct {
	Pool      string `json:"pool"`
	Cores     int64  `json:"cores"` // that the pool has or can gain
	BacklogMS int64  `json:"backlog_ms"`
}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Number     int  `json:"wave"`
	VMs        int  `json:"vms"`
	Maintained int  `json:"maintained"`
	MaxDown    int  `json:"max_unavailable"`
	Complete   bool `json:"complete"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	ID       string          `json:"job"`
	Cell     string          `json:"cell"`
	Queue    string          `json:"queue"`
	Team     string          `json:"team"`
	State    jobkeeper.State `json:"state"`
	Reason   string          `json:"reason,omitempty"`
	Done     int             `json:"tasks_done"`   // while the job has not ended
	Failures int             `json:"tasks_failed"` // tasks with failed runs, likewise
	EndedMS  int64           `json:"ended_unix_ms,omitempty"`
}

// ErrNoJob means that the store has no record of a job.
var ErrNoJob = errors.New("no record of the job")

// ReadStatus reads the state of a fleet from the store. Entries that can't be read are listed in
// Problems; an error means that the store did not answer.
func ReadStatus(ctx context.Context, store storer.TransactionalStore, schema StoreSchema) (Status, error) {
	r := statusReader{
		schema:  schema,
		owners:  map[string]storer.Item{},
		rosters: map[string]int{},
		waves:   map[int]orchestrator.Wave{},
		done:    map[int]int{},

		evacuated: map[string]int{},
		view: newFleetView(Config{
			Logger: hclog.NewNullLogger(),
			Clock:  func() time.Duration { return 0 },
		}),
	}
	for _, prefix := range []string{schema.OperatorPrefix(), sharedPrefix, controlPrefix} {
		listing, err := storer.Scan(ctx, store, prefix)
		if err != nil {
			return Status{}, Error.New("reading %s: %w", prefix, err)
		}
		r.status.Revision = max(r.status.Revision, listing.Revision)
		for _, item := range listing.Items {
			if err := r.read(item); err != nil {
				r.status.Problems = append(r.status.Problems, fmt.Sprintf("%s: %v", item.Key, err))
			}
		}
	}
	return r.result(), nil
}

// statusReader collects the state of a fleet from items of the store.
type statusReader struct {
	schema   StoreSchema
	view     *fleetView
	status   Status
	revision storer.Version // of the configuration
	owners   map[string]storer.Item
	rosters  map[string]int
	waves    map[int]orchestrator.Wave
	done     map[int]int // maintained VMs by wave

	evacuated map[string]int // runs that are left, by availability zone
}

func (r *statusReader) read(item storer.Item) error {
	switch key := item.Key; {
	case key == r.schema.ConfigurationKey():
		conf, err := r.schema.Configuration(item.Value)
		if err != nil {
			return err
		}
		r.status.Configuration, r.revision = conf.Version, item.Version
	case strings.HasPrefix(key, r.schema.OperatorPrefix()):
		zone, ok, err := r.schema.Evacuation(item)
		if ok || err != nil {
			if err == nil {
				r.evacuated[zone] = 0
			}
			return err
		}
		wave, ok, err := r.schema.Wave(item)
		if ok && err == nil {
			r.waves[wave.Number] = wave
		}
		return err
	case strings.HasPrefix(key, sharedPrefix):
		return r.view.applyEvent(storer.Event{
			Item: item,
		})
	case strings.HasPrefix(key, ownerKey("")):
		r.owners[strings.TrimPrefix(key, ownerKey(""))] = item
	case strings.HasPrefix(key, rosterKey("")):
		var roster []string
		if err := cbor.Unmarshal(item.Value, &roster); err != nil {
			return err
		}
		r.rosters[strings.TrimPrefix(key, rosterKey(""))] = len(roster)
	case strings.HasPrefix(key, waveStatePrefix):
		var state orchestrator.WaveState
		if err := cbor.Unmarshal(item.Value, &state); err != nil {
			return err
		}
		r.done[state.Number] += len(state.Done)
	}
	return nil
}

func (r *statusReader) result() Status {
	s := r.status
	layout, _ := r.view.currentLayout()
	if layout == nil {
		s.Problems = append(s.Problems, "the fleet is not divided yet")
		layout = &partitioner.Layout{}
	}
	for _, cell := range layout.Cells() {
		s.Cells = append(s.Cells, r.cell(*layout, cell))
	}
	for _, wave := range r.waves {
		complete := r.done[wave.Number] >= len(wave.VMs)
		if plan, planned, _ := r.view.wave(wave.Number); planned {
			complete = plan.Complete
		}
		s.Waves = append(s.Waves, WaveStatus{
			Number:     wave.Number,
			VMs:        len(wave.VMs),
			Maintained: r.done[wave.Number],
			MaxDown:    wave.MaxUnavailable,
			Complete:   complete,
		})
	}
	s.Evacuations = r.evacuations(*layout)
	slices.SortFunc(s.Waves, func(a, b WaveStatus) int { return a.Number - b.Number })
	return s
}

// evacuations returns the evacuated zones with the runs that the cells have reported, sorted.
func (r *statusReader) evacuations(layout partitioner.Layout) []orchestrator.ZoneRuns {
	for _, cell := range layout.Cells() {
		report, _, _ := r.view.report(cell)
		for _, z := range report.Evacuated {
			if _, evacuated := r.evacuated[z.Zone]; evacuated {
				r.evacuated[z.Zone] += z.Runs
			}
		}
	}
	var evacuations []orchestrator.ZoneRuns
	for _, zone := range slices.Sorted(maps.Keys(r.evacuated)) {
		evacuations = append(evacuations, orchestrator.ZoneRuns{
			Zone: zone,
			Runs: r.evacuated[zone],
		})
	}
	return evacuations
}

func (r *statusReader) cell(layout partitioner.Layout, cell string) CellStatus {
	owner := r.owners[cell]
	report, _, reported := r.view.report(cell)
	c := CellStatus{
		Cell:    cell,
		Zones:   layout.Zones(cell),
		Owner:   string(owner.Value),
		Fence:   owner.Version,
		Targets: r.rosters[cell],
		Current: reported && report.Configuration == r.revision,
	}
	for _, q := range report.Queues {
		c.Queues = append(c.Queues, QueueStatus{
			Queue:          q.Queue,
			Waiting:        q.Waiting,
			ExpectedWaitMS: q.ExpectedWait.Milliseconds(),
		})
	}
	for _, p := range report.Pools {
		c.Pools = append(c.Pools, PoolStatus{
			Pool:      p.Pool,
			Cores:     p.Millicores / 1000,
			BacklogMS: p.BacklogMS,
		})
	}
	return c
}

// ReadJob reads the state of a job from the store. The error is ErrNoJob if there is no record.
func ReadJob(ctx context.Context, store storer.TransactionalStore, id string) (JobStatus, error) {
	item, err := store.Read(ctx, jobkeeper.ProgressKey(id))
	if err != nil {
		return JobStatus{}, Error.New("reading job %s: %w", id, err)
	}
	if item.Version == 0 {
		return JobStatus{}, Error.New("job %s: %w", id, ErrNoJob)
	}
	p, err := jobkeeper.DecodeProgress(item.Value)
	if err != nil {
		return JobStatus{}, Error.New("record of job %s: %w", id, err)
	}
	s := JobStatus{
		ID:      id,
		Cell:    p.Cell,
		Queue:   p.Queue,
		Team:    p.Team,
		State:   p.State,
		Reason:  p.Reason,
		EndedMS: p.EndedMS,
	}
	for _, task := range p.Tasks {
		if task.Done {
			s.Done++
		}
		if len(task.FailedRuns) > 0 {
			s.Failures++
		}
	}
	return s, nil
}
