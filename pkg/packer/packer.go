// Package packer chooses the targets on which the tasks of a step run.
//
// A task goes to the target that it fits most tightly, so that large gaps stay
// free for large tasks and idle targets stay idle and can be moved. Targets that
// would make the task slow, because its data is on another rack or because the
// target itself is slow, come last.
package packer

import "github.com/comfreyford/comfreyford/pkg/jobkeeper"

// Target is what placement knows of a target.
type Target struct {
	ID       string
	Rack     string
	Labels   []string
	Capacity jobkeeper.Resources
	Used     jobkeeper.Resources // reserved by everything that may still run
	// Slowdown is the duration of tasks on this target relative to a sound one, at least 1.
	Slowdown float64
	// Serving is the number of tasks here whose response times matter.
	Serving int
	// Filling is the number of tasks here that use what others leave.
	Filling int
	// Idle targets have nothing running.
	Idle bool
	// SameStep is the number of tasks of the step in question that run here.
	SameStep int
	// Leaving targets will be emptied soon, so that a task that lasts would move again.
	Leaving bool
	// Closed targets take no new work.
	Closed bool
}

// Request describes the tasks to place.
type Request struct {
	Step         *jobkeeper.Step
	RemoteFactor float64 // slowdown of tasks away from the rack of their data, at least 1
	MaxSlowdown  float64 // targets slower than this are not used
	// Rack, if set, is preferred because the other tasks of the step run there.
	Rack string
}

// Weights of the cost of a placement, relative to one whole target left free.
const (
	remoteWeight   = 4.0 // a remote task takes half as long again
	slowWeight     = 8.0
	neighbourCost  = 0.5 // a filling task beside one that serves, or the reverse
	idleTargetCost = 0.3 // keeps idle targets free to move
	leavingCost    = 8.0 // a lasting task is interrupted once more
)

// Choose returns the index of the best target for one task, or -1 if none fits.
func Choose(r Request, targets []Target) int {
	best, bestCost := -1, 0.0
	for i := range targets {
		if !Eligible(r, &targets[i]) {
			continue
		}
		cost := cost(r, &targets[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Eligible reports whether one more task fits on the target.
func Eligible(r Request, t *Target) bool {
	step := r.Step
	switch {
	case t.Closed:
		return false
	case step.PerTarget > 0 && t.SameStep >= step.PerTarget:
		return false
	case step.Label != "" && !has(t.Labels, step.Label):
		return false
	case r.MaxSlowdown > 0 && t.Slowdown > r.MaxSlowdown:
		return false
	}
	return step.Reserved().FitsIn(t.Capacity.Minus(t.Used))
}

// Possible reports whether a task of the step would fit on the empty target.
func Possible(step *jobkeeper.Step, t *Target) bool {
	return (step.Label == "" || has(t.Labels, step.Label)) && step.Reserved().FitsIn(t.Capacity)
}

func cost(r Request, t *Target) float64 {
	step := r.Step
	free := t.Capacity.Minus(t.Used).Minus(step.Reserved())
	sum := fraction(free.CPUMillis, t.Capacity.CPUMillis) + fraction(free.MemoryMB, t.Capacity.MemoryMB)/4
	if step.Rack != "" && t.Rack != step.Rack {
		sum += remoteWeight * (r.RemoteFactor - 1)
	}
	if r.Rack != "" && t.Rack != r.Rack {
		sum += remoteWeight * (r.RemoteFactor - 1)
	}
	sum += slowWeight * (t.Slowdown - 1)
	if t.Idle {
		sum += idleTargetCost
	}
	if t.Leaving && step.Lasting {
		sum += leavingCost
	}
	if step.Filling {
		sum += neighbourCost * float64(t.Serving)
	}
	if step.TailTargetMS > 0 {
		sum += neighbourCost * float64(t.Filling)
	}
	return sum
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func has(labels []string, label string) bool {
	for _, l := range labels {
		if l == label {
			return true
		}
	}
	return false
}
