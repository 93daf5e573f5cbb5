package orchestrator

import "time"

// occurrence is one execution of the steps of a job; scheduled jobs have several.
type occurrence struct {
	number int
	due    time.Duration // on the engine's clock; the arrival for jobs that run once
	steps  []*stepState
	done   int           // number of steps that are done
	chain  time.Duration // expected critical path
	// firstChain is the critical path that was expected first.
	firstChain time.Duration
}

// openOccurrences creates the occurrences that are due.
func (e *Engine) openOccurrences(now time.Duration, wallMS int64) {
	for _, j := range e.active {
		before := j.opened
		j.openDue(e.cfg.EarlyStart, now, wallMS)
		e.markOpened(j, before, now)
	}
}

// openThrough creates the occurrences up to the number that are not due yet. An earlier owner whose
// clock was ahead may have started them.
func (e *Engine) openThrough(j *job, number int, now time.Duration, nowMS int64) {
	before := j.opened
	for j.opened <= number && j.opened < j.doc.Occurrences() {
		j.open(now, nowMS)
	}
	e.markOpened(j, before, now)
}

// markOpened predicts the durations of the occurrences from a number on, and marks their tasks as
// uncertain if an earlier owner may have started them.
func (e *Engine) markOpened(j *job, from int, now time.Duration) {
	for number := from; number < j.opened; number++ {
		e.predict(j.occurrences[number], now)
	}
	if !e.takingOver || j.created > e.cfg.Fence || j.state.Ended() {
		return
	}
	for number := from; number < j.opened; number++ {
		j.occurrences[number].markUncertain()
	}
}

func (j *job) openDue(early, now time.Duration, wallMS int64) {
	for j.opened < j.doc.Occurrences() && j.doc.DueMS(j.opened)-early.Milliseconds()/2 <= wallMS {
		j.open(now, wallMS)
	}
}

// open creates the next occurrence.
func (j *job) open(now time.Duration, wallMS int64) {
	o := &occurrence{
		number: j.opened,
		due:    j.arrival,
	}
	if j.doc.Scheduled() {
		o.due = now + time.Duration(j.doc.DueMS(j.opened)-wallMS)*time.Millisecond
	}
	for i := range j.doc.Steps {
		s := &stepState{
			job:        j,
			occurrence: o,
			index:      i,
			step:       &j.doc.Steps[i],
			kind:       kindOf(j.doc, &j.doc.Steps[i]),
		}
		count := s.step.Count
		for n := range count {
			s.tasks = append(s.tasks, &task{
				step:  s,
				index: n,
			})
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[j.opened] = o
	j.opened++
}

// markUncertain marks every waiting task as one that may be running on a target which
// was not listed yet.
func (j *job) markUncertain() {
	for _, o := range j.occurrences {
		o.markUncertain()
	}
}

func (o *occurrence) markUncertain() {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			t.uncertain = t.waiting()
		}
	}
}
