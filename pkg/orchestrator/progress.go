package orchestrator

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Change is an update of a job's records that is to be written to the store.
type Change struct {
	Job      string
	Version  storer.Version // of the progress record that it replaces; zero if there is none
	Progress *jobkeeper.Progress
	// RemoveDocument is set when the job has ended and nothing of it can be running, so that
	// its document is deleted and only its progress record is kept.
	RemoveDocument bool
	Cancelled      bool
	// Delete is set when the retention of an ended job has passed, so that its progress
	// record is deleted too.
	Delete  bool
	crashes int // crashes against the job's tasks that it covers
}

// Batch is a set of changes that have to be in the store before the ends of runs that they
// cover are acknowledged to the targets.
type Batch struct {
	Changes      []Change
	Roster       []string          // new list of used targets; nil if it has not changed
	seen         map[string]uint64 // highest number of an end that the batch covers, by target
	incarnations map[string]int64  // by target
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool {
	return len(b.Changes) == 0 && b.Roster == nil
}

// TakeChanges returns the changes that have to be written now. Before the next call, each
// change must be reported with Recorded, Conflicted or Retry.
func (e *Engine) TakeChanges(now time.Duration) Batch {
	b := Batch{
		seen:         map[string]uint64{},
		incarnations: map[string]int64{},
	}
	held := map[string]bool{}
	for id := range e.dirty {
		switch j := e.jobs[id]; {
		case j == nil:
		case j.transferring:
			held[id] = true
		default:
			b.Changes = append(b.Changes, j.change())
		}
	}
	if now-e.sweptAt > sweepInterval {
		e.sweptAt = now
		b.Changes = append(b.Changes, e.expired(now)...)
		maps.DeleteFunc(e.given, func(_ string, g givenJob) bool { return now-g.at > e.cfg.Retention })
	}
	sort.Slice(b.Changes, func(i, k int) bool { return b.Changes[i].Job < b.Changes[k].Job })
	e.dirty = held
	for id, t := range e.targets {
		if n := t.recordable(); n > t.recorded {
			b.seen[id] = n
			b.incarnations[id] = t.incarnation
		}
	}
	b.Roster = e.roster.change(e.targets)
	return b
}

// sweepInterval is the time between two searches for jobs whose retention has passed.
const sweepInterval = time.Second

// expired returns the changes that delete jobs whose retention has passed.
func (e *Engine) expired(now time.Duration) []Change {
	var changes []Change
	for _, j := range e.jobs {
		if j.docRemoved && now-j.endedAt > e.cfg.Retention {
			changes = append(changes, Change{
				Job:     j.doc.ID,
				Version: j.version,
				Delete:  true,
			})
		}
	}
	return changes
}

func (j *job) change() Change {
	return Change{
		Job:            j.doc.ID,
		Version:        j.version,
		Progress:       j.progress(),
		RemoveDocument: j.state.Ended() && !j.docRemoved && !j.mayRun(),
		Cancelled:      j.cancelled,
		crashes:        j.crashes,
	}
}

// progress returns the progress record of a job. That of an ended job of which nothing runs has
// no task records.
func (j *job) progress() *jobkeeper.Progress {
	p := &jobkeeper.Progress{
		State:               j.state,
		Queue:               j.doc.Queue,
		Team:                j.doc.Team,
		Route:               j.doc.Route,
		EndedMS:             j.endedMS,
		Reason:              j.reason,
		FinishedOccurrences: j.finished,
	}
	if j.state.Ended() && !j.mayRun() {
		return p
	}
	for _, o := range j.open {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || len(t.failedRuns) > 0 || t.crashed.count() > 0 {
					p.Tasks = append(p.Tasks, jobkeeper.TaskRecord{
						Occurrence:        o.number,
						Step:              s.index,
						Index:             t.index,
						Done:              t.done,
						FailedRuns:        t.failedRuns,
						CrashedRuns:       t.crashed.runs,
						UnprovenCrashes:   t.crashed.unproven,
						HeldCrashes:       t.crashed.held.proven,
						HeldUnproven:      t.crashed.held.unproven,
						CrashedVMs:        t.crashed.vms(),
						SinceOtherCrashMS: t.crashed.otherAge.Milliseconds(),
						OnlyCause:         t.crashed.onlyCause && !t.crashed.unsettled(),
						Promptness:        t.crashed.promptness,
					})
				}
			}
		}
	}
	return p
}

// Recorded reports that a change is in the store. version is the new version of the
// progress record.
func (e *Engine) Recorded(c Change, version storer.Version) {
	j := e.jobs[c.Job]
	if j == nil {
		return
	}
	if c.Delete {
		delete(e.jobs, c.Job)
		return
	}
	j.version = version
	j.storedCrashes = max(j.storedCrashes, c.crashes)
	if c.RemoveDocument {
		j.docRemoved = true
		j.open = nil
	}
}

// Conflicted reports that a change was not written because the progress record has the
// given version instead of the expected one. The change is made again.
func (e *Engine) Conflicted(c Change, version storer.Version) {
	j := e.jobs[c.Job]
	if j == nil {
		return
	}
	e.cfg.Logger.Info("progress record not written: version conflict", "job", c.Job, "expected", uint64(c.Version), "found", uint64(version))
	j.version = version
	e.dirty[c.Job] = true
}

// Retry reports that a change could not be written, so that it is made again.
func (e *Engine) Retry(c Change) {
	if !c.Delete {
		e.dirty[c.Job] = true
	}
}

// BatchStored reports that all changes of a batch are in the store. The ends that they cover
// may then be acknowledged to the targets.
func (e *Engine) BatchStored(b *Batch) {
	for id, n := range b.seen {
		if t := e.targets[id]; t != nil && t.incarnation == b.incarnations[id] {
			t.recorded = max(t.recorded, n)
		}
	}
	if b.Roster != nil {
		e.roster.markStored(b.Roster)
	}
}

// roster is the stored list of targets that may be running tasks. A new owner needs it,
// because a target can be missing from the registry while it still runs tasks that the
// earlier owner started.
type roster struct {
	stored  map[string]bool
	removed map[string]bool // stored targets that are no longer known, to be deleted from the store
}

func newRoster(ids []string) roster {
	r := roster{
		stored:  map[string]bool{},
		removed: map[string]bool{},
	}
	for _, id := range ids {
		r.stored[id] = true
	}
	return r
}

// recorded reports whether the stored list has the target and is not about to lose it.
func (r *roster) recorded(id string) bool { return r.stored[id] && !r.removed[id] }

func (r *roster) remove(id string) {
	if r.stored[id] {
		r.removed[id] = true
	}
}

// change returns the list to be written, or nil if the stored one covers all targets.
func (r *roster) change(targets map[string]*target) []string {
	changed := len(r.removed) > 0
	for id, t := range targets {
		changed = changed || t.registered && !r.stored[id]
	}
	if !changed {
		return nil
	}
	ids := []string{}
	for id := range r.stored {
		if !r.removed[id] {
			ids = append(ids, id)
		}
	}
	for id, t := range targets {
		if t.registered && !r.stored[id] {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (r *roster) markStored(ids []string) {
	r.stored = map[string]bool{}
	for _, id := range ids {
		r.stored[id] = true
		delete(r.removed, id)
	}
	r.removed = map[string]bool{}
}

// completeTakeover ends the takeover once every target of the roster has been listed or its
// lease has certainly expired. Until then, tasks that could be running on a target that was
// not listed do not start.
func (e *Engine) completeTakeover(now time.Duration) {
	if !e.takingOver {
		return
	}
	lapsed := now > e.cfg.AcquiredAt+e.cfg.OutageExtension+time.Duration(float64(e.cfg.MaxLeaseDuration)*(1+clockDrift))+takeoverMargin
	missing := e.unlisted()
	if (len(missing) > 0 || e.cfg.RosterUnknown) && !lapsed {
		return
	}
	e.takingOver = false
	e.pruneRoster()
	e.cfg.Logger.Info("takeover complete", "after_ms", (now - e.cfg.AcquiredAt).Milliseconds(), "targets", len(e.targets), "not_listed", len(missing), "jobs", len(e.jobs))
	for _, j := range slices.Concat(e.active, e.stopping) {
		j.clearUncertain()
	}
	for _, j := range e.stopping {
		e.dirty[j.doc.ID] = true
	}
	e.stopping = nil
}

// takeoverMargin allows for the time between an order and its arrival at a target.
const takeoverMargin = 500 * time.Millisecond

// unlisted returns the targets of the roster that this owner has not listed and that may
// still exist. Once this owner has read the list of VMs, only the targets in it do.
func (e *Engine) unlisted() []string {
	var ids []string
	live := e.fleet.liveTargets()
	for id := range e.roster.stored {
		if e.fleet.listedAt > e.cfg.AcquiredAt && !live[id] {
			continue
		}
		if t := e.targets[id]; t == nil || !t.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// pruneRoster removes the targets from the roster that are unknown to this owner.
func (e *Engine) pruneRoster() {
	for id := range e.roster.stored {
		if e.targets[id] == nil {
			e.roster.remove(id)
		}
	}
}
