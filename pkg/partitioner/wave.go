package partitioner

import (
	"cmp"
	"maps"
	"slices"
)

// WavePart is the part of a maintenance wave that the owner of a cell carries out.
type WavePart struct {
	Cell string   `cbor:"1,keyasint"`
	VMs  []string `cbor:"2,keyasint,omitempty"`
	// MaxUnavailable is how many VMs of the part may be down at once.
	MaxUnavailable int `cbor:"3,keyasint,omitempty"`
	// Size is the number of VMs of the part when the wave was divided. MaxUnavailable is allotted by
	// it, so that VMs that are reassigned later take nothing from a part.
	Size int `cbor:"4,keyasint,omitempty"`
}

func (p WavePart) size() int { return cmp.Or(p.Size, len(p.VMs)) }

// SplitWave divides the VMs of a wave among the cells. cellOf returns the cell of a VM; VMs
// for which it returns "" go to the first cell.
func (l Layout) SplitWave(vms []string, maxUnavailable int, cellOf func(vm string) string) []WavePart {
	byCell := map[string][]string{}
	for _, vm := range vms {
		cell := cellOf(vm)
		if cell == "" {
			cell = l.Cells()[0]
		}
		byCell[cell] = append(byCell[cell], vm)
	}
	parts := make([]WavePart, 0, len(byCell))
	for _, cell := range slices.Sorted(maps.Keys(byCell)) {
		parts = append(parts, WavePart{
			Cell: cell,
			VMs:  byCell[cell],
			Size: len(byCell[cell]),
		})
	}
	return AllotWave(parts, maxUnavailable, nil)
}

// ReassignWave moves VMs to the parts of their cells, and reports whether any was in another part:
// a VM that no list showed when the wave was divided is in that of the first cell. cellOf returns ""
// for VMs that are not known. The parts keep their MaxUnavailable, on which owners may be acting; a
// VM whose cell has no part stays where it is.
func ReassignWave(parts []WavePart, cellOf func(vm string) string) ([]WavePart, bool) {
	reassigned := slices.Clone(parts)
	index := map[string]int{}
	for i, p := range reassigned {
		index[p.Cell] = i
		reassigned[i].VMs = nil
	}
	changed := false
	for i, p := range parts {
		for _, vm := range p.VMs {
			to, known := index[cellOf(vm)]
			if !known {
				to = i
			}
			changed = changed || to != i
			reassigned[to].VMs = append(reassigned[to].VMs, vm)
		}
	}
	return reassigned, changed
}

// AllotWave returns the parts with their MaxUnavailable set, which add up to at most
// maxUnavailable. Parts that are complete, with none of their VMs down, get none. It uses
// the highest averages (D'Hondt), so that no part loses when another one completes: an owner
// that still acts on an earlier allotment stays within the present one.
func AllotWave(parts []WavePart, maxUnavailable int, complete map[string]bool) []WavePart {
	allotted := slices.Clone(parts)
	for i := range allotted {
		allotted[i].MaxUnavailable = 0
	}
	for range maxUnavailable {
		best := -1
		for i, p := range allotted {
			if complete[p.Cell] || p.MaxUnavailable >= p.size() {
				continue
			}
			if best < 0 || p.size()*(allotted[best].MaxUnavailable+1) > allotted[best].size()*(p.MaxUnavailable+1) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		allotted[best].MaxUnavailable++
	}
	return allotted
}
