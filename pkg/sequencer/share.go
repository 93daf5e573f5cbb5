package sequencer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// ShareMemory is the time constant with which a ShareAccount forgets. It is several times as long as
// jobs may wait, so that teams whose jobs are more urgent than others get no more than their share.
const ShareMemory = 8 * time.Second

// ShareAccount is a running account of what the teams of a pool were served while several of them
// asked for more than it could do. Other use is not charged, as it takes nothing from others. The
// zero value is ready for use.
//
// A team that asked for less than its share has no claim to what it left: it counts as served like
// the held team that was served least for its weight. So a team that returns gets its share from then
// on, and not the whole pool.
//
// It answers a large team that bursts beside small ones, and one that returns after a pause: Plan
// goes by time alone, so that whoever sends most gets most.
type ShareAccount struct {
	served map[string]float64 // core-milliseconds that have not been forgotten, by team
	floor  float64            // what a team of weight 1 counts as served at least
	at     time.Duration
	// contended is true if the pool was too small for the work of several teams at the last plan.
	contended bool
}

// Charge charges each team with the millicores that its runs have used since the last call, if the
// last plan found the pool contended. It is called before each plan.
func (a *ShareAccount) Charge(running map[string]int64, now time.Duration) {
	passed := now - a.at
	a.at = now
	kept := math.Exp(-float64(passed) / float64(ShareMemory))
	a.floor *= kept
	for team := range a.served {
		a.served[team] *= kept
	}
	if a.contended {
		for team, millicores := range running {
			a.served[team] += float64(millicores) * min(passed, ShareMemory).Seconds()
		}
	}
	a.contended = false
	maps.DeleteFunc(a.served, func(_ string, coreMS float64) bool { return coreMS < 1 })
}

// note records a plan in which more was asked for than the pool can do.
func (a *ShareAccount) note(claims []*claim, held map[string]bool) {
	a.contended = true
	if a.served == nil {
		a.served = map[string]float64{}
	}
	least := math.Inf(1)
	for _, c := range claims {
		if c.served >= 1 {
			a.served[c.team] = c.served
		}
		if held[c.team] {
			least = min(least, c.served/c.weight)
		}
	}
	if len(held) > 0 {
		a.floor = max(a.floor, least)
	}
}

// Served returns what a team was served and has not been forgotten, in core-milliseconds.
func (a *ShareAccount) Served(team string) float64 { return a.served[team] }

// SharedPlan is the result of PlanByShare.
type SharedPlan struct {
	Planned map[string]bool // jobs that are expected to end on time, by ID
	// Excess holds the jobs beyond the share of their team, by ID. They are planned as far as the
	// work of other teams leaves room, those of the team that is least beyond its share first.
	Excess map[string]float64
	// Held holds the teams with such jobs, Entitled those that ask for no more than their share of
	// the pool while it is full.
	Held, Entitled map[string]bool
}

// PlanByShare plans like Plan. If more is due than the pool can do, it first divides what the pool
// can do among the teams, by weight and by what the account says they were served, and plans the
// work within these shares before the rest. What a team doesn't ask for goes to the others. Jobs of
// teams without a weight are within their share.
func PlanByShare(jobs []Work, capacity Capacity, weights map[string]float64, account *ShareAccount) SharedPlan {
	planned := Plan(jobs, capacity)
	result := SharedPlan{
		Planned: planned,
	}
	if !isFull(jobs, planned, capacity) {
		return result
	}
	claims, budget := claimsOf(jobs, planned, weights, account)
	if len(claims) < 2 {
		return result
	}
	result.divide(claims, fairLevel(claims, budget), planned)
	account.note(claims, result.Held)
	if len(result.Held) == 0 {
		result.Entitled = nil
		return result
	}
	marked := slices.Clone(jobs)
	for i := range marked {
		marked[i].Excess = result.Excess[marked[i].ID]
		marked[i].Entitled = result.Entitled[marked[i].Team]
	}
	result.Planned = Plan(marked, capacity)
	return result
}

// isFull reports whether the plan leaves out a job that the pool could finish in time if it were
// empty.
func isFull(jobs []Work, planned map[string]bool, capacity Capacity) bool {
	var sum int64
	for _, w := range jobs {
		if planned[w.ID] {
			sum += w.CoreMS
		}
	}
	wait := capacity.BusyTime(sum)
	return slices.ContainsFunc(jobs, func(w Work) bool {
		return !planned[w.ID] && w.canBeOnTime() && wait+w.Chain > w.Due+lateTolerance
	})
}

// canBeOnTime reports whether the job would end on time if it had the pool to itself.
func (w Work) canBeOnTime() bool { return w.Chain <= w.Due+lateTolerance }

// claim is what a team asks for, in core-milliseconds.
type claim struct {
	team   string
	weight float64 // zero if the team isn't held to a share
	served float64
	demand float64
	jobs   []Work
}

// claimsOf returns the claims of the teams on the work that the plan holds, the budget. Late work
// claims no share.
func claimsOf(jobs []Work, planned map[string]bool, weights map[string]float64, account *ShareAccount) (claims []*claim, budget float64) {
	byTeam := map[string]*claim{}
	for _, w := range jobs {
		if planned[w.ID] {
			budget += float64(w.CoreMS)
		}
		if !planned[w.ID] && !w.canBeOnTime() {
			continue
		}
		c := byTeam[w.Team]
		if c == nil {
			c = &claim{
				team:   w.Team,
				weight: max(0, weights[w.Team]),
			}
			c.served = max(account.Served(w.Team), account.floor*c.weight)
			byTeam[w.Team] = c
			claims = append(claims, c)
		}
		c.demand += float64(w.CoreMS)
		c.jobs = append(c.jobs, w)
	}
	return claims, budget
}

// divide finds the jobs that begin beyond the share of their team. Within a team, started jobs come
// first, then those that the plan holds.
func (p *SharedPlan) divide(claims []*claim, level float64, planned map[string]bool) {
	p.Excess, p.Held, p.Entitled = map[string]float64{}, map[string]bool{}, map[string]bool{}
	for _, c := range claims {
		if c.weight == 0 {
			continue
		}
		share := c.share(level) - 1 // the level is accurate to less than a core-millisecond
		if c.demand-1 <= share {
			p.Entitled[c.team] = true
			continue
		}
		slices.SortFunc(c.jobs, func(a, b Work) int {
			return cmp.Or(compareBool(b.Started, a.Started), compareBool(planned[b.ID], planned[a.ID]),
				cmp.Compare(a.Due-a.Chain, b.Due-b.Chain), cmp.Compare(a.ID, b.ID))
		})
		var before float64
		for _, w := range c.jobs {
			if !w.Started && before > share {
				p.Excess[w.ID] = (before - share) / c.weight
				p.Held[c.team] = true
			}
			before += float64(w.CoreMS)
		}
	}
}

// share returns what the team gets if each gets the given amount of work for a unit of its weight,
// of what it was served and will be.
func (c *claim) share(level float64) float64 {
	if c.weight == 0 {
		return c.demand
	}
	return min(c.demand, max(0, level*c.weight-c.served))
}

// fairLevel returns the amount of work for a unit of weight at which the shares of all teams add up
// to the budget.
func fairLevel(claims []*claim, budget float64) float64 {
	var high float64
	for _, c := range claims {
		if c.weight > 0 {
			high = max(high, (c.demand+c.served)/c.weight)
		}
	}
	low := 0.0
	const halvings = 40
	for range halvings {
		middle := (low + high) / 2
		var sum float64
		for _, c := range claims {
			sum += c.share(middle)
		}
		if sum > budget {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
