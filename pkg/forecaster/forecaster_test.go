package forecaster_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/forecaster"
)

const (
	pools  = 4
	peak   = 1000.0 // cores, in a burst
	step   = 20 * time.Millisecond
	jobMS  = 25_000 // mean work of a job, in core-milliseconds
	moving = 1700 * time.Millisecond
)

// load returns the mean load of a pool in cores.
type load func(pool int, at time.Duration) float64

// turns is a load that goes from pool to pool: each has its burst once in a period.
func turns(period time.Duration) load {
	return func(pool int, at time.Duration) float64 {
		if int(at%period/(period/pools)) == pool {
			return peak
		}
		return peak / 100
	}
}

// play passes jobs of random size and arrival to a forecaster, and calls each after every step.
func play(seed uint64, f interface {
	Add(name string, work float64, at time.Duration)
	Advance(now time.Duration)
}, l load, length time.Duration, each func(now time.Duration, arrived [pools]float64)) {
	random := rand.New(rand.NewPCG(seed, 1))
	for now := time.Duration(0); now < length; now += step {
		var arrived [pools]float64
		for pool := range pools {
			jobs := l(pool, now) * float64(step.Milliseconds()) / jobMS
			for jobs > 0 {
				if random.Float64() < jobs {
					arrived[pool] += jobMS * random.ExpFloat64()
				}
				jobs--
			}
			if arrived[pool] > 0 {
				f.Add(name(pool), arrived[pool], now)
			}
		}
		f.Advance(now)
		each(now, arrived)
	}
}

// shifted is a forecaster whose clock is ahead.
type shifted struct {
	*forecaster.Forecaster
	by time.Duration
}

func (s shifted) Add(name string, work float64, at time.Duration) {
	s.Forecaster.Add(name, work, at+s.by)
}

func (s shifted) Advance(now time.Duration) { s.Forecaster.Advance(now + s.by) }

func name(pool int) string { return fmt.Sprint("pool-", pool) }

// The load: bursts of four seconds that go from pool to pool. After one cycle the period has to
// be known, so that VMs can be ordered before the bursts of the second one begin.
func TestCycleIsKnownSoonAfterItsFirstRepetition(t *testing.T) {
	for seed := range uint64(20) {
		f := forecaster.New(forecaster.DefaultConfig())
		known := time.Duration(0)
		play(seed, f, turns(16*time.Second), 32*time.Second, func(now time.Duration, _ [pools]float64) {
			period := f.Cycle().Period
			if known == 0 && (period-16*time.Second).Abs() <= time.Second {
				known = now
			}
			if period != 0 && (period-16*time.Second).Abs() > time.Second {
				t.Errorf("seed %d: period %s found after %s, want none but 16 s", seed, period, now)
			}
		})
		if known == 0 || known > 20*time.Second {
			t.Errorf("seed %d: the period is known after %s, want at most 20 s", seed, known)
		}
	}
}

// A load without a cycle must not be predicted: VMs would move for nothing.
func TestLoadWithoutCycleHasNoForecast(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"constant", func(int, time.Duration) float64 { return peak / 4 }},
		{"one burst", func(pool int, at time.Duration) float64 {
			if pool == 1 && at > 20*time.Second && at < 24*time.Second {
				return peak
			}
			return peak / 20
		}},
		{"one rise", func(_ int, at time.Duration) float64 {
			return peak / 20 * (1 + min(9, at.Seconds()/5))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := forecaster.New(forecaster.DefaultConfig())
				play(seed, f, test.load, 60*time.Second, func(now time.Duration, _ [pools]float64) {
					if c := f.Cycle(); c.Period != 0 {
						t.Fatalf("seed %d: period %s with error %.2f after %s, want none", seed, c.Period, c.Error, now)
					}
				})
			}
		})
	}
}

// A burst that does not come, and one that comes out of turn, must end the forecast of the pool
// within two seconds.
func TestWrongForecastIsGivenUp(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"missed burst", func(pool int, at time.Duration) float64 {
			if at >= 48*time.Second && pool == 0 {
				return peak / 100
			}
			return turns(16*time.Second)(pool, at)
		}},
		{"unexpected burst", func(pool int, at time.Duration) float64 {
			if at >= 48*time.Second && at < 52*time.Second && pool == 2 {
				return peak
			}
			return turns(16*time.Second)(pool, at)
		}},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := name(2 * i)
			for seed := range uint64(20) {
				f := forecaster.New(forecaster.DefaultConfig())
				var before, after bool
				play(seed, f, test.load, 51*time.Second, func(now time.Duration, _ [pools]float64) {
					_, ok := f.Predict(pool, now, now+moving)
					before = before || ok && now > 46*time.Second && now < 48*time.Second
					after = ok && now > 50*time.Second
				})
				if !before || after {
					t.Errorf("seed %d: forecast before the change %t, two seconds after it %t, want true and false", seed, before, after)
				}
			}
		})
	}
}

// Capacity follows the larger of the recent and the predicted load, after the time that a VM
// takes to move. With the forecast less work may find no capacity, for no more VM-seconds than
// a higher reserve for the recent load costs.
func TestForecastLeavesLessWorkLate(t *testing.T) {
	tests := []struct {
		name string
		load load
		most float64 // late work, relative to that without a forecast
	}{
		{"turns", turns(16 * time.Second), 0.6},
		{"drifting period", func(pool int, at time.Duration) float64 {
			return turns(16*time.Second)(pool, at+at*at/(40*time.Minute))
		}, 0.75},
		{"one pool without cycle", func(pool int, at time.Duration) float64 {
			if pool == 3 {
				return peak / 4
			}
			return turns(16*time.Second)(pool, at)
		}, 0.75},
		{"no cycle", func(int, time.Duration) float64 { return peak / 4 }, 1.001},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var late, lateBefore, held, heldBefore float64
			for seed := range uint64(5) {
				with := follow(seed, test.load, true)
				without := follow(seed, test.load, false)
				late, held = late+with.late, held+with.held
				lateBefore, heldBefore = lateBefore+without.late, heldBefore+without.held
			}
			t.Logf("core-seconds late %.0f and held %.0f, %.0f and %.0f without a forecast", late, held, lateBefore, heldBefore)
			if late > test.most*lateBefore {
				t.Errorf("%.0f core-seconds late, want at most %.2f of the %.0f without a forecast", late, test.most, lateBefore)
			}
			if held > 1.25*heldBefore {
				t.Errorf("%.0f core-seconds held, want at most 1.25 of the %.0f without a forecast", held, heldBefore)
			}
		})
	}
}

type result struct {
	late, held float64 // core-seconds
}

// follow plays a load for a minute with capacity that follows it.
func follow(seed uint64, l load, forecast bool) result {
	f := forecaster.New(forecaster.DefaultConfig())
	var r result
	var recent, backlog [pools]float64
	var ordered [pools][]float64
	decay := math.Exp(-step.Seconds() / 0.6)
	play(seed, f, l, time.Minute, func(now time.Duration, arrived [pools]float64) {
		for pool := range pools {
			recent[pool] = recent[pool]*decay + arrived[pool]/600
			want := recent[pool] * 1.2
			if p, ok := f.Predict(name(pool), now, now+moving); ok && forecast {
				want = max(want, p.Rate/1000)
			}
			ordered[pool] = append(ordered[pool], want)
			// A VM stays for the time of a move after it is last wanted.
			begin := max(0, len(ordered[pool])-2*int(moving/step))
			capacity := slices.Max(ordered[pool][begin : begin+max(1, len(ordered[pool])-begin-int(moving/step))])
			served := capacity * float64(step.Milliseconds())
			backlog[pool] = max(0, backlog[pool]+arrived[pool]-served)
			if backlog[pool] > 0.6*served*float64(time.Second/step) {
				r.late += arrived[pool] / 1000
			}
			r.held += capacity * step.Seconds()
		}
	})
	return r
}

// Memory and the number of series stay within their bounds.
func TestSeriesAreBounded(t *testing.T) {
	cfg := forecaster.DefaultConfig()
	cfg.MaxSeries = 2
	f := forecaster.New(cfg)
	for i := range 5 {
		f.Add(name(i), 1, time.Duration(i)*time.Hour)
	}
	if _, ok := f.Predict(name(4), 0, time.Second); ok {
		t.Error("a series beyond the bound has a prediction")
	}
}
