package orchestrator

import (
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

const (
	// suspectFailures is the number of failed tasks in a row that make a target suspect.
	suspectFailures = 2
	// suspectBase is how long a suspect target is left out at first.
	suspectBase = 3 * time.Second
	// suspectShare is the greatest share of a pool that is left out at a time.
	suspectShare = 0.34
	// contactTimeout is how old the last answer of a target may be for new starts;
	// the wait of a hold and its timeout together.
	contactTimeout = 2500 * time.Millisecond
	// failureCooldown is how long a target gets no new starts after it left one
	// unanswered or refused it for a reason of its own.
	failureCooldown = 400 * time.Millisecond
	// speedWeight is the weight of the newest observation of a target's speed.
	speedWeight = 0.3
	// speedSampleMin is the shortest run from which a speed is taken; below it the
	// start-up of the task distorts the figure.
	speedSampleMin = 400 * time.Millisecond
)

// target is one life of a VM that runs work.
type target struct {
	Registration
	registered     bool
	listed         bool          // its lists were read under this fence
	listedAt       time.Duration // when the last answered list was asked for
	answeredAt     time.Duration
	failedAt       time.Duration // when a call last failed; zero if the last one succeeded
	clockMS        int64         // its clock ...
	clockAt        time.Duration // ... when this answer arrived
	deadlineMS     int64         // latest lease end that was asked for, on its clock
	seen           uint64        // highest number of an end that was taken into account
	recorded       uint64        // ends up to this number are in the store
	acknowledged   uint64        // ends up to this number were acknowledged
	incarnation    int64
	attempts       map[runKey]*attempt
	unexpectedRuns int // listed runs that are no attempts: they are being stopped and take room
	used           jobkeeper.Resources
	serving        int // runs whose response times matter
	filling        int // runs that use what others leave
	slowdown       float64
	closedUntil    time.Duration // refused for want of room or by a failing target
	evacuating     bool          // its VM is about to move or to be maintained
	removing       bool          // its VM was ordered to move or to be maintained
	terminated     bool          // it no longer lives on its VM
	cordoned       bool          // its VM is to serve another pool as soon as it is idle
}

// contactable reports whether the target answered lately.
func (t *target) contactable(now time.Duration) bool {
	return t.listed && t.failedAt == 0 && now-t.answeredAt < contactTimeout
}

// estimateClockMS estimates the target's estimateClockMS; the estimate is never ahead by more than the drift.
func (t *target) estimateClockMS(now time.Duration) int64 {
	return t.clockMS + (now - t.clockAt).Milliseconds()
}

// lapsedBy returns the time at which everything that runs on the target has
// lapsed if it hears nothing more.
func (t *target) lapsedBy() time.Duration {
	left := time.Duration(t.deadlineMS-t.clockMS) * time.Millisecond
	return t.clockAt + time.Duration(float64(left)*(1+clockDrift)) + 50*time.Millisecond
}

// setClock takes the clock from an answer.
func (t *target) setClock(clockMS int64, receivedAt time.Duration) {
	if clockMS <= 0 || receivedAt < t.clockAt {
		return
	}
	t.clockMS = clockMS
	t.clockAt = receivedAt
}

// Register adds a target or updates what is known of it.
func (e *Engine) Register(r Registration, now time.Duration) {
	t := e.targets[r.ID]
	if t != nil && r.Born != 0 && t.incarnation != 0 && r.Born != t.incarnation {
		e.targetRestarted(t, r.Born, now)
	}
	if t == nil {
		t = &target{
			attempts:    map[runKey]*attempt{},
			slowdown:    1,
			incarnation: r.Born,
		}
		e.targets[r.ID] = t
		e.cfg.Logger.Info("target registered", "target", r.ID, "pool", r.Pool, "address", r.Address, "draining", r.Draining)
	} else if r.Draining && !t.Draining {
		e.cfg.Logger.Info("target drains", "target", r.ID, "pool", r.Pool)
	}
	// Most registrations are heartbeats, which change no group.
	moved := !t.registered || t.Pool != r.Pool
	vm := t.VM
	t.Registration = r
	if t.VM == "" {
		t.VM = vm
	}
	t.registered = true
	if moved {
		e.regroupDue = true
	}
}

// Unregister notes that a target is no longer registered. What runs there may go on
// until its lease ends.
func (e *Engine) Unregister(id string, now time.Duration) {
	t := e.targets[id]
	if t == nil || !t.registered {
		return
	}
	t.registered = false
	e.cfg.Logger.Info("target gone", "target", id, "pool", t.Pool, "running", len(t.attempts), "lapsed_in_ms", max(0, t.lapsedBy()-now).Milliseconds())
	e.regroupDue = true
}

// Assign states on which VM a target runs.
func (e *Engine) Assign(id, vm string) {
	if t := e.targets[id]; t != nil {
		t.VM = vm
	}
}

// targetRestarted ends everything that ran in the earlier life of a target.
func (e *Engine) targetRestarted(t *target, born int64, now time.Duration) {
	e.cfg.Logger.Info("target restarted", "target", t.ID, "born", born, "lost_runs", len(t.attempts))
	t.incarnation = born
	e.endAllRuns(t, now, "target restarted")
	t.seen, t.recorded, t.acknowledged = 0, 0, 0
	t.clockMS, t.clockAt, t.deadlineMS = 0, 0, 0
	t.listed = false
	t.slowdown = 1
	t.removing = false
	t.terminated = false
}

// endAllRuns ends all runs of a target that has certainly stopped running them.
func (e *Engine) endAllRuns(t *target, now time.Duration, reason string) {
	for _, a := range t.sortedAttempts() {
		e.stats.Lost++
		e.cfg.Logger.Info("run lost", "task", a.task.id(), "run", a.run, "target", t.ID, "reason", reason)
		e.endAttempt(a, EndLapsed, "", now)
	}
}

// expireTargets ends the runs on targets whose leases have certainly lapsed and
// forgets targets that are gone.
func (e *Engine) expireTargets(now time.Duration) {
	for id, t := range e.targets {
		if t.contactable(now) && t.registered {
			continue
		}
		lapsed := t.listed && t.deadlineMS > 0 && now > t.lapsedBy()
		if lapsed && len(t.attempts) > 0 {
			e.endAllRuns(t, now, "lease lapsed without contact")
		}
		// A target that this owner never reached may run what an earlier owner ordered.
		unused := t.deadlineMS == 0 && (t.listed || !e.takingOver)
		if !t.registered && len(t.attempts) == 0 && (lapsed || t.terminated || unused) {
			delete(e.targets, id)
			e.roster.remove(id)
		}
	}
}

// regroup rebuilds the lists of targets by pool if one changed.
func (e *Engine) regroup() {
	if !e.regroupDue {
		return
	}
	e.regroupDue = false
	for _, p := range e.pools {
		p.targets = p.targets[:0]
	}
	for _, t := range e.targets {
		if t.registered {
			p := e.pool(t.Pool)
			p.targets = append(p.targets, t)
		}
	}
	for _, p := range e.pools {
		sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
		ids := make([]string, 0, len(p.targets))
		for _, t := range p.targets {
			ids = append(ids, t.ID)
		}
		p.ejector.SetTargets(instant(0), ids)
	}
}

// usable reports whether the target may get new work.
func (e *Engine) usable(t *target, now time.Duration) bool {
	switch {
	case !t.registered, t.Draining, t.evacuating, t.removing, t.terminated, t.cordoned:
		return false
	case !t.listed, t.unexpectedRuns > 0, t.failedAt != 0, now < t.closedUntil:
		return false
	case !e.roster.recorded(t.ID):
		return false
	case len(t.attempts) > 0 && !t.contactable(now):
		return false
	}
	return !e.pool(t.Pool).ejector.Ejected(instant(now), t.ID)
}

// views returns what placement needs to know of a pool's targets.
func (e *Engine) views(p *pool, now time.Duration) []packer.Target {
	views := make([]packer.Target, 0, len(p.targets))
	for _, t := range p.targets {
		views = append(views, packer.Target{
			ID:       t.ID,
			Rack:     t.Rack,
			Labels:   t.Labels,
			Capacity: t.Capacity,
			Used:     t.used,
			Slowdown: t.slowdown,
			Idle:     len(t.attempts) == 0,
			Closed:   !e.usable(t, now),
			Leaving:  e.fleet.awaitingMaintenance[t.VM],
			Filling:  t.filling,
			Serving:  t.serving,
		})
	}
	return views
}

// viewFor returns the views as a step sees them. They are shared unless the step
// has conditions of its own.
func (e *Engine) viewFor(views []packer.Target, s *stepState) []packer.Target {
	if s.step.PerTarget == 0 && !e.conf.Queues[s.job.doc.Queue].Advised {
		return views
	}
	own := append([]packer.Target(nil), views...)
	counts := map[string]int{}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			counts[a.target.ID]++
		}
	}
	for i := range own {
		own[i].SameStep = counts[own[i].ID]
	}
	return e.closeUnapproved(s, own)
}

// view returns the views of a pool's targets as a step sees them.
func (e *Engine) view(p *pool, s *stepState, now time.Duration) []packer.Target {
	return e.viewFor(e.views(p, now), s)
}

// Hold returns how to ask a target for its lists now.
func (e *Engine) Hold(id string, now time.Duration) (HoldPlan, bool) {
	t := e.targets[id]
	if t == nil {
		return HoldPlan{}, false
	}
	plan := HoldPlan{
		Target: t.Endpoint,
		Fence:  e.cfg.Fence,
		Idle:   t.terminated || t.listed && t.unexpectedRuns == 0 && len(t.attempts) == 0 && t.acknowledged >= t.seen && (t.failedAt == 0 || !t.registered),
	}
	if t.recorded > t.acknowledged && t.failedAt == 0 {
		plan.Acknowledged = t.recorded
	}
	// A target that does not answer gets no longer lease, so that the time after which
	// its tasks have certainly ended does not move on.
	if t.listed && len(t.attempts) > 0 && t.failedAt == 0 {
		plan.DeadlineMS = t.estimateClockMS(now) + e.cfg.Hold.Milliseconds()
	}
	return plan, true
}

// Pending reports whether ends of the target wait to be recorded.
func (e *Engine) Pending(id string) bool {
	t := e.targets[id]
	return t != nil && t.seen > t.recorded
}

// Holding notes that a plan was sent, so that its lease may come into force.
func (e *Engine) Holding(plan HoldPlan) {
	if t := e.targets[plan.Target.ID]; t != nil {
		t.deadlineMS = max(t.deadlineMS, plan.DeadlineMS)
	}
}

// Unanswered notes that a call to a target brought no answer.
func (e *Engine) Unanswered(id string, now time.Duration) {
	t := e.targets[id]
	if t == nil {
		return
	}
	if t.failedAt == 0 {
		e.cfg.Logger.Warn("target lost", "target", id, "pool", t.Pool, "running", len(t.attempts), "lapsed_in_ms", max(0, t.lapsedBy()-now).Milliseconds())
	}
	t.failedAt = now
}

func (t *target) sortedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(t.attempts))
	for _, a := range t.attempts {
		attempts = append(attempts, a)
	}
	sort.Slice(attempts, func(i, j int) bool {
		a, b := attempts[i], attempts[j]
		return a.run < b.run || a.run == b.run && a.task.index < b.task.index
	})
	return attempts
}
