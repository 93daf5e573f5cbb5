package orchestrator

import (
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

const (
	// ejectAfterFailures is the number of consecutive task failures after which a target is
	// ejected.
	ejectAfterFailures = 2
	// firstEjection is the duration of a target's first ejection.
	firstEjection = 3 * time.Second
	// maxEjectedShare is the greatest fraction of a pool that may be ejected at a time.
	maxEjectedShare = 0.34
	// contactTimeout is how old the last answer of a target may be if it is to get new
	// starts: the longest wait of a list request plus its timeout.
	contactTimeout = 2500 * time.Millisecond
	// failureCooldown is how long a target gets no new starts after one ended with
	// OutcomeUnknown, OutcomeRefused or OutcomeReplaced, that is, was not answered or sent,
	// or was refused for a reason of the target itself. It is also how long a task waits
	// before it may return to the target that failed it.
	failureCooldown = 400 * time.Millisecond
)

// target is what the engine knows of a target.
type target struct {
	Registration
	registered  bool
	firstSeenAt time.Duration // when its registration first arrived
	listed      bool          // this owner has read its lists
	listedAt    time.Duration // when the last lists that arrived were requested
	answeredAt  time.Duration // when the last lists arrived
	failedAt    time.Duration // when a call first failed since the last lists; zero if none did
	regainedAt  time.Duration // when lists last arrived after a call had failed
	// failedTrialAt is when the trial was ordered that was under way at failedAt; zero if none was.
	failedTrialAt time.Duration
	clockMS       int64 // its clock at clockAt
	clockAt       time.Duration
	deadlineMS    int64  // latest requested end of the lease, on its clock
	seen          uint64 // ends up to this number were processed
	recorded      uint64 // ends up to this number are in the store
	acknowledged  uint64 // ends up to this number were acknowledged
	// unrecordable holds the lowest number of an end of each job that this cell gives, or has
	// given, to another one.
	unrecordable     map[string]uint64
	incarnation      int64       // start of its present life in Unix ms; zero if unknown
	earlier          []int64     // starts of its earlier lives
	otherLives       []otherLife // registered lives that may be earlier or later than the present one
	listTurn         int         // whose turn the next list is, see endpointToList
	attempts         map[runKey]*attempt
	unexpectedStops  map[runKey]time.Duration // when the stops of unexpected runs were last sent
	unexpectedRuns   int                      // listed runs that are being stopped because the engine does not track them
	used             jobkeeper.Resources
	latencySensitive int           // runs with a latency target
	bestEffort       int           // runs that use processors which other tasks leave unused
	slowdown         float64       // moving average of the time that runs take here relative to elsewhere, at least 1
	coldUntil        time.Duration // until then it is slow because it started lately
	closedUntil      time.Duration // no new starts before this time, after an order that failed
	evacuating       bool          // it is emptied because its VM is next to be maintained
	evacuatingSince  time.Duration // when evacuating was last set
	// waitsForRoomSince is since when its VM could be maintained if its tasks had room elsewhere.
	waitsForRoomSince time.Duration
	removing          bool // its VM was ordered to move or to be maintained
	vmOrdered         bool // such an order may still end it, also if it was not answered
	terminated        bool // it no longer runs on its VM
	crashRecorded     bool // its crash is known; false again once it answers
	trials            int  // runs that started as trials
	reserved          bool // emptied for a trial
	cordoned          bool // closed, so that its VM can move to another pool once idle
}

// contactable reports whether the target was listed within contactTimeout and since then no call
// has failed and no other life has registered.
func (t *target) contactable(now time.Duration) bool {
	return t.listed && t.failedAt == 0 && now-t.answeredAt < contactTimeout && len(t.otherLives) == 0
}

// estimateClockMS returns the estimated time in ms on the target's clock. The estimate is
// ahead by at most the drift of the clocks.
func (t *target) estimateClockMS(now time.Duration) int64 {
	return t.clockMS + (now - t.clockAt).Milliseconds()
}

// lapsedBy returns the time by which the target's lease has expired, and all its runs have
// ended, if no further order extends the lease.
func (t *target) lapsedBy() time.Duration {
	left := time.Duration(t.deadlineMS-t.clockMS) * time.Millisecond
	return t.clockAt + time.Duration(float64(left)*(1+clockDrift)) + 50*time.Millisecond
}

// setClock records the target's clock as stated in an answer. A clock that has gone back is that of
// another life.
func (t *target) setClock(clockMS int64, receivedAt time.Duration) {
	if clockMS <= 0 || clockMS < t.clockMS || receivedAt < t.clockAt {
		return
	}
	t.clockMS = clockMS
	t.clockAt = receivedAt
}

// setClockFrom records the target's clock as stated in the answer to an order, unless that was for
// an earlier life of the target, whose clock was another one.
func (t *target) setClockFrom(answer Answer) {
	if answer.Order.incarnation == t.incarnation {
		t.setClock(answer.ClockMS, answer.ReceivedAt)
	}
}

// Register adds a target or updates its description. A registration of another life than the
// present one takes effect once a list shows that the target has restarted. Until then the target
// gets no starts. The registration of an earlier life is ignored.
func (e *Engine) Register(r Registration, now time.Duration) {
	t := e.targets[r.ID]
	if t != nil && !e.observeRegistration(t, r, now) {
		return
	}
	if t == nil {
		t = &target{
			attempts:    map[runKey]*attempt{},
			slowdown:    1,
			incarnation: r.StartedUnixMS,
			firstSeenAt: now,
		}
		e.targets[r.ID] = t
		e.cfg.Logger.Info("target registered", "target", r.ID, "pool", r.Pool, "address", r.Address, "labels", r.Labels, "draining", r.Draining)
	} else if r.Draining && !t.Draining {
		e.cfg.Logger.Info("target draining", "target", r.ID, "pool", r.Pool)
	}
	// Most registrations are heartbeats, which do not change the pool.
	moved := !t.registered || t.Pool != r.Pool
	vm := t.VM
	t.Registration = r
	if t.VM == "" {
		t.VM = vm
	}
	t.registered = true
	t.coldUntil = now + r.ColdFor
	if moved {
		e.regroupDue = true
	}
}

// Unregister reports that a target is no longer registered. Its runs may continue until its
// lease expires.
func (e *Engine) Unregister(id string, now time.Duration) {
	t := e.targets[id]
	if t == nil || !t.registered {
		return
	}
	t.registered = false
	t.withdrawOtherLives()
	e.cfg.Logger.Info("target unregistered", "target", id, "pool", t.Pool, "running", len(t.attempts), "lapsed_in_ms", max(0, t.lapsedBy()-now).Milliseconds())
	e.regroupDue = true
}

// SetTargetVM records the VM on which a target runs.
func (e *Engine) SetTargetVM(id, vm string) {
	if t := e.targets[id]; t != nil {
		t.VM = vm
	}
}

// endAllRuns ends all runs of a target on which nothing can be running any more.
func (e *Engine) endAllRuns(t *target, now time.Duration, reason string) {
	e.endRuns(t, t.sortedAttempts(), now, reason)
}

// endRuns ends runs that a target has certainly lost.
func (e *Engine) endRuns(t *target, runs []*attempt, now time.Duration, reason string) {
	for _, a := range runs {
		e.stats.Lost++
		e.cfg.Observer.TaskEnd(t.Pool, "lost")
		e.cfg.Logger.Info("run lost", "task", a.task.id(), "run", a.run, "target", t.ID, "reason", reason,
			"confirmed", a.confirmedAt > 0, "age_ms", (now - a.orderedAt).Milliseconds(), "seen_for_ms", a.seenFor().Milliseconds(), "beside", len(runs)-1)
		e.recordStray(a, now)
		e.endAttempt(a, EndLapsed, "", now)
	}
}

// seenFor returns how long the target has certainly run the task: up to its last answer.
func (a *attempt) seenFor() time.Duration {
	if a.confirmedAt == 0 {
		return 0
	}
	return max(0, max(a.target.answeredAt, a.target.clockAt)-a.confirmedAt)
}

// expireTargets ends the runs on targets whose leases have certainly expired, and removes
// unregistered targets that can't be running anything.
func (e *Engine) expireTargets(now time.Duration) {
	for id, t := range e.targets {
		if t.contactable(now) && t.registered {
			continue
		}
		lapsed := e.lapsed(t, now)
		if lapsed && len(t.attempts) > 0 {
			if suspected, _ := e.suspectCrash(t); suspected {
				e.recordLapse(t, e.recordCrash(t, t.sortedAttempts(), false, now), now)
			}
			e.endAllRuns(t, now, "lease lapsed without contact")
		}
		// A target that this owner never listed may run tasks that an earlier owner started.
		unused := t.deadlineMS == 0 && (t.listed || !e.takingOver)
		if !t.registered && len(t.attempts) == 0 && (lapsed || t.terminated || unused) {
			delete(e.targets, id)
			e.roster.remove(id)
		}
	}
}

// regroup rebuilds the lists of targets by pool if they are out of date.
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
	case !t.registered, t.Draining, t.evacuating, t.removing, t.terminated, t.cordoned, e.inEvacuatedZone(t):
		return false
	case !t.listed, t.unexpectedRuns > 0, t.failedAt != 0, now < t.closedUntil, len(t.otherLives) > 0:
		return false
	case !e.roster.recorded(t.ID), !t.describesPresentLife():
		return false
	case t.onTrial(now), len(t.attempts) > 0 && !t.contactable(now):
		return false
	}
	return !e.pool(t.Pool).ejector.Ejected(instant(now), t.ID)
}

// views describes the targets of a pool to the packer, in the order of pool.targets.
func (e *Engine) views(p *pool, now time.Duration) []packer.Target {
	views := make([]packer.Target, 0, len(p.targets))
	for _, t := range p.targets {
		views = append(views, e.viewOf(t, now))
	}
	return views
}

func (e *Engine) viewOf(t *target, now time.Duration) packer.Target {
	return packer.Target{
		ID:                  t.ID,
		Rack:                t.Rack,
		Labels:              t.Labels,
		Capacity:            t.Capacity,
		Used:                t.used,
		Slowdown:            max(t.slowdown, coldSlowdown(t.coldUntil, now)),
		Idle:                len(t.attempts) == 0,
		Closed:              !e.usable(t, now),
		AwaitingMaintenance: e.fleet.awaitingMaintenance[t.VM],
		BestEffort:          t.bestEffort,
		LatencySensitive:    t.latencySensitive,
	}
}

// viewFor returns the views for the placement of a step. It copies them if the step limits
// the tasks per target or needs advice, and returns them as they are otherwise.
func (e *Engine) viewFor(views []packer.Target, s *stepState) []packer.Target {
	if s.step.PerTarget == 0 && !e.adviceRequired(s) {
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

// NextListRequest returns the next list request for a target, and false if the target is
// unknown.
func (e *Engine) NextListRequest(id string, now time.Duration) (ListRequest, bool) {
	t := e.targets[id]
	if t == nil {
		return ListRequest{}, false
	}
	if len(t.otherLives) > 0 {
		// Neither the numbers of ends nor the lease of one life hold for another one.
		return ListRequest{
			Target: t.endpointToList(),
			Fence:  e.cfg.Fence,
		}, true
	}
	request := ListRequest{
		Target: t.Endpoint,
		Fence:  e.cfg.Fence,
		Skip:   t.terminated || t.listed && t.unexpectedRuns == 0 && len(e.strayStarts[id]) == 0 && len(t.attempts) == 0 && t.acknowledged >= t.recordable() && (t.failedAt == 0 || !t.registered),
	}
	if t.recorded > t.acknowledged && t.failedAt == 0 {
		request.Acknowledged = t.recorded
	}
	// The lease of a target that does not answer is not extended, so that the time by which
	// its tasks have certainly ended stays fixed.
	if t.listed && len(t.attempts) > 0 && t.failedAt == 0 {
		request.DeadlineMS = t.estimateClockMS(now) + e.cfg.LeaseDuration.Milliseconds()
	}
	return request, true
}

// HasUnrecordedEnds reports whether ends of runs on the target have been processed but not
// recorded in the store.
func (e *Engine) HasUnrecordedEnds(id string) bool {
	t := e.targets[id]
	return t != nil && t.recordable() > t.recorded
}

// recordable returns the number up to which the processed ends can be recorded in the store.
func (t *target) recordable() uint64 {
	n := t.seen
	for _, end := range t.unrecordable {
		n = min(n, end-1)
	}
	return n
}

// holdEnd keeps an end of a job that may run in another cell from being acknowledged.
func (t *target) holdEnd(job string, number uint64) {
	if t.unrecordable == nil {
		t.unrecordable = map[string]uint64{}
	}
	if _, held := t.unrecordable[job]; !held {
		t.unrecordable[job] = number
	}
}

// ListRequested reports that a list request is sent, so that the target may extend its lease
// as requested.
func (e *Engine) ListRequested(request ListRequest) {
	if t := e.targets[request.Target.ID]; t != nil {
		t.deadlineMS = max(t.deadlineMS, request.DeadlineMS)
	}
}

// ListFailed reports that a list request to a target failed or was not answered.
func (e *Engine) ListFailed(id string, now time.Duration) {
	t := e.targets[id]
	if t == nil {
		return
	}
	if n := len(t.otherLives); n > 0 {
		t.listTurn = (t.listTurn + 1) % (n + 1)
	}
	if t.failedAt != 0 {
		return
	}
	e.cfg.Logger.Warn("target failed to list its runs", "target", id, "pool", t.Pool, "running", len(t.attempts), "lapsed_in_ms", max(0, t.lapsedBy()-now).Milliseconds())
	t.failedAt = now
	t.failedTrialAt = t.trialSince(now)
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
