// Package attributor estimates how much tasks of one kind slow down tasks of another kind that
// run on the same target.
//
// It answers the load of targets that run tasks of several kinds at once, some of which disturb
// others by amounts that change within seconds, while targets and estimates of durations differ
// for reasons of their own. The logarithm of what a task shows (its duration relative to the
// estimate, or its tail latency relative to its target) is modelled as a sum: the usual level of
// its kind, terms of its target and its step, and an effect of each kind of neighbour, weighted
// by how much of that kind runs beside it. A Kalman filter without covariances divides the
// difference between an observation and that sum by how uncertain each part is. Without new
// observations each part returns to its prior, so that old evidence fades.
//
// An Attributor does no I/O, reads no clock and is not safe for concurrent use. Its memory is
// bounded by Config.MaxKinds.
package attributor

import (
	"math"
	"time"
)

// DefaultMaxKinds is the default of Config.MaxKinds.
const DefaultMaxKinds = 32

const (
	// kindMemory is how long a kind has to be unobserved before a new one may take its place.
	kindMemory = 30 * time.Second
	// confidence is the number of standard deviations by which an effect has to exceed what is
	// tolerated to be confirmed, doubt the number below which it no longer is.
	confidence = 3.2
	doubt      = 2.5
	// tolerated is the factor up to which an effect counts as none.
	tolerated = 1.05
	// targetMemory is how old the observation of a pair on a second target may be. A pair that was
	// seen on one target only says as much about the target as about the tasks.
	targetMemory = 20 * time.Second
	// initialNoise, minNoise and maxNoise are variances of an observation, in squares of a natural
	// logarithm.
	initialNoise = 0.09
	minNoise     = 0.03
	maxNoise     = 1.0
	// noiseWeight is the weight of the latest observation in the estimate of the noise.
	noiseWeight = 0.02
	// maxDeviations bounds the innovation of one observation, in standard deviations.
	maxDeviations = 3
	// minExposure is the share of a task below which a neighbour is left out of an observation.
	minExposure = 0.05
)

// The priors of the parts of the model.
var (
	levelPrior = prior{
		variance: 1,
		drift:    0.002,
		memory:   10 * time.Minute,
	}
	targetPrior = prior{
		variance: 0.25,
		drift:    0.005,
		memory:   time.Minute,
	}
	stepPrior = prior{
		variance: 0.5,
		drift:    0.005,
		memory:   time.Minute,
	}
	effectPrior = prior{
		variance: 0.16,
		drift:    0.005,
		memory:   5 * time.Minute,
	}
)

// Kind names tasks that behave alike, such as those of one image.
type Kind string

// Config configures an Attributor.
type Config struct {
	// MaxKinds is the number of kinds that are told apart; further ones share one. Zero selects
	// the default.
	MaxKinds int
}

// Neighbour is what runs beside a task.
type Neighbour struct {
	Kind Kind
	// Exposure is the number of such tasks, weighted by their pace and by how much of the observed
	// time they ran.
	Exposure float64
}

// Observation is what one task showed.
type Observation struct {
	Kind       Kind
	Target     string
	TargetTerm *Term // kept by the caller with the target
	StepTerm   *Term // kept by the caller with the step
	// Ratio is the duration relative to the estimate, or the tail latency relative to its target;
	// above zero.
	Ratio      float64
	Neighbours []Neighbour
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

// prior describes a part of the model before any observation: its expected square, by how much
// that grows per second, and the time in which the part returns to zero.
type prior struct {
	variance float64
	drift    float64
	memory   time.Duration
}

// Term is an estimate of one part of the model. The zero value is its prior.
type Term struct {
	mean, variance float64
	at             time.Duration
	known          bool
}

// advance moves the estimate to the present time.
func (t *Term) advance(p prior, now time.Duration) {
	if !t.known {
		t.known, t.variance, t.at = true, p.variance, now
		return
	}
	if now <= t.at {
		return
	}
	t.mean *= math.Exp(-float64(now-t.at) / float64(p.memory))
	t.variance = min(p.variance, t.variance+p.drift*(now-t.at).Seconds())
	t.at = now
}

// update corrects the estimate by its part of an innovation. total is the variance of the
// innovation.
func (t *Term) update(weight, innovation, total float64) {
	gain := t.variance * weight / total
	t.mean += gain * innovation
	t.variance -= gain * weight * t.variance
}

// effect is the estimate for a pair of kinds.
type effect struct {
	Term
	// target and earlier are the targets of the last observation and of the last one elsewhere.
	target, earlier     string
	targetAt, earlierAt time.Duration
	confirmed           bool
}

// slot is the state of a kind.
type slot struct {
	kind   Kind
	seenAt time.Duration
	level  Term
	noise  float64
	// effects are those of its neighbours on this kind, by slot.
	effects []effect
}

// Attributor holds the estimates for the targets of one owner.
type Attributor struct {
	maxKinds  int
	index     map[Kind]int
	slots     []slot // the first one is shared by kinds without a slot of their own
	confirmed int
	scratch   []exposed
}

// exposed is a neighbour of the observed task.
type exposed struct {
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

// Observe updates the estimates by an observation.
func (a *Attributor) Observe(o Observation, now time.Duration) {
	if !(o.Ratio > 0) || math.IsInf(o.Ratio, 0) {
		return
	}
	s := &a.slots[a.slotFor(o.Kind, now)]
	s.level.advance(levelPrior, now)
	o.TargetTerm.advance(targetPrior, now)
	o.StepTerm.advance(stepPrior, now)
	expected := s.level.mean + o.TargetTerm.mean + o.StepTerm.mean
	uncertainty := s.level.variance + o.TargetTerm.variance + o.StepTerm.variance
	a.scratch = a.scratch[:0]
	for _, n := range o.Neighbours {
		if n.Exposure < minExposure {
			continue
		}
		e := &s.effects[a.slotFor(n.Kind, now)]
		e.advance(effectPrior, now)
		weight := Weight(n.Exposure)
		expected += e.mean * weight
		uncertainty += e.variance * weight * weight
		a.scratch = append(a.scratch, exposed{
			effect: e,
			weight: weight,
		})
	}
	total := uncertainty + s.noise
	innovation := math.Log(o.Ratio) - expected
	limit := maxDeviations * math.Sqrt(total)
	innovation = max(-limit, min(limit, innovation))
	s.level.update(1, innovation, total)
	o.TargetTerm.update(1, innovation, total)
	o.StepTerm.update(1, innovation, total)
	for _, x := range a.scratch {
		x.effect.update(x.weight, innovation, total)
		x.effect.observeOn(o.Target, now)
		a.settle(x.effect, now)
	}
	s.noise += noiseWeight * (innovation*innovation - uncertainty - s.noise)
	s.noise = max(minNoise, min(maxNoise, s.noise))
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
	a.release(i)
	a.slots[i].reset(k, now, a.maxKinds+1)
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

// release removes what is known of a slot as a neighbour and as the observed kind.
func (a *Attributor) release(i int) {
	for k := range a.slots {
		s := &a.slots[k]
		for n := range s.effects {
			if (k == i || n == i) && s.effects[n].confirmed {
				a.confirmed--
			}
		}
		if len(s.effects) > i {
			s.effects[i] = effect{}
		}
	}
}

// lookup returns the estimate for a pair. Kinds that were never observed have the shared one.
func (a *Attributor) lookup(kind, neighbour Kind) *effect {
	return &a.slots[a.index[kind]].effects[a.index[neighbour]]
}

// settle updates whether an effect is confirmed.
func (a *Attributor) settle(e *effect, now time.Duration) {
	deviations := confidence
	if e.confirmed {
		deviations = doubt
	}
	confirmed := e.mean-deviations*math.Sqrt(e.variance) > math.Log(tolerated) && e.earlier != "" && now-e.earlierAt < targetMemory
	switch {
	case confirmed && !e.confirmed:
		a.confirmed++
	case !confirmed && e.confirmed:
		a.confirmed--
	}
	e.confirmed = confirmed
}

// Confirmed returns the number of pairs whose effect was confirmed when it was last observed or
// read.
func (a *Attributor) Confirmed() int { return a.confirmed }

// Pair is a kind and one that disturbs it.
type Pair struct {
	Kind, Neighbour Kind
}

// Pairs returns the pairs whose effect is confirmed now. Kinds without estimates of their own are
// named "".
func (a *Attributor) Pairs(now time.Duration) map[Pair]Effect {
	if a.confirmed == 0 {
		return nil
	}
	pairs := map[Pair]Effect{}
	for i := range a.slots {
		for n := range a.slots[i].effects {
			if e := &a.slots[i].effects[n]; e.confirmed {
				if x := a.read(e, now); x.Confirmed {
					pairs[Pair{
						Kind:      a.slots[i].kind,
						Neighbour: a.slots[n].kind,
					}] = x
				}
			}
		}
	}
	return pairs
}

// Kinds returns the number of kinds that are told apart.
func (a *Attributor) Kinds() int { return len(a.index) }

// Effect returns the effect of a neighbour of the given kind on tasks of another kind.
func (a *Attributor) Effect(kind, neighbour Kind, now time.Duration) Effect {
	return a.read(a.lookup(kind, neighbour), now)
}

func (a *Attributor) read(e *effect, now time.Duration) Effect {
	e.advance(effectPrior, now)
	a.settle(e, now)
	margin := confidence * math.Sqrt(e.variance)
	return Effect{
		Factor:    math.Exp(e.mean),
		Least:     max(1, math.Exp(e.mean-margin)),
		Greatest:  math.Exp(e.mean + margin),
		Confirmed: e.confirmed,
	}
}
