package partitioner

import (
	"cmp"
	"slices"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// minShare is the smallest share of a team's upper limit that a cell gets: enough for several
// wide jobs, so that work does not wait in one cell for a share that another leaves unused.
var minShare = jobkeeper.Resources{
	CPUMillis: 400_000,
	MemoryMB:  1_600_000,
	GPUs:      64,
}

// Homes returns the cells that may run work of a team, in the order of Layout.Cells: as many
// as its upper limit has minimal shares for. Without a limit, or without a team, all cells
// may.
func (l Layout) Homes(team string, limit jobkeeper.Resources) []string {
	cells := l.Cells()
	n := len(cells)
	for _, r := range [][2]int64{
		{limit.CPUMillis, minShare.CPUMillis},
		{limit.MemoryMB, minShare.MemoryMB},
		{limit.GPUs, minShare.GPUs},
	} {
		if r[0] > 0 {
			n = min(n, max(1, int(r[0]/r[1])))
		}
	}
	if n == len(cells) || team == "" {
		return cells
	}
	ranked := slices.Clone(cells)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(hash(team, a), hash(team, b)) })
	ranked = ranked[:n]
	slices.Sort(ranked)
	return ranked
}

// TeamShare is the division of a team's upper limit among cells.
type TeamShare struct {
	Homes []string            // cells that may run work of the team
	Each  jobkeeper.Resources // what each of them may use
}

// In returns what a cell may use; home is false if it may not run work of the team.
func (s TeamShare) In(cell string) (share jobkeeper.Resources, home bool) {
	if !slices.Contains(s.Homes, cell) {
		return jobkeeper.Resources{}, false
	}
	return s.Each, true
}

// TeamShare returns the division of a team's upper limit. The shares of all cells add up to
// at most the limit; zero amounts, which mean no limit, stay zero.
func (l Layout) TeamShare(team string, limit jobkeeper.Resources) TeamShare {
	homes := l.Homes(team, limit)
	n := int64(len(homes))
	return TeamShare{
		Homes: homes,
		Each: jobkeeper.Resources{
			CPUMillis: limit.CPUMillis / n,
			MemoryMB:  limit.MemoryMB / n,
			GPUs:      limit.GPUs / n,
		},
	}
}

// Share returns the part of a team's upper limit that a cell may use; home is false if the
// cell may not run work of the team.
func (l Layout) Share(team string, limit jobkeeper.Resources, cell string) (share jobkeeper.Resources, home bool) {
	return l.TeamShare(team, limit).In(cell)
}
