package orchestrator

import (
	"math"
	"time"
)

// This file finds targets that are slow. Estimates of durations are rough: a run that takes
// several times its estimate says little about its target unless other runs of the same step, on
// other targets, are closer to it.

const (
	// speedWeight is the weight of the latest observation in the moving average of a
	// target's slowdown.
	speedWeight = 0.3
	// speedSampleMin is the shortest elapsed time of a run from which a speed is computed;
	// before it, the start-up of the task distorts the result.
	speedSampleMin = 400 * time.Millisecond
	// maxObservedSlowdown bounds one observation.
	maxObservedSlowdown = 8
	// poolSpeedWeight is the weight of the latest observation in the averages of a pool.
	poolSpeedWeight = 0.02
	// usualDeviations is the number of mean deviations above the mean within which the stretch
	// of a run is usual for its pool.
	usualDeviations = 2
)

// stretch is the elapsed time of a run relative to the estimated time for its progress.
type stretch float64

// stepSpeed holds the smallest stretches seen of the runs of a step, on two different targets.
type stepSpeed struct {
	fastest, second     stretch
	fastestOn, secondOn *target
}

// observe records the stretch of a run on a target.
func (s *stepSpeed) observe(x stretch, on *target) {
	switch {
	case s.fastestOn == on:
		s.fastest = min(s.fastest, x)
	case s.fastestOn == nil || x < s.fastest:
		s.second, s.secondOn = s.fastest, s.fastestOn
		s.fastest, s.fastestOn = x, on
	case s.secondOn == nil || x < s.second:
		s.second, s.secondOn = x, on
	}
}

// elsewhere returns the smallest stretch on targets other than the given one; ok is false if
// the step has not run on any.
func (s *stepSpeed) elsewhere(on *target) (x stretch, ok bool) {
	if s.fastestOn != nil && s.fastestOn != on {
		return s.fastest, true
	}
	return s.second, s.secondOn != nil
}

// poolSpeed holds how much the runs of a pool usually take relative to their estimates.
type poolSpeed struct {
	mean, deviation float64
	known           bool
}

func (p *poolSpeed) observe(x stretch) {
	if !p.known {
		p.mean, p.known = 1, true
	}
	p.deviation += poolSpeedWeight * (math.Abs(float64(x)-p.mean) - p.deviation)
	p.mean += poolSpeedWeight * (float64(x) - p.mean)
}

// usual returns the greatest stretch that is still usual.
func (p *poolSpeed) usual() stretch {
	return stretch(max(1, p.mean+usualDeviations*p.deviation))
}

// observeSpeed updates the slowdown of the run's target: its stretch relative to that of other
// runs of the step on other targets or, if there is none, to what is usual in the pool.
func (e *Engine) observeSpeed(a *attempt, now time.Duration) {
	step := a.task.step.step
	elapsed := now - a.confirmedAt
	if step.LongRunning || step.BestEffort || step.EstimateMS <= 0 || elapsed < speedSampleMin || a.percent >= 100 || a.task.checkpoint != "" {
		return
	}
	estimated := float64(step.EstimateMS) * float64(max(1, a.percent)) / 100
	if step.Rack != "" && step.Rack != a.target.Rack {
		estimated *= max(1, e.cfg.RemoteFactor)
	}
	x := stretch(float64(elapsed.Milliseconds()) / estimated)
	p := e.pool(a.target.Pool)
	reference, ok := a.task.step.speed.elsewhere(a.target)
	if !ok {
		reference = p.speed.usual()
	}
	a.task.step.speed.observe(x, a.target)
	p.speed.observe(min(x, maxObservedSlowdown))
	slowdown := max(1, min(maxObservedSlowdown, float64(x/reference)))
	a.target.slowdown += speedWeight * (slowdown - a.target.slowdown)
}
