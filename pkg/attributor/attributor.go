// Package attributor estimates how much tasks of one kind slow down tasks of another kind that
// run on the same target.
//
// It answers the load of targets that run tasks of several kinds at once, some of which disturb
// others by amounts that change within seconds, while targets differ and estimates of durations
// are wrong. Each run is therefore compared with itself: when its neighbours change, the change of
// what it shows (its duration for some progress, or its tail latency) is divided among the kinds
// that came or went, by how uncertain the effect of each is. Long tasks that often run beside some
// kind, slow targets and wrong estimates so count against nobody. The estimates are those of a
// Kalman filter without covariances; an effect becomes uncertain again without new observations.
//
// An Attributor does no I/O, reads no clock and is not safe for concurrent use. Its memory is
// bounded by Config.MaxKinds.
package attributor

import (
	"math"
	"slices"
	"time"
)

// DefaultMaxKinds is the default of Config.MaxKinds.
const DefaultMaxKinds = 32

const (
	// kindMemory is how long a kind has to be unobserved before a new one may take its place.
	kindMemory = 30 * time.Second
	// confidence is the number of standard deviations by which an effect has to exceed what is
	// tolerated to be confirmed, doubt the number below which it no longer is.
	confidence = 2.8
	doubt      = 2.2
	// tolerated is the factor up to which an effect counts as none.
	tolerated = 1.05
	// targetMemory is how old the observation of a pair on a second target may be. A pair that was
	// seen on one target only says as much about the target as about the tasks.
	targetMemory = 20 * time.Second
	// initialNoise, minNoise and maxNoise are variances of an observation, in squares of a natural
	// logarithm.
	initialNoise = 0.16
	minNoise     = 0.03
	maxNoise     = 1.0
	// noiseWeight is the weight of the latest observation in the estimate of the noise.
	noiseWeight = 0.02
	// maxDeviations bounds the innovation of one observation, in standard deviations.
	maxDeviations = 3
	// minChange is the change of a neighbour's weight below which it does not count.
	minChange = 0.1
	// baselineObservations bounds the observations with which a run is compared, so that those of
	// a long-running task that has changed its load count for some seconds only.
	baselineObservations = 8
	// An effect is expected to be none, within priorVariance. driftVariance is by how much its
	// variance grows per second, effectMemory the time in which it returns to none without
	// observations.
	priorVariance = 0.3
	driftVariance = 0.003
	effectMemory  = 5 * time.Minute
)

// Kind names tasks that behave alike, such as those of one image.
type Kind string

// Config configures an Attributor.
type Config struct {
	// MaxKinds is the number of kinds that are told apart. Further ones share one, which takes the
	// blame for what they do from the others, and is never confirmed. Zero selects the default.
	MaxKinds int
}

// Neighbour is what runs beside a task.
type Neighbour struct {
	Kind Kind
	// Exposure is the number of such tasks, weighted by their pace and by how much of the observed
	// time they ran.
	Exposure float64
}

// Observation is what one run showed since the last one.
type Observation struct {
	Kind     Kind
	Target   string
	Baseline *Baseline // kept by the caller with the run
	// Ratio is the time that the run took relative to the estimate for its progress, or its tail
	// latency relative to its target; above zero.
	Ratio      float64
	Neighbours []Neighbour
}

// Baseline is what a run showed so far, and beside what. The zero value is that of a new run.
type Baseline struct {
	n       float64
	mean    float64 // of the logarithms of the ratios
	weights []weight
}

// weight is the mean weight of a kind of neighbours.
type weight struct {
	kind Kind
	mean float64
}

// Weight returns the part of an effect that an exposure has. The first task of a kind adds the most:
// several together disturb at most half as much again, in logarithms, as one.
func Weight(exposure float64) float64 {
	if exposure <= 1 {
		return max(0, exposure)
	}
	return 1.5 - 0.5/exposure
}

// Effect is how much one task of a kind slows down its neighbours of another kind.
type Effect struct {
	Factor    float64 // estimated factor on the duration or tail latency
	Least     float64 // factor that is exceeded with confidence, at least 1
	Greatest  float64 // factor that is not exceeded with confidence
	Confirmed bool    // it exceeds what is tolerated, and not on one target only
}

// effect is the estimate for a pair of kinds.
type effect struct {
	mean, variance float64 // of the logarithm of the factor
	at             time.Duration
	known          bool
	// target and earlier are the targets of the last observation and of the last one elsewhere.
	target, earlier     string
	targetAt, earlierAt time.Duration
	confirmed           bool
}

// slot is the state of a kind.
type slot struct {
	kind   Kind
	seenAt time.Duration
	noise  float64 // variance of an observation
	// effects are those of its neighbours on this kind, by slot.
	effects []effect
}

// Attributor holds the estimates for the targets of one owner.
type Attributor struct {
	maxKinds int
	index    map[Kind]int
	slots    []slot   // the first one is shared by kinds without one of their own
	changes  []change // scratch space
}

// change is how much more of a kind ran beside a run than before.
type change struct {
	effect *effect
	weight float64
}

// New returns an Attributor without observations.
func New(cfg Config) *Attributor {
	maxKinds := cfg.MaxKinds
	if maxKinds <= 0 {
		maxKinds = DefaultMaxKinds
	}
	a := &Attributor{
		maxKinds: maxKinds,
		index:    map[Kind]int{},
		slots:    make([]slot, 1, maxKinds+1),
	}
	a.slots[0].reset("", 0, maxKinds+1)
	return a
}

func (s *slot) reset(kind Kind, now time.Duration, width int) {
	*s = slot{
		kind:    kind,
		seenAt:  now,
		noise:   initialNoise,
		effects: make([]effect, width),
	}
}

// Observe updates the estimates by an observation. The first one of a run has nothing to be compared
// with.
func (a *Attributor) Observe(o Observation, now time.Duration) {
	if !(o.Ratio > 0) || math.IsInf(o.Ratio, 0) {
		return
	}
	ratio := math.Log(o.Ratio)
	s := &a.slots[a.slotFor(o.Kind, now)]
	b := o.Baseline
	if b.n > 0 {
		a.collectChanges(s, b, o.Neighbours, now)
		// The scale gives the difference from a mean of n observations the variance of one.
		scale := math.Sqrt(b.n / (b.n + 1))
		a.update(s, scale*(ratio-b.mean), scale, o.Target, now)
	}
	b.add(ratio, o.Neighbours)
}

// collectChanges sets changes to the kinds of which more or fewer run beside a run than before.
func (a *Attributor) collectChanges(s *slot, b *Baseline, present []Neighbour, now time.Duration) {
	a.changes = a.changes[:0]
	add := func(kind Kind, more float64) {
		if math.Abs(more) < minChange {
			return
		}
		e := &s.effects[a.slotFor(kind, now)]
		e.advance(now)
		a.changes = append(a.changes, change{
			effect: e,
			weight: more,
		})
	}
	for _, n := range present {
		add(n.Kind, Weight(n.Exposure)-b.weight(n.Kind))
	}
	for _, w := range b.weights {
		if !slices.ContainsFunc(present, func(n Neighbour) bool { return n.Kind == w.kind }) {
			add(w.kind, -w.mean)
		}
	}
}

// update corrects the effects of the changes by the difference of a run from its baseline, both of
// which are scaled.
func (a *Attributor) update(s *slot, difference, scale float64, target string, now time.Duration) {
	uncertainty := 0.0
	for _, c := range a.changes {
		difference -= scale * c.weight * c.effect.mean
		uncertainty += scale * c.weight * scale * c.weight * c.effect.variance
	}
	total := uncertainty + s.noise
	limit := maxDeviations * math.Sqrt(total)
	difference = max(-limit, min(limit, difference))
	for _, c := range a.changes {
		e := c.effect
		gain := e.variance * scale * c.weight / total
		e.mean = max(0, e.mean+gain*difference) // no neighbour makes a task faster
		e.variance -= gain * scale * c.weight * e.variance
		e.observeOn(target, now)
		e.settle(now)
	}
	s.noise += noiseWeight * (difference*difference - uncertainty - s.noise)
	s.noise = max(minNoise, min(maxNoise, s.noise))
}

// advance moves the estimate to the present time.
func (e *effect) advance(now time.Duration) {
	if !e.known {
		e.known, e.variance, e.at = true, priorVariance, now
		return
	}
	if now <= e.at {
		return
	}
	e.mean *= math.Exp(-float64(now-e.at) / float64(effectMemory))
	e.variance = min(priorVariance, e.variance+driftVariance*(now-e.at).Seconds())
	e.at = now
}

func (b *Baseline) weight(kind Kind) float64 {
	for _, w := range b.weights {
		if w.kind == kind {
			return w.mean
		}
	}
	return 0
}

// add takes an observation into the means.
func (b *Baseline) add(ratio float64, present []Neighbour) {
	b.n = min(baselineObservations, b.n+1)
	b.mean += (ratio - b.mean) / b.n
	for i := range b.weights {
		b.weights[i].mean -= b.weights[i].mean / b.n
	}
	for _, n := range present {
		i := slices.IndexFunc(b.weights, func(w weight) bool { return w.kind == n.Kind })
		if i < 0 {
			i = len(b.weights)
			b.weights = append(b.weights, weight{
				kind: n.Kind,
			})
		}
		b.weights[i].mean += Weight(n.Exposure) / b.n
	}
	b.weights = slices.DeleteFunc(b.weights, func(w weight) bool { return w.mean < minChange/baselineObservations })
}

// observeOn records on which target the pair was observed.
func (e *effect) observeOn(target string, now time.Duration) {
	if e.target != target {
		e.earlier, e.earlierAt = e.target, e.targetAt
	}
	e.target, e.targetAt = target, now
}

// slotFor returns the index of a kind's slot. A new kind gets a free slot or that of the kind that
// was not observed for the longest time, and the shared one if all are in use.
func (a *Attributor) slotFor(k Kind, now time.Duration) int {
	if i, known := a.index[k]; known {
		a.slots[i].seenAt = now
		return i
	}
	i := len(a.slots)
	if i > a.maxKinds {
		if i = a.idleSlot(now); i == 0 {
			return 0
		}
		delete(a.index, a.slots[i].kind)
	} else {
		a.slots = append(a.slots, slot{})
	}
	a.index[k] = i
	a.slots[i].reset(k, now, a.maxKinds+1)
	for n := range a.slots {
		a.slots[n].effects[i] = effect{}
	}
	return i
}

// idleSlot returns the slot that was not observed for the longest time, or 0 if all were within
// kindMemory.
func (a *Attributor) idleSlot(now time.Duration) int {
	idle, since := 0, now-kindMemory
	for i := 1; i < len(a.slots); i++ {
		if a.slots[i].seenAt < since {
			idle, since = i, a.slots[i].seenAt
		}
	}
	return idle
}

// settle updates whether an effect is confirmed.
func (e *effect) settle(now time.Duration) {
	deviations := confidence
	if e.confirmed {
		deviations = doubt
	}
	e.confirmed = e.mean-deviations*math.Sqrt(e.variance) > math.Log(tolerated) && e.earlier != "" && now-e.earlierAt < targetMemory
}

// Pair is a kind and one that disturbs it.
type Pair struct {
	Kind, Neighbour Kind
}

// Pairs returns the pairs whose effect is confirmed now.
func (a *Attributor) Pairs(now time.Duration) map[Pair]Effect {
	pairs := map[Pair]Effect{}
	for i := 1; i < len(a.slots); i++ {
		for n := 1; n < len(a.slots); n++ {
			e := &a.slots[i].effects[n]
			if !e.confirmed {
				continue
			}
			if x := e.read(now); x.Confirmed {
				pairs[Pair{
					Kind:      a.slots[i].kind,
					Neighbour: a.slots[n].kind,
				}] = x
			}
		}
	}
	return pairs
}

// Kinds returns the number of kinds that are told apart.
func (a *Attributor) Kinds() int { return len(a.index) }

// Effect returns the effect of a neighbour of the given kind on tasks of another kind. Kinds that
// are not told apart have that of the shared one.
func (a *Attributor) Effect(kind, neighbour Kind, now time.Duration) Effect {
	return a.slots[a.index[kind]].effects[a.index[neighbour]].read(now)
}

func (e *effect) read(now time.Duration) Effect {
	e.advance(now)
	e.settle(now)
	margin := confidence * math.Sqrt(e.variance)
	return Effect{
		Factor:    math.Exp(e.mean),
		Least:     max(1, math.Exp(e.mean-margin)),
		Greatest:  math.Exp(e.mean + margin),
		Confirmed: e.confirmed,
	}
}
