package orchestrator

import "github.com/comfreyford/comfreyford/pkg/jobkeeper"

// What an owner holds for accepted work, in bytes beside the texts of the documents.
const (
	heldPerJob        = 2 << 10
	heldPerOccurrence = 256
	heldPerStep       = 512 // in a document, and again in each open occurrence
	heldPerTask       = 512 // that has a state
)

// HeldBytes returns about how much memory the engine needs for the jobs of each team that have not
// ended.
func (e *Engine) HeldBytes() map[string]int64 {
	held := map[string]int64{}
	for _, j := range e.active {
		held[j.doc.Team] += j.heldBytes()
	}
	return held
}

// heldBytes counts one occurrence at least, which is opened when it is due.
func (j *job) heldBytes() int64 {
	sum := documentBytes(j.doc) + int64(max(1, len(j.open)))*occurrenceBytes(j.doc)
	for _, o := range j.open {
		for _, s := range o.steps {
			sum += int64(len(s.tasks)) * heldPerTask
		}
	}
	return sum
}

// HeldForWaitingJob returns about how much memory an owner needs for a job that has not begun.
func HeldForWaitingJob(doc *jobkeeper.Job) int64 {
	return documentBytes(doc) + occurrenceBytes(doc)
}

func occurrenceBytes(doc *jobkeeper.Job) int64 {
	return heldPerOccurrence + int64(len(doc.Steps))*heldPerStep
}

func documentBytes(doc *jobkeeper.Job) int64 {
	sum := heldPerJob + len(doc.Spec)
	for _, s := range doc.Steps {
		sum += heldPerStep + len(s.Label) + len(s.Rack) + len(s.Image)
	}
	return int64(sum)
}
