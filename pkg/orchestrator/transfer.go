package orchestrator

import (
	"reflect"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// transferAfter is how long a job waits here before it may go to another cell. A VM that
	// is moved for it arrives within 1.7 s.
	transferAfter = 2 * time.Second
	// strandedAfter is how long a job waits until it counts as stranded. The processors of its
	// pool may be idle, so that its backlog looks short, while memory or labels are lacking.
	strandedAfter = 5 * time.Second
	// transferInterval is the shortest time between the first two transfers of a job. It
	// doubles with each transfer up to maxTransferDoublings, so that jobs which fit nowhere
	// cause few writes.
	transferInterval     = 3 * time.Second
	maxTransferDoublings = 4
)

// Transfer is a job of which nothing runs here, so that another cell may run it.
type Transfer struct {
	Job      *jobkeeper.Job
	Pool     string
	Created  storer.Version // of its document
	Version  storer.Version // of its progress record
	Progress *jobkeeper.Progress
	// Stranded is true if the job will hardly start here: its pool has no usable targets, its
	// team has no share, or it has waited for strandedAfter.
	Stranded bool
}

// TransferCandidates returns at most n jobs that have waited for long and of which nothing
// runs or may be running, stranded ones first. They go on here unless BeginTransfer is called.
func (e *Engine) TransferCandidates(n int, now time.Duration) []Transfer {
	if e.takingOver {
		return nil
	}
	var stranded, waiting []Transfer
	patience := transferAfter
	if e.wholeCellEvacuated() {
		patience = 0
	}
	for _, j := range e.active {
		waited := now - j.readySince(now)
		if len(stranded) >= n || waited < patience || !j.mayTransfer(now) {
			continue
		}
		p := e.pool(e.poolOf(j))
		t := Transfer{
			Job:      j.doc,
			Pool:     p.name,
			Created:  j.created,
			Version:  j.version,
			Progress: j.progress(),
			Stranded: p.demand.usable == 0 || e.conf.Teams[j.doc.Team].Excluded || waited > strandedAfter,
		}
		if t.Stranded {
			stranded = append(stranded, t)
			continue
		}
		if len(waiting) < n {
			waiting = append(waiting, t)
		}
	}
	all := slices.Concat(stranded, waiting)
	return all[:min(n, len(all))]
}

// mayTransfer reports whether nothing of the job runs here or may be running, and it has been
// here for long enough since its last transfer.
func (j *job) mayTransfer(now time.Duration) bool {
	if j.transferring || j.cancelled || !j.idle() {
		return false
	}
	if j.doc.Transfers == 0 {
		return true
	}
	return now-j.loadedAt >= transferInterval<<min(maxTransferDoublings, j.doc.Transfers-1)
}

// idle reports whether the job has a task that could start, and none that runs or may be
// running.
func (j *job) idle() bool {
	if j.uncertain() {
		return false
	}
	startable := false
	for _, o := range j.open {
		for _, s := range o.steps {
			ready := s.ready()
			for _, t := range s.tasks {
				if len(t.attempts) > 0 {
					return false
				}
			}
			startable = startable || ready && !s.allDone()
		}
	}
	return startable
}

// readySince returns since when the job has had tasks that could start.
func (j *job) readySince(now time.Duration) time.Duration {
	since := now
	for _, o := range j.open {
		for _, s := range o.steps {
			if !s.allDone() && s.ready() {
				since = min(since, s.readyAt(now))
			}
		}
	}
	return since
}

// BeginTransfer keeps the job as it is until EndTransfer is called. It returns false if the
// job has changed since it was a candidate.
func (e *Engine) BeginTransfer(t Transfer) bool {
	j := e.jobs[t.Job.ID]
	if j == nil || j.transferring || j.state.Ended() || !j.idle() || j.version != t.Version {
		return false
	}
	progress := j.progress()
	progress.Cell = t.Progress.Cell // the cell that it goes to may be set
	if !reflect.DeepEqual(progress, t.Progress) {
		return false
	}
	j.transferring = true
	return true
}

// EndTransfer ends a transfer. If the job was given away, the engine forgets it.
func (e *Engine) EndTransfer(id string, given bool, now time.Duration) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	j.transferring = false
	if given {
		e.Forget(id, now)
		return
	}
	for _, t := range e.targets {
		delete(t.unrecordable, id)
	}
}

// givenJob is a job that another cell runs. A scan of the documents that was read before the
// job was given away still holds its document.
type givenJob struct {
	created storer.Version // of the document that this cell had
	at      time.Duration
}

// gaveAway reports whether a document is one that this cell had and gave to another cell.
func (e *Engine) gaveAway(id string, created storer.Version) bool {
	g, ok := e.given[id]
	return ok && created <= g.created
}

// Forget drops a job that another cell runs, and stops what runs of it here.
func (e *Engine) Forget(id string, now time.Duration) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	e.given[id] = givenJob{
		created: j.created,
		at:      now,
	}
	for a := range j.attempts() {
		e.stop(a, now, "job runs in another cell")
	}
	e.active = slices.DeleteFunc(e.active, func(other *job) bool { return other == j })
	delete(e.jobs, id)
	delete(e.dirty, id)
	e.cfg.Logger.Info("job given to another cell", "job", id, "queue", j.doc.Queue)
}
