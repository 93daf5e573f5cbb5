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
	waitingMillicores  int64 // thousandths of a core that tasks which could start ask for
	upcomingMillicores int64 // the same for tasks of later steps of running jobs
	lateMillicores     int64 // the same for waiting tasks of jobs that can't be on time
	// labelledMillicores is what waiting tasks that need a label ask for, by label; it is in none of
	// the three above, since most VMs can't serve it.
	labelledMillicores    map[string]int64
	busyMillicores        int64 // reserved by what runs
	capacityMillicores    int64 // of usable targets
	waitingJobs           int   // accepted jobs of which no task has started
	backlogCoreMS         int64 // core-milliseconds of all work that is left
	usable                int   // targets that may get new work
	longRunningMillicores int64 // reserved by lasting tasks, whether they run or wait
	unschedulable         []unplacedTasks
}

// unplacedTasks is a step with tasks that wait longer than strandedAfter.
type unplacedTasks struct {
	step  *jobkeeper.Step
	tasks int
}

// maxUnschedulable bounds the steps of a pool for which VMs are looked for in a round.
const maxUnschedulable = 8

// addUnschedulable notes that so many tasks of a step wait for a place.
func (d *demand) addUnschedulable(step *jobkeeper.Step, tasks int) {
	if tasks > 0 && len(d.unschedulable) < maxUnschedulable {
		d.unschedulable = append(d.unschedulable, unplacedTasks{
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
	// fastTimeConstant is the time over which arrivals are averaged: short enough to see a
	// burst within half a second, long enough for a dozen jobs.
	fastTimeConstant = 600 * time.Millisecond
	// slowTimeConstant is the time of the slower average. While the load changes evenly, the
	// two differ by its change in slowTimeConstant - offeredMemory.
	slowTimeConstant = 3 * fastTimeConstant
	// trendHorizon is how far ahead the trend is followed. A VM takes longer to come, but
	// a load that jumps and stays would then get almost twice the VMs that it needs.
	trendHorizon = 600 * time.Millisecond
)

// add notes the arrival of work in core-milliseconds.
func (o *offeredLoad) add(workMS int64, now time.Duration) {
	o.fast, o.slow = o.averages(now)
	o.fast += float64(workMS) * 1000 / float64(fastTimeConstant.Milliseconds())
	o.slow += float64(workMS) * 1000 / float64(slowTimeConstant.Milliseconds())
	o.at = now
}

func (o *offeredLoad) averages(now time.Duration) (fast, slow float64) {
	age := float64(now - o.at)
	return o.fast * math.Exp(-age/float64(fastTimeConstant)), o.slow * math.Exp(-age/float64(slowTimeConstant))
}

// rate returns the load expected soon, in thousandths of a core.
func (o *offeredLoad) rate(now time.Duration) float64 {
	fast, slow := o.averages(now)
	const lag = fastTimeConstant // by which the faster average is late
	return max(0, fast+(fast-slow)*float64(lag+trendHorizon)/float64(slowTimeConstant-fastTimeConstant))
}

// tokenBucket measures how much a team sends against what it may expect.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// burstSeconds is how many seconds of its rate a team may send at once: demand
// comes in bursts of some seconds at several times the mean.
const burstSeconds = 4.0

// exceedsShare takes a job from the team's bucket and reports whether it was empty.
func (e *Engine) exceedsShare(doc *jobkeeper.Job, now time.Duration) bool {
	team, ok := e.conf.Teams[doc.Team]
	if !ok || team.Weight <= 0 {
		return false
	}
	b := e.teamBuckets[doc.Team]
	if b == nil {
		b = &tokenBucket{
			tokens: team.Weight * burstSeconds,
			at:     now,
		}
		e.teamBuckets[doc.Team] = b
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
			labelledMillicores: map[string]int64{},
		}
		for _, t := range p.targets {
			if !e.usable(t, now) {
				continue
			}
			p.demand.usable++
			p.demand.capacityMillicores += t.Capacity.CPUMillis
			p.demand.busyMillicores += t.used.CPUMillis
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
				p.demand.longRunningMillicores += left
			}
			if !s.step.Lasting {
				millis, _ := s.remainingWork(now)
				p.demand.backlogCoreMS += millis
			}
			if !s.ready() {
				if j.planned && s.step.Label == "" {
					p.demand.upcomingMillicores += left
				}
				continue
			}
			tasks := s.waitingTasks(now)
			p.demand.addUnschedulable(s.step, s.countLongWaiting(tasks, now))
			waiting := int64(len(tasks)) * s.step.Needs.CPUMillis
			switch {
			case s.step.Label != "":
				p.demand.labelledMillicores[s.step.Label] += waiting
			case j.planned || s.step.Lasting:
				p.demand.waitingMillicores += waiting
			default:
				p.demand.lateMillicores += waiting
			}
		}
	}
}

// unschedulableAfter is how long a task waits for a place before its pool gets another VM,
// whatever the sum of the gaps.
const unschedulableAfter = 400 * time.Millisecond

// countLongWaiting returns how many of the step's waiting tasks wait for long.
func (s *stepState) countLongWaiting(waiting []*task, now time.Duration) int {
	n := 0
	for _, t := range waiting {
		if now-max(t.lastEnd, s.occurrence.due) > unschedulableAfter {
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
	if p.demand.backlogCoreMS == 0 {
		return 0
	}
	return time.Duration(p.demand.backlogCoreMS*1000/max(1000, e.room(p).Millis)) * time.Millisecond
}

// minReportedWait is the shortest wait that is reported; no caller is refused for less.
const minReportedWait = 500 * time.Millisecond
