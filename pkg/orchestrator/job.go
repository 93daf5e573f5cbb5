package orchestrator

import (
	"iter"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/attributor"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// job is an accepted job. It is kept until the retention after its end has passed.
type job struct {
	doc          *jobkeeper.Job
	created      storer.Version // revision of its document
	arrival      time.Duration  // when it was accepted, on the engine's clock
	overRate     bool           // beyond the job rate that is expected of its team
	excess       float64        // sequencer.Work.Excess, by the last plan
	entitled     bool           // sequencer.Work.Entitled, by the last plan
	planned      bool           // expected to end on time
	reachable    bool           // expected to if VMs that are coming were there
	cancelled    bool
	state        jobkeeper.State
	reason       string
	started      bool
	waited       time.Duration // sum over the steps of the time from ready to first start
	endedAt      time.Duration
	endedMS      int64
	finished     int           // all occurrences below this number are done
	open         []*occurrence // those with a state, by number
	opened       int           // all occurrences below this number were opened
	due          int           // occurrences that are due
	waitingSteps int           // steps of open occurrences that have not begun
	// unopenedUncertain is true if occurrences without a state may be running on targets that were
	// not listed yet.
	unopenedUncertain bool
	lastChain         time.Duration // critical path of the occurrence that was done last
	lastFirstChain    time.Duration // that was expected of it first
	version           storer.Version
	docRemoved        bool
	loadedAt          time.Duration
	transferring      bool // a transaction that gives it to another cell is under way
	crashes           int  // crashes that this owner counted against its tasks
	storedCrashes     int  // how many of them are in the store
}

// stepState is a step of an occurrence.
type stepState struct {
	job        *job
	occurrence *occurrence
	index      int
	step       *jobkeeper.Step
	tasks      []*task // the first ones; the others have not begun and have no state
	done       int
	// freshUncertain is true if tasks without a state may be running on targets that were not
	// listed yet.
	freshUncertain bool
	forecast       forecast
	longestDoneMS  float64 // duration of its longest run that was done
	incomplete     bool    // longestDoneMS leaves runs out whose start is not known
	speed          stepSpeed
	kind           attributor.Kind
	advice         advice
	started        bool
	// waitLoggedAt is when a long wait of the step was last logged.
	waitLoggedAt time.Duration
}

// task is a task of a step.
type task struct {
	step       *stepState
	index      int
	done       bool
	failedRuns []uint64
	checkpoint string
	attempts   []*attempt
	notBefore  time.Duration // earliest next start
	uncertain  bool          // may be running on a target that was not listed yet
	crashed    crashRecord
	lastEnd    time.Duration
	avoid      string // target on which the last run failed or made no progress
}

// attempt is a run that this owner ordered or found in a target's list.
type attempt struct {
	task        *task
	run         uint64
	target      *target
	phase       phase
	orderedAt   time.Duration
	confirmedAt time.Duration // when the target first reported it as running
	listed      bool          // a list of the target showed it as running
	adopted     bool          // an earlier owner started it, at an unknown time
	stopSentAt  time.Duration
	stoppedAt   time.Duration // when the target answered the stop
	// stopUnlessListed is true if the run was ordered to stop only because its start was not
	// answered.
	stopUnlessListed bool
	percent          int
	progressAt       time.Duration // when percent last changed
	rateAt           time.Duration // since when its progress is followed, and from which percentage
	ratePercent      int
	endExpectedAt    time.Duration // by its progress; zero if unknown
	trial            time.Duration // how long from its confirmation no other task may start on the target
	resumed          bool          // it started from a checkpoint
	observedAt       time.Duration // when the attributor last got an observation of it
	observedPercent  int           // its percent then
	baseline         attributor.Baseline
	pace             int
	paceBefore       int // pace before paceSentAt
	paceSentAt       time.Duration
	measurement      float64
}

// runKey identifies a run. The run number alone does not: members of a gang share it.
type runKey struct {
	run  uint64
	task jobkeeper.TaskID
}

func (a *attempt) key() runKey {
	return runKey{
		run:  a.run,
		task: a.task.id(),
	}
}

// phase is the state of a run as this owner knows it.
type phase int

const (
	phaseOrdered     phase = iota // the start was sent
	phaseRunning                  // the target confirmed that it runs
	phaseUnconfirmed              // the start was not answered, so the run may exist
	phaseStopping                 // a stop was ordered
)

func (t *task) id() jobkeeper.TaskID {
	return jobkeeper.TaskID{
		Job: t.step.job.doc.ID,
		TaskKey: jobkeeper.TaskKey{
			Occurrence: t.step.occurrence.number,
			Step:       t.step.index,
			Index:      t.index,
		},
	}
}

// addFailedRun records that a run failed. It returns false if that was already recorded.
func (t *task) addFailedRun(run uint64) bool {
	if slices.Contains(t.failedRuns, run) {
		return false
	}
	t.failedRuns = append(t.failedRuns, run)
	return true
}

// waiting reports whether the task is not done and has no run.
func (t *task) waiting() bool {
	return !t.done && len(t.attempts) == 0
}

// atFullCapacity reports whether a long-running task has a run that reports 100% on a
// target which answers and is not draining. A run whose stop was sent lately and then withdrawn
// does not count, because the stop may still end it.
func (t *task) atFullCapacity(now time.Duration) bool {
	for _, a := range t.attempts {
		stopPending := a.stopSentAt > 0 && now-a.stopSentAt < withdrawnStopTimeout
		if a.phase == phaseRunning && a.percent >= 100 && a.target.contactable(now) && !a.target.Draining && !stopPending {
			return true
		}
	}
	return false
}

// withdrawnStopTimeout is how long a run does not count as available after a stop that was not
// answered.
const withdrawnStopTimeout = 4 * time.Second

// ready reports whether all steps before this one are done.
func (s *stepState) ready() bool {
	for _, after := range s.step.After {
		if !s.occurrence.steps[after].allDone() {
			return false
		}
	}
	return true
}

// AddJob adds an accepted job; one that is already known is left as it is, and a document
// that this cell has given away is ignored. created is
// the revision of its document, version that of its progress record. progress is nil if
// none was recorded. nowMS is the Unix time in milliseconds.
func (e *Engine) AddJob(doc *jobkeeper.Job, created storer.Version, progress *jobkeeper.Progress, version storer.Version, now time.Duration, nowMS int64) {
	if e.jobs[doc.ID] != nil || e.gaveAway(doc.ID, created) {
		return
	}
	j := &job{
		doc:      doc,
		created:  created,
		arrival:  now,
		loadedAt: now,
		state:    jobkeeper.StateQueued,
		version:  version,
	}
	if age := time.Duration(nowMS-doc.AcceptedMS) * time.Millisecond; age > 0 && age < maxJobAge {
		j.arrival -= age
	}
	e.jobs[doc.ID] = j
	if progress != nil && progress.State.Accepted() {
		j.state = progress.State
		j.finished = progress.FinishedOccurrences
		j.opened = progress.FinishedOccurrences
		j.endedMS = progress.EndedMS
	}
	if j.state.Ended() {
		e.addStopping(j, progress, now, nowMS)
		return
	}
	e.active = append(e.active, j)
	j.overRate = e.exceedsRate(doc, now)
	j.planned, j.reachable = true, true
	e.openFirst(j, now, nowMS)
	e.recordArrival(j, created > e.cfg.Fence, now)
	if progress != nil {
		e.applyTaskRecords(j, progress.Tasks, now, nowMS)
	}
	if created <= e.cfg.Fence && e.takingOver {
		j.markUncertain()
	}
	e.cfg.Logger.Info("job loaded", "job", doc.ID, "queue", doc.Queue, "team", doc.Team, "state", j.state,
		"age_ms", (now - j.arrival).Milliseconds(), "work_ms", doc.WorkMS(), "chain_ms", doc.CriticalPathMS(),
		"expected_chain_ms", j.chain().Milliseconds(), "over_rate", j.overRate)
}

// addStopping adds a job that has ended but may have runs that an earlier owner could not stop.
// They count against the limit of its team until the takeover is complete.
func (e *Engine) addStopping(j *job, progress *jobkeeper.Progress, now time.Duration, nowMS int64) {
	j.endedAt = now
	j.cancelled = j.state == jobkeeper.StateCancelled
	e.dirty[j.doc.ID] = true
	e.openFirst(j, now, nowMS)
	e.applyTaskRecords(j, progress.Tasks, now, nowMS)
	if j.created <= e.cfg.Fence && e.takingOver {
		j.markUncertain()
		e.stopping = append(e.stopping, j)
	}
	e.cfg.Logger.Info("ended job loaded", "job", j.doc.ID, "team", j.doc.Team, "state", j.state, "may_run", j.mayRun())
}

// mayRun reports whether something of the job runs or may be running.
func (j *job) mayRun() bool {
	if j.uncertain() {
		return true
	}
	for t := range j.tasks() {
		if len(t.attempts) > 0 {
			return true
		}
	}
	return false
}

// maxJobAge bounds the age of a job that is computed from the clock of another daemon,
// which may jump. Larger ages are ignored.
const maxJobAge = time.Minute

// AddEnded adds an ended job whose document was removed, so that only its progress record
// remains.
func (e *Engine) AddEnded(id string, progress *jobkeeper.Progress, version storer.Version, now time.Duration) {
	if e.jobs[id] != nil {
		return
	}
	e.jobs[id] = &job{
		doc: &jobkeeper.Job{
			ID:    id,
			Queue: progress.Queue,
			Team:  progress.Team,
			Route: progress.Route,
		},
		state:      progress.State,
		endedMS:    progress.EndedMS,
		endedAt:    now,
		version:    version,
		docRemoved: true,
	}
}

// Cancel ends a job at the request of its caller. nowMS is the Unix time in milliseconds.
// Unknown and ended jobs are ignored.
func (e *Engine) Cancel(id string, now time.Duration, nowMS int64) {
	j := e.jobs[id]
	if j == nil || j.state.Ended() {
		return
	}
	j.cancelled = true
	e.cfg.Logger.Info("job cancelled", "job", id, "state", j.state)
	e.endJob(j, jobkeeper.StateCancelled, "cancelled by its caller", now, nowMS)
}

// Known reports whether the engine holds the job.
func (e *Engine) Known(id string) bool { return e.jobs[id] != nil }

// endJob sets the final state of a job and stops its runs.
func (e *Engine) endJob(j *job, state jobkeeper.State, reason string, now time.Duration, nowMS int64) {
	objective, first, chain := e.objective(j), j.firstChain(), j.chain()
	j.state = state
	j.reason = reason
	e.active = slices.DeleteFunc(e.active, func(other *job) bool { return other == j })
	j.endedAt = now
	j.endedMS = nowMS
	e.dirty[j.doc.ID] = true
	e.cfg.Observer.JobEnded(j.doc.Queue, j.doc.Team, string(state), now-j.arrival)
	if state == jobkeeper.StateComplete && !j.doc.Scheduled() {
		admission := AdmissionUseful
		if j.doc.Probe {
			admission = AdmissionProbe
		}
		e.cfg.Observer.JobPredicted(j.doc.Queue, string(admission), string(timeliness(now-j.arrival, objective)))
	}
	e.cfg.Logger.Info("job ended", "job", j.doc.ID, "queue", j.doc.Queue, "state", state, "reason", reason,
		"took_ms", (now - j.arrival).Milliseconds(), "objective_ms", objective.Milliseconds(), "waited_ms", j.waited.Milliseconds(),
		"estimated_chain_ms", j.doc.CriticalPathMS(), "expected_chain_ms", first.Milliseconds(), "chain_ms", chain.Milliseconds(), "probe", j.doc.Probe)
	j.clearUncertain()
	for a := range j.attempts() {
		e.stop(a, now, string(state))
	}
}

// tasks returns the tasks of all open occurrences that have a state.
func (j *job) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, o := range j.open {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}

// attempts returns the runs of all tasks.
func (j *job) attempts() iter.Seq[*attempt] {
	return func(yield func(*attempt) bool) {
		for t := range j.tasks() {
			for _, a := range t.attempts {
				if !yield(a) {
					return
				}
			}
		}
	}
}

// applyTaskRecords restores the done tasks and failed runs of a progress record.
func (e *Engine) applyTaskRecords(j *job, records []jobkeeper.TaskRecord, now time.Duration, nowMS int64) {
	for _, r := range records {
		e.openOccurrence(j, r.Occurrence, now, nowMS)
		t := j.task(jobkeeper.TaskKey{
			Occurrence: r.Occurrence,
			Step:       r.Step,
			Index:      r.Index,
		})
		if t == nil {
			continue
		}
		for _, run := range r.FailedRuns {
			t.addFailedRun(run)
		}
		t.crashed = loadCrashes(r, now)
		e.suspect(t.gangOf()[0])
		if r.Done && !t.done {
			e.markDone(t, now, nowMS)
		}
	}
}

// task returns the task with the key, or nil.
func (j *job) task(key jobkeeper.TaskKey) *task {
	o := j.occurrence(key.Occurrence)
	if o == nil || key.Step >= len(o.steps) || key.Index >= o.steps[key.Step].step.Count {
		return nil
	}
	return o.steps[key.Step].task(key.Index)
}

// objective returns the time within which a job should end.
func (e *Engine) objective(j *job) time.Duration {
	return e.queueOf(j).Objective(j.chain())
}

// queueOf returns the queue of the job as it is configured now or, while it is not configured, as
// it was when the job was accepted.
func (e *Engine) queueOf(j *job) Queue {
	if q, ok := e.conf.Queues[j.doc.Queue]; ok {
		return q
	}
	terms := j.doc.Terms
	return Queue{
		Name:           j.doc.Queue,
		Pool:           j.doc.Pool,
		Priority:       terms.Priority,
		MaxAttempts:    terms.MaxAttempts,
		StretchFactor:  terms.StretchFactor,
		TargetLatency:  time.Duration(terms.TargetLatencyMS) * time.Millisecond,
		AdviceRequired: terms.AdviceRequired,

		AdviceBase:      time.Duration(terms.AdviceBaseMS) * time.Millisecond,
		AdvicePerTarget: time.Duration(terms.AdvicePerTargetMS) * time.Millisecond,
		AdviceValidity:  time.Duration(terms.AdviceValidityMS) * time.Millisecond,
	}
}

// poolOf returns the pool that runs the job.
func (e *Engine) poolOf(j *job) string {
	return e.queueOf(j).Pool
}

// maxAttempts returns the number of failed runs of one task at which its job fails.
func (e *Engine) maxAttempts(j *job) int {
	return max(1, e.queueOf(j).MaxAttempts)
}
