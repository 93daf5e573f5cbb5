// Package jobkeeper defines jobs, what is recorded of their progress, and the
// form in which both are stored.
//
// A job consists of steps, a step of tasks that ask for the same resources. The
// document of a job never changes after it was accepted. Its progress is
// rewritten by the owner of the job as tasks end.
package jobkeeper

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("jobkeeper")

// Bounds of a job document. They keep a document well below the largest value
// of the store and bound what one request can make the owner remember.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasks       = 4096
	MaxOccurrences = 100_000
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPUMillis int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB  int64 `cbor:"2,keyasint,omitempty"`
	GPUs      int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPUMillis: r.CPUMillis + o.CPUMillis,
		MemoryMB:  r.MemoryMB + o.MemoryMB,
		GPUs:      r.GPUs + o.GPUs,
	}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns the n-fold amount.
func (r Resources) Times(n int64) Resources {
	return Resources{
		CPUMillis: r.CPUMillis * n,
		MemoryMB:  r.MemoryMB * n,
		GPUs:      r.GPUs * n,
	}
}

// FitsIn reports whether room holds at least this amount of each resource.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPUMillis <= room.CPUMillis && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step is a number of equal tasks.
type Step struct {
	Count         int       `cbor:"1,keyasint"`
	Needs         Resources `cbor:"2,keyasint"`
	EstimateMS    int64     `cbor:"3,keyasint,omitempty"` // rough duration of a task
	After         []int     `cbor:"4,keyasint,omitempty"` // steps that must be done first
	Checkpointing bool      `cbor:"5,keyasint,omitempty"`
	Gang          bool      `cbor:"6,keyasint,omitempty"` // all tasks run at the same time or none
	SameRack      bool      `cbor:"7,keyasint,omitempty"` // tasks are slower when spread over racks
	Label         string    `cbor:"8,keyasint,omitempty"` // label that the target must have
	Rack          string    `cbor:"9,keyasint,omitempty"` // rack on which tasks are fast
	PerTarget     int       `cbor:"10,keyasint,omitempty"`
	Speculative   bool      `cbor:"11,keyasint,omitempty"` // copies of a task may run at the same time
	Lasting       bool      `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image         string    `cbor:"13,keyasint,omitempty"`
	TailTargetMS  int64     `cbor:"14,keyasint,omitempty"` // bound of the tail of response times
	Filling       bool      `cbor:"15,keyasint,omitempty"` // uses processors that other tasks leave unused
	MayMiss       int       `cbor:"16,keyasint,omitempty"` // tasks that may be down at once because of us
	Protected     bool      `cbor:"17,keyasint,omitempty"` // MayMiss was stated, so it is a budget even if zero
}

// Reserved returns the part of a target that one task of the step takes.
func (s Step) Reserved() Resources {
	r := s.Needs
	if s.Filling {
		r.CPUMillis = 0
	}
	return r
}

// Job is the immutable document of a job.
type Job struct {
	ID         string `cbor:"1,keyasint"`
	Queue      string `cbor:"2,keyasint"`
	Team       string `cbor:"3,keyasint,omitempty"` // empty on queues open to all
	Pool       string `cbor:"4,keyasint"`           // pool of the queue when the job was accepted
	Spec       string `cbor:"5,keyasint,omitempty"`
	Steps      []Step `cbor:"6,keyasint"`
	Repeat     int    `cbor:"7,keyasint,omitempty"` // occurrences of a scheduled job; zero for others
	FirstRunMS int64  `cbor:"8,keyasint,omitempty"` // Unix time of occurrence 0
	IntervalMS int64  `cbor:"9,keyasint,omitempty"`
	AcceptedMS int64  `cbor:"10,keyasint"` // Unix time by the clock of the accepting daemon
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Repeat)
}

// Scheduled reports whether the job runs at stated times.
func (j *Job) Scheduled() bool {
	return j.Repeat > 0
}

// DueMS returns the Unix time before which no task of the occurrence may start.
func (j *Job) DueMS(occurrence int) int64 {
	if !j.Scheduled() {
		return 0
	}
	return j.FirstRunMS + int64(occurrence)*j.IntervalMS
}

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// WorkMS returns the core-milliseconds that the estimates add up to.
func (j *Job) WorkMS() int64 {
	var sum int64
	for _, s := range j.Steps {
		sum += int64(s.Count) * s.EstimateMS * s.Needs.CPUMillis / 1000
	}
	return sum
}

// Chains returns for each step the longest chain of estimates, in ms, from its start
// to the end of the job.
func (j *Job) Chains() []int64 {
	after := make([]int64, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		after[i] += j.Steps[i].EstimateMS
		for _, before := range j.Steps[i].After {
			after[before] = max(after[before], after[i])
		}
	}
	return after
}

// Chain returns the longest chain of estimates of the job, in ms.
func (j *Job) Chain() int64 {
	var longest int64
	for _, ms := range j.Chains() {
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
