package jobkeeper

import (
	"fmt"
	"strconv"
	"strings"
)

// State is the state of a job as callers see it.
type State string

// The states of a job. StateRefused marks the ID of a job that was refused; a later request
// with the same ID may still be accepted. StateWithdrawn marks the ID of a job that was cancelled
// before it was accepted; no later request with the same ID is accepted while the mark exists.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateComplete  State = "complete"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateRefused   State = "refused"
	StateWithdrawn State = "withdrawn"
)

// Accepted reports whether the job was accepted.
func (s State) Accepted() bool {
	return s != StateRefused && s != StateWithdrawn
}

// Ended reports whether the job has ended, so that no more of its tasks start.
func (s State) Ended() bool {
	return s == StateComplete || s == StateFailed || s == StateCancelled
}

// TaskKey identifies a task within its job. A gang counts as one task, with index 0.
type TaskKey struct {
	Occurrence int
	Step       int
	Index      int
}

// TaskID identifies a task across all jobs.
type TaskID struct {
	Job string
	TaskKey
}

// String returns the form job.occurrence.step.index.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, Error.New("task id: want job.occurrence.step.index, got %q", s)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, Error.New("task id: want non-negative integers after the job, got %q", s)
		}
		numbers[i] = n
	}
	return TaskID{
		Job: parts[0],
		TaskKey: TaskKey{
			Occurrence: numbers[0],
			Step:       numbers[1],
			Index:      numbers[2],
		},
	}, nil
}

// TaskRecord is the recorded progress of a task.
type TaskRecord struct {
	Occurrence int  `cbor:"1,keyasint,omitempty"`
	Step       int  `cbor:"2,keyasint,omitempty"`
	Index      int  `cbor:"3,keyasint,omitempty"`
	Done       bool `cbor:"4,keyasint,omitempty"`
	// FailedRuns are the numbers of the runs that failed. Run numbers are kept instead of a
	// count, because a target repeats an end in its list until it is acknowledged, also to a
	// later owner.
	FailedRuns []uint64 `cbor:"5,keyasint,omitempty"`
	// CrashedRuns are the numbers of runs that may have crashed their targets.
	CrashedRuns []uint64 `cbor:"6,keyasint,omitempty"`
	// UnprovenCrashes counts further crashes, of targets on which the task may not have run or
	// that may only have been unreachable.
	UnprovenCrashes int `cbor:"7,keyasint,omitempty"`
	// HeldCrashes and HeldUnproven are how many of them are held against the task: the pool was
	// calm otherwise.
	HeldCrashes  int `cbor:"8,keyasint,omitempty"`
	HeldUnproven int `cbor:"11,keyasint,omitempty"`
	// CrashedVMs are the VMs of the crashed targets.
	CrashedVMs []string `cbor:"13,keyasint,omitempty"`
	// SinceOtherCrashMS is the time in ms from the last crash of another cause in the pool to the
	// last one of these; zero if the pool was calm.
	SinceOtherCrashMS int64 `cbor:"12,keyasint,omitempty"`
	// OnlyCause is true if the task was the only possible cause of the last crash. Promptness
	// counts such crashes that also followed a start promptly, immediate ones twice.
	OnlyCause  bool `cbor:"9,keyasint,omitempty"`
	Promptness int  `cbor:"10,keyasint,omitempty"`
}

// Progress is the recorded progress of a job, written first when the job is accepted. Tasks
// without a record have neither completed nor failed.
type Progress struct {
	State               State        `cbor:"1,keyasint"`
	Queue               string       `cbor:"2,keyasint,omitempty"`
	Team                string       `cbor:"3,keyasint,omitempty"`
	EndedMS             int64        `cbor:"4,keyasint,omitempty"` // Unix time in ms at which the job ended
	Reason              string       `cbor:"5,keyasint,omitempty"` // why the job ended
	FinishedOccurrences int          `cbor:"6,keyasint,omitempty"` // occurrences with lower numbers are complete
	Tasks               []TaskRecord `cbor:"7,keyasint,omitempty"`
	Cell                string       `cbor:"8,keyasint,omitempty"` // cell whose owner runs the job
	Route               Route        `cbor:"9,keyasint,omitzero"`  // of Job
}

// Prefixes of store keys. The owner of a cell watches its documents and cancellations under
// one prefix; progress has another one, so that the writes of the owner do not wake it.
const (
	intakePrefix   = "intake/"
	documentPart   = "job/"
	cancelPart     = "cancel/"
	ProgressPrefix = "progress/"
)

// IntakePrefix returns the prefix of the documents and cancellations of a cell.
func IntakePrefix(cell string) string { return intakePrefix + cell + "/" }

// DocumentPrefix returns the prefix of the documents of a cell.
func DocumentPrefix(cell string) string { return IntakePrefix(cell) + documentPart }

// CancelPrefix returns the prefix of the cancellations of a cell.
func CancelPrefix(cell string) string { return IntakePrefix(cell) + cancelPart }

// DocumentKey returns the key of the document of a job that a cell runs.
func DocumentKey(cell, id string) string { return DocumentPrefix(cell) + id }

// CancelKey returns the key whose presence requests the cancellation of a job.
func CancelKey(cell, id string) string { return CancelPrefix(cell) + id }

// ProgressKey returns the key of the progress of a job.
func ProgressKey(id string) string { return ProgressPrefix + id }

// ValidateID checks a job ID, which becomes a part of store keys and task IDs.
func ValidateID(id string) error {
	if len(id) == 0 || len(id) > 64 {
		return Error.New("identity: want 1 to 64 characters, got %d", len(id))
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return Error.New("identity: want letters, digits, - and _, got %q", fmt.Sprint(id))
		}
	}
	return nil
}
