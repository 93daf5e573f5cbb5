package emulator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// maxRuns is the largest number of entries in the log of runs, of about 200 bytes each.
const maxRuns = 200_000

// Run is one entry in the log of runs: a period in which a task held its slots without
// interruption. A resumed task has a further entry with the next segment number. So the entries
// with segment zero count the runs, and all entries together show the concurrency.
type Run struct {
	Identity string       `json:"identity"`
	Task     string       `json:"task"`
	Team     string       `json:"team"`
	Pool     string       `json:"pool"`
	Session  string       `json:"session"`
	Segment  int          `json:"segment"`
	Slots    int          `json:"slots"`
	StartNS  int64        `json:"start_ns"`
	EndNS    int64        `json:"end_ns"` // zero while running
	State    runner.State `json:"state"`  // running, checkpointed, done or stopped
}

// Runs is the answer to GET /v1/runs.
type Runs struct {
	Boot    string `json:"boot"`
	Dropped int    `json:"dropped"` // entries that were dropped because the log was full
	Runs    []Run  `json:"runs"`
}

type runLog struct {
	entries []*Run
	dropped int
}

func (l *runLog) add(t *task) *Run {
	if len(l.entries) >= maxRuns {
		l.entries = append([]*Run(nil), l.entries[maxRuns/10:]...)
		l.dropped += maxRuns / 10
	}
	run := &Run{
		Identity: t.spec.Identity,
		Task:     t.spec.ID,
		Team:     t.spec.Team,
		Pool:     t.spec.Pool,
		Session:  t.spec.Session,
		Segment:  t.segment,
		Slots:    t.spec.Resources.Slots,
		StartNS:  time.Now().UnixNano(),
		State:    runner.StateRunning,
	}
	l.entries = append(l.entries, run)
	return run
}

// Runs returns a copy of the log of runs.
func (w *Worker) Runs() Runs {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := Runs{
		Boot:    w.boot,
		Dropped: w.runs.dropped,
		Runs:    make([]Run, len(w.runs.entries)),
	}
	for i, run := range w.runs.entries {
		runs.Runs[i] = *run
	}
	return runs
}
