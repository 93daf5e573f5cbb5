// Package packer chooses the targets on which the tasks of a step run.
//
// A task goes to the target that it fits most tightly, so that large gaps stay free for large
// tasks and idle targets stay idle and their VMs can be moved. Targets on which the task would
// be slow, because its data is on another rack or because the target itself is slow, come
// last.
package packer

import "github.com/comfreyford/comfreyford/pkg/jobkeeper"

// Target describes a target to Choose.
type Target struct {
	ID       string
	Rack     string
	Labels   []string
	Capacity jobkeeper.Resources
	Used     jobkeeper.Resources // reserved by all tasks that may still run
	// Slowdown is the duration of tasks on this target relative to a healthy target, at least
	// 1.
	Slowdown float64
	// LatencySensitive is the number of tasks on this target with a bound on their tail
	// latency.
	LatencySensitive int
	// BestEffort is the number of tasks on this target that use only processors left idle by
	// others.
	BestEffort int
	// Interference is the time that the task and those on the target would lose by slowing each
	// other down, as a fraction of a task's duration.
	Interference float64
	// Idle targets run no task.
	Idle bool
	// SameStep is the number of tasks on this target that belong to the step of the request.
	SameStep int
	// AwaitingMaintenance targets will soon be drained for maintenance, so that a long-running
	// task would have to move again.
	AwaitingMaintenance bool
	// Closed targets accept no new tasks.
	Closed bool
}

// Request describes the tasks to place.
type Request struct {
	Step         *jobkeeper.Step
	RemoteFactor float64 // slowdown of tasks that run on another rack than their data, at least 1
	MaxSlowdown  float64 // slower targets are not eligible; 0 for no limit
	// Rack, if set, is preferred because other tasks of the step run there.
	Rack string
}

// Weights of the cost of a placement. A cost of 1 is that of leaving all processors of a
// target unused.
const (
	remoteWeight     = 4.0 // a remote task takes 1.5 times as long
	slowWeight       = 8.0
	disturbedWeight  = remoteWeight // for a task that takes twice as long
	interferenceCost = 0.5          // for each latency-sensitive task beside a best-effort one, or the reverse
	idleTargetCost   = 0.3          // keeps idle targets free, so that their VMs can be moved
	interruptionCost = 8.0          // a long-running task would be interrupted once more
)

// Choose returns the index of the target with the lowest cost for one task, or -1 if none is
// eligible.
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

// Eligible reports whether the target may run one more task of the step: it is open, not too
// slow, has the label and enough free resources, and is below the limit per target.
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

// FitsWhenEmpty reports whether the target has the label and enough capacity for a task of the
// step when it is empty.
func FitsWhenEmpty(step *jobkeeper.Step, t *Target) bool {
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
	sum += disturbedWeight * t.Interference
	if t.Idle {
		sum += idleTargetCost
	}
	if t.AwaitingMaintenance && step.LongRunning {
		sum += interruptionCost
	}
	if step.BestEffort {
		sum += interferenceCost * float64(t.LatencySensitive)
	}
	if step.TailLatencyTargetMS > 0 {
		sum += interferenceCost * float64(t.BestEffort)
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
