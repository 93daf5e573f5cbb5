package orchestrator

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/predictor"
)

// This file predicts durations: of tasks, for the work that is left; of the longest task of a
// step, for critical paths and objectives; and of runs, from their progress.

const (
	// minRateProgress is the progress in percent from which the rate of a run is computed.
	// Before it, the start-up of the task and the time since the list distort the result.
	minRateProgress = 10
	// minLeftShare is the part of its expected duration that a run is assumed to have left
	// when it has lasted longer than expected.
	minLeftShare = 0.1
	// learnedAge is the time for which a step uses what was learned of its queue before it asks
	// again, so that plans of a long backlog stay cheap.
	learnedAge = 500 * time.Millisecond
	// maxRateLeft bounds the time that a run has left by its rate.
	maxRateLeft = 10 * time.Minute
)

// durations holds what the owner has learned.
type durations struct {
	tasks *predictor.Predictor
	// longest predicts the longest task of a step.
	longest *predictor.Predictor
}

func newDurations() durations {
	return durations{
		tasks:   predictor.New(predictor.Config{}),
		longest: predictor.New(predictor.Config{}),
	}
}

// QueueDurations is what an owner has learned of the durations of a queue, for the daemons that
// admit jobs and for later owners.
type QueueDurations struct {
	Tasks   predictor.Summary `cbor:"1,keyasint"`
	Longest predictor.Summary `cbor:"2,keyasint"`
}

// Durations returns what has been learned of each configured queue, sorted by name.
func (e *Engine) Durations() []QueueDurations {
	var list []QueueDurations
	for _, name := range slices.Sorted(maps.Keys(e.conf.Queues)) {
		tasks, known := e.durations.tasks.Summary(name)
		longest, ended := e.durations.longest.Summary(name)
		if known && ended {
			list = append(list, QueueDurations{
				Tasks:   tasks.Rounded(),
				Longest: longest.Rounded(),
			})
		}
	}
	return list
}

// LoadDurations adds what another owner has learned, for queues of which it knows more.
func (e *Engine) LoadDurations(list []QueueDurations) {
	for _, d := range list {
		e.durations.tasks.Load(d.Tasks)
		e.durations.longest.Load(d.Longest)
	}
}

// CriticalPath returns the predicted critical path of a job of the queue.
func (d QueueDurations) CriticalPath(doc *jobkeeper.Job) time.Duration {
	return time.Duration(longestPath(doc, func(i int) float64 {
		return d.Longest.Predict(float64(doc.Steps[i].EstimateMS)).DurationMS
	}) * float64(time.Millisecond))
}

// WorkMS returns the predicted work of one occurrence of a job of the queue, in
// core-milliseconds.
func (d QueueDurations) WorkMS(doc *jobkeeper.Job) int64 {
	sum := 0.0
	for i := range doc.Steps {
		s := &doc.Steps[i]
		sum += float64(s.Count) * d.Tasks.Predict(float64(s.EstimateMS)).MeanMS * float64(s.Needs.CPUMillis) / 1000
	}
	return int64(sum)
}

// longestPath returns the length of the longest chain of dependent steps with the given lengths.
func longestPath(doc *jobkeeper.Job, length func(step int) float64) float64 {
	longest := 0.0
	for _, ms := range pathsAfter(doc, length) {
		longest = max(longest, ms)
	}
	return longest
}

// pathsAfter returns for each step the length of its longest chain of dependent steps, itself
// included.
func pathsAfter(doc *jobkeeper.Job, length func(step int) float64) []float64 {
	after := make([]float64, len(doc.Steps))
	for i := len(doc.Steps) - 1; i >= 0; i-- {
		after[i] += length(i)
		for _, before := range doc.Steps[i].After {
			after[before] = max(after[before], after[i])
		}
	}
	return after
}

// forecast is what is expected of a step. It is renewed with each plan.
type forecast struct {
	taskMS    float64 // duration of a task
	meanMS    float64 // mean duration of tasks, with the tail of long ones
	longestMS float64 // duration of the longest task
	learnedAt time.Duration
	coreMS    int64   // work that is left, in core-milliseconds
	leftMS    float64 // time until the last task ends, if all start at once
	totalMS   float64 // duration of the longest task, as far as it is known
	pathMS    float64 // time from now to the end of the job, if the step can start at once
}

// path returns the time from now to the end of the job if the step can start at once.
func (f forecast) path() time.Duration {
	return time.Duration(f.pathMS * float64(time.Millisecond))
}

// left returns the critical path of the occurrence that is left.
func (o *occurrence) left() time.Duration {
	var longest time.Duration
	for _, s := range o.steps {
		longest = max(longest, s.forecast.path())
	}
	return longest
}

// taskKey describes a task of the step to the predictor. Names are hashed, as callers choose
// their length.
func (s *stepState) taskKey() predictor.Key {
	kind := "step " + strconv.Itoa(s.index)
	switch {
	case s.step.Image != "":
		h := fnv.New64a()
		h.Write([]byte(s.step.Image))
		kind = "image " + strconv.FormatUint(h.Sum64(), 36)
	case s.step.Gang:
		kind = "gang"
	case s.step.Checkpointing:
		kind = "checkpointing " + strconv.Itoa(s.index)
	}
	return predictor.Key{
		Queue: s.job.doc.Queue,
		Kind:  kind,
		Team:  s.job.doc.Team,
	}
}

// longestKey describes the step: the more tasks, the longer the longest of them.
func (s *stepState) longestKey() predictor.Key {
	return predictor.Key{
		Queue: s.job.doc.Queue,
		Kind:  "width " + strconv.Itoa(bits.Len(uint(s.step.Count))),
		Team:  s.job.doc.Team,
	}
}

// expectedMS returns the duration that is expected of a task of the step, in ms.
func (e *Engine) expectedMS(s *stepState) int64 {
	return int64(s.forecast.taskMS)
}

// learnDuration learns the duration of a run that has ended successfully.
func (e *Engine) learnDuration(a *attempt, now time.Duration) {
	s := a.task.step
	if s.step.LongRunning || s.step.BestEffort || a.confirmedAt == 0 {
		return
	}
	if a.adopted || a.task.checkpoint != "" {
		s.incomplete = true
		return
	}
	ms := e.soundMS(a, now-a.confirmedAt)
	s.longestDoneMS = max(s.longestDoneMS, ms)
	if a.task.done {
		return // another member of its gang was observed
	}
	key := s.taskKey()
	key.VM = a.target.VM
	e.durations.tasks.Observe(predictor.Observation{
		Key:        key,
		EstimateMS: float64(s.step.EstimateMS),
		DurationMS: ms,
	})
}

// learnStep learns the duration of the longest task of a step that is done.
func (e *Engine) learnStep(s *stepState) {
	if s.incomplete || s.longestDoneMS <= 0 {
		return
	}
	e.durations.longest.Observe(predictor.Observation{
		Key:        s.longestKey(),
		EstimateMS: float64(s.step.EstimateMS),
		DurationMS: s.longestDoneMS,
	})
}

// soundMS converts the duration of a run to that near its data, in ms.
func (e *Engine) soundMS(a *attempt, d time.Duration) float64 {
	ms := float64(d.Microseconds()) / 1000
	if rack := a.task.step.step.Rack; rack != "" && rack != a.target.Rack {
		ms /= max(1, e.cfg.RemoteFactor)
	}
	return ms
}

// noteProgress computes the time that a run has left from its progress between lists.
func (a *attempt) noteProgress(percent int, now time.Duration) {
	if a.task.step.step.LongRunning {
		return
	}
	if a.rateAt == 0 {
		a.rateAt, a.ratePercent = now, percent
		if !a.adopted && a.task.checkpoint == "" {
			a.rateAt, a.ratePercent = a.confirmedAt, 0
		}
	}
	gained := percent - a.ratePercent
	if gained < minRateProgress || percent >= 100 || now <= a.rateAt {
		return
	}
	left := float64(now-a.rateAt) * float64(100-percent) / float64(gained)
	a.endExpectedAt = now + time.Duration(min(left, float64(maxRateLeft)))
}

// leftMS returns the time until the end of a run, in ms, as far as its progress or the expected
// duration tell.
func (a *attempt) leftMS(expectedMS float64, now time.Duration) float64 {
	least := minLeftShare * expectedMS
	switch {
	case a.phase != phaseRunning || a.confirmedAt == 0:
		return expectedMS
	case a.endExpectedAt > 0:
		return max(float64((a.endExpectedAt-now).Microseconds())/1000, min(least, expectedMS))
	}
	return max(least, expectedMS-float64((now-a.confirmedAt).Microseconds())/1000)
}

// predict renews what is expected of the steps of an occurrence and of its critical path.
func (e *Engine) predict(o *occurrence, now time.Duration) {
	doc := o.steps[0].job.doc
	for _, s := range o.steps {
		e.predictStep(s, now)
	}
	left := pathsAfter(doc, func(i int) float64 { return o.steps[i].forecast.leftMS })
	for i, s := range o.steps {
		s.forecast.pathMS = left[i]
	}
	chainMS := longestPath(doc, func(i int) float64 { return o.steps[i].forecast.totalMS })
	o.chain = time.Duration(chainMS * float64(time.Millisecond))
	if o.firstChain == 0 {
		o.firstChain = o.chain
	}
}

func (e *Engine) predictStep(s *stepState, now time.Duration) {
	e.askLearned(s, now)
	f := forecast{
		taskMS:    s.forecast.taskMS,
		meanMS:    s.forecast.meanMS,
		longestMS: s.forecast.longestMS,
		learnedAt: s.forecast.learnedAt,
		totalMS:   s.longestDoneMS,
	}
	if s.allDone() {
		if f.totalMS == 0 {
			f.totalMS = f.longestMS
		}
		s.forecast = f
		return
	}
	var sum, shortest float64
	unknown := 0 // tasks without progress that shows their end
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		left := f.taskMS
		known := false
		for _, a := range t.attempts {
			left = min(left, a.leftMS(f.taskMS, now))
			if a.endExpectedAt > 0 {
				left = a.leftMS(f.taskMS, now)
				f.leftMS = max(f.leftMS, left)
				f.totalMS = max(f.totalMS, e.soundMS(a, now-a.confirmedAt)+left)
				known = true
			}
		}
		if len(t.attempts) == 0 {
			sum += f.meanMS
		} else {
			sum += left
		}
		if !known {
			elapsed := f.taskMS - left
			if unknown == 0 || elapsed < shortest {
				shortest = elapsed
			}
			unknown++
		}
	}
	if fresh := s.fresh(); fresh > 0 {
		sum += float64(fresh) * f.meanMS
		shortest = 0
		unknown += fresh
	}
	if unknown > 0 {
		longest := f.longestOf(unknown, s.step.Count)
		f.leftMS = max(f.leftMS, longest-shortest)
		f.totalMS = max(f.totalMS, longest)
	}
	f.coreMS = int64(sum * float64(s.step.Needs.CPUMillis) / 1000)
	s.forecast = f
}

// askLearned renews the durations that are expected of the tasks of a step, at most once in
// learnedAge.
func (e *Engine) askLearned(s *stepState, now time.Duration) {
	f := &s.forecast
	if f.learnedAt > 0 && now-f.learnedAt < learnedAge {
		return
	}
	f.learnedAt = now
	estimate := float64(s.step.EstimateMS)
	f.taskMS, f.meanMS, f.longestMS = estimate, estimate, estimate
	if s.step.LongRunning {
		return
	}
	task := e.durations.tasks.Predict(s.taskKey(), estimate)
	f.taskMS, f.meanMS = task.DurationMS, task.MeanMS
	f.longestMS = max(f.taskMS, e.durations.longest.Predict(s.longestKey(), estimate).DurationMS)
}

// longestOf returns the duration of the longest of n tasks of a step with the given width. It
// grows with the logarithm of n, from that of one task to that of the whole step.
func (f forecast) longestOf(n, width int) float64 {
	if n >= width || f.taskMS <= 0 {
		return f.longestMS
	}
	return f.taskMS * math.Pow(f.longestMS/f.taskMS, math.Log(float64(n))/math.Log(float64(width)))
}

// objectiveOf returns the time within which an occurrence should end.
func (e *Engine) objectiveOf(o *occurrence) time.Duration {
	return e.queueOf(o.steps[0].job).Objective(o.chain)
}

// current returns the first occurrence that is not done, or nil if none is open.
func (j *job) current() *occurrence {
	return j.occurrence(j.finished)
}

// chain returns the critical path that is expected of the job's current occurrence. If none is
// open, it is that of the last one or, without one, the estimated one.
func (j *job) chain() time.Duration {
	if o := j.current(); o != nil {
		return o.chain
	}
	return cmp.Or(j.lastChain, time.Duration(j.doc.CriticalPathMS())*time.Millisecond)
}

// firstChain returns the critical path that was expected when the occurrence of chain was opened.
func (j *job) firstChain() time.Duration {
	if o := j.current(); o != nil {
		return o.firstChain
	}
	return cmp.Or(j.lastFirstChain, j.chain())
}

// expectedWorkMS returns the work that is expected of the job's current occurrence, in
// core-milliseconds; the estimated work if none is open.
func (j *job) expectedWorkMS() int64 {
	o := j.current()
	if o == nil {
		return j.doc.WorkMS()
	}
	var sum int64
	for _, s := range o.steps {
		sum += s.forecast.coreMS
	}
	return sum
}
