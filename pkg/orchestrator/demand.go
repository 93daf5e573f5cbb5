package orchestrator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// demand summarizes the work and the usable capacity of a pool. Millicores are thousandths
// of a core.
type demand struct {
	waitingMillicores  int64 // requested by tasks that could start, not counting late jobs
	upcomingMillicores int64 // requested by tasks that wait for earlier steps, not counting late jobs
	lateMillicores     int64 // requested by tasks that could start, of jobs expected to be late
	// labelledMillicores is requested by waiting tasks that need a label, by label. The three
	// amounts above leave it out, because most VMs can't run these tasks.
	labelledMillicores    map[string]int64
	busyMillicores        int64 // reserved by runs on usable targets
	capacityMillicores    int64 // of usable targets
	waitingJobs           int   // jobs without a schedule of which no task has started
	backlogCoreMS         int64 // remaining work of tasks that end, in core-milliseconds
	usable                int   // number of targets that may get new work
	longRunningMillicores int64 // requested by long-running tasks, whether they run or wait
	unschedulable         []unplacedTasks
}

// unplacedTasks is a number of tasks of a step that have waited longer than
// unschedulableAfter, or that are displaced and fit on no other target.
type unplacedTasks struct {
	step  *jobkeeper.Step
	tasks int
}

// maxUnschedulable bounds the steps of a pool for which VMs are sought in a round.
const maxUnschedulable = 8

// addUnschedulable records that a number of tasks of the step have waited longer than
// unschedulableAfter.
func (d *demand) addUnschedulable(step *jobkeeper.Step, tasks int) {
	if tasks > 0 && len(d.unschedulable) < maxUnschedulable {
		d.unschedulable = append(d.unschedulable, unplacedTasks{
			step:  step,
			tasks: tasks,
		})
	}
}

// offeredLoad estimates the load of arriving work in millicores. It keeps two
// exponentially decaying averages and extrapolates their trend, because a VM that is
// ordered now serves the load of the next seconds.
type offeredLoad struct {
	fast float64 // decays with fastTimeConstant
	slow float64 // decays with slowTimeConstant
	at   time.Duration
}

const (
	// fastTimeConstant is the time over which arrivals are averaged: short enough to see a
	// burst within half a second, long enough to cover a dozen jobs.
	fastTimeConstant = 600 * time.Millisecond
	// slowTimeConstant is that of the slower average. While the load changes linearly, the
	// two averages differ by its change in slowTimeConstant - fastTimeConstant.
	slowTimeConstant = 3 * fastTimeConstant
	// trendHorizon is how far ahead the trend is extrapolated. A VM takes longer than that
	// to move, but with a longer horizon a load that jumps and then stays level gets almost
	// twice the VMs that it needs.
	trendHorizon = 600 * time.Millisecond
)

// add records the arrival of an amount of work in core-milliseconds.
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

// rate returns the load that is expected trendHorizon from now, in millicores.
func (o *offeredLoad) rate(now time.Duration) float64 {
	fast, slow := o.averages(now)
	const lag = fastTimeConstant // of the faster average behind the load
	return max(0, fast+(fast-slow)*float64(lag+trendHorizon)/float64(slowTimeConstant-fastTimeConstant))
}

// tokenBucket compares the jobs that a team submits with the rate it is entitled to. A
// token is one job.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// burstSeconds is the size of a team's bucket in seconds of its rate: jobs arrive in bursts
// of some seconds at several times the mean rate.
const burstSeconds = 4.0

// exceedsRate takes a token for the job from its team's bucket. It returns true if there was none.
// The forecast leaves such jobs out, as they aren't expected again.
func (e *Engine) exceedsRate(doc *jobkeeper.Job, now time.Duration) bool {
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
	for _, o := range j.open {
		for _, s := range o.steps {
			if s.allDone() || s.step.BestEffort {
				continue
			}
			requested := int64(s.step.Count-s.done) * s.step.Needs.CPUMillis
			if s.step.LongRunning {
				p.demand.longRunningMillicores += requested
			}
			if !s.step.LongRunning {
				p.demand.backlogCoreMS += s.forecast.coreMS
			}
			if !s.ready() {
				if j.reachable && s.step.Label == "" {
					p.demand.upcomingMillicores += requested
				}
				continue
			}
			tasks, longWaiting := s.countWaiting(now)
			p.demand.addUnschedulable(s.step, longWaiting)
			waiting := int64(tasks) * s.step.Needs.CPUMillis
			switch {
			case s.step.Label != "":
				p.demand.labelledMillicores[s.step.Label] += waiting
			case j.reachable || s.step.LongRunning:
				p.demand.waitingMillicores += waiting
			default:
				p.demand.lateMillicores += waiting
			}
		}
	}
}

// unschedulableAfter is how long a task waits before its pool gets another VM, even if the
// free capacity of the pool adds up to what the task needs.
const unschedulableAfter = 400 * time.Millisecond

// countWaiting returns how many tasks of the step could start, and how many of them have waited
// longer than unschedulableAfter.
func (s *stepState) countWaiting(now time.Duration) (all, long int) {
	for _, t := range s.tasks {
		if !t.startable(now) {
			continue
		}
		all++
		if now-max(t.lastEnd, s.occurrence.due) > unschedulableAfter {
			long++
		}
	}
	fresh := s.freshStartable()
	if now-s.occurrence.due > unschedulableAfter {
		long += fresh
	}
	return all + fresh, long
}

// QueueState is the state of a queue that the owner publishes to the other daemons.
type QueueState struct {
	Queue        string        `cbor:"1,keyasint"`
	Waiting      int           `cbor:"2,keyasint,omitempty"` // jobs without a schedule, none started
	ExpectedWait time.Duration `cbor:"3,keyasint,omitempty"` // expected time until all accepted work is done
	// OnTimeWait is the expected time until the work that can end on time is done, and TeamWaits
	// those of the teams that wait longer, within their upper limits.
	OnTimeWait time.Duration            `cbor:"4,keyasint,omitempty"`
	TeamWaits  map[string]time.Duration `cbor:"5,keyasint,omitempty"`
	// Inflow is the work that was accepted lately, as a multiple of what the pool can do when new
	// work has its turn.
	Inflow float64 `cbor:"6,keyasint,omitempty"`
}

// QueueStates returns the states of the queues with waiting jobs or a wait of at least
// 500 ms, sorted by name.
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
		waits[name] = e.expectedWait(p, now)
	}
	var states []QueueState
	for _, name := range slices.Sorted(maps.Keys(e.conf.Queues)) {
		state := QueueState{
			Queue:        name,
			Waiting:      waiting[name],
			ExpectedWait: waits[e.conf.Queues[name].Pool],
		}
		if p := e.pools[e.conf.Queues[name].Pool]; p != nil {
			state.OnTimeWait = p.waits.All
			state.TeamWaits = longestWaits(p.waits.Teams, max(minReportedWait, p.waits.All))
			state.Inflow = e.inflow(p, state.ExpectedWait, now)
		}
		if state.Waiting > 0 || state.ExpectedWait >= minReportedWait {
			states = append(states, state)
		}
	}
	return states
}

// maxReportedTeams bounds the teams of a queue whose waits are reported.
const maxReportedTeams = 16

// longestWaits returns the longest of the waits above a minimum.
func longestWaits(waits map[string]time.Duration, above time.Duration) map[string]time.Duration {
	teams := slices.Sorted(maps.Keys(waits))
	slices.SortStableFunc(teams, func(a, b string) int { return cmp.Compare(waits[b], waits[a]) })
	var longest map[string]time.Duration
	for _, team := range teams[:min(len(teams), maxReportedTeams)] {
		if waits[team] <= above {
			break
		}
		if longest == nil {
			longest = map[string]time.Duration{}
		}
		longest[team] = waits[team]
	}
	return longest
}

// inflow returns the work that was accepted for a pool lately, as a multiple of what the pool can do
// at the end of the given wait, when new work has its turn.
func (e *Engine) inflow(p *pool, wait, now time.Duration) float64 {
	fast, _ := p.offered.averages(now)
	capacity := e.planCapacity(p, now)
	millicores := capacity.Millicores
	if wait >= capacity.ComingIn {
		millicores += capacity.Coming
	}
	return fast / float64(max(minInflowMillicores, millicores))
}

// minInflowMillicores is the capacity to which the inflow of a pool relates if it has less.
const minInflowMillicores = 1000

// expectedWait returns how long new work of a pool waits if the whole backlog is done first.
func (e *Engine) expectedWait(p *pool, now time.Duration) time.Duration {
	if p.demand.backlogCoreMS == 0 {
		return 0
	}
	return e.planCapacity(p, now).BusyTime(p.demand.backlogCoreMS)
}

// minReportedWait is the shortest wait that is reported; no job is refused for less.
const minReportedWait = 500 * time.Millisecond
