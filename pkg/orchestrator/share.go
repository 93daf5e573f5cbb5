package orchestrator

import "time"

// hold is a time in which a team has work beyond its share in a pool that is full.
type hold struct {
	since  time.Duration
	seenAt time.Duration
	logged bool
}

const (
	// minLoggedHold is the shortest hold that is logged.
	minLoggedHold = time.Second
	// holdGap is the longest gap between plans in which a team is held that is taken as one hold.
	holdGap = 500 * time.Millisecond
)

// teamWeights returns the weights of the teams that have one.
func (e *Engine) teamWeights() map[string]float64 {
	weights := map[string]float64{}
	for name, team := range e.conf.Teams {
		if team.Weight > 0 {
			weights[name] = team.Weight
		}
	}
	return weights
}

// runningMillicores returns what the runs of the job use.
func (j *job) runningMillicores() int64 {
	var sum int64
	for _, o := range j.open {
		for _, s := range o.steps {
			if s.allDone() {
				continue
			}
			for _, t := range s.tasks {
				sum += int64(len(t.attempts)) * s.step.Needs.CPUMillis
			}
		}
	}
	return sum
}

// noteHeldTeams records and logs which teams have work beyond their share by the latest plan of a
// pool.
func (e *Engine) noteHeldTeams(p *pool, held map[string]bool, now time.Duration) {
	for team := range held {
		h := p.held[team]
		if h == nil {
			h = &hold{
				since: now,
			}
			p.held[team] = h
		}
		h.seenAt = now
		if !h.logged && now-h.since >= minLoggedHold {
			h.logged = true
			e.logHold(p, team, h, "team held to its share", now)
		}
	}
	for team, h := range p.held {
		if now-h.seenAt <= holdGap {
			continue
		}
		if h.logged {
			e.logHold(p, team, h, "team no longer held to its share", now)
		}
		delete(p.held, team)
	}
}

func (e *Engine) logHold(p *pool, team string, h *hold, message string, now time.Duration) {
	e.cfg.Logger.Info(message, "team", team, "pool", p.name, "weight", e.conf.Teams[team].Weight, "teams", len(p.held),
		"since_ms", (now - h.since).Milliseconds(), "served_core_ms", int64(p.shares.Served(team)),
		"wait_ms", p.waits.Teams[team].Milliseconds(), "wait_within_share_ms", p.waits.All.Milliseconds())
}
