package orchestrator_test

import (
	"fmt"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// checkStart checks the invariants of a start: members of a gang share a checkpoint, done
// tasks do not start again, and earlier steps come first.
func (w *world) checkStart(o orchestrator.Order) {
	if w.jobs[o.Task.Job].Steps[o.Task.Step].Gang {
		task := o.Task
		task.Index = 0
		key := runKey{
			run:  o.Run,
			task: task,
		}
		if first, known := w.gangCheckpoints[key]; known && first != o.Checkpoint {
			w.fail("%s started from %q, another member from %q", o.Task, o.Checkpoint, first)
		}
		w.gangCheckpoints[key] = o.Checkpoint
	}
	if w.acknowledged[o.Task.String()] && !w.jobs[o.Task.Job].Steps[o.Task.Step].LongRunning {
		w.fail("%s started after its end was acknowledged", o.Task)
	}
	step := w.jobs[o.Task.Job].Steps[o.Task.Step]
	for _, after := range step.After {
		for i := range w.jobs[o.Task.Job].Steps[after].Count {
			id := o.Task
			id.Step, id.Index = after, i
			if w.starts[id.String()] == 0 {
				w.fail("%s started before %s", o.Task, id)
			}
		}
	}
}

// check checks the invariants of every moment: capacities and limits of teams hold, and no
// task runs twice.
func (w *world) check() {
	running := map[string]string{}
	used := map[string]jobkeeper.Resources{}
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		if !f.used().FitsIn(f.Capacity) {
			w.fail("%s is over its capacity", id)
		}
		for _, r := range f.runs {
			if other, twice := running[r.task.String()]; twice {
				w.fail("%s runs on both %s and %s", r.task, other, id)
			}
			running[r.task.String()] = id
			team := w.jobs[r.task.Job].Team
			used[team] = used[team].Plus(w.jobs[r.task.Job].Steps[r.task.Step].Needs)
		}
	}
	for name, team := range w.conf.Teams {
		// One task may cross the limit. Tasks of teams with a limit need two cores here.
		if limit := team.Limit.CPUMillis; limit > 0 && used[name].CPUMillis > max(limit, limit/2+cores(2).CPUMillis) {
			w.fail("team %s uses %d of %d", name, used[name].CPUMillis, limit)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if len(w.failures) < 10 {
		w.failures = append(w.failures, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// verify reports the violations that were found as test errors.
func (w *world) verify() {
	w.t.Helper()
	for _, f := range w.failures {
		w.t.Error(f)
	}
}
