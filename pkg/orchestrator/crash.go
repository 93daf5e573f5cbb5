package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// This file finds tasks that crash the targets that start them. A crashed target lists no ends,
// and each of its runs may be the cause. A suspected task therefore starts again only where it
// would be the only possible cause of another crash: on a target that is idle or has only
// long-lived runs, and where nothing else starts for a while. That is a trial. It begins once the
// earlier crashes are in the store: no target lists them again for the next owner. A task that is
// the only possible cause of repeated crashes fails its job.

const (
	// crashWindow is the time from the start of a run within which it may be the cause of a
	// crash of its target. A run that lives longer resets the crashes of its task.
	crashWindow = 3 * time.Second
	// trialTime is how long a trial lasts after one crash. After further ones it is crashWindow.
	trialTime = 500 * time.Millisecond
	// maxLikelyCauses is how many tasks are put on trial after one crash: those that started
	// last.
	maxLikelyCauses = 4
	// promptCrash is the time from an order to the failure of its target within which the order
	// is the likely cause.
	promptCrash = 200 * time.Millisecond
	// immediateCrash is the time within which the order is almost certainly the cause.
	immediateCrash = 50 * time.Millisecond
	// promptCrashLimit is the number of crashes held against a task at which it fails, if one of
	// them followed its start promptly and it is the only possible cause of the last one;
	// crashLimit applies otherwise.
	promptCrashLimit = 2
	crashLimit       = 3
	// unprovenCrashLimit applies if not all of them are proven.
	unprovenCrashLimit = 4
	// maxReservedShare is the greatest fraction of a pool that is emptied for trials of single
	// tasks.
	maxReservedShare = 0.25
	// sameMoment is the greatest time between the failures of targets with one cause, such as a
	// power failure of a rack.
	sameMoment = 50 * time.Millisecond
	// crashMemory is how long the crashes of a pool are remembered, maxCrashes how many of them.
	crashMemory = 2 * time.Minute
	maxCrashes  = 256
)

// crash is a crash of a target, with the runs that may have caused it.
type crash struct {
	pool      *pool
	vm        string        // of the target
	at        time.Duration // when the target failed or, if no call failed, noticedAt
	noticedAt time.Duration
	causes    []crashCause
	prompt    bool // it followed the start of its only possible cause promptly
	trial     bool // its only possible cause had crashLimit crashes before, and so started in a calm pool
	// unsettled is true if a lease expired and the target may turn out to have been unreachable.
	unsettled bool
}

// causedBy reports whether a run of the task, or of its gang, may have caused the crash.
func (c *crash) causedBy(t *task) bool {
	first := t.gangOf()[0]
	return slices.ContainsFunc(c.causes, func(cause crashCause) bool { return cause.task == first })
}

// recordCrash adds a crash to the remembered ones.
func (p *pool) recordCrash(c *crash, now time.Duration) {
	p.crashes = slices.DeleteFunc(p.crashes, func(old *crash) bool { return now-old.at > crashMemory })
	p.crashes = append(p.crashes[max(0, len(p.crashes)-maxCrashes+1):], c)
}

// otherCrashes returns the number of remembered crashes in which the task had no part.
func (p *pool) otherCrashes(t *task) int {
	n := 0
	for _, c := range p.crashes {
		if !c.causedBy(t) {
			n++
		}
	}
	return n
}

// crashCause is a run that may have caused a crash. A gang counts as one, by its first task.
type crashCause struct {
	task      *task
	run       uint64
	orderedAt time.Duration
	seenFor   time.Duration
	confirmed bool // the target is known to have run it at the crash, and no stop was ordered
	adopted   bool // an earlier owner started it
}

// crashRecord is what is known of the crashes of targets under a task.
type crashRecord struct {
	runs       []uint64      // runs that may have crashed their targets; stored with the job
	unproven   int           // crashes before which the run may not have started, or that may be none
	crashes    []runCrash    // those that this owner saw
	held       heldCrashes   // those of all that are held against the task; stored with the job
	otherAge   time.Duration // from the last crash of another cause to the last one; zero if there was none
	lastAt     time.Duration // when the last one was noticed or loaded
	earlier    earlierCrashes
	onlyCause  bool // the task is the only possible cause of the last crash
	promptness int  // of crashes without another possible cause: one for a prompt one, two for an immediate one
	convicted  bool // its job was given up
	rank       int  // position among the causes of the last crash, the likeliest first
	likely     bool // it is among the likely causes of the last crash
	discounted int  // crashes of which another task was found to be the cause
}

// earlierCrashes are the crashes that an earlier owner saw.
type earlierCrashes struct {
	count    int
	held     heldCrashes
	vms      []string      // of the targets
	loadedAt time.Duration // when the record of the job was loaded
	otherAt  time.Duration // when the pool had a crash of another cause; zero if it is not known
}

// otherCrashSince reports whether the pool had a crash of another cause after the given time.
func (c *earlierCrashes) otherCrashSince(since time.Duration) bool {
	return c.otherAt > 0 && c.otherAt > since
}

// heldCrashes counts crashes that are held against a task.
type heldCrashes struct {
	proven   int
	unproven int
}

// add counts a crash.
func (h *heldCrashes) add(proven bool) {
	if proven {
		h.proven++
	} else {
		h.unproven++
	}
}

// runCrash is a crash and the run of the task that may have caused it.
type runCrash struct {
	*crash
	run     uint64
	other   *crash // one that coincides with it; nil if none is known
	held    bool   // it is held against the task
	settled bool   // and stays so
}

// count returns the number of crashes.
func (r *crashRecord) count() int {
	return len(r.runs) + r.unproven
}

// vms returns the VMs on which targets crashed under the task.
func (r *crashRecord) vms() []string {
	vms := slices.Clone(r.earlier.vms)
	for _, c := range r.crashes {
		if !slices.Contains(vms, c.vm) {
			vms = append(vms, c.vm)
		}
	}
	return vms
}

// onOneVM reports whether all of several crashes happened on the same VM, which may be their cause.
func (r *crashRecord) onOneVM() bool {
	return r.count() > 1 && len(r.vms()) == 1
}

// loadCrashes returns what an earlier owner has stored of the crashes under a task.
func loadCrashes(r jobkeeper.TaskRecord, now time.Duration) crashRecord {
	held := heldCrashes{
		proven:   r.HeldCrashes,
		unproven: r.HeldUnproven,
	}
	crashes := len(r.CrashedRuns) + r.UnprovenCrashes
	record := crashRecord{
		runs:     r.CrashedRuns,
		unproven: r.UnprovenCrashes,
		held:     held,
		lastAt:   now,
		earlier: earlierCrashes{
			count:    crashes,
			held:     held,
			vms:      r.CrashedVMs,
			loadedAt: now,
		},
		onlyCause:  r.OnlyCause,
		promptness: r.Promptness,
		likely:     crashes > 0,
	}
	if r.SinceOtherCrashMS > 0 {
		record.earlier.otherAt = now - time.Duration(r.SinceOtherCrashMS)*time.Millisecond
	}
	return record
}

// gangOf returns the tasks that share crashes and failures with this one: the members of its
// gang, or the task itself.
func (t *task) gangOf() []*task {
	if t.step.step.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// trial returns for how long no other task may start on the target of the task's next run; zero
// if the task needs no trial.
func (t *task) trial() time.Duration {
	switch n := t.crashed.count() - t.crashed.discounted; {
	case n > 1:
		return crashWindow
	case n == 1 && t.crashed.likely:
		return trialTime
	}
	return 0
}

// crashesStored reports whether all crashes that were counted against the job are in the store,
// so that the next owner knows them.
func (j *job) crashesStored() bool {
	return j.storedCrashes == j.crashes
}

// suspected reports whether a task of the step has to start on trial.
func (s *stepState) suspected() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && t.trial() > 0 })
}

// onTrial reports whether a trial is under way on the target.
func (t *target) onTrial(now time.Duration) bool {
	if t.trials == 0 {
		return false
	}
	for _, a := range t.attempts {
		if a.trial > 0 && (a.confirmedAt == 0 || now-a.confirmedAt < a.trial) {
			return true
		}
	}
	return false
}

// suspectCrash reports whether the end of a target counts as a crash: not if the target said that
// it would leave or its VM was moved or maintained. It is not certain if an order for the VM may
// have ended the target.
func (e *Engine) suspectCrash(t *target) (suspected, certain bool) {
	vm, listed := e.fleet.vms[t.VM]
	moved := listed && vm.Pool != t.Pool && e.fleet.listedAt > t.firstSeenAt
	return !t.Draining && !moved && vm.State != VMMoving && vm.State != VMMaintenance, !t.vmOrdered
}

// recordCrash counts the crash of a target against the tasks whose runs it lost and that may have
// caused it. The runs are still attached. certain is false if the target may have been unreachable
// instead. It returns nil if nothing was lost and the crash is known already, or may have happened
// under an earlier owner.
func (e *Engine) recordCrash(on *target, lost []*attempt, certain bool, now time.Duration) *crash {
	if len(lost) == 0 && (on.crashRecorded || !on.listed) {
		return nil
	}
	on.crashRecorded = true
	p := e.pool(on.Pool)
	c := &crash{
		pool:      p,
		vm:        cmp.Or(on.VM, on.ID),
		at:        cmp.Or(on.failedAt, now),
		noticedAt: now,
	}
	c.causes = crashCauses(lost, c.at)
	p.recordCrash(c, now)
	message := "target crashed"
	if !certain {
		message = "target may have crashed"
	}
	if len(c.causes) == 0 {
		e.cfg.Logger.Warn(message, "target", on.ID, "pool", on.Pool, "runs", len(lost), "possible_causes", 0, "crashes_of_pool", len(p.crashes))
		return c
	}
	first := c.causes[0]
	together := e.failedTogether(on)
	onlyCause := len(c.causes) == 1
	c.prompt = onlyCause && certain && first.confirmed && !first.adopted && on.failedAt != 0 && on.failedAt-first.orderedAt < promptCrash && !together
	c.trial = onlyCause && first.task.crashed.count() >= crashLimit
	for i, cause := range c.causes {
		j := cause.task.step.job
		if j.state.Ended() {
			continue
		}
		e.dirty[j.doc.ID] = true
		j.crashes++
		for _, t := range cause.task.gangOf() {
			r := &t.crashed
			counted := r.add(c, cause, certain && cause.confirmed)
			r.lastAt = now
			r.onlyCause = onlyCause
			switch {
			case !counted || !c.prompt:
			case on.failedAt-first.orderedAt < immediateCrash:
				r.promptness += 2
			default:
				r.promptness++
			}
			r.rank = i
			r.likely = i < maxLikelyCauses && cause.seenFor < trialTime
			r.otherAge = p.sinceOtherCrash(t, c.at)
		}
		e.suspect(cause.task)
		e.weighCrashes(cause.task, now)
	}
	e.cfg.Logger.Warn(message, "target", on.ID, "pool", on.Pool, "runs", len(lost), "possible_causes", len(c.causes),
		"last_started", first.task.id().String(), "failed_after_ms", max(0, on.failedAt-first.orderedAt).Milliseconds(),
		"its_crashes", first.task.crashed.count(), "its_unproven_crashes", first.task.crashed.unproven,
		"other_crashes", p.otherCrashes(first.task), "other_targets_failed", together)
	return c
}

// failedTogether reports whether several other targets failed at the same moment as this one, so
// that one cause for all is likely. Trials that started together do not count, because they may
// well crash their targets together.
func (e *Engine) failedTogether(on *target) bool {
	if on.failedAt == 0 {
		return false
	}
	others := 0
	for _, t := range e.targets {
		if t == on || t.failedAt == 0 || (t.failedAt-on.failedAt).Abs() > sameMoment {
			continue
		}
		if t.failedTrialAt == 0 || (t.failedTrialAt-on.failedTrialAt).Abs() > sameMoment {
			others++
		}
	}
	return others > 1
}

// trialSince returns when the last trial that is under way on the target was ordered; zero if
// none is.
func (t *target) trialSince(now time.Duration) time.Duration {
	var since time.Duration
	if t.onTrial(now) {
		for _, a := range t.attempts {
			if a.trial > 0 {
				since = max(since, a.orderedAt)
			}
		}
	}
	return since
}

// add counts a crash. It returns false if it was counted before: the targets of a gang's members
// that crash in one run count as one.
func (r *crashRecord) add(c *crash, cause crashCause, proven bool) bool {
	unprovenBefore := r.unprovenBy(cause.run)
	switch {
	case slices.Contains(r.runs, cause.run), !proven && unprovenBefore:
		return false
	case !proven:
		r.unproven++
	case unprovenBefore:
		r.unproven--
		fallthrough
	default:
		r.runs = append(r.runs, cause.run)
	}
	r.crashes = append(slices.DeleteFunc(r.crashes, func(old runCrash) bool { return old.run == cause.run }), runCrash{
		crash: c,
		run:   cause.run,
	})
	return true
}

// unprovenBy reports whether an unproven crash under the run was counted by this owner.
func (r *crashRecord) unprovenBy(run uint64) bool {
	return !slices.Contains(r.runs, run) && slices.ContainsFunc(r.crashes, func(c runCrash) bool { return c.run == run })
}

// takeBack takes back an unproven crash.
func (r *crashRecord) takeBack(run uint64) {
	if !r.unprovenBy(run) {
		return
	}
	r.unproven--
	if r.crashes[len(r.crashes)-1].run == run {
		r.onlyCause = false
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c runCrash) bool { return c.run == run })
}

// unsettled reports whether a crash may turn out to be none.
func (r *crashRecord) unsettled() bool {
	return slices.ContainsFunc(r.crashes, func(c runCrash) bool { return c.unsettled })
}

// earliestEnd returns when the run may have ended, by the estimate of its step, although no list
// shows that; false if it does not end by itself.
func (a *attempt) earliestEnd() (time.Duration, bool) {
	step := a.task.step.step
	if step.LongRunning || step.EstimateMS <= 0 {
		return 0, false
	}
	left := time.Duration(step.EstimateMS) * time.Millisecond
	if !a.listed {
		return a.orderedAt + left, true
	}
	return max(a.orderedAt, a.target.listedAt) + left*time.Duration(100-a.percent)/100, true
}

// crashCauses returns those of the lost runs of a target that may have caused its crash, the last
// one that was ordered first.
func crashCauses(lost []*attempt, crashedAt time.Duration) []crashCause {
	runs := slices.Clone(lost)
	slices.SortStableFunc(runs, func(a, b *attempt) int { return cmp.Compare(b.orderedAt, a.orderedAt) })
	var causes []crashCause
	for _, a := range runs {
		first := a.task.gangOf()[0]
		known := slices.ContainsFunc(causes, func(c crashCause) bool { return c.task == first })
		if known || a.seenFor() >= crashWindow || a.task.done {
			continue
		}
		end, ends := a.earliestEnd()
		causes = append(causes, crashCause{
			task:      first,
			run:       a.run,
			orderedAt: a.orderedAt,
			seenFor:   a.seenFor(),
			confirmed: a.confirmedAt > 0 && a.phase != phaseStopping && (!ends || crashedAt < end),
			adopted:   a.adopted,
		})
	}
	return causes
}

// discount takes back the only crash that was counted against a task, once for each task: one
// that is near several crashes may be the cause of one of them. It still counts for the number of
// starts that are left to the task.
func (e *Engine) discount(t *task) {
	r := &t.crashed
	if r.count() != 1 || r.discounted > 0 {
		return
	}
	for _, member := range t.gangOf() {
		member.crashed.discounted = 1
	}
	e.dirty[t.step.job.doc.ID] = true
}

// resetCrashes resets the crashes of a task whose run, or of a gang all of whose runs, have lived
// for crashWindow.
func (e *Engine) resetCrashes(a *attempt) {
	if a.task.crashed.count() == 0 || a.seenFor() < crashWindow {
		return
	}
	for _, t := range a.task.gangOf() {
		if !slices.ContainsFunc(t.attempts, func(other *attempt) bool { return other.seenFor() >= crashWindow }) {
			return
		}
	}
	e.cfg.Logger.Info("task lives, its crashes no longer count", "task", a.task.id().String(), "run", a.run, "target", a.target.ID, "crashes", a.task.crashed.count())
	for _, t := range a.task.gangOf() {
		t.crashed = crashRecord{}
	}
	e.dirty[a.task.step.job.doc.ID] = true
}
