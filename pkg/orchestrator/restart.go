package orchestrator

import (
	"slices"
	"time"
)

// This file decides which life of a target is the present one, and what became of the runs of a
// target that started again under its ID.
//
// A registration reaches the owner through the store, which may carry out a write seconds late. So
// one of an unknown life was made before or after the present life began, and its start time does
// not tell which: the clock may have been set back in between. A list comes from the target itself.
// One that was requested after a registration arrived is by a life that is not earlier.
//
// The target takes orders before its lists show the new start, and the answer to an order does not
// state by which life it was carried out. So a run that no list of the earlier life shows may belong
// to the present one.

// otherLife is a registration of a life that no list of the target has shown.
type otherLife struct {
	registration Registration
	observedAt   time.Duration
	withdrawn    bool // the target was unregistered since
}

// startDeliveryLimit is longer than a start can be on its way to a target.
const startDeliveryLimit = time.Second

// lapsedBy returns the time by which all runs have ended that were ordered before the registration
// arrived, if no list of the target extends their lease.
func (o *otherLife) lapsedBy(maxLease time.Duration) time.Duration {
	return o.observedAt + startDeliveryLimit + time.Duration(float64(maxLease)*(1+clockDrift))
}

// observeRegistration reports whether a registration describes the present life of the target, and is
// not older than the one in effect. It keeps that of an unknown life until a list shows whether the
// target has restarted.
func (e *Engine) observeRegistration(t *target, r Registration, now time.Duration) bool {
	switch born := r.StartedUnixMS; {
	case born != 0 && born == t.StartedUnixMS && r.Sequence > 0 && r.Sequence < t.Sequence:
		e.cfg.Logger.Info("late registration of a target ignored", "target", t.ID, "sequence", r.Sequence, "present_sequence", t.Sequence)
		return false
	case born == 0 || born == t.incarnation:
		return true
	case t.incarnation == 0:
		t.incarnation = born
		return true
	case slices.Contains(t.earlier, born):
		e.cfg.Logger.Info("sign of an earlier life of a target ignored", "target", t.ID, "born", born, "present", t.incarnation)
		return false
	}
	for i := range t.otherLives {
		if o := &t.otherLives[i]; o.registration.StartedUnixMS == r.StartedUnixMS {
			o.registration, o.withdrawn = r, false
			return false
		}
	}
	e.cfg.Logger.Info("target may have restarted", "target", t.ID, "pool", t.Pool, "born", r.StartedUnixMS, "present", t.incarnation,
		"address", r.Address, "present_address", t.Address, "runs", len(t.attempts), "last_answer_ms", (now - t.answeredAt).Milliseconds())
	t.otherLives = append(t.otherLives, otherLife{
		registration: r,
		observedAt:   now,
	})
	if t.failedAt != 0 {
		t.listTurn = len(t.otherLives)
	}
	return false
}

// describesPresentLife reports whether the registration in effect is that of the present life. An
// earlier one may have had other labels and another capacity.
func (t *target) describesPresentLife() bool {
	return t.StartedUnixMS == 0 || t.StartedUnixMS == t.incarnation
}

// withdrawOtherLives keeps the registrations of other lives from taking effect.
func (t *target) withdrawOtherLives() {
	for i := range t.otherLives {
		t.otherLives[i].withdrawn = true
	}
}

// endpointToList returns where the next list is requested: by turns where each of the lives has
// registered that may be the present one.
func (t *target) endpointToList() Endpoint {
	if t.listTurn > 0 && t.listTurn <= len(t.otherLives) {
		return t.otherLives[t.listTurn-1].registration.Endpoint
	}
	return t.Endpoint
}

// observeListing processes the start that a list states. It returns false if that is the start of
// an earlier life of the target.
func (e *Engine) observeListing(t *target, l *Listing) bool {
	switch born := t.bornOf(l); {
	case born == t.incarnation:
	case slices.Contains(t.earlier, born):
		e.cfg.Logger.Info("sign of an earlier life of a target ignored", "target", t.ID, "born", born, "present", t.incarnation)
		return false
	case t.incarnation == 0:
		t.incarnation = born
	default:
		e.restartTarget(t, l, born)
	}
	e.settleOtherLives(t, l)
	return true
}

// bornOf returns the start of the life that a list is by. One that states none is taken to be by
// the last life that had registered when it was requested.
func (t *target) bornOf(l *Listing) int64 {
	born := l.StartedUnixMS
	if born != 0 {
		return born
	}
	born = t.incarnation
	for _, o := range t.otherLives {
		if o.observedAt <= l.SentAt {
			born = o.registration.StartedUnixMS
		}
	}
	return born
}

// restartTarget resets what was known of a target before its restart, and ends the runs that its
// earlier life has lost. l is the first list of the present life.
func (e *Engine) restartTarget(t *target, l *Listing, born int64) {
	now := l.ReceivedAt
	lost := t.lostBefore(l)
	e.cfg.Logger.Info("target restarted", "target", t.ID, "born", born, "earlier", t.incarnation, "runs", len(t.attempts), "runs_lost", len(lost))
	if crashed, certain := e.suspectCrash(t); crashed {
		e.recordCrash(t, lost, certain, now)
	}
	e.endRuns(t, lost, now, "target restarted")
	t.earlier = append(t.earlier, t.incarnation)
	t.incarnation = born
	t.Endpoint = l.Request.Target
	t.seen, t.recorded, t.acknowledged = 0, 0, 0
	t.unrecordable = nil
	t.clockMS, t.clockAt, t.deadlineMS = 0, 0, 0
	t.listed = false
	t.slowdown, t.coldUntil = 1, 0
	t.removing = false
	t.vmOrdered = false
	t.terminated = false
}

// settleOtherLives drops the registrations of other lives on which a list is evidence. That of the
// present life takes effect. The others are of earlier lives if they arrived before the list was
// requested.
func (e *Engine) settleOtherLives(t *target, l *Listing) {
	var present *Registration
	t.otherLives = slices.DeleteFunc(t.otherLives, func(o otherLife) bool {
		born := o.registration.StartedUnixMS
		switch {
		case born == t.incarnation:
			if !o.withdrawn {
				present = &o.registration
			}
		case o.observedAt <= l.SentAt:
			t.earlier = append(t.earlier, born)
			e.cfg.Logger.Info("target had not restarted", "target", t.ID, "reason", "late registration of an earlier life", "born", born, "present", t.incarnation,
				"settled_after_ms", (l.ReceivedAt - o.observedAt).Milliseconds())
		default:
			return false
		}
		return true
	})
	t.listTurn = 0
	if present != nil {
		e.Register(*present, l.ReceivedAt)
	}
}

// lapsed reports whether all runs of a target that does not answer have ended because its lease has
// expired. A later life measures the lease of the runs that it has started on another clock.
func (e *Engine) lapsed(t *target, now time.Duration) bool {
	if !t.listed || t.deadlineMS == 0 || now <= t.lapsedBy() {
		return false
	}
	return t.unlistedRuns() == 0 || !slices.ContainsFunc(t.otherLives, func(o otherLife) bool { return now <= o.lapsedBy(e.cfg.MaxLeaseDuration) })
}

// unlistedRuns returns the number of runs that no list of the target has shown.
func (t *target) unlistedRuns() int {
	n := 0
	for _, a := range t.attempts {
		if !a.listed {
			n++
		}
	}
	return n
}

// lostBefore returns the runs that the earlier life of a target has lost, by the first lists of its
// present life: those that it ran when they were requested and that they do not show.
func (t *target) lostBefore(l *Listing) []*attempt {
	shown := map[runKey]bool{}
	for _, r := range l.Running {
		shown[r.key()] = true
	}
	for _, end := range l.Ended {
		shown[end.key()] = true
	}
	var lost []*attempt
	for _, a := range t.sortedAttempts() {
		answered := a.confirmedAt > 0 && a.confirmedAt < l.SentAt
		if !shown[a.key()] && (a.listed || answered && !l.EndsOmitted) {
			lost = append(lost, a)
		}
	}
	return lost
}

// strayStart is a start without an answer whose run was given up with its target. The next life of
// the target may still carry it out.
type strayStart struct {
	runKey
	until  time.Duration // it is not carried out any more after this time
	sentAt time.Duration // when its stop was last sent; zero if it was not
}

// strayStartTime is longer than an order that was not answered can take to be carried out.
const strayStartTime = 15 * time.Second

// recordStray records that the start of a run that is given up may still be carried out.
func (e *Engine) recordStray(a *attempt, now time.Duration) {
	if a.confirmedAt > 0 {
		return
	}
	e.strayStarts[a.target.ID] = append(e.strayStarts[a.target.ID], strayStart{
		runKey: a.key(),
		until:  now + strayStartTime,
	})
}

// stopStrays orders the target to stop runs whose starts it may carry out late, so that it refuses
// these starts. Runs that it lists are adopted or stopped like others.
func (e *Engine) stopStrays(t *target, l *Listing) {
	strays := slices.DeleteFunc(e.strayStarts[t.ID], func(s strayStart) bool {
		return slices.ContainsFunc(l.Running, func(r Run) bool { return r.key() == s.runKey })
	})
	for i := range strays {
		if s := &strays[i]; s.sentAt == 0 || l.ReceivedAt-s.sentAt > e.cfg.StopTime+stopMargin {
			e.cfg.Logger.Info("start without an answer withdrawn", "task", s.task.String(), "run", s.run, "target", t.ID)
			s.sentAt = l.ReceivedAt
			e.orderStop(t, s.runKey)
		}
	}
	e.setStrays(t.ID, strays)
}

// dropStray forgets a stray start whose stop was answered.
func (e *Engine) dropStray(target string, key runKey) {
	e.setStrays(target, slices.DeleteFunc(e.strayStarts[target], func(s strayStart) bool { return s.runKey == key }))
}

func (e *Engine) setStrays(target string, strays []strayStart) {
	if len(strays) == 0 {
		delete(e.strayStarts, target)
		return
	}
	e.strayStarts[target] = strays
}

// expireStrays forgets the stray starts whose time is over.
func (e *Engine) expireStrays(now time.Duration) {
	for id, strays := range e.strayStarts {
		e.setStrays(id, slices.DeleteFunc(strays, func(s strayStart) bool { return now > s.until }))
	}
}
