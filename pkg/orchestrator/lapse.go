package orchestrator

import (
	"slices"
	"time"
)

// lapse is a crash that was counted because the lease of a target expired without contact.
type lapse struct {
	*crash
	target      *target
	incarnation int64
	at          time.Duration
}

// recordLapse records that a crash was counted when the lease of a target expired.
func (e *Engine) recordLapse(t *target, c *crash, now time.Duration) {
	e.settleLapse(t.ID, true)
	c.unsettled = true
	e.lapses[t.ID] = lapse{
		crash:       c,
		target:      t,
		incarnation: t.incarnation,
		at:          now,
	}
}

// otherLifeSeen reports whether another life of a target whose lease has expired has registered, so
// that its next list tells whether it had crashed.
func (e *Engine) otherLifeSeen(l *lapse) bool {
	t := e.targets[l.target.ID]
	return t != nil && (len(t.otherLives) > 0 || t.incarnation != l.incarnation)
}

// settleLapse settles the crash that was counted when the lease of a target expired. Unless crashed
// is set, it is taken back: the target was only unreachable, or its end was planned.
func (e *Engine) settleLapse(id string, crashed bool) {
	l, ok := e.lapses[id]
	if !ok {
		return
	}
	delete(e.lapses, id)
	l.unsettled = false
	for _, cause := range l.causes {
		e.dirty[cause.task.step.job.doc.ID] = true
		if crashed {
			continue
		}
		for _, member := range cause.task.gangOf() {
			member.crashed.takeBack(cause.run)
		}
	}
	if !crashed {
		l.pool.crashes = slices.DeleteFunc(l.pool.crashes, func(c *crash) bool { return c == l.crash })
		e.cfg.Logger.Info("target had not crashed", "target", id, "pool", l.pool.name, "possible_causes", len(l.causes))
	}
}
