package predictor

import "math"

// Summary is what is known of the durations of a queue: the decayed moments of the logarithms of
// estimates (X) and durations (Y), both in ms.
type Summary struct {
	Queue     string  `cbor:"1,keyasint"`
	Weight    float64 `cbor:"2,keyasint,omitempty"` // number of observations, weighted by age
	MeanX     float64 `cbor:"3,keyasint,omitempty"`
	MeanY     float64 `cbor:"4,keyasint,omitempty"`
	VarianceX float64 `cbor:"5,keyasint,omitempty"`
	VarianceY float64 `cbor:"6,keyasint,omitempty"`
	Covary    float64 `cbor:"7,keyasint,omitempty"`
	Deviation float64 `cbor:"8,keyasint,omitempty"` // mean absolute residual
	MeanRatio float64 `cbor:"9,keyasint,omitempty"` // mean of durations relative to predictions
}

// Predict returns the predicted duration of a task of the queue with the estimate of its caller.
func (s Summary) Predict(estimateMS float64) Prediction {
	p := Prediction{
		DurationMS:     estimateMS,
		MeanMS:         estimateMS,
		Deviation:      s.deviation(),
		EstimateWeight: s.slope(),
		Samples:        s.Weight,
	}
	if s.Weight > 0 {
		p.DurationMS = math.Exp(s.predict(estimateMS))
		p.MeanMS = p.DurationMS * s.meanRatio()
	}
	return p
}

// Rounded returns the summary with figures of three decimal places and the weight as a power of
// two, so that single observations seldom change a published summary.
func (s Summary) Rounded() Summary {
	for _, x := range []*float64{&s.MeanX, &s.MeanY, &s.VarianceX, &s.VarianceY, &s.Covary, &s.Deviation, &s.MeanRatio} {
		*x = math.Round(*x*1000) / 1000
	}
	if s.Weight > 0 {
		s.Weight = math.Exp2(math.Floor(math.Log2(s.Weight)))
	}
	return s
}

// valid reports whether the summary, which another daemon has written, can be used.
func (s Summary) valid() bool {
	for _, x := range []float64{s.Weight, s.MeanX, s.MeanY, s.VarianceX, s.VarianceY, s.Covary, s.Deviation, s.MeanRatio} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return s.Weight > 0 && s.VarianceX >= 0 && s.VarianceY >= 0 && s.Deviation >= 0
}

// predict returns the logarithm of the predicted duration. The estimate of the caller counts by
// the share that it explains; while there are few observations, as the assumption that estimates
// are right.
func (s Summary) predict(estimateMS float64) float64 {
	if estimateMS <= 0 {
		return s.MeanY
	}
	x := math.Log(estimateMS)
	if s.Weight == 0 {
		return x
	}
	trust := s.Weight / (s.Weight + biasPriorWeight)
	return x + trust*(s.MeanY-s.MeanX) - (1-s.slope())*(x-s.MeanX)
}

// slope returns the share of the durations that estimates explain: the slope of the regression,
// with the assumption of accurate estimates as prior.
func (s Summary) slope() float64 {
	prior := priorWeight * priorVariance
	return max(0, min(1, (prior+s.Weight*s.Covary)/(prior+s.Weight*s.VarianceX)))
}

// meanRatio returns the mean of durations relative to predictions. A tail of long tasks raises it.
func (s Summary) meanRatio() float64 {
	return (priorWeight + s.Weight*s.MeanRatio) / (priorWeight + s.Weight)
}

func (s Summary) deviation() float64 {
	return max(minDeviation, (priorWeight*initialDeviation+s.Weight*s.Deviation)/(priorWeight+s.Weight))
}

// observe adds a duration, given as its logarithm and relative to the prediction. One without an estimate counts as if the
// estimate had been the usual one.
func (s *Summary) observe(estimateMS, y, ratio float64) {
	x := s.MeanX
	switch {
	case estimateMS > 0:
		x = math.Log(estimateMS)
	case s.Weight == 0:
		x = y
	}
	residual := 0.0
	if s.Weight > 0 || estimateMS > 0 {
		residual = math.Abs(y - s.predict(estimateMS))
	}
	s.Weight = decay(s.Weight) + 1
	share := 1 / s.Weight
	dx, dy := x-s.MeanX, y-s.MeanY
	s.MeanX += share * dx
	s.MeanY += share * dy
	s.VarianceX += share * ((1-share)*dx*dx - s.VarianceX)
	s.VarianceY += share * ((1-share)*dy*dy - s.VarianceY)
	s.Covary += share * ((1-share)*dx*dy - s.Covary)
	s.Deviation += share * (residual - s.Deviation)
	s.MeanRatio += share * (ratio - s.MeanRatio)
}
