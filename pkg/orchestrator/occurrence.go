package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// This file bounds the state of accepted work that has not begun. A job may be due for many
// occurrences at once, and each may have thousands of tasks. An occurrence has a state from the
// time at which it is among the next to begin, a task from its first start. Until then the document
// of the job stands for both.

const (
	// maxWaitingSteps bounds the steps, in open occurrences that have not begun, of a job whose
	// occurrences are due faster than they begin. One occurrence is open in any case.
	maxWaitingSteps = 128
	// maxWaitingStepsOfAll bounds the sum over all jobs, again apart from one occurrence of each.
	maxWaitingStepsOfAll = 2048
	// maxOverdue bounds the time by which an occurrence counts as overdue or as due later, so that
	// sums of such times stay within the limits of a duration.
	maxOverdue = 365 * 24 * time.Hour
)

// occurrence is one execution of the steps of a job; scheduled jobs have several.
type occurrence struct {
	job    *job
	number int
	due    time.Duration // on the engine's clock; the arrival for jobs that run once
	steps  []*stepState
	begun  bool          // a task has a state
	done   int           // number of steps that are done
	chain  time.Duration // expected critical path
	// firstChain is the critical path that was expected first.
	firstChain time.Duration
}

// openOccurrences opens occurrences that are due, the earliest first, as far as the bounds on
// waiting steps permit.
func (e *Engine) openOccurrences(now time.Duration, wallMS int64) {
	waiting := 0
	var more []*job
	for _, j := range e.active {
		e.openFirst(j, now, wallMS)
		waiting += j.waitingSteps
		if j.mayOpenNext() {
			more = append(more, j)
		}
	}
	for len(more) > 0 && waiting < maxWaitingStepsOfAll {
		j := slices.MinFunc(more, func(a, b *job) int { return cmp.Compare(a.doc.DueMS(a.opened), b.doc.DueMS(b.opened)) })
		e.openOccurrence(j, j.opened, now, wallMS)
		waiting += len(j.doc.Steps)
		if !j.mayOpenNext() {
			more = slices.DeleteFunc(more, func(other *job) bool { return other == j })
		}
	}
}

// openFirst notes how many occurrences of the job are due, and opens the next one if none waits.
func (e *Engine) openFirst(j *job, now time.Duration, wallMS int64) {
	j.due = j.doc.DueOccurrences(wallMS + e.cfg.EarlyStart.Milliseconds()/2)
	if j.waitingSteps == 0 && j.opened < j.due {
		e.openOccurrence(j, j.opened, now, wallMS)
	}
}

// mayOpenNext reports whether the next occurrence is due and within the bound of the job.
func (j *job) mayOpenNext() bool {
	return j.opened < j.due && j.waitingSteps+len(j.doc.Steps) <= maxWaitingSteps
}

// openOccurrence opens the occurrence with the number unless it is open or done. It may be one that
// is not due: an earlier owner whose clock was ahead may have started it.
func (e *Engine) openOccurrence(j *job, number int, now time.Duration, wallMS int64) {
	i, open := j.find(number)
	if open || number < j.finished || number >= j.doc.Occurrences() {
		return
	}
	o := j.newOccurrence(number, now, wallMS)
	j.open = slices.Insert(j.open, i, o)
	j.waitingSteps += len(o.steps)
	for i < len(j.open) && j.open[i].number == j.opened {
		i++
		j.opened++
	}
	e.predict(o, now)
	if e.takingOver && j.created <= e.cfg.Fence && !j.state.Ended() {
		o.markUncertain()
	}
}

func (j *job) newOccurrence(number int, now time.Duration, wallMS int64) *occurrence {
	o := &occurrence{
		job:    j,
		number: number,
		due:    j.arrival,
	}
	if j.doc.Scheduled() {
		late := min(max(wallMS-j.doc.DueMS(number), -maxOverdue.Milliseconds()), maxOverdue.Milliseconds())
		o.due = now - time.Duration(late)*time.Millisecond
	}
	for i := range j.doc.Steps {
		o.steps = append(o.steps, &stepState{
			job:        j,
			occurrence: o,
			index:      i,
			step:       &j.doc.Steps[i],
			kind:       kindOf(j.doc, &j.doc.Steps[i]),
		})
	}
	return o
}

// find returns the index of the first open occurrence that has the number or a higher one, and
// whether it has the number.
func (j *job) find(number int) (i int, open bool) {
	return slices.BinarySearchFunc(j.open, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// occurrence returns the open occurrence with the number, or nil.
func (j *job) occurrence(number int) *occurrence {
	if i, open := j.find(number); open {
		return j.open[i]
	}
	return nil
}

// allDone reports whether all tasks of the step are done.
func (s *stepState) allDone() bool { return s.done == s.step.Count }

// fresh returns the number of tasks that have no state: they have not begun.
func (s *stepState) fresh() int { return s.step.Count - len(s.tasks) }

// freshStartable returns the number of tasks that have no state and could start.
func (s *stepState) freshStartable() int {
	if s.freshUncertain {
		return 0
	}
	return s.fresh()
}

// task returns the task with the index and gives it, and those before it, a state. The members of a
// gang get theirs together.
func (s *stepState) task(index int) *task {
	last := index
	if s.step.Gang {
		last = s.step.Count - 1
	}
	if o := s.occurrence; !o.begun {
		o.begun = true
		o.job.waitingSteps -= len(o.steps)
	}
	for n := len(s.tasks); n <= last; n++ {
		s.tasks = append(s.tasks, s.newTask(n))
	}
	return s.tasks[index]
}

// peek returns the task with the index, which is not kept if it has no state yet.
func (s *stepState) peek(index int) *task {
	if index < len(s.tasks) {
		return s.tasks[index]
	}
	return s.newTask(index)
}

func (s *stepState) newTask(index int) *task {
	return &task{
		step:      s,
		index:     index,
		uncertain: s.freshUncertain,
	}
}

// markUncertain marks everything of the job that waits as possibly running on a target which was
// not listed yet.
func (j *job) markUncertain() {
	j.unopenedUncertain = j.doc.Scheduled()
	for _, o := range j.open {
		o.markUncertain()
	}
}

func (o *occurrence) markUncertain() {
	for _, s := range o.steps {
		s.freshUncertain = true
		for _, t := range s.tasks {
			t.uncertain = t.waiting()
		}
	}
}

// clearUncertain undoes markUncertain.
func (j *job) clearUncertain() {
	j.unopenedUncertain = false
	for _, o := range j.open {
		for _, s := range o.steps {
			s.freshUncertain = false
			for _, t := range s.tasks {
				t.uncertain = false
			}
		}
	}
}

// uncertain reports whether something of the job may be running on a target that was not listed yet.
func (j *job) uncertain() bool {
	if j.unopenedUncertain && j.opened < j.due {
		return true
	}
	for _, o := range j.open {
		for _, s := range o.steps {
			if s.freshUncertain && s.fresh() > 0 || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.uncertain }) {
				return true
			}
		}
	}
	return false
}

// unopenedUsage returns what the occurrences without a state may use on targets that were not
// listed yet.
func (j *job) unopenedUsage() jobkeeper.Resources {
	var sum jobkeeper.Resources
	if !j.unopenedUncertain {
		return sum
	}
	for _, s := range j.doc.Steps {
		if len(s.After) == 0 {
			sum = sum.Plus(s.Needs.Times(int64(s.Count)))
		}
	}
	return sum.Times(int64(max(0, j.due-j.opened)))
}
