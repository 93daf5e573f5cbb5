package orchestrator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/pkg/attributor"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

// This file passes what targets report of their runs to the attributor, and weighs what it finds
// when tasks are placed: it answers the load of targets that run tasks of several kinds, some of
// which slow down others. See docs/design/interference.md.

const (
	// latencyInterval is the time between two observations of a run with a latency target. The
	// reported latencies are averages over that time.
	latencyInterval = 500 * time.Millisecond
	// progressInterval is the time between two observations of the progress of other runs, and
	// minObserved the shortest part of a run that is observed at its end.
	progressInterval = 250 * time.Millisecond
	minObserved      = 150 * time.Millisecond
	// minObservedPercent is the least progress that is an observation; percentages are rounded.
	minObservedPercent = 5
	// maxKindBytes bounds the name of a kind, which callers choose.
	maxKindBytes = 128
	// maxInterference bounds the expected loss that counts against a target.
	maxInterference = 2
	// nearTargetCost is the slowdown at which a latency-sensitive task counts that has no headroom,
	// when a best-effort task is placed beside it.
	nearTargetCost = 0.25
	// reportedSlowdown is the factor from which a run counts as slowed down by its neighbours.
	reportedSlowdown = 1.2
	// interferenceReview is the time between two looks at the pairs that disturb each other.
	interferenceReview = 250 * time.Millisecond
	// apartLogInterval is the shortest time between two lines about tasks that were kept apart, and
	// between two about runs that were slowed down.
	apartLogInterval = 250 * time.Millisecond
)

// interference is what an owner knows of kinds of tasks that slow each other down.
type interference struct {
	attributor *attributor.Attributor
	neighbours []attributor.Neighbour                // scratch space
	pairs      map[attributor.Pair]attributor.Effect // confirmed at the last review
	reviewedAt time.Duration
	apartAt    time.Duration // when a line about a placement was last logged
	slowedAt   time.Duration // when a line about a run was last logged
}

func newInterference() interference {
	return interference{
		attributor: attributor.New(attributor.Config{}),
	}
}

// kindOf names the tasks that a step's tasks behave like: those of its image or, if it states
// none, those of its queue.
func kindOf(j *jobkeeper.Job, s *jobkeeper.Step) attributor.Kind {
	name := "queue " + j.Queue
	if s.Image != "" {
		name = "image " + s.Image
	}
	if len(name) > maxKindBytes {
		name = strings.Clone(name[:maxKindBytes])
	}
	return attributor.Kind(name)
}

// exposure returns how much of the time since the given one a run was beside others, times its
// pace.
func (a *attempt) exposure(since, now, paceDelay time.Duration) float64 {
	if a.confirmedAt == 0 || now <= since {
		return 0
	}
	present := float64(now-max(since, a.confirmedAt)) / float64(now-since)
	return max(0, present) * a.effectivePace(now, paceDelay)
}

// effectivePace returns the share at which a run worked in the last latencyInterval. A change of
// its pace takes effect after paceDelay.
func (a *attempt) effectivePace(now, paceDelay time.Duration) float64 {
	if a.paceSentAt == 0 {
		return float64(a.pace) / 100
	}
	changed := float64(now-a.paceSentAt-paceDelay) / float64(latencyInterval)
	changed = max(0, min(1, changed))
	return (float64(a.paceBefore) + changed*float64(a.pace-a.paceBefore)) / 100
}

// neighboursOf returns what ran beside a run since the given time. The result is valid until the
// next call.
func (e *Engine) neighboursOf(a *attempt, since, now time.Duration) []attributor.Neighbour {
	found := e.interference.neighbours[:0]
	for _, n := range a.target.attempts {
		exposure := n.exposure(since, now, e.cfg.PaceDelay)
		if n == a || exposure == 0 {
			continue
		}
		i := slices.IndexFunc(found, func(x attributor.Neighbour) bool { return x.Kind == n.task.step.kind })
		if i < 0 {
			i = len(found)
			found = append(found, attributor.Neighbour{
				Kind: n.task.step.kind,
			})
		}
		found[i].Exposure += exposure
	}
	e.interference.neighbours = found
	return found
}

// observeRun passes what a run has shown since its last observation to the attributor. done is
// true at its end.
func (e *Engine) observeRun(a *attempt, done bool, now time.Duration) {
	since := max(a.observedAt, a.confirmedAt)
	shortest := progressInterval
	switch {
	case a.task.step.step.TailLatencyTargetMS > 0:
		shortest = latencyInterval
	case done:
		shortest = minObserved
	}
	if a.confirmedAt == 0 || a.phase != phaseRunning || now-since < shortest {
		return
	}
	if done && a.target.regainedAt == now {
		return // it ended at an unknown time
	}
	ratio := a.latencyRatio()
	if a.task.step.step.TailLatencyTargetMS <= 0 {
		ratio = a.durationRatio(now-since, e.cfg.RemoteFactor, done)
	}
	if ratio <= 0 {
		return
	}
	e.interference.attributor.Observe(attributor.Observation{
		Kind:       a.task.step.kind,
		Target:     a.target.ID,
		Baseline:   &a.baseline,
		Ratio:      ratio,
		Neighbours: e.neighboursOf(a, since, now),
	}, now)
	a.observedAt = now
	a.observedPercent = a.percent
}

// latencyRatio returns the tail latency of a run relative to its target, or 0 if it serves nobody
// yet.
func (a *attempt) latencyRatio() float64 {
	if a.percent < 100 || a.measurement <= 0 {
		return 0
	}
	return a.measurement / float64(a.task.step.step.TailLatencyTargetMS)
}

// durationRatio returns the time that a run took for its progress since the last observation,
// relative to the estimate, or 0 if that says nothing: members of a gang wait for each other, and
// a run that resumed or was adopted began at an unknown time.
func (a *attempt) durationRatio(took time.Duration, remoteFactor float64, done bool) float64 {
	step := a.task.step.step
	percent := a.percent
	if done {
		percent = 100
	}
	progress := percent - a.observedPercent
	if step.LongRunning || step.BestEffort || step.Gang || step.EstimateMS <= 0 || a.adopted || a.resumed || progress < minObservedPercent {
		return 0
	}
	expected := float64(step.EstimateMS) * float64(progress) / 100
	if step.Rack != "" && step.Rack != a.target.Rack {
		expected *= max(1, remoteFactor)
	}
	return float64(took.Milliseconds()) / expected
}

// disturbances are the confirmed effects between tasks of one kind and others.
type disturbances struct {
	suffered, caused []disturbance
}

// disturbance is the factor on tasks of a kind, or that neighbours of the kind cause.
type disturbance struct {
	kind   attributor.Kind
	factor float64
}

func (d disturbances) none() bool { return len(d.suffered)+len(d.caused) == 0 }

// disturbances returns the effects that tasks of a kind suffer and cause, as of the last review.
func (e *Engine) disturbances(kind attributor.Kind) disturbances {
	var d disturbances
	for pair, x := range e.interference.pairs {
		if pair.Kind == kind {
			d.suffered = append(d.suffered, disturbance{
				kind:   pair.Neighbour,
				factor: x.Factor,
			})
		}
		if pair.Neighbour == kind {
			d.caused = append(d.caused, disturbance{
				kind:   pair.Kind,
				factor: x.Factor,
			})
		}
	}
	return d
}

// factorOf returns the factor of a kind in the list, or 1.
func factorOf(list []disturbance, kind attributor.Kind) float64 {
	for _, d := range list {
		if d.kind == kind {
			return d.factor
		}
	}
	return 1
}

// weighInterference sets for each target how much a task of the step and those that run there
// would slow each other down.
func (e *Engine) weighInterference(p *pool, views []packer.Target, s *stepState) {
	d := e.disturbances(s.kind)
	for i := range views {
		views[i].Interference = p.targets[i].expectedInterference(s, d)
	}
}

// expectedInterference returns the time that is lost if a task of the step runs on the target, as
// a fraction of a task's duration.
func (t *target) expectedInterference(s *stepState, d disturbances) float64 {
	step, kind := s.step, s.kind
	nearTargets := step.BestEffort && t.latencySensitive > 0
	if d.none() && !nearTargets {
		return 0
	}
	own := 1.0
	for _, x := range d.suffered {
		own *= math.Pow(x.factor, attributor.Weight(t.exposureTo(x.kind)))
	}
	present := t.exposureTo(kind)
	added := attributor.Weight(present+1) - attributor.Weight(present)
	others := 0.0
	for _, n := range t.attempts {
		caused := math.Pow(factorOf(d.caused, n.task.step.kind), added)
		limit := float64(n.task.step.step.TailLatencyTargetMS)
		if limit <= 0 {
			others += caused - 1
		} else if n.measurement*caused > paceHeadroom*limit {
			others += caused - 1
			if step.BestEffort {
				others += nearTargetCost
			}
		}
	}
	return min(maxInterference, own-1+others)
}

// exposureTo returns the number of runs of a kind on the target, weighted by their pace.
func (t *target) exposureTo(kind attributor.Kind) float64 {
	sum := 0.0
	for _, n := range t.attempts {
		if n.task.step.kind == kind {
			sum += float64(n.pace) / 100
		}
	}
	return sum
}

// reportApart counts a placement that differs from the one that would have been made without
// regard to interference, and logs it at a bounded rate.
func (e *Engine) reportApart(t *task, p *pool, views []packer.Target, chosen int, rack string, now time.Duration) {
	if !slices.ContainsFunc(views, func(v packer.Target) bool { return v.Interference > 0 }) {
		return
	}
	plain := append([]packer.Target(nil), e.withoutAvoided(t, views)...)
	for i := range plain {
		plain[i].Interference = 0
	}
	avoided := packer.Choose(e.request(t.step, rack), plain)
	if avoided < 0 || avoided == chosen {
		return
	}
	e.cfg.Observer.TaskKeptApart(p.name)
	if now-e.interference.apartAt < apartLogInterval {
		return
	}
	e.interference.apartAt = now
	neighbour, factor := e.worstNeighbour(t.step, p.targets[avoided])
	e.cfg.Logger.Info("task kept apart from a neighbour", "task", t.id().String(), "target", p.targets[chosen].ID, "avoided", p.targets[avoided].ID,
		"kind", string(t.step.kind), "neighbour", string(neighbour), "factor", round(factor), "expected_loss", round(views[avoided].Interference))
}

// worstNeighbour returns the kind on a target that disturbs tasks of the step, or is disturbed by
// them, the most. Without any it is a latency-sensitive one without headroom.
func (e *Engine) worstNeighbour(s *stepState, t *target) (attributor.Kind, float64) {
	var worst attributor.Kind
	greatest := 1.0
	d := e.disturbances(s.kind)
	for _, n := range t.sortedAttempts() {
		kind := n.task.step.kind
		if f := max(factorOf(d.suffered, kind), factorOf(d.caused, kind)); f > greatest {
			worst, greatest = kind, f
		}
		limit := float64(n.task.step.step.TailLatencyTargetMS)
		if worst == "" && limit > 0 && n.measurement > paceHeadroom*limit {
			worst = kind
		}
	}
	return worst, greatest
}

// reportSlowed logs that neighbours have made a run that ended longer, at a bounded rate.
func (e *Engine) reportSlowed(a *attempt, now time.Duration) {
	step := a.task.step.step
	suffered := e.disturbances(a.task.step.kind).suffered
	if len(suffered) == 0 || step.LongRunning || step.BestEffort || a.confirmedAt == 0 || now-e.interference.slowedAt < apartLogInterval {
		return
	}
	var worst attributor.Kind
	total, greatest := 1.0, 1.0
	for _, n := range e.neighboursOf(a, a.confirmedAt, now) {
		factor := math.Pow(factorOf(suffered, n.Kind), attributor.Weight(n.Exposure))
		total *= factor
		if factor > greatest {
			worst, greatest = n.Kind, factor
		}
	}
	if total < reportedSlowdown {
		return
	}
	e.interference.slowedAt = now
	e.cfg.Logger.Info("run slowed down by neighbours", "task", a.task.id().String(), "run", a.run, "target", a.target.ID,
		"took_ms", (now - a.confirmedAt).Milliseconds(), "factor", round(total), "neighbour", string(worst))
}

// reviewInterference updates the pairs of kinds that placements take into account, and logs which
// have begun or ceased to disturb each other.
func (e *Engine) reviewInterference(now time.Duration) {
	i := &e.interference
	if now-i.reviewedAt < interferenceReview {
		return
	}
	i.reviewedAt = now
	if e.cfg.IgnoreInterference {
		return
	}
	pairs := i.attributor.Pairs(now)
	for _, pair := range sortedPairs(pairs) {
		if _, known := i.pairs[pair]; !known {
			x := pairs[pair]
			e.cfg.Logger.Info("kind of tasks disturbs another", "kind", string(pair.Kind), "neighbour", string(pair.Neighbour), "factor", round(x.Factor), "least", round(x.Least), "greatest", round(x.Greatest))
		}
	}
	for _, pair := range sortedPairs(i.pairs) {
		if _, still := pairs[pair]; !still {
			e.cfg.Logger.Info("kind of tasks no longer known to disturb another", "kind", string(pair.Kind), "neighbour", string(pair.Neighbour))
		}
	}
	i.pairs = pairs
}

func sortedPairs(pairs map[attributor.Pair]attributor.Effect) []attributor.Pair {
	return slices.SortedFunc(maps.Keys(pairs), func(a, b attributor.Pair) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Neighbour, b.Neighbour))
	})
}

// InterferingPairs returns the number of pairs of kinds of which one is known to disturb the other.
func (e *Engine) InterferingPairs() int { return len(e.interference.pairs) }

func round(x float64) float64 { return math.Round(100*x) / 100 }
