package manager

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// shareInterval is the time between two computations of the allowances of teams.
	shareInterval = 200 * time.Millisecond
	// maxShareHandover is how long the shares of an earlier configuration are held back for
	// cells that do not report the present one. Their runs end when their leases expire.
	maxShareHandover = 10 * time.Second
)

// teamShares computes what the cell of an owner may use of the upper limits of teams. All
// fields are guarded by the lock of the owner.
type teamShares struct {
	revision   storer.Version // of the configuration in use
	changedAt  time.Duration
	teams      map[string]orchestrator.Team
	earlier    map[string]orchestrator.Team // of the configuration before
	computedAt time.Duration
	reduced    bool // an allowance is below its share
}

// applyShares passes the configuration to the engine, with the shares of the cell in place
// of the upper limits. The caller holds the lock.
func (o *owner) applyShares(conf *storedConfiguration) {
	if o.layout.Single() {
		if conf.revision != o.configRevision {
			o.engine.Configure(conf.Engine)
		}
		return
	}
	s, now := &o.shares, o.cfg.Clock()
	if changed := conf.revision != s.revision; changed {
		s.earlier = s.teams
		s.teams = conf.Engine.Teams
		s.revision = conf.revision
		s.changedAt = now
	} else if now-s.computedAt < shareInterval {
		return
	}
	changed := conf.revision != o.configRevision
	s.computedAt = now
	engine := conf.Engine
	engine.Teams = map[string]orchestrator.Team{}
	reduced := false
	for name, team := range conf.Engine.Teams {
		t, held := o.cellTeam(name, team)
		engine.Teams[name] = t
		reduced = reduced || held
	}
	if changed || reduced || s.reduced {
		o.engine.Configure(engine)
	}
	s.reduced = reduced
}

// cellTeam returns a team with what this cell may use of its upper limit, and whether that
// is less than its share.
func (o *owner) cellTeam(name string, team orchestrator.Team) (cellTeam orchestrator.Team, reduced bool) {
	shares := o.layout.TeamShare(name, team.Limit)
	share, home := shares.In(o.cell)
	if !home {
		team.Excluded = true
		return team, false
	}
	team.Weight /= float64(len(shares.Homes))
	allowed, ok := partitioner.Allowance(share, team.Limit, o.othersUse(name, team.Limit, shares))
	team.Limit = allowed
	team.Excluded = !ok
	return team, allowed != share
}

// othersUse returns for each other cell what it may be using of a team's upper limit: its
// share, the one that it had under the configuration before until it reports the present one,
// and more if it reports more.
func (o *owner) othersUse(team string, limit jobkeeper.Resources, shares partitioner.TeamShare) []jobkeeper.Resources {
	if limit == (jobkeeper.Resources{}) {
		return nil
	}
	var uses []jobkeeper.Resources
	earlier, known := o.shares.earlier[team]
	handover := known && o.cfg.Clock()-o.shares.changedAt < maxShareHandover
	before := o.layout.TeamShare(team, earlier.Limit)
	for _, cell := range o.layout.Cells() {
		if cell == o.cell {
			continue
		}
		use, _ := shares.In(cell)
		report, _, ok := o.view.report(cell)
		if handover && (!ok || report.Configuration < o.shares.revision) {
			earlierUse, _ := before.In(cell)
			use = use.Max(earlierUse)
		}
		if ok {
			use = use.Max(report.OverShare[team])
		}
		uses = append(uses, use)
	}
	return uses
}

// overShare returns what teams use that exceed their share in this cell. The caller holds the
// lock.
func (o *owner) overShare() map[string]jobkeeper.Resources {
	if o.layout.Single() {
		return nil
	}
	over := map[string]jobkeeper.Resources{}
	for name, used := range o.engine.Usage() {
		team, known := o.shares.teams[name]
		if !known || team.Limit == (jobkeeper.Resources{}) {
			continue
		}
		share, _ := o.layout.Share(name, team.Limit, o.cell)
		if used.Max(share) != share {
			over[name] = used
		}
	}
	if len(over) == 0 {
		return nil
	}
	return over
}
