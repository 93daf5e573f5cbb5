package partitioner

import "github.com/comfreyford/comfreyford/pkg/jobkeeper"

// Allowance returns what a cell may use of a team's upper limit while other cells may use
// what others states: its share, less what they use beyond theirs. It covers the time in
// which cells act on different configurations, and long-running tasks that keep more than a
// share that became smaller. ok is false if nothing is left of an amount that has a limit.
func Allowance(share, limit jobkeeper.Resources, others []jobkeeper.Resources) (allowed jobkeeper.Resources, ok bool) {
	left := limit
	for _, used := range others {
		left = left.Minus(used)
	}
	ok = true
	amount := func(share, limit, left int64) int64 {
		if limit == 0 {
			return 0
		}
		ok = ok && min(share, left) > 0
		return min(share, left)
	}
	return jobkeeper.Resources{
		CPUMillis: amount(share.CPUMillis, limit.CPUMillis, left.CPUMillis),
		MemoryMB:  amount(share.MemoryMB, limit.MemoryMB, left.MemoryMB),
		GPUs:      amount(share.GPUs, limit.GPUs, left.GPUs),
	}, ok
}
