package orchestrator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// demand is what a pool is asked for.
type demand struct {
	waitingMillis int64 // thousandths of a core that tasks which could start ask for
	comingMillis  int64 // the same for tasks of later steps of running jobs
	lateMillis    int64 // the same for waiting tasks of jobs that can't be on time
	// labelled is what waiting tasks that need a label ask for, by label; it is in none of
	// the three above, since most VMs can't serve it.
	labelled      map[string]int64
	busyMillis    int64 // reserved by what runs
	capacity      int64 // of usable targets
	waitingJobs   int   // accepted jobs of which no task has started
	backlogMS     int64 // core-milliseconds of all work that is left
	usable        int   // targets that may get new work
	lastingMillis int64 // reserved by lasting tasks, whether they run or wait
	stranded      []strandedWork
}

// strandedWork is a step with tasks that wait longer than strandedAfter.
type strandedWork struct {
	step  *jobkeeper.Step
	tasks int
}

// maxStranded bounds the steps of a pool for which VMs are looked for in a round.
const maxStranded = 8

// strand notes that so many tasks of a step wait for a place.
func (d *demand) strand(step *jobkeeper.Step, tasks int) {
	if tasks > 0 && len(d.stranded) < maxStranded {
		d.stranded = append(d.stranded, strandedWork{
			step:  step,
			tasks: tasks,
		})
	}
}

// offeredLoad estimates the work that arrives, in thousandths of a core that it
// keeps busy. It is the sum of the arrivals, each decaying over offeredMemory, and
// follows their trend: a VM that is ordered now serves the load of the next seconds.
type offeredLoad struct {
	fast float64 // decays over offeredMemory
	slow float64 // decays over trendMemory
	at   time.Duration
}

const (
	// offeredMemory is the time over which arrivals are averaged: short enough to see a
	// burst within half a second, long enough for a dozen jobs.
	offeredMemory = 600 * time.Millisecond
	// trendMemory is the time of the slower average. While the load changes evenly, the
	// two differ by its change in trendMemory - offeredMemory.
	trendMemory = 3 * offeredMemory
	// trendHorizon is how far ahead the trend is followed. A VM takes longer to come, but
	// a load that jumps and stays would then get almost twice the VMs that it needs.
	trendHorizon = 600 * time.Millisecond
)

// add notes the arrival of work in core-milliseconds.
func (o *offeredLoad) add(workMS int64, now time.Duration) {
	o.fast, o.slow = o.averages(now)
	o.fast += float64(workMS) * 1000 / float64(offeredMemory.Milliseconds())
	o.slow += float64(workMS) * 1000 / float64(trendMemory.Milliseconds())
	o.at = now
}

func (o *offeredLoad) averages(now time.Duration) (fast, slow float64) {
	age := float64(now - o.at)
	return o.fast * math.Exp(-age/float64(offeredMemory)), o.slow * math.Exp(-age/float64(trendMemory))
}

// rate returns the load expected soon, in thousandths of a core.
func (o *offeredLoad) rate(now time.Duration) float64 {
	fast, slow := o.averages(now)
	const lag = offeredMemory // by which the faster average is late
	return max(0, fast+(fast-slow)*float64(lag+trendHorizon)/float64(trendMemory-offeredMemory))
}

// tokenBucket measures how much a team sends against what it may expect.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// burstSeconds is how many seconds of its rate a team may send at once: demand
// comes in bursts of some seconds at several times the mean.
const burstSeconds = 4.0

// exceeds takes a job from the team's bucket and reports whether it was empty.
func (e *Engine) exceeds(doc *jobkeeper.Job, now time.Duration) bool {
	team, ok := e.conf.Teams[doc.Team]
	if !ok || team.Weight <= 0 {
		return false
	}
	b := e.intake[doc.Team]
	if b == nil {
		b = &tokenBucket{
			tokens: team.Weight * burstSeconds,
			at:     now,
		}
		e.intake[doc.Team] = b
	}
	b.tokens = min(team.Weight*burstSeconds, b.tokens+team.Weight*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// measure computes the demand of each pool.
func (e *Engine) measure(now time.Duration) {
	for _, p := range e.pools {
		p.demand = demand{
			labelled: map[string]int64{},
		}
		for _, t := range p.targets {
			if !e.usable(t, now) {
				continue
			}
			p.demand.usable++
			p.demand.capacity += t.Capacity.CPUMillis
			p.demand.busyMillis += t.used.CPUMillis
		}
	}
	for _, j := range e.active {
		e.measureJob(j, now)
	}
}

func (e *Engine) measureJob(j *job, now time.Duration) {
	p := e.pool(e.poolOf(j))
	if !j.started && !j.doc.Scheduled() {
		p.demand.waitingJobs++
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.done == len(s.tasks) || s.step.Filling {
				continue
			}
			left := int64(len(s.tasks)-s.done) * s.step.Needs.CPUMillis
			if s.step.Lasting {
				p.demand.lastingMillis += left
			}
			if !s.step.Lasting {
				millis, _ := s.left(now)
				p.demand.backlogMS += millis
			}
			if !s.ready() {
				if j.planned && s.step.Label == "" {
					p.demand.comingMillis += left
				}
				continue
			}
			tasks := s.waitingTasks(now)
			p.demand.strand(s.step, s.stranded(tasks, now))
			waiting := int64(len(tasks)) * s.step.Needs.CPUMillis
			switch {
			case s.step.Label != "":
				p.demand.labelled[s.step.Label] += waiting
			case j.planned || s.step.Lasting:
				p.demand.waitingMillis += waiting
			default:
				p.demand.lateMillis += waiting
			}
		}
	}
}

// strandedAfter is how long a task waits for a place before its pool gets another VM,
// whatever the sum of the gaps.
const strandedAfter = 400 * time.Millisecond

// stranded returns how many of the step's waiting tasks wait for long.
func (s *stepState) stranded(waiting []*task, now time.Duration) int {
	n := 0
	for _, t := range waiting {
		if now-max(t.lastEnd, s.occurrence.due) > strandedAfter {
			n++
		}
	}
	return n
}

// QueueState is what the owner tells the other daemons of a queue.
type QueueState struct {
	Queue   string        `cbor:"1,keyasint"`
	Waiting int           `cbor:"2,keyasint,omitempty"` // accepted jobs without times of which no task has started
	Wait    time.Duration `cbor:"3,keyasint,omitempty"` // expected wait of a new job for room
}

// QueueStates returns the state of each queue that has any, by name.
func (e *Engine) QueueStates(now time.Duration) []QueueState {
	e.measure(now)
	waiting := map[string]int{}
	for _, j := range e.active {
		if !j.started && !j.doc.Scheduled() {
			waiting[j.doc.Queue]++
		}
	}
	waits := map[string]time.Duration{}
	for name, p := range e.pools {
		waits[name] = e.expectedWait(p)
	}
	var states []QueueState
	for _, name := range slices.Sorted(maps.Keys(e.conf.Queues)) {
		state := QueueState{
			Queue:   name,
			Waiting: waiting[name],
			Wait:    waits[e.conf.Queues[name].Pool],
		}
		if state.Waiting > 0 || state.Wait >= minReportedWait {
			states = append(states, state)
		}
	}
	return states
}

// expectedWait returns how long new work of a pool waits if it comes after all that
// is there.
func (e *Engine) expectedWait(p *pool) time.Duration {
	if p.demand.backlogMS == 0 {
		return 0
	}
	return time.Duration(p.demand.backlogMS*1000/max(1000, e.room(p).Millis)) * time.Millisecond
}

// minReportedWait is the shortest wait that is reported; no caller is refused for less.
const minReportedWait = 500 * time.Millisecond
