// Package forecaster predicts load that recurs.
//
// The load it answers: work arrives at several pools in bursts that are higher than the capacity
// of a pool, shorter than a few moves of a VM, and come again after a common period. A VM that is
// ordered when a burst has begun arrives when much of it is late.
//
// A Forecaster keeps the arrivals of each series (a pool) in bins and looks for the period at
// which the load of all series together resembles its past most. The period counts as known if
// the resemblance is close, closer than that of a constant load, and closer than at other
// periods; one repeated burst is enough. A prediction is the load one and more periods earlier,
// with the relative error of the latest predictions of the series. Where that exceeds MaxError,
// because the period drifts, a burst is missed or another one comes, there is no prediction.
//
// A Forecaster does no I/O and reads no clock; its memory is bounded by Config. It is not safe
// for concurrent use.
package forecaster

import (
	"math"
	"time"
)

// Config configures a Forecaster.
type Config struct {
	// Bin is the resolution of the history.
	Bin time.Duration
	// History is how far back arrivals are kept. Periods up to somewhat less are found.
	History time.Duration
	// MinPeriod is the shortest period that is looked for.
	MinPeriod time.Duration
	// MaxSeries bounds the number of series; arrivals of further ones are ignored.
	MaxSeries int
}

// DefaultConfig returns a Config for bursts of some seconds.
func DefaultConfig() Config {
	return Config{
		Bin:       250 * time.Millisecond,
		History:   64 * time.Second,
		MinPeriod: 4 * time.Second,
		MaxSeries: 128,
	}
}

const (
	// window is the time over which arrivals are averaged before they are compared, so that a
	// few large jobs do not hide a period.
	window = time.Second
	// fitInterval separates two searches for the period.
	fitInterval = 500 * time.Millisecond
	// minOverlap is the shortest time that a period has to be confirmed by. It is also at
	// least minOverlapShare of the period.
	minOverlap      = 2 * time.Second
	minOverlapShare = 0.1
	// doubt is the time for which half of the load is taken to differ, whatever the period. It
	// counts against periods that little load confirms.
	doubt = time.Second
	// maxFitError is the highest error at which a period is known, on the scale of Error.
	maxFitError = 0.45
	// maxFlatShare and maxRivalShare bound that error relative to the error of a constant
	// load, and of the best period that differs by more than a quarter.
	maxFlatShare  = 0.65
	maxRivalShare = 0.6
	// fitTolerance is by how much a period may fit worse than the best one and still be
	// preferred, because it is shorter or the present one.
	fitTolerance = 0.05
	// errorMemory is the amount of load over which errors of predictions are averaged, as the
	// time for which a series has its mean load. Times without load prove nothing.
	errorMemory = 4 * time.Second
	// fitWeight is the weight of the error of the fit in that of a series, as the time for
	// which the series has its mean load.
	fitWeight = 2 * time.Second
	// cycleWeight is the weight of a cycle relative to that of the next later one.
	cycleWeight = 0.5
)

// MaxError is the error above which a series has no prediction. At 1, predicted and observed
// load have nothing in common.
const MaxError = 0.5

// Prediction is the load that is expected at some time.
type Prediction struct {
	// Rate is work per time: millicores for work in core-microseconds per millisecond, that is
	// 1000 times the core-milliseconds of a millisecond.
	Rate float64
	// Error is the relative error of the latest predictions of the series: the sum of the
	// differences to the observed load, relative to the sum of both.
	Error float64
}

// Certainty returns how far the prediction can be relied on, from 0 to 1.
func (p Prediction) Certainty() float64 {
	return min(1, max(0, 2*(MaxError-p.Error)/MaxError))
}

// Cycle is the period that has been found.
type Cycle struct {
	Period time.Duration // zero if none is known
	Error  float64       // of the load of all series, relative to a period earlier
}

// Forecaster holds the history of the series.
type Forecaster struct {
	cfg      Config
	size     int // bins that are kept
	began    bool
	first    int // bin of the first arrival
	closed   int // bins before this one are complete
	fitAt    time.Duration
	period   int // in bins; 0 if none is known
	fitError float64
	series   map[string]*series
}

// series is the history of a series and the error of its predictions.
type series struct {
	bins     []float64 // work by bin, a ring
	missed   float64   // decaying sum of differences between prediction and observation
	total    float64   // decaying sum of both
	smoothed []float64 // scratch space of fit
	mean     float64   // work of a bin in the mean of the history
}

// New returns a Forecaster without history.
func New(cfg Config) *Forecaster {
	return &Forecaster{
		cfg:    cfg,
		size:   int(cfg.History / cfg.Bin),
		series: map[string]*series{},
	}
}

// Add records the arrival of an amount of work, now or within the history.
func (f *Forecaster) Add(name string, work float64, at time.Duration) {
	f.Advance(at)
	bin := f.bin(at)
	if !f.began {
		f.began = true
		f.reset(bin)
	}
	if s := f.get(name); s != nil && bin >= f.oldest() {
		s.bins[bin%f.size] += work
	}
}

// get returns the series with the name, which it adds if there is room; nil otherwise.
func (f *Forecaster) get(name string) *series {
	s := f.series[name]
	if s == nil && len(f.series) < f.cfg.MaxSeries {
		s = &series{
			bins: make([]float64, f.size),
		}
		f.series[name] = s
	}
	return s
}

// Advance completes the bins that have ended, and looks for the period at times.
func (f *Forecaster) Advance(now time.Duration) {
	if !f.began {
		return
	}
	present := f.bin(now)
	if present-f.closed > f.size {
		f.reset(present)
	}
	for f.closed < present {
		for _, s := range f.series {
			f.judge(s, f.closed)
			s.bins[(f.closed+1)%f.size] = 0
		}
		f.closed++
	}
	if now-f.fitAt >= fitInterval {
		f.fitAt = now
		f.fit()
	}
}

// Predict returns the highest load of a series that is expected between two times. ok is false
// if no period is known, or if the latest predictions of the series were wrong.
func (f *Forecaster) Predict(name string, from, to time.Duration) (p Prediction, ok bool) {
	s := f.series[name]
	if s == nil || f.period == 0 {
		return Prediction{}, false
	}
	p.Error = f.error(s)
	half := f.bins(window) / 2
	for b := f.bin(from); b <= f.bin(to); b++ {
		work, known := f.recall(s, b-half, b+half)
		if !known {
			return Prediction{}, false
		}
		p.Rate = max(p.Rate, f.rate(work))
	}
	return p, p.Error <= MaxError
}

// Cycle returns the period that has been found.
func (f *Forecaster) Cycle() Cycle {
	return Cycle{
		Period: time.Duration(f.period) * f.cfg.Bin,
		Error:  f.fitError,
	}
}

// bin returns the number of the bin of a time. A restored history may begin before the clock
// does.
func (f *Forecaster) bin(at time.Duration) int {
	return int((at + time.Duration(f.size)*f.cfg.Bin) / f.cfg.Bin)
}

// begin returns the time at which a bin begins.
func (f *Forecaster) begin(bin int) time.Duration {
	return time.Duration(bin-f.size) * f.cfg.Bin
}

func (f *Forecaster) bins(d time.Duration) int { return max(1, int(d/f.cfg.Bin)) }

// rate converts the work of a bin to work per time.
func (f *Forecaster) rate(work float64) float64 {
	return work * 1000 / float64(f.cfg.Bin.Milliseconds())
}

// reset forgets a history that ended longer ago than is kept.
func (f *Forecaster) reset(present int) {
	for _, s := range f.series {
		clear(s.bins)
		s.missed, s.total = 0, 0
	}
	f.period = 0
	f.first, f.closed = present, present
}

// oldest returns the earliest bin that is kept.
func (f *Forecaster) oldest() int { return max(f.first, f.closed-f.size+2) }

// recall returns the mean work of a bin, over the bins from..to, as expected from earlier
// periods. Later periods count more. known is false if none of them is in the history.
func (f *Forecaster) recall(s *series, from, to int) (work float64, known bool) {
	weight, weights := 1.0, 0.0
	for {
		from -= f.period
		to -= f.period
		if to >= f.closed {
			continue
		}
		first := max(from, f.oldest())
		if first > to {
			break
		}
		sum := 0.0
		for b := first; b <= to; b++ {
			sum += s.bins[b%f.size]
		}
		work += weight * sum / float64(to-first+1)
		weights += weight
		weight *= cycleWeight
	}
	if weights == 0 {
		return 0, false
	}
	return work / weights, true
}

// judge compares the load in the window that ends with a complete bin with its prediction.
func (f *Forecaster) judge(s *series, bin int) {
	if f.period == 0 {
		return
	}
	from := max(f.oldest(), bin-f.bins(window)+1)
	expected, known := f.recall(s, from, bin)
	if !known {
		return
	}
	observed := 0.0
	for b := from; b <= bin; b++ {
		observed += s.bins[b%f.size]
	}
	observed /= float64(bin - from + 1)
	if s.mean == 0 {
		return
	}
	decay := math.Exp(-(expected + observed) / (2 * s.mean * float64(f.bins(errorMemory))))
	s.missed = s.missed*decay + math.Abs(expected-observed)
	s.total = s.total*decay + expected + observed
}

// error returns the error of the latest predictions of a series, together with that of the fit.
func (f *Forecaster) error(s *series) float64 {
	prior := s.mean * float64(fitWeight) / float64(f.cfg.Bin)
	if s.total+prior == 0 {
		return f.fitError
	}
	return (s.missed + prior*f.fitError) / (s.total + prior)
}

// fit looks for the period.
func (f *Forecaster) fit() {
	start, n := f.oldest(), f.closed-f.oldest()
	for _, s := range f.series {
		f.smooth(s, start, n)
	}
	errs := make([]float64, n)
	for lag := range errs {
		errs[lag] = f.lagError(lag, n)
	}
	best := f.bestLag(errs)
	if best == 0 || errs[best] > maxFitError || errs[best] > maxFlatShare*f.flatError(best, n) || errs[best] > maxRivalShare*rivalError(errs, best) {
		f.period, f.fitError = 0, 0
		return
	}
	if kept := f.period; kept > 0 && kept < n && errs[kept] <= errs[best]+fitTolerance {
		best = kept
	}
	if f.period == 0 || abs(f.period-best) > f.bins(window) {
		for _, s := range f.series {
			s.missed, s.total = 0, 0
		}
	}
	f.period, f.fitError = best, errs[best]
}

// smooth computes the moving average of n bins from start on.
func (f *Forecaster) smooth(s *series, start, n int) {
	if cap(s.smoothed) < n {
		s.smoothed = make([]float64, n, f.size)
	}
	s.smoothed = s.smoothed[:n]
	width := f.bins(window)
	sum, total := 0.0, 0.0
	for i := range n {
		v := s.bins[(start+i)%f.size]
		sum += v
		total += v
		if i >= width {
			sum -= s.bins[(start+i-width)%f.size]
		}
		s.smoothed[i] = max(0, sum) / float64(min(i+1, width))
	}
	s.mean = total / float64(max(1, n))
}

// overlap returns how many bins a period has to be confirmed by.
func (f *Forecaster) overlap(period int) int {
	return max(f.bins(minOverlap), int(minOverlapShare*float64(period)))
}

// lagError returns the error of the assumption that the load of n bins recurs after lag bins.
// It is 1 for lags that are too short, or too long to be confirmed.
func (f *Forecaster) lagError(lag, n int) float64 {
	if lag < f.bins(f.cfg.MinPeriod) || n-lag < f.overlap(lag) {
		return 1
	}
	missed, total := 0.0, 0.0
	for _, s := range f.series {
		prior := 2 * s.mean * float64(f.bins(doubt))
		missed += prior / 2
		total += prior
		for i := lag; i < n; i++ {
			now, before := s.smoothed[i], s.smoothed[i-lag]
			missed += math.Abs(now - before)
			total += now + before
		}
	}
	if total == 0 {
		return 1
	}
	return missed / total
}

// flatError returns the error of the assumption that the load of the bins from first to n is
// the mean load.
func (f *Forecaster) flatError(first, n int) float64 {
	missed, total := 0.0, 0.0
	for _, s := range f.series {
		for _, v := range s.smoothed[first:n] {
			missed += math.Abs(v - s.mean)
			total += v + s.mean
		}
	}
	if total == 0 {
		return 0
	}
	return missed / total
}

// bestLag returns the lag with the lowest error, or a divisor of it that fits almost as well.
func (f *Forecaster) bestLag(errs []float64) int {
	best := 0
	for lag, e := range errs {
		if e < 1 && (best == 0 || e < errs[best]) {
			best = lag
		}
	}
	for parts := best / f.bins(f.cfg.MinPeriod); parts > 1; parts-- {
		if lag := best / parts; errs[lag] <= errs[best]+fitTolerance {
			return lag
		}
	}
	return best
}

// rivalError returns the lowest error of a lag that is not near a multiple of best.
func rivalError(errs []float64, best int) float64 {
	lowest := 1.0
	for lag, e := range errs {
		if off := lag % best; min(off, best-off) > best/4 {
			lowest = min(lowest, e)
		}
	}
	return lowest
}

func abs(n int) int { return max(n, -n) }
