// Package predictor learns how long tasks take from those that have ended.
//
// It is made for queues whose estimates are rough: some are off by a few percent, others say
// nothing about the duration, and a few tasks in a hundred take many times as long as the rest.
// Scheduling and admission compare predicted ends with objectives, so an error of the prediction
// becomes a job that is late, or one that is refused although it could have been on time.
//
// A Predictor keeps a regression of the logarithm of the duration on that of the estimate for
// each queue. Its slope is the share of the durations that estimates explain, so that accurate
// estimates are used as they are and useless ones are replaced by the usual duration of the
// queue. Kinds of steps, teams and VMs that differ from their queue have an offset each.
// Observations far from the prediction are clipped, so that a tail of long tasks does not move
// it: a prediction is close to the median. Old observations lose their weight.
package predictor

import "math"

const (
	// memory is the number of observations over which the weight of one falls to 1/e.
	memory = 256
	// priorWeight is the number of observations that weigh as much as the assumption that
	// estimates explain durations, and that kinds, teams and VMs do not differ.
	priorWeight = 8
	// biasPriorWeight is that of the assumption that estimates are neither too long nor too
	// short as a whole. The mean shows after a few tasks, a slope or an offset does not.
	biasPriorWeight = 1
	// priorVariance is the assumed variance of the logarithms of estimates within a queue.
	priorVariance = 0.25
	// clipDeviations is the number of mean deviations beyond which a residual is clipped.
	clipDeviations = 2.5
	// initialDeviation is the assumed mean deviation of logarithms: a factor of 1.5.
	initialDeviation = 0.4
	// minDeviation bounds the mean deviation from below, so that a change of the durations
	// after a time without any spread is not clipped away.
	minDeviation = 0.05
	// maxRatio bounds the part of one task in the mean of durations.
	maxRatio = 10
	// DefaultMaxOffsets is the value that is used for a Config without MaxOffsets.
	DefaultMaxOffsets = 4096
	// maxQueues bounds the regressions. Queues come from the configuration, so this many are in
	// use at a time only if it changes often.
	maxQueues = 1024
)

// Config configures a Predictor.
type Config struct {
	// MaxOffsets bounds the kinds, teams and VMs that are remembered; those that were observed
	// last are kept. DefaultMaxOffsets if zero.
	MaxOffsets int
}

// Key describes a task. Empty fields other than Queue are ignored.
type Key struct {
	Queue string
	Kind  string // what the task runs, or the shape of its step
	Team  string
	VM    string
}

// Observation is the duration of a task that has ended.
type Observation struct {
	Key
	EstimateMS float64 // of the caller; zero if there was none
	DurationMS float64
}

// Prediction is a predicted duration.
type Prediction struct {
	DurationMS float64 // close to the median
	// MeanMS is the mean, with the tail of long tasks; sums of many tasks go by it.
	MeanMS float64
	// Deviation is the mean deviation of the logarithm of durations from that of predictions.
	Deviation float64
	// EstimateWeight in [0, 1] is the share of the durations that estimates have explained.
	EstimateWeight float64
	// Samples is the number of observations behind the prediction, weighted by age.
	Samples float64
}

// Predictor learns durations. It is not safe for concurrent use.
type Predictor struct {
	queues  *recentMap[string, Summary]
	offsets *recentMap[offsetKey, offset]
}

// New returns a Predictor that returns estimates until it has observations.
func New(cfg Config) *Predictor {
	if cfg.MaxOffsets <= 0 {
		cfg.MaxOffsets = DefaultMaxOffsets
	}
	return &Predictor{
		queues:  newRecentMap[string, Summary](maxQueues),
		offsets: newRecentMap[offsetKey, offset](cfg.MaxOffsets),
	}
}

// Observe learns from a task that has ended. Observations without a positive duration are
// ignored.
func (p *Predictor) Observe(o Observation) {
	if o.DurationMS <= 0 || o.Queue == "" {
		return
	}
	s, known := p.queues.get(o.Queue)
	if !known {
		s.Queue = o.Queue
	}
	y := math.Log(o.DurationMS)
	base := s.predict(o.EstimateMS)
	limit := clipDeviations * s.deviation()
	residual := y - base
	if s.Weight > 0 || o.EstimateMS > 0 {
		residual = max(-limit, min(limit, residual))
	}
	ratio := 1.0
	if predicted := p.Predict(o.Key, o.EstimateMS).DurationMS; predicted > 0 {
		ratio = min(maxRatio, o.DurationMS/predicted)
	}
	s.observe(o.EstimateMS, base+residual, ratio)
	p.queues.put(o.Queue, s)
	for _, k := range o.offsetKeys() {
		off, _ := p.offsets.get(k)
		before := off.value()
		off.observe(residual)
		residual -= before
		p.offsets.put(k, off)
	}
}

// Predict returns the predicted duration of a task with the estimate of its caller. Without
// estimate and observations it is zero.
func (p *Predictor) Predict(k Key, estimateMS float64) Prediction {
	s, _ := p.queues.get(k.Queue)
	prediction := s.Predict(estimateMS)
	if prediction.DurationMS <= 0 {
		return prediction
	}
	sum := 0.0
	for _, key := range k.offsetKeys() {
		off, _ := p.offsets.get(key)
		sum += off.value()
	}
	factor := math.Exp(sum)
	prediction.DurationMS *= factor
	prediction.MeanMS *= factor
	return prediction
}

// Summary returns what is known of a queue; ok is false without observations.
func (p *Predictor) Summary(queue string) (s Summary, ok bool) {
	return p.queues.get(queue)
}

// Load sets what is known of a queue, unless there are more observations of its own.
func (p *Predictor) Load(s Summary) {
	if own, _ := p.queues.get(s.Queue); s.Queue != "" && s.valid() && own.Weight < s.Weight {
		p.queues.put(s.Queue, s)
	}
}

// Offsets returns the number of kinds, teams and VMs that are remembered.
func (p *Predictor) Offsets() int { return len(p.offsets.entries) }

// level is one of the properties by which tasks of a queue may differ.
type level uint8

const (
	levelKind level = iota
	levelTeam
	levelVM
)

type offsetKey struct {
	queue string
	level level
	name  string
}

// offsetKeys returns the keys of the offsets that apply to a task, in the order in which they
// are learned.
func (k Key) offsetKeys() []offsetKey {
	keys := make([]offsetKey, 0, 3)
	for l, name := range []string{
		levelKind: k.Kind,
		levelTeam: k.Team,
		levelVM:   k.VM,
	} {
		if name != "" {
			keys = append(keys, offsetKey{
				queue: k.Queue,
				level: level(l),
				name:  name,
			})
		}
	}
	return keys
}

// offset is the mean difference of logarithms between durations and predictions.
type offset struct {
	weight, mean float64
}

// value returns the mean, reduced while there are few observations.
func (o offset) value() float64 {
	return o.mean * o.weight / (o.weight + priorWeight)
}

func (o *offset) observe(residual float64) {
	o.weight = decay(o.weight) + 1
	o.mean += (residual - o.mean) / o.weight
}

func decay(weight float64) float64 {
	return weight * (1 - 1.0/memory)
}
