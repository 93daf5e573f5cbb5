package partitioner_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
)

// fleet returns n members in the given number of zones, twelve to a rack.
func fleet(n, zones int) []partitioner.Member {
	var members []partitioner.Member
	for i := range n {
		members = append(members, partitioner.Member{
			Zone: fmt.Sprintf("zone-%d", i%zones),
			Rack: fmt.Sprintf("rack-%d-%d", i%zones, i/zones/12),
		})
	}
	return members
}

func ExampleDivide() {
	l := partitioner.Divide(partitioner.Config{}, fleet(400, 2))
	fmt.Println(l.Cells())
	fmt.Println(l.CellOf(partitioner.Member{
		Zone: "zone-1",
		Rack: "rack-1-0",
	}))
	// Output:
	// [c0-0 c1-0]
	// c1-0
}

func TestFleetsAreDividedSoThatNoCellGrowsWithTheFleet(t *testing.T) {
	tests := []struct {
		name    string
		members []partitioner.Member
		cells   int
		largest int // most targets of a cell that are accepted
	}{
		{"no targets", nil, 1, 0},
		{"small fleet", fleet(200, 4), 1, 200},
		{"fleet in one zone", fleet(280, 1), 1, 280},
		{"larger fleet in one zone", fleet(320, 1), 2, 240},
		{"two cells in one zone", fleet(600, 1), 2, 400},
		{"zones that don't pair", fleet(998, 6), 6, 170},
		{"three zones", fleet(300, 3), 2, 200},
		{"medium fleet", fleet(349, 4), 2, 180},
		{"large fleet", fleet(1100, 6), 6, 190},
		{"very large fleet", fleet(12_600, 42), 42, 300},
		{"few large zones", fleet(12_600, 4), 44, 480},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := partitioner.Divide(partitioner.Config{}, test.members)
			if got := len(l.Cells()); got != test.cells {
				t.Errorf("%d cells, want %d", got, test.cells)
			}
			sizes := map[string]int{}
			racks := map[string]string{}
			for _, m := range test.members {
				cell := l.CellOf(m)
				sizes[cell]++
				if !slices.Contains(l.Cells(), cell) {
					t.Fatalf("cell %s is not in the list of cells", cell)
				}
				if racks[m.Rack] != "" && racks[m.Rack] != cell {
					t.Fatalf("rack %s is in the cells %s and %s", m.Rack, racks[m.Rack], cell)
				}
				racks[m.Rack] = cell
				if !l.InZone(cell, m.Zone) {
					t.Fatalf("cell %s is not in the zone %s of its member", cell, m.Zone)
				}
			}
			for cell, size := range sizes {
				if size > test.largest {
					t.Errorf("cell %s has %d targets, want at most %d", cell, size, test.largest)
				}
			}
		})
	}
}

func TestMembersOfUnknownZonesHaveACell(t *testing.T) {
	l := partitioner.Divide(partitioner.Config{}, fleet(1100, 6))
	m := partitioner.Member{
		Zone: "added later",
	}
	if cell := l.CellOf(m); !slices.Contains(l.Cells(), cell) || cell != l.CellOf(m) {
		t.Errorf("cell is %q, want always the same of %v", cell, l.Cells())
	}
}

// The sum of the shares must not exceed the limit, and a share must hold several wide jobs.
func TestSharesAddUpToTheLimit(t *testing.T) {
	l := partitioner.Divide(partitioner.Config{}, fleet(1100, 6))
	tests := []struct {
		name  string
		limit jobkeeper.Resources
		homes int
	}{
		{"no limit", jobkeeper.Resources{}, 6},
		{"small team", jobkeeper.Resources{
			CPUMillis: 90_000,
			MemoryMB:  400_000,
		}, 1},
		{"medium team", jobkeeper.Resources{
			CPUMillis: 1_300_000,
		}, 3},
		{"little memory", jobkeeper.Resources{
			CPUMillis: 9_000_000,
			MemoryMB:  3_300_000,
		}, 2},
		{"large team", jobkeeper.Resources{
			CPUMillis: 9_000_001,
			MemoryMB:  90_000_000,
			GPUs:      4000,
		}, 6},
		{"few GPUs", jobkeeper.Resources{
			CPUMillis: 9_000_000,
			GPUs:      3,
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var sum jobkeeper.Resources
			homes := 0
			for _, cell := range l.Cells() {
				share, home := l.Share("team", test.limit, cell)
				if home {
					homes++
				}
				sum = sum.Plus(share)
			}
			if homes != test.homes || len(l.Homes("team", test.limit)) != homes {
				t.Errorf("%d cells have a share, want %d", homes, test.homes)
			}
			if !sum.FitsIn(test.limit) {
				t.Errorf("shares add up to %+v, more than the limit", sum)
			}
			for _, amounts := range [][2]int64{{sum.CPUMillis, test.limit.CPUMillis}, {sum.MemoryMB, test.limit.MemoryMB}, {sum.GPUs, test.limit.GPUs}} {
				if amounts[1]-amounts[0] >= 6 {
					t.Errorf("shares add up to %d of %d", amounts[0], amounts[1])
				}
			}
		})
	}
}

func TestSmallTeamsSpreadOverTheCells(t *testing.T) {
	l := partitioner.Divide(partitioner.Config{}, fleet(1100, 6))
	teams := map[string]int{}
	for i := range 600 {
		teams[l.Homes(fmt.Sprintf("team-%d", i), jobkeeper.Resources{
			CPUMillis: 1,
		})[0]]++
	}
	for _, cell := range l.Cells() {
		if n := teams[cell]; n < 60 || n > 140 {
			t.Errorf("%d of 600 teams have their share in %s, want about 100", n, cell)
		}
	}
}

func TestAllowanceLeavesWhatOthersUseBeyondTheirShares(t *testing.T) {
	cpu := func(n int64) jobkeeper.Resources {
		return jobkeeper.Resources{
			CPUMillis: n,
		}
	}
	tests := []struct {
		name   string
		share  jobkeeper.Resources
		limit  jobkeeper.Resources
		others []jobkeeper.Resources
		want   jobkeeper.Resources
		ok     bool
	}{
		{"no limit", cpu(0), cpu(0), []jobkeeper.Resources{cpu(9)}, cpu(0), true},
		{"others within their shares", cpu(50), cpu(100), []jobkeeper.Resources{cpu(50)}, cpu(50), true},
		{"another cell uses more", cpu(50), cpu(100), []jobkeeper.Resources{cpu(80)}, cpu(20), true},
		{"another cell uses everything", cpu(50), cpu(100), []jobkeeper.Resources{cpu(100)}, cpu(0), false},
		{"the limit was lowered", cpu(20), cpu(40), []jobkeeper.Resources{cpu(70)}, cpu(-30), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := partitioner.Allowance(test.share, test.limit, test.others)
			if ok != test.ok || ok && got != test.want {
				t.Errorf("allowance is %+v, %v, want %+v, %v", got, ok, test.want, test.ok)
			}
		})
	}
}

// Load: bursts in which independent daemons place jobs on reports of one moment. Taking the
// best cell of the report would give all jobs to one cell.
func TestJobsOfABurstSpreadOverCellsInProportionToCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := []partitioner.Candidate{
		{
			Cell:       "a",
			Millicores: 900_000,
			Backlog:    300 * time.Millisecond,
		},
		{
			Cell:       "b",
			Millicores: 900_000,
			Backlog:    310 * time.Millisecond,
		},
		{
			Cell:       "c",
			Millicores: 300_000,
			Backlog:    310 * time.Millisecond,
		},
		{
			Cell:       "cut off",
			Millicores: 0,
		},
	}
	counts := map[string]int{}
	for range 3000 {
		counts[candidates[partitioner.Choose(candidates, [2]float64{rng.Float64(), rng.Float64()})].Cell]++
	}
	if counts["cut off"] > 0 {
		t.Errorf("%d jobs go to a cell without capacity", counts["cut off"])
	}
	if counts["a"] > 2100 || counts["b"] < 600 || counts["c"] < 150 || counts["c"] > 600 {
		t.Errorf("jobs by cell are %v", counts)
	}
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name       string
		candidates []partitioner.Candidate
		want       string
	}{
		{"shorter backlog of two", []partitioner.Candidate{{
			Cell:       "a",
			Millicores: 10,
			Backlog:    time.Second,
		}, {
			Cell:       "b",
			Millicores: 10,
		}}, "b"},
		{"cell with the data", []partitioner.Candidate{{
			Cell:       "a",
			Millicores: 10,
		}, {
			Cell:       "b",
			Millicores: 1,
			Backlog:    time.Second / 2,
			HasData:    true,
		}}, "b"},
		{"cell with the data is far behind", []partitioner.Candidate{{
			Cell:       "a",
			Millicores: 10,
		}, {
			Cell:       "b",
			Millicores: 1,
			Backlog:    3 * time.Second,
			HasData:    true,
		}}, "a"},
		{"nothing is known", []partitioner.Candidate{{
			Cell: "a",
		}, {
			Cell: "b",
		}}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if i := partitioner.Choose(test.candidates, [2]float64{0.1, 0.9}); test.candidates[i].Cell != test.want {
				t.Errorf("cell is %s, want %s", test.candidates[i].Cell, test.want)
			}
		})
	}
	if i := partitioner.Choose(nil, [2]float64{}); i != -1 {
		t.Errorf("choice without candidates is %d, want -1", i)
	}
}

// At each moment owners may act on different versions of the division. Whatever mix of them
// is in force, the VMs that are down at once must stay within the limit of the wave.
func TestWavePartsStayWithinTheLimitWhileCellsCompleteInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := partitioner.Divide(partitioner.Config{}, fleet(1100, 6))
	for range 300 {
		var vms []string
		cells := map[string]string{}
		for i := range 1 + rng.IntN(80) {
			vm := fmt.Sprintf("vm-%d", i)
			vms = append(vms, vm)
			cells[vm] = l.Cells()[min(rng.IntN(6), rng.IntN(6))]
		}
		limit := 1 + rng.IntN(12)
		parts := l.SplitWave(vms, limit, func(vm string) string { return cells[vm] })
		complete := map[string]bool{}
		greatest := make([]int, len(parts)) // of all versions so far, for cells that are not complete
		for {
			sum := 0
			for i, p := range parts {
				if complete[p.Cell] {
					continue
				}
				if p.MaxUnavailable < greatest[i] {
					t.Fatalf("%s may have %d VMs down, had %d before", p.Cell, p.MaxUnavailable, greatest[i])
				}
				greatest[i] = p.MaxUnavailable
				sum += p.MaxUnavailable
			}
			if sum > limit {
				t.Fatalf("%d VMs may be down, want at most %d", sum, limit)
			}
			if len(complete) == len(parts) {
				break
			}
			if sum == 0 {
				t.Fatal("no VM may be down although parts are incomplete")
			}
			for _, p := range parts {
				if !complete[p.Cell] && p.MaxUnavailable > 0 {
					complete[p.Cell] = true
					break
				}
			}
			parts = partitioner.AllotWave(parts, limit, complete)
		}
	}
}

func TestVMsWithoutACellGoToTheFirst(t *testing.T) {
	l := partitioner.Divide(partitioner.Config{}, fleet(400, 2))
	got := l.SplitWave([]string{"left", "b1"}, 2, func(vm string) string {
		if vm == "left" {
			return ""
		}
		return "c1-0"
	})
	want := []partitioner.WavePart{
		{
			Cell:           "c0-0",
			VMs:            []string{"left"},
			MaxUnavailable: 1,
			Size:           1,
		},
		{
			Cell:           "c1-0",
			VMs:            []string{"b1"},
			MaxUnavailable: 1,
			Size:           1,
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("parts are %+v, want %+v", got, want)
	}
}

// A VM that no list shows when a wave is divided goes to the first cell. If a list shows it in
// another cell later, that one has to maintain it: the first cell takes it for gone.
func TestVMListedAfterTheDivisionOfAWaveGoesToItsCell(t *testing.T) {
	parts := []partitioner.WavePart{
		{
			Cell:           "a",
			VMs:            []string{"a1", "late", "gone"},
			MaxUnavailable: 3,
			Size:           3,
		},
		{
			Cell:           "b",
			VMs:            []string{"b1"},
			MaxUnavailable: 1,
			Size:           1,
		},
	}
	tests := []struct {
		name    string
		cells   map[string]string
		want    [][]string
		changed bool
	}{
		{
			name:  "not listed yet",
			cells: map[string]string{"a1": "a", "b1": "b"},
			want:  [][]string{{"a1", "late", "gone"}, {"b1"}},
		},
		{
			name:    "listed in another cell",
			cells:   map[string]string{"a1": "a", "b1": "b", "late": "b"},
			want:    [][]string{{"a1", "gone"}, {"b1", "late"}},
			changed: true,
		},
		{
			name:  "listed in a cell without a part",
			cells: map[string]string{"a1": "a", "b1": "b", "late": "c"},
			want:  [][]string{{"a1", "late", "gone"}, {"b1"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, changed := partitioner.ReassignWave(parts, func(vm string) string { return test.cells[vm] })
			if changed != test.changed {
				t.Errorf("changed: %t, want %t", changed, test.changed)
			}
			for i, p := range partitioner.AllotWave(got, 4, nil) {
				slices.Sort(test.want[i])
				slices.Sort(p.VMs)
				if !slices.Equal(p.VMs, test.want[i]) || p.MaxUnavailable != parts[i].MaxUnavailable {
					t.Errorf("part %s has %v with %d at once, want %v with %d", p.Cell, p.VMs, p.MaxUnavailable, test.want[i], parts[i].MaxUnavailable)
				}
			}
		})
	}
}
