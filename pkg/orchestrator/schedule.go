package orchestrator

import (
	"slices"
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
	"github.com/comfreyford/comfreyford/pkg/sequencer"
)

const (
	// maxUnanswered bounds the starts that have not been answered. More of them would queue
	// in this daemon while the state that they were decided on goes out of date.
	maxUnanswered = 256
	// maxSlowdown is the slowdown above which a target gets no new tasks, unless they
	// have waited for slowTargetAfter.
	maxSlowdown = 2.5
	// slowTargetAfter is how long tasks wait before they may start on a slow target. It is
	// longer than a VM takes to move to the pool; a task that has waited longer than that
	// ends sooner on a slow target than after further waiting.
	slowTargetAfter = 2 * time.Second
)

// group is a step with tasks that could start now, as the sequencer orders them.
type group struct {
	step      *stepState
	candidate sequencer.Candidate
}

// start starts waiting tasks, pool by pool, in the sequencer's order as far as targets have
// room.
func (e *Engine) start(now time.Duration) {
	for name, groups := range e.waitingGroups(now) {
		p := e.pool(name)
		sort.SliceStable(groups, func(i, j int) bool {
			return sequencer.Compare(groups[i].candidate, groups[j].candidate) < 0
		})
		e.prioritizeGang(p, groups, now)
		e.startGroups(p, groups, now)
	}
	e.requestAdvice(now)
}

// waitingGroups returns the steps with tasks that could start, by pool. It stops gangs that
// run only in part.
func (e *Engine) waitingGroups(now time.Duration) map[string][]group {
	groups := map[string][]group{}
	for _, j := range e.active {
		if j.transferring {
			continue
		}
		name := e.poolOf(j)
		for _, o := range j.open {
			if o.due-e.cfg.EarlyStart/2 > now {
				continue
			}
			for _, s := range o.steps {
				if !s.hasWaiting(now) || !s.ready() {
					continue
				}
				if s.step.Gang && s.hasRuns() {
					e.stopIncompleteGang(s, now)
					continue
				}
				groups[name] = append(groups[name], group{
					step:      s,
					candidate: e.candidate(s, now),
				})
			}
		}
	}
	return groups
}

// hasWaiting reports whether a task of the step could start.
func (s *stepState) hasWaiting(now time.Duration) bool {
	if s.allDone() {
		return false
	}
	if s.freshStartable() > 0 {
		return true
	}
	for _, t := range s.tasks {
		if t.startable(now) {
			return true
		}
	}
	return false
}

func (t *task) startable(now time.Duration) bool {
	return t.waiting() && !t.uncertain && now >= t.notBefore
}

// candidate describes a step to the sequencer.
func (e *Engine) candidate(s *stepState, now time.Duration) sequencer.Candidate {
	j := s.job
	objective := e.objectiveOf(s.occurrence)
	due := s.occurrence.due + objective
	return sequencer.Candidate{
		LongRunning: s.step.LongRunning && !s.step.BestEffort,
		Planned:     j.planned,
		Excess:      j.excess,
		Entitled:    j.entitled,
		Started:     j.started,
		Priority:    e.queueOf(j).Priority,
		Slack:       due - now - s.forecast.path(),
		UsefulFor:   s.occurrence.due + sequencer.MaxTotalTimeFactor*objective - now - s.forecast.path(),
		CoreMS:      j.expectedWorkMS(),
		Arrival:     s.occurrence.due,
	}
}

// startGroups places the waiting tasks of a pool in order. All groups share the views of
// the targets, which are updated as tasks are placed.
func (e *Engine) startGroups(p *pool, groups []group, now time.Duration) {
	views := e.views(p, now)
	e.startTrials(p, groups, views, now)
	p.gangReserved, p.gangChecks = false, 0
	// Needs for which no target had room: without and with slow targets.
	var noRoom, noRoomOnSlow unplaceableNeeds
	for _, g := range groups {
		if e.unansweredStarts >= maxUnanswered {
			return
		}
		if g.step.step.Gang && g.step.suspected() {
			continue // startTrials places it
		}
		needs := g.step.step.Reserved()
		if noRoomOnSlow.covers(needs) || noRoom.covers(needs) && !g.step.acceptsSlowTargets(now) {
			e.logWait(g, p, waitRoom, now)
			continue
		}
		if !e.hasAdvice(g, p, now) {
			e.logWait(g, p, waitAdvice, now)
			continue
		}
		own := e.viewFor(views, g.step)
		e.weighInterference(p, own, g.step)
		start := e.startTasks
		if g.step.step.Gang {
			start = e.startGang
		}
		placed := start(p, g, own, now)
		for i := range own {
			views[i].Used, views[i].Idle, views[i].BestEffort, views[i].LatencySensitive = own[i].Used, own[i].Idle, own[i].BestEffort, own[i].LatencySensitive
		}
		if !placed && e.unconstrained(g.step) {
			noRoom = append(noRoom, needs)
			if g.step.acceptsSlowTargets(now) {
				noRoomOnSlow = append(noRoomOnSlow, needs)
			}
		}
		if !placed {
			e.logWait(g, p, waitRoom, now)
		}
	}
}

// What a step waits for, in the log.
const (
	waitRoom   = "room"
	waitLimit  = "upper limit"
	waitAdvice = "advice"
	waitTrial  = "isolated target"
	waitRecord = "record of a crash"
	waitCalm   = "end of the crashes in the pool"
)

const (
	// waitLogAfter is how long a step waits before the wait is logged.
	waitLogAfter = 2 * time.Second
	// waitLogRepeat is the time until the wait of the same step is logged again.
	waitLogRepeat = 10 * time.Second
	// waitLogInterval is the shortest time between two of these lines, which bounds their
	// number under overload.
	waitLogInterval = 50 * time.Millisecond
)

// logWait logs why a step does not start, at the rates above.
func (e *Engine) logWait(g group, p *pool, reason string, now time.Duration) {
	s := g.step
	waited := now - s.occurrence.due
	if waited < waitLogAfter || s.waitLoggedAt > 0 && now-s.waitLoggedAt < waitLogRepeat || now-e.waitLoggedAt < waitLogInterval {
		return
	}
	s.waitLoggedAt = now
	e.waitLoggedAt = now
	team := s.job.doc.Team
	e.cfg.Logger.Info("job step waiting", "job", s.job.doc.ID, "step", s.index, "for", reason, "pool", p.name, "targets", len(p.targets), "usable", p.demand.usable,
		"waited_ms", waited.Milliseconds(), "needs", s.step.Needs, "label", s.step.Label, "per_target", s.step.PerTarget, "gang", s.step.Gang, "planned", s.job.planned, "excess", s.job.excess, "slack_ms", g.candidate.Slack.Milliseconds(),
		"team", team, "team_used", e.usage[team], "team_limit", e.conf.Teams[team].Limit)
}

// unplaceableNeeds are the needs of tasks for which no target had room. There is none for a
// task that needs at least as much either.
type unplaceableNeeds []jobkeeper.Resources

func (u unplaceableNeeds) covers(needs jobkeeper.Resources) bool {
	for _, failed := range u {
		if failed.FitsIn(needs) {
			return true
		}
	}
	return false
}

// unconstrained reports whether tasks of the step can run on any target with enough room, so that
// a failure to place one shows a lack of room for other steps too.
func (e *Engine) unconstrained(s *stepState) bool {
	return s.step.PerTarget == 0 && s.step.Label == "" && !s.step.Gang && !e.adviceRequired(s)
}

// startTasks places the waiting tasks of a step one by one. It returns false if there was no
// room for one of them, except when that task avoids a target that failed it.
func (e *Engine) startTasks(p *pool, g group, views []packer.Target, now time.Duration) bool {
	for n := range len(g.step.tasks) + g.step.freshStartable() {
		t := g.step.peek(n)
		if !t.startable(now) || t.trial() > 0 {
			continue // startTrials places those that need a trial
		}
		if e.unansweredStarts >= maxUnanswered {
			return true
		}
		if !e.withinLimit(g.step.job.doc.Team, g.step.step.Needs) {
			e.logWait(g, p, waitLimit, now)
			return true
		}
		rack := g.step.rack()
		i := e.choose(g.step, t, rack, views, now)
		if i < 0 {
			return t.avoid != ""
		}
		e.reportApart(t, p, views, i, rack, now)
		t = g.step.task(n)
		e.launch(t, p.targets[i], e.nextRun(g.step.job), now)
		place(&views[i], g.step.step)
		views[i].Interference = p.targets[i].expectedInterference(g.step, e.disturbances(g.step.kind))
	}
	return true
}

func place(v *packer.Target, step *jobkeeper.Step) {
	v.Used = v.Used.Plus(step.Reserved())
	v.SameStep++
	v.Idle = false
	if step.BestEffort {
		v.BestEffort++
	}
	if step.TailLatencyTargetMS > 0 {
		v.LatencySensitive++
	}
}

// choose picks a target for a task and returns its index, or -1. After slowTargetAfter it
// falls back on slow targets, and after failureCooldown on the target that failed the task.
func (e *Engine) choose(s *stepState, t *task, rack string, views []packer.Target, now time.Duration) int {
	request := e.request(s, rack)
	if i := packer.Choose(request, e.withoutAvoided(t, views)); i >= 0 {
		return i
	}
	if s.acceptsSlowTargets(now) {
		request.MaxSlowdown = 0
		if i := packer.Choose(request, e.withoutAvoided(t, views)); i >= 0 {
			return i
		}
	}
	if now-t.lastEnd < failureCooldown || t.avoid == "" {
		return -1
	}
	return packer.Choose(request, views)
}

// acceptsSlowTargets reports whether the step has waited long enough to use slow targets.
func (s *stepState) acceptsSlowTargets(now time.Duration) bool {
	return now-s.readyAt(now) > slowTargetAfter
}

func (e *Engine) withoutAvoided(t *task, views []packer.Target) []packer.Target {
	if t.avoid == "" {
		return views
	}
	kept := append([]packer.Target(nil), views...)
	for i := range kept {
		if kept[i].ID == t.avoid {
			kept[i].Closed = true
		}
	}
	return kept
}

func (e *Engine) request(s *stepState, rack string) packer.Request {
	return packer.Request{
		Step:         s.step,
		RemoteFactor: e.cfg.RemoteFactor,
		MaxSlowdown:  maxSlowdown,
		Rack:         rack,
	}
}

// rack returns the rack of the first run found of a same-rack step, or "" if there is none.
func (s *stepState) rack() string {
	if !s.step.SameRack {
		return ""
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			return a.target.Rack
		}
	}
	return ""
}

// withinLimit reports whether the team may start a task with the given needs. A task that
// is larger than the rest of the limit may start when at most half of the limit is used;
// otherwise it would wait until nothing else of the team runs.
func (e *Engine) withinLimit(team string, needs jobkeeper.Resources) bool {
	if e.conf.Teams[team].Excluded {
		return false
	}
	limit := e.conf.Teams[team].Limit
	used := e.teamUsage(team)
	return fitsLimit(used.Plus(needs), limit) || fitsLimit(used.Times(2), limit)
}

// teamUsage returns what the runs of a team use. During a takeover that includes tasks
// that may be running on targets which were not listed yet.
func (e *Engine) teamUsage(team string) jobkeeper.Resources {
	used := e.usage[team]
	if e.takingOver {
		used = used.Plus(e.uncertainUsage(team))
	}
	return used
}

func fitsLimit(used, limit jobkeeper.Resources) bool {
	return within(used.CPUMillis, limit.CPUMillis) && within(used.MemoryMB, limit.MemoryMB) && within(used.GPUs, limit.GPUs)
}

func within(used, limit int64) bool {
	return limit == 0 || used <= limit
}

// uncertainUsage returns what a team's tasks may use on targets that were not listed yet.
func (e *Engine) uncertainUsage(team string) jobkeeper.Resources {
	if e.uncertainByTeam == nil {
		e.uncertainByTeam = e.measureUncertain()
	}
	return e.uncertainByTeam[team]
}

// measureUncertain computes uncertainUsage for all teams.
func (e *Engine) measureUncertain() map[string]jobkeeper.Resources {
	usage := map[string]jobkeeper.Resources{}
	for _, j := range slices.Concat(e.active, e.stopping) {
		sum := j.unopenedUsage()
		for _, o := range j.open {
			for _, s := range o.steps {
				if !s.ready() {
					continue
				}
				for _, t := range s.tasks {
					if t.uncertain {
						sum = sum.Plus(s.step.Needs)
					}
				}
				if s.freshUncertain {
					sum = sum.Plus(s.step.Needs.Times(int64(s.fresh())))
				}
			}
		}
		usage[j.doc.Team] = usage[j.doc.Team].Plus(sum)
	}
	return usage
}

// launch orders the start of a task on a target and updates the state of its step and job.
func (e *Engine) launch(t *task, on *target, run uint64, now time.Duration) {
	a := &attempt{
		task:       t,
		run:        run,
		target:     on,
		phase:      phaseOrdered,
		orderedAt:  now,
		progressAt: now,
		trial:      t.trial(),
		resumed:    t.checkpoint != "",
		pace:       100,
	}
	e.attach(a)
	j := t.step.job
	if s := t.step; !s.started {
		s.started = true
		j.waited += now - s.readyAt(now)
	}
	if !j.started {
		j.started = true
		if j.state == jobkeeper.StateQueued {
			j.state = jobkeeper.StateRunning
			e.dirty[j.doc.ID] = true
		}
		e.cfg.Observer.JobStarted(j.doc.Queue, j.doc.Team, now-t.step.occurrence.due)
		e.cfg.Logger.Info("job started", "job", j.doc.ID, "queue", j.doc.Queue, "waited_ms", (now - t.step.occurrence.due).Milliseconds(), "target", on.ID)
	}
	e.stats.Starts++
	e.unansweredStarts++
	deadline := on.estimateClockMS(now) + e.cfg.LeaseDuration.Milliseconds()
	on.deadlineMS = max(on.deadlineMS, deadline)
	e.orders = append(e.orders, Order{
		Kind:       KindStart,
		Target:     on.Endpoint,
		Fence:      e.cfg.Fence,
		Task:       t.id(),
		Run:        run,
		Spec:       j.doc.Spec,
		Checkpoint: t.checkpoint,
		Ticket:     t.step.advice.tickets[on.ID],
		DeadlineMS: deadline,

		incarnation: on.incarnation,
	})
	e.cfg.Logger.Debug("task started", "task", t.id().String(), "run", run, "target", on.ID, "waited_ms", (now - t.step.occurrence.due).Milliseconds())
}

// runBits is the width of the counter in a run number. The bits above it are the fencing
// token or the revision of the job's document, whichever is later, so that the numbers of a
// later owner are higher without a record of the earlier ones: the document of a job that
// came from another cell was written after its last run there.
const runBits = 20

func (e *Engine) nextRun(j *job) uint64 {
	e.runs++
	return uint64(max(e.cfg.Fence, j.created))<<runBits | e.runs
}
