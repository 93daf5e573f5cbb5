package partitioner

import "slices"

// Evacuated reports whether all availability zones of a cell are evacuated, so that it can't start
// anything. A single cell counts as open, because there is no other one.
func (l Layout) Evacuated(cell string, evacuated map[string]bool) bool {
	zones := l.Zones(cell)
	return len(zones) > 0 && !slices.ContainsFunc(zones, func(zone string) bool { return !evacuated[zone] })
}

// OpenCells returns those of the cells that are not evacuated, or all if there is none.
func (l Layout) OpenCells(cells []string, evacuated map[string]bool) []string {
	if len(evacuated) == 0 {
		return cells
	}
	open := slices.DeleteFunc(slices.Clone(cells), func(cell string) bool { return l.Evacuated(cell, evacuated) })
	if len(open) == 0 {
		return cells
	}
	return open
}
