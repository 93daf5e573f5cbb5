package orchestrator_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// fakeTarget simulates a target and its VM.
type fakeTarget struct {
	orchestrator.Registration
	registered   bool
	reachable    bool
	crashed      bool
	dropsAnswers bool // orders are carried out but not answered
	// orderDelay is how much later an order is carried out, without an answer; nil for no delay.
	orderDelay      func(o orchestrator.Order) time.Duration
	holdsLists      bool // list requests are not answered yet
	fence           storer.Version
	deadline        time.Duration
	runs            map[runKey]*fakeRun
	ended           []orchestrator.End
	lastEnd         uint64
	slowdown        int           // factor on the duration of tasks; zero counts as one
	ignoresCapacity bool          // starts tasks beyond its capacity
	stopTime        time.Duration // how long a stop takes
	refusals        int           // number of next starts that are refused with OutcomeNoRoom
	stopped         map[runKey]bool
	state           orchestrator.VMState
	// slowedBy returns the factor on the duration and latency of a run on this target that its
	// neighbours cause; nil for 1.
	slowedBy   func(r *fakeRun) float64
	failing    bool
	frozen     bool          // tasks make no progress
	moveEndsAt time.Duration // end of the move in progress; zero if there is none
	crashAt    time.Duration // when a task crashes it; zero if none does
	restartAt  time.Duration // when it starts again after a crash; zero if it does not
	cutUntil   time.Duration // when it can be reached again; zero if it is not cut off
}

// runKey identifies a run. The run number alone does not: members of a gang share it.
type runKey struct {
	run  uint64
	task jobkeeper.TaskID
}

type fakeRun struct {
	runKey
	image         string
	pace          int     // in percent
	noise         float64 // factor on its duration that is its own; zero if not drawn
	baseLatency   float64 // tail latency without neighbours, in ms; zero if it serves nobody
	started       time.Duration
	duration      time.Duration
	worked        time.Duration // part of the duration that is over, on targets with slowedBy
	longRunning   bool
	checkpointing bool
	gang          int           // number of members of its gang; zero for other runs
	stopAt        time.Duration // when a stop takes effect; zero if none was ordered
	assembledAt   time.Duration // when all members of the gang had started; zero before
	percent       int
	needs         jobkeeper.Resources
}

// advance updates the progress of the runs and ends those that are done, stopped, failed or
// whose lease has expired.
func (w *world) advance() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		for _, r := range f.sortedRuns() {
			if f.runs[r.runKey] != r {
				continue // ended with another member of its gang
			}
			elapsed := w.now - r.started
			if f.slowedBy != nil {
				r.worked += time.Duration(float64(worldStep) / f.slowedBy(r))
				elapsed = r.worked
			}
			if r.stopAt > 0 && w.now >= r.stopAt {
				w.endRun(f, r, orchestrator.EndStopped)
				continue
			}
			if r.gang > 0 && w.now <= f.deadline {
				w.advanceGang(f, r)
				continue
			}
			switch {
			case w.now > f.deadline:
				w.endRun(f, r, orchestrator.EndLapsed)
			case f.frozen:
			case f.failing && elapsed > 100*time.Millisecond:
				f.end(r, orchestrator.EndFailed)
			case r.longRunning:
				if elapsed >= w.startupTime {
					r.percent = 100
				}
			case elapsed >= r.duration:
				f.end(r, orchestrator.EndDone)
			default:
				r.percent = int(100 * elapsed / r.duration)
			}
		}
	}
}

func (f *fakeTarget) end(r *fakeRun, how orchestrator.Ending) {
	delete(f.runs, r.runKey)
	f.lastEnd++
	end := orchestrator.End{
		Number: f.lastEnd,
		Task:   r.task,
		Run:    r.run,
		How:    how,
	}
	if r.checkpointing && how == orchestrator.EndStopped {
		end.Checkpoint = fmt.Sprintf("%s/%d", r.task, r.run)
	}
	f.ended = append(f.ended, end)
}

// crash ends a target and its VM. The runs are lost without a list of their ends.
func (w *world) crash(f *fakeTarget) {
	for key := range f.runs {
		w.crashesUnder[key.task.String()]++
	}
	for _, end := range f.ended { // the engine may not have seen these ends
		w.crashesUnder[end.Task.String()]++
	}
	f.crashed = true
	f.reachable = false
	f.runs = map[runKey]*fakeRun{}
	f.state = orchestrator.VMDown
}

// crashFor crashes a target that starts again after the given time.
func (w *world) crashFor(f *fakeTarget, downtime time.Duration) {
	w.crash(f)
	f.restartAt = w.now + downtime
}

// advanceCrashes crashes targets under their tasks and restarts those whose downtime is over.
func (w *world) advanceCrashes() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		if f.crashAt > 0 && w.now >= f.crashAt {
			f.crashAt = 0
			w.taskCrashes++
			w.crashFor(f, crashDowntime)
		}
		if f.restartAt > 0 && w.now >= f.restartAt {
			f.restartAt = 0
			w.restart(f)
		}
	}
}

// cutOff makes a target unreachable for the given time. If unregistered is true, it is not
// registered meanwhile.
func (w *world) cutOff(f *fakeTarget, d time.Duration, unregistered bool) {
	f.reachable = false
	f.cutUntil = w.now + d
	if unregistered {
		f.registered = false
		w.engine.Unregister(f.ID, w.now)
	}
}

// replaceTarget ends a target for good. Another one starts on its VM, in the given pool.
func (w *world) replaceTarget(f *fakeTarget, pool string) {
	delete(w.targets, f.ID)
	w.engine.Unregister(f.ID, w.now)
	next := w.addTarget(f.ID+"-next", pool, f.Capacity)
	next.VM = f.VM
	w.engine.Register(next.Registration, w.now)
}

// endCuts makes targets reachable again whose time is over.
func (w *world) endCuts() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		if f.cutUntil == 0 || w.now < f.cutUntil {
			continue
		}
		f.cutUntil = 0
		f.reachable = true
		f.registered = true
		w.engine.Register(f.Registration, w.now)
	}
}

// restart starts a crashed target again under the same ID, without runs.
func (w *world) restart(f *fakeTarget) {
	f.crashed = false
	f.reachable = true
	f.StartedUnixMS++
	f.fence = 0
	f.lastEnd = 0
	f.ended = nil
	f.deadline = 0
	f.stopped = map[runKey]bool{}
	f.state = orchestrator.VMUp
	f.registered = true
	w.engine.Register(f.Registration, w.now)
}

// gangWait is how long a member of a gang waits for the others before it ends.
const gangWait = 4 * time.Second

// advanceGang updates a member of a gang. Members make progress once all have started, and
// are done together. If one ends in another way, the others end as broken.
func (w *world) advanceGang(f *fakeTarget, r *fakeRun) {
	members := w.gangMembers(r)
	switch {
	case f.failing && r.assembledAt > 0:
		w.endRun(f, r, orchestrator.EndFailed)
	case r.assembledAt == 0 && len(members) == r.gang:
		for _, m := range members {
			m.run.assembledAt = w.now
		}
	case r.assembledAt == 0 && w.now-r.started > gangWait:
		w.gangTimeouts++
		w.endRun(f, r, orchestrator.EndGangIncomplete)
	case r.assembledAt > 0 && w.now-r.assembledAt >= r.duration:
		for _, m := range members {
			m.target.end(m.run, orchestrator.EndDone)
		}
	case r.assembledAt > 0:
		r.percent = int(100 * (w.now - r.assembledAt) / r.duration)
	}
}

type gangMember struct {
	target *fakeTarget
	run    *fakeRun
}

// gangMembers returns the present runs of the gang that r belongs to.
func (w *world) gangMembers(r *fakeRun) []gangMember {
	var members []gangMember
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		for _, other := range f.sortedRuns() {
			task := other.task
			task.Index = r.task.Index
			if other.run == r.run && task == r.task {
				members = append(members, gangMember{
					target: f,
					run:    other,
				})
			}
		}
	}
	return members
}

// endRun ends a run and, if its gang was complete, the other members as broken.
func (w *world) endRun(f *fakeTarget, r *fakeRun, how orchestrator.Ending) {
	if r.gang > 0 && r.assembledAt > 0 {
		for _, m := range w.gangMembers(r) {
			if m.run != r {
				m.target.end(m.run, orchestrator.EndBroken)
			}
		}
	}
	f.end(r, how)
}

func (f *fakeTarget) sortedRuns() []*fakeRun {
	runs := make([]*fakeRun, 0, len(f.runs))
	for _, r := range f.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool {
		a, b := runs[i], runs[j]
		return a.run < b.run || a.run == b.run && a.task.Index < b.task.Index
	})
	return runs
}

func orderKey(o orchestrator.Order) runKey {
	return runKey{
		run:  o.Run,
		task: o.Task,
	}
}

func (w *world) orderTarget(f *fakeTarget, o orchestrator.Order) orchestrator.Outcome {
	if o.Fence < f.fence {
		return orchestrator.OutcomeFenced
	}
	f.fence = o.Fence
	switch o.Kind {
	case orchestrator.KindStop:
		f.stopped[orderKey(o)] = true
		if r := f.runs[orderKey(o)]; r != nil {
			r.stopAt = max(r.stopAt, w.now+f.stopTime)
			if f.stopTime == 0 {
				w.endRun(f, r, orchestrator.EndStopped)
			}
		}
	case orchestrator.KindPace:
		if r := f.runs[orderKey(o)]; r != nil {
			r.pace = o.Percent
		}
	case orchestrator.KindStart:
		return w.startOn(f, o)
	}
	return orchestrator.OutcomeOK
}

func (w *world) startOn(f *fakeTarget, o orchestrator.Order) orchestrator.Outcome {
	step := w.jobs[o.Task.Job].Steps[o.Task.Step]
	if w.evacuated[f.Zone] {
		w.fail("%s starts on %s in the evacuated zone %s", o.Task, f.ID, f.Zone)
	}
	switch {
	case f.refusals > 0:
		f.refusals--
		return orchestrator.OutcomeNoRoom
	case f.runs[orderKey(o)] != nil:
		return orchestrator.OutcomeOK
	case f.stopped[orderKey(o)]:
		return orchestrator.OutcomeOldRun
	case time.Duration(o.DeadlineMS)*time.Millisecond < w.now:
		return orchestrator.OutcomeLate
	case !f.ignoresCapacity && !step.Reserved().FitsIn(f.Capacity.Minus(f.used())):
		f.extend(o.DeadlineMS, w.now)
		return orchestrator.OutcomeNoRoom
	}
	f.extend(o.DeadlineMS, w.now)
	f.runs[orderKey(o)] = &fakeRun{
		runKey:        orderKey(o),
		started:       w.now,
		duration:      time.Duration(step.EstimateMS) * time.Millisecond * time.Duration(max(1, f.slowdown)),
		longRunning:   step.LongRunning,
		checkpointing: step.Checkpointing,
		needs:         step.Reserved(),
		image:         step.Image,
		pace:          100,
		baseLatency:   float64(step.TailLatencyTargetMS) / 2,
	}
	if step.Gang {
		f.runs[orderKey(o)].gang = step.Count
	}
	if delay, crashes := w.crashing[o.Task.String()]; crashes {
		f.crashAt = w.now + delay + worldStep
	}
	w.starts[o.Task.String()]++
	if w.crashesUnder[o.Task.String()] >= 3 {
		w.startsAfterCrashes[o.Task.String()]++
	}
	w.checkStart(o)
	return orchestrator.OutcomeOK
}

// latency returns the tail latency that a target reports for a run.
func (f *fakeTarget) latency(r *fakeRun) float64 {
	if f.slowedBy == nil || r.baseLatency == 0 {
		return r.baseLatency
	}
	return r.baseLatency * f.slowedBy(r)
}

func (f *fakeTarget) used() jobkeeper.Resources {
	var sum jobkeeper.Resources
	for _, r := range f.runs {
		sum = sum.Plus(r.needs)
	}
	return sum
}

// completeMoves ends the moves of VMs that are due.
func (w *world) completeMoves() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		if f.moveEndsAt == 0 || w.now < f.moveEndsAt {
			continue
		}
		f.moveEndsAt = 0
		f.state = orchestrator.VMUp
		f.reachable, f.registered = true, true
		w.engine.Register(f.Registration, w.now)
	}
}

// orderVM carries out a move or maintenance: it ends the target on the VM and starts it
// again, after moveTime or at once if that is zero.
func (w *world) orderVM(o orchestrator.Order) orchestrator.Outcome {
	for _, f := range w.targets {
		if f.VM != o.VM {
			continue
		}
		f.runs = map[runKey]*fakeRun{}
		f.StartedUnixMS++
		f.fence, f.lastEnd, f.deadline, f.ended = 0, 0, 0, nil
		f.stopped = map[runKey]bool{}
		if o.Kind == orchestrator.KindMove {
			w.moves++
			f.Pool = o.Pool
		}
		if w.moveTime > 0 {
			f.moveEndsAt = w.now + w.moveTime
			f.state = orchestrator.VMMoving
			f.reachable, f.registered = false, false
			w.engine.Unregister(f.ID, w.now)
			return orchestrator.OutcomeOK
		}
		w.engine.Register(f.Registration, w.now)
		return orchestrator.OutcomeOK
	}
	return orchestrator.OutcomeInvalid
}
