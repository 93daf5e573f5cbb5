package partitioner

import "time"

// Candidate is a cell that may take a job, as its owner last reported it.
type Candidate struct {
	Cell string
	// Millicores is the capacity that the pool of the job has in the cell or can gain there;
	// zero if the cell can't run the job now.
	Millicores int64
	// Backlog is the time that the capacity needs for the work that waits or runs there.
	Backlog time.Duration
	// HasData is set if the rack that holds the data of the job is in the cell.
	HasData bool
}

const (
	// dataAdvantage is the backlog by which a cell with the data of a job may exceed the
	// others and still be chosen: elsewhere the tasks take a multiple of their time.
	dataAdvantage = time.Second
)

// Choose picks the cell for a job, or returns -1 without candidates. It draws two cells in
// proportion to their capacity and takes the one with the shorter backlog: the daemons decide
// independently on reports that are some hundred milliseconds old, so that the best cell of
// the report would be flooded if all of them took it. draws are two random numbers in [0, 1).
func Choose(candidates []Candidate, draws [2]float64) int {
	var total int64
	for _, c := range candidates {
		total += c.Millicores
	}
	if total == 0 {
		if len(candidates) == 0 {
			return -1
		}
		return min(int(draws[0]*float64(len(candidates))), len(candidates)-1)
	}
	first := draw(candidates, int64(draws[0]*float64(total)))
	second := draw(candidates, int64(draws[1]*float64(total)))
	best := first
	if candidates[second].Backlog < candidates[first].Backlog {
		best = second
	}
	for i, c := range candidates {
		if c.HasData && c.Millicores > 0 && c.Backlog <= candidates[best].Backlog+dataAdvantage {
			return i
		}
	}
	return best
}

// draw returns the candidate in whose part of the summed capacities n lies.
func draw(candidates []Candidate, n int64) int {
	for i, c := range candidates {
		if n -= c.Millicores; n < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
