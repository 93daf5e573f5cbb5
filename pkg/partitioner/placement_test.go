package partitioner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
)

// playedCell is a cell whose pool does its backlog at the rate of its capacity.
type playedCell struct {
	millicores int64
	backlogMS  int64 // in core-milliseconds
	reported   partitioner.Candidate
}

func (c *playedCell) wait() time.Duration {
	return time.Duration(c.backlogMS*1000/c.millicores) * time.Millisecond
}

// playBurst plays a burst of eight seconds on two cells, one of which gets no VMs because its owners
// are lost one after another. It returns the share of the jobs of each team that start within
// their objective.
func playBurst(layout partitioner.Layout, teams map[string]jobkeeper.Resources, seed uint64) map[string]float64 {
	const (
		step        = 10 * time.Millisecond
		reportEvery = 300 * time.Millisecond
		objective   = 2 * time.Second
		jobCoreMS   = 25_000
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	cells := map[string]*playedCell{}
	for _, name := range layout.Cells() {
		cells[name] = &playedCell{
			millicores: 800_000,
		}
	}
	growing := cells[layout.Cells()[1]]
	names := slices.Sorted(maps.Keys(teams))
	asked, served := map[string]int{}, map[string]int{}
	for now := time.Duration(0); now < 8*time.Second; now += step {
		if now > 1500*time.Millisecond {
			growing.millicores = min(3_200_000, growing.millicores+9_000)
		}
		for _, c := range cells {
			c.backlogMS = max(0, c.backlogMS-c.millicores*step.Milliseconds()/1000)
		}
		if now%reportEvery == 0 {
			for name, c := range cells {
				c.reported = partitioner.Candidate{
					Cell:       name,
					Millicores: c.millicores,
					Backlog:    c.wait(),
				}
			}
		}
		team := names[rng.IntN(len(names))] // 100 jobs a second
		var candidates []partitioner.Candidate
		for _, home := range layout.Homes(team, teams[team]) {
			candidates = append(candidates, cells[home].reported)
		}
		c := cells[candidates[partitioner.Choose(candidates, [2]float64{rng.Float64(), rng.Float64()})].Cell]
		asked[team]++
		if c.wait() < objective {
			served[team]++
		}
		c.backlogMS += jobCoreMS
	}
	shares := map[string]float64{}
	for team, n := range asked {
		shares[team] = float64(served[team]) / float64(n)
	}
	return shares
}

// Load: a burst of teams with upper limits of 2,300 to 3,900 cores, 1.43 GB for each core, while one
// of two cells can't gain VMs.
func TestTeamsOfACellThatCannotGrowAreServedByOthers(t *testing.T) {
	layout := partitioner.Divide(partitioner.Config{}, fleet(349, 4))
	teams := map[string]jobkeeper.Resources{}
	for i := range int64(20) {
		cores := 2300 + 80*i
		teams[fmt.Sprintf("team-%d", i)] = jobkeeper.Resources{
			CPUMillis: 1000 * cores,
			MemoryMB:  1430 * cores,
		}
	}
	for team, limit := range teams {
		if homes := layout.Homes(team, limit); len(homes) != 2 {
			t.Fatalf("%s may use %v, want two cells", team, homes)
		}
	}
	for seed := range uint64(10) {
		for team, share := range playBurst(layout, teams, seed) {
			if share < 0.95 {
				t.Errorf("seed %d: %.2f of the jobs of %s start within their objective", seed, share, team)
			}
		}
	}
}
