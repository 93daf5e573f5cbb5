package orchestrator_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// fakeTarget is a target with its VM.
type fakeTarget struct {
	orchestrator.Registration
	registered bool
	reachable  bool
	crashed    bool
	mute       bool // orders are carried out and not answered
	fence      storer.Version
	deadline   time.Duration
	runs       map[runKey]*fakeRun
	ended      []orchestrator.End
	number     uint64
	slow       int           // how many times as long tasks take; zero counts as one
	unguarded  bool          // starts whatever it is told to
	stopTime   time.Duration // how long a stop takes
	refusing   int           // starts that are refused for want of room, whatever runs
	stopped    map[runKey]bool
	state      orchestrator.VMState
	failing    bool
	frozen     bool          // tasks make no progress
	arrivesAt  time.Duration // end of a move; zero without one
}

// runKey identifies a run: the members of a gang share its number.
type runKey struct {
	run  uint64
	task jobkeeper.TaskID
}

type fakeRun struct {
	runKey
	started  time.Duration
	duration time.Duration
	lasting  bool
	saves    bool
	gang     int           // number of members; zero for other runs
	stopAt   time.Duration // when a stop takes effect; zero without one
	working  time.Duration // when all members of the gang were present
	percent  int
	needs    jobkeeper.Resources
}

// advance ends the runs that are done or whose lease has lapsed.
func (w *world) advance() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		for _, r := range f.sortedRuns() {
			if f.runs[r.runKey] != r {
				continue // ended with another member of its gang
			}
			elapsed := w.now - r.started
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
			case r.lasting:
				r.percent = 100
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
	f.number++
	end := orchestrator.End{
		Number: f.number,
		Task:   r.task,
		Run:    r.run,
		How:    how,
	}
	if r.saves && how == orchestrator.EndStopped {
		end.Checkpoint = fmt.Sprintf("%s/%d", r.task, r.run)
	}
	f.ended = append(f.ended, end)
}

// crash ends a target's life without a trace.
func (w *world) crash(f *fakeTarget) {
	f.crashed = true
	f.reachable = false
	f.runs = map[runKey]*fakeRun{}
	f.state = orchestrator.VMDown
}

// restart begins a new life of a crashed target under the same identifier.
func (w *world) restart(f *fakeTarget) {
	f.crashed = false
	f.reachable = true
	f.Born++
	f.fence = 0
	f.number = 0
	f.ended = nil
	f.deadline = 0
	f.stopped = map[runKey]bool{}
	f.state = orchestrator.VMUp
	f.registered = true
	w.engine.Register(f.Registration, w.now)
}

// gangWait is how long a member of a gang waits for the others.
const gangWait = 4 * time.Second

// advanceGang plays a member of a gang: it works from the moment when all are present,
// all end done together, and the others are broken when one ends in another way.
func (w *world) advanceGang(f *fakeTarget, r *fakeRun) {
	members := w.members(r)
	switch {
	case f.failing && r.working > 0:
		w.endRun(f, r, orchestrator.EndFailed)
	case r.working == 0 && len(members) == r.gang:
		for _, m := range members {
			m.run.working = w.now
		}
	case r.working == 0 && w.now-r.started > gangWait:
		w.alone++
		w.endRun(f, r, orchestrator.EndAlone)
	case r.working > 0 && w.now-r.working >= r.duration:
		for _, m := range members {
			m.target.end(m.run, orchestrator.EndDone)
		}
	case r.working > 0:
		r.percent = int(100 * (w.now - r.working) / r.duration)
	}
}

type member struct {
	target *fakeTarget
	run    *fakeRun
}

// members returns the runs of a gang that are present.
func (w *world) members(r *fakeRun) []member {
	var members []member
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		for _, other := range f.sortedRuns() {
			task := other.task
			task.Index = r.task.Index
			if other.run == r.run && task == r.task {
				members = append(members, member{
					target: f,
					run:    other,
				})
			}
		}
	}
	return members
}

// endRun ends a run, and with it a gang that was at work.
func (w *world) endRun(f *fakeTarget, r *fakeRun, how orchestrator.Ending) {
	if r.gang > 0 && r.working > 0 {
		for _, m := range w.members(r) {
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
	case orchestrator.KindStart:
		return w.startOn(f, o)
	}
	return orchestrator.OutcomeOK
}

func (w *world) startOn(f *fakeTarget, o orchestrator.Order) orchestrator.Outcome {
	step := w.jobs[o.Task.Job].Steps[o.Task.Step]
	switch {
	case f.refusing > 0:
		f.refusing--
		return orchestrator.OutcomeNoRoom
	case f.runs[orderKey(o)] != nil:
		return orchestrator.OutcomeOK
	case f.stopped[orderKey(o)]:
		return orchestrator.OutcomeOld
	case time.Duration(o.DeadlineMS)*time.Millisecond < w.now:
		return orchestrator.OutcomeLate
	case !f.unguarded && !step.Reserved().FitsIn(f.Capacity.Minus(f.used())):
		f.extend(o.DeadlineMS, w.now)
		return orchestrator.OutcomeNoRoom
	}
	f.extend(o.DeadlineMS, w.now)
	f.runs[orderKey(o)] = &fakeRun{
		runKey:   orderKey(o),
		started:  w.now,
		duration: time.Duration(step.EstimateMS) * time.Millisecond * time.Duration(max(1, f.slow)),
		lasting:  step.Lasting,
		saves:    step.Checkpointing,
		needs:    step.Reserved(),
	}
	if step.Gang {
		f.runs[orderKey(o)].gang = step.Count
	}
	w.starts[o.Task.String()]++
	w.checkStart(o)
	return orchestrator.OutcomeOK
}

func (f *fakeTarget) used() jobkeeper.Resources {
	var sum jobkeeper.Resources
	for _, r := range f.runs {
		sum = sum.Plus(r.needs)
	}
	return sum
}

// arrive ends moves.
func (w *world) arrive() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		if f.arrivesAt == 0 || w.now < f.arrivesAt {
			continue
		}
		f.arrivesAt = 0
		f.state = orchestrator.VMUp
		f.reachable, f.registered = true, true
		w.engine.Register(f.Registration, w.now)
	}
}

// orderVM ends the life of the target on a VM and begins a new one at once.
func (w *world) orderVM(o orchestrator.Order) orchestrator.Outcome {
	for _, f := range w.targets {
		if f.VM != o.VM {
			continue
		}
		f.runs = map[runKey]*fakeRun{}
		f.Born++
		f.fence, f.number, f.deadline, f.ended = 0, 0, 0, nil
		f.stopped = map[runKey]bool{}
		if o.Kind == orchestrator.KindMove {
			w.moves++
			f.Pool = o.Pool
		}
		if w.moveTime > 0 {
			f.arrivesAt = w.now + w.moveTime
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
