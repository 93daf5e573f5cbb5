// Package jobkeeper defines jobs, the progress that is recorded for them, and how both are
// stored.
//
// A job consists of steps, and a step of tasks with equal resource needs. The job document
// never changes after the job was accepted. Its progress is rewritten by the daemon that owns
// the fleet as tasks end.
package jobkeeper

import (
	"fmt"
	"sort"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("jobkeeper")

// Limits of a job document. They keep it well below the largest value that the store takes,
// and bound the memory that one request can occupy in the owner.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasks       = 4096
	MaxOccurrences = 100_000
)

// Resources is an amount of processors, memory and GPUs.
type Resources struct {
	CPUMillis int64 `cbor:"1,keyasint,omitempty"` // millicores (thousandths of a core)
	MemoryMB  int64 `cbor:"2,keyasint,omitempty"`
	GPUs      int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns r + o for each resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPUMillis: r.CPUMillis + o.CPUMillis,
		MemoryMB:  r.MemoryMB + o.MemoryMB,
		GPUs:      r.GPUs + o.GPUs,
	}
}

// Minus returns r - o for each resource; amounts can become negative.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns each amount multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		CPUMillis: r.CPUMillis * n,
		MemoryMB:  r.MemoryMB * n,
		GPUs:      r.GPUs * n,
	}
}

// FitsIn reports whether no amount exceeds that of room.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPUMillis <= room.CPUMillis && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step is a group of tasks with equal properties.
type Step struct {
	Count               int       `cbor:"1,keyasint"`
	Needs               Resources `cbor:"2,keyasint"`
	EstimateMS          int64     `cbor:"3,keyasint,omitempty"` // rough duration of a task
	After               []int     `cbor:"4,keyasint,omitempty"` // indices of steps that must be complete first
	Checkpointing       bool      `cbor:"5,keyasint,omitempty"`
	Gang                bool      `cbor:"6,keyasint,omitempty"`  // all tasks run at the same time or none does
	SameRack            bool      `cbor:"7,keyasint,omitempty"`  // tasks are slower if spread over several racks
	Label               string    `cbor:"8,keyasint,omitempty"`  // label that the target must have
	Rack                string    `cbor:"9,keyasint,omitempty"`  // rack that holds the data of the tasks
	PerTarget           int       `cbor:"10,keyasint,omitempty"` // most tasks on one target at a time; 0 for no limit
	Speculative         bool      `cbor:"11,keyasint,omitempty"` // copies of a task may run at the same time
	LongRunning         bool      `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image               string    `cbor:"13,keyasint,omitempty"`
	TailLatencyTargetMS int64     `cbor:"14,keyasint,omitempty"` // bound on the tail latency of the service; 0 for none
	BestEffort          bool      `cbor:"15,keyasint,omitempty"` // uses only processors that other tasks leave idle
	MaxUnavailable      int       `cbor:"16,keyasint,omitempty"` // how many tasks may be down at once for moves and maintenance
	HasMaxUnavailable   bool      `cbor:"17,keyasint,omitempty"` // MaxUnavailable is a limit; false if none was stated
}

// Reserved returns the resources of a target that one task of the step reserves. A best-effort
// task reserves no processors.
func (s Step) Reserved() Resources {
	r := s.Needs
	if s.BestEffort {
		r.CPUMillis = 0
	}
	return r
}

// Job is the document of a job. It does not change after acceptance.
type Job struct {
	ID         string `cbor:"1,keyasint"`
	Queue      string `cbor:"2,keyasint"`
	Team       string `cbor:"3,keyasint,omitempty"` // empty on queues open to all
	Pool       string `cbor:"4,keyasint"`           // pool of the queue when the job was accepted
	Spec       string `cbor:"5,keyasint,omitempty"`
	Steps      []Step `cbor:"6,keyasint"`
	Repeat     int    `cbor:"7,keyasint,omitempty"`  // occurrences of a scheduled job; zero for others
	FirstRunMS int64  `cbor:"8,keyasint,omitempty"`  // Unix time in ms at which occurrence 0 is due
	IntervalMS int64  `cbor:"9,keyasint,omitempty"`  // time between occurrences
	AcceptedMS int64  `cbor:"10,keyasint"`           // Unix time in ms, by the clock of the daemon that accepted the job
	Transfers  int    `cbor:"11,keyasint,omitempty"` // how often the job went from one cell to another
	// Terms are those of its queue when it was accepted. They hold while the queue is not configured.
	Terms QueueTerms `cbor:"12,keyasint,omitzero"`
	Route Route      `cbor:"13,keyasint,omitzero"` // under which it was accepted
	// Probe is true if it was accepted although it was expected to end too late, to check the
	// prediction.
	Probe bool `cbor:"14,keyasint,omitempty"`
}

// Route is the host and the path prefix of the requests for a job. Its callers go on using them
// when the queue behind them is replaced.
type Route struct {
	Host   string `cbor:"1,keyasint,omitempty"`
	Prefix string `cbor:"2,keyasint,omitempty"`
}

// QueueTerms are the settings of a queue that a job needs until it ends.
type QueueTerms struct {
	Priority        int     `cbor:"1,keyasint,omitempty"`
	MaxAttempts     int     `cbor:"2,keyasint,omitempty"`
	StretchFactor   float64 `cbor:"3,keyasint,omitempty"`
	TargetLatencyMS int64   `cbor:"4,keyasint,omitempty"`
	AdviceRequired  bool    `cbor:"5,keyasint,omitempty"`

	AdviceBaseMS      int64 `cbor:"6,keyasint,omitempty"`
	AdvicePerTargetMS int64 `cbor:"7,keyasint,omitempty"`
	AdviceValidityMS  int64 `cbor:"8,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Repeat)
}

// Scheduled reports whether the job runs at given times.
func (j *Job) Scheduled() bool {
	return j.Repeat > 0
}

// DueMS returns the Unix time, in ms, at which the occurrence is due; 0 for jobs that are not
// scheduled.
func (j *Job) DueMS(occurrence int) int64 {
	if !j.Scheduled() {
		return 0
	}
	first := min(max(j.FirstRunMS, -farMS), farMS)
	if occurrence > 0 && j.IntervalMS > (farMS-first)/int64(occurrence) {
		return farMS
	}
	return first + int64(occurrence)*j.IntervalMS
}

// DueOccurrences returns the number of occurrences that are due at a Unix time in milliseconds. All
// of a job without a schedule are.
func (j *Job) DueOccurrences(wallMS int64) int {
	n := j.Occurrences()
	if !j.Scheduled() {
		return n
	}
	return sort.Search(n, func(occurrence int) bool { return j.DueMS(occurrence) > wallMS })
}

// farMS bounds the due times of occurrences, in milliseconds from 1970: callers may state any time
// and interval, whose sums may exceed the range of an integer.
const farMS = 1 << 60

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// WorkMS returns the estimated work of one occurrence, in core-milliseconds.
func (j *Job) WorkMS() int64 {
	var sum int64
	for _, s := range j.Steps {
		sum += int64(s.Count) * s.EstimateMS * s.Needs.CPUMillis / 1000
	}
	return sum
}

// CriticalPathsMS returns for each step the length of its longest chain of dependent steps, in
// ms: the sum of the estimates from the start of the step to the end of the job.
func (j *Job) CriticalPathsMS() []int64 {
	after := make([]int64, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		after[i] += j.Steps[i].EstimateMS
		for _, before := range j.Steps[i].After {
			after[before] = max(after[before], after[i])
		}
	}
	return after
}

// CriticalPathMS returns the length of the critical path of the job, in ms: the longest of
// CriticalPathsMS.
func (j *Job) CriticalPathMS() int64 {
	var longest int64
	for _, ms := range j.CriticalPathsMS() {
		longest = max(longest, ms)
	}
	return longest
}

// Validate returns an error that names the first field that is out of bounds.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return Error.New("spec: want at most %d bytes, got %d", MaxSpecBytes, len(j.Spec))
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return Error.New("steps: want 1 to %d, got %d", MaxSteps, len(j.Steps))
	case j.Repeat < 0 || j.Repeat > MaxOccurrences:
		return Error.New("repeat: want 0 to %d, got %d", MaxOccurrences, j.Repeat)
	case j.Repeat > 1 && j.IntervalMS < 0:
		return Error.New("interval_ms: want at least 0, got %d", j.IntervalMS)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return Error.Wrap(err)
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return Error.New("steps: want at most %d tasks in all, got %d", MaxTasks, tasks)
	}
	return nil
}

func (s Step) validate(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fmt.Errorf("steps/%d/count: want 1 to %d, got %d", index, MaxTasks, s.Count)
	case s.Needs.CPUMillis < 0 || s.Needs.MemoryMB < 0 || s.Needs.GPUs < 0:
		return fmt.Errorf("steps/%d: want resources of at least 0, got %+v", index, s.Needs)
	case s.EstimateMS < 0:
		return fmt.Errorf("steps/%d/estimate_ms: want at least 0, got %d", index, s.EstimateMS)
	case s.PerTarget < 0:
		return fmt.Errorf("steps/%d/per_target: want at least 0, got %d", index, s.PerTarget)
	}
	for _, after := range s.After {
		if after < 0 || after >= index {
			return fmt.Errorf("steps/%d/after: want earlier steps, got %d", index, after)
		}
	}
	return nil
}

// Max returns the greater of both amounts for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CPUMillis: max(r.CPUMillis, o.CPUMillis),
		MemoryMB:  max(r.MemoryMB, o.MemoryMB),
		GPUs:      max(r.GPUs, o.GPUs),
	}
}
