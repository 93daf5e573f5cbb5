// Package partitioner divides a fleet into cells, so that the cost of an owner does not grow
// with the fleet.
//
// A cell is a set of targets with one owner, the jobs that it runs and a share of the upper
// limit of each team. All targets of a rack are in one cell, and a VM stays in its cell when
// it moves to another pool. Small fleets form a single cell: a cell needs enough targets of
// each pool to absorb a burst and to place jobs that spread over many targets.
//
// All functions are pure; the daemons agree because they use the same stored Layout.
package partitioner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

const (
	// DefaultCellTargets is the number of targets that a cell should have. An owner on a VM of
	// 0.4 cores serves about as many; smaller cells use their targets worse.
	DefaultCellTargets = 200
	// DefaultMaxCellTargets is the number of targets above which zones don't form a cell
	// together, and a zone has several cells. Each owner reads the registrations and the VMs of
	// the whole fleet, so that more cells cost more than smaller ones save.
	DefaultMaxCellTargets = 300
	// singleCell is the name of the cell of a fleet that is not divided.
	singleCell = "fleet"
)

// Config bounds the sizes of cells, in targets. Zero selects the defaults.
type Config struct {
	CellTargets    int
	MaxCellTargets int
}

// Member is what the division needs to know of a target or VM.
type Member struct {
	Zone string
	Rack string
}

// Layout is the division of a fleet. It is stored once and then kept, because moving a target
// to another cell would need a hand-over between two owners.
type Layout struct {
	// Groups are the availability zones whose targets form a cell together; empty for a
	// single cell.
	Groups [][]string `cbor:"1,keyasint,omitempty"`
	// Parts is the number of cells of each group.
	Parts int `cbor:"2,keyasint,omitempty"`
}

// Divide returns the layout for a fleet: as few cells as CellTargets allows, of whole zones, or
// several cells for each zone if zones exceed MaxCellTargets.
func Divide(cfg Config, members []Member) Layout {
	size, most := cfg.CellTargets, cfg.MaxCellTargets
	if size <= 0 {
		size = DefaultCellTargets
	}
	if most <= 0 {
		most = DefaultMaxCellTargets
	}
	sizes := map[string]int{}
	largest := 0
	for _, m := range members {
		sizes[m.Zone]++
		largest = max(largest, sizes[m.Zone])
	}
	l := Layout{
		Parts: ceil(largest, most),
	}
	n := min(len(sizes), ceil(len(members), size))
	if l.Parts > 1 {
		n = len(sizes)
	}
	for n*l.Parts > 1 {
		var largestGroup int
		l.Groups, largestGroup = group(sizes, n)
		if largestGroup <= most || n == len(sizes) {
			return l
		}
		n++
	}
	return Layout{}
}

func ceil(n, d int) int { return (n + d - 1) / d }

// group divides zones into n groups of about the same size. It also returns the size of the
// largest group.
func group(sizes map[string]int, n int) (groups [][]string, largest int) {
	zones := slices.SortedFunc(maps.Keys(sizes), func(a, b string) int {
		return cmp.Or(cmp.Compare(sizes[b], sizes[a]), cmp.Compare(a, b))
	})
	groups = make([][]string, n)
	totals := make([]int, n)
	for _, zone := range zones {
		smallest := 0
		for i := range totals {
			if totals[i] < totals[smallest] {
				smallest = i
			}
		}
		groups[smallest] = append(groups[smallest], zone)
		totals[smallest] += sizes[zone]
	}
	return groups, slices.Max(totals)
}

// Cells returns the names of the cells in a fixed order. Names contain no slash.
func (l Layout) Cells() []string {
	if l.Single() {
		return []string{singleCell}
	}
	cells := make([]string, 0, len(l.Groups)*l.Parts)
	for i := range l.Groups {
		for part := range l.Parts {
			cells = append(cells, cellName(i, part))
		}
	}
	return cells
}

// Single reports whether the fleet is one cell.
func (l Layout) Single() bool { return len(l.Groups) == 0 || l.Parts < 1 }

func cellName(group, part int) string { return fmt.Sprintf("c%d-%d", group, part) }

// CellOf returns the name of the cell that a target or VM belongs to. Members of a zone that
// the layout does not name go to the cells of one of its groups.
func (l Layout) CellOf(m Member) string {
	if l.Single() {
		return singleCell
	}
	group := slices.IndexFunc(l.Groups, func(zones []string) bool { return slices.Contains(zones, m.Zone) })
	if group < 0 {
		group = int(hash(m.Zone) % uint64(len(l.Groups)))
	}
	part := 0
	if l.Parts > 1 {
		part = int(hash(m.Rack) % uint64(l.Parts))
	}
	return cellName(group, part)
}

// InZone reports whether a cell has targets in an availability zone. A single cell has targets
// in all of them.
func (l Layout) InZone(cell, zone string) bool {
	return l.Single() || slices.Contains(l.Zones(cell), zone)
}

// Zones returns the availability zones of a cell; none for a single cell.
func (l Layout) Zones(cell string) []string {
	for i, zones := range l.Groups {
		for part := range l.Parts {
			if cellName(i, part) == cell {
				return zones
			}
		}
	}
	return nil
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	// The last bytes of a short string hardly reach the high bits of FNV.
	n := h.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	return n
}
