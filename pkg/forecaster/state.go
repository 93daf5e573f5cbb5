package forecaster

import (
	"slices"
	"time"
)

// stateBins is how many bins of the history make one of a State.
const stateBins = 2

// State is what another Forecaster needs to go on: the load of one period. Its times are by the
// clock of the day, because the steady clocks of two machines have nothing in common.
type State struct {
	PeriodMS int64         `cbor:"1,keyasint"`
	EndMS    int64         `cbor:"2,keyasint"` // Unix time of the end of the period
	BinMS    int64         `cbor:"3,keyasint"`
	Error    float64       `cbor:"4,keyasint"`
	Series   []SeriesState `cbor:"5,keyasint,omitempty"`
}

// SeriesState is the load of a series, as work by bin.
type SeriesState struct {
	Name string  `cbor:"1,keyasint"`
	Work []int64 `cbor:"2,keyasint"`
}

// Snapshot returns the state, or nil if no period is known. nowMS is the Unix time in
// milliseconds.
func (f *Forecaster) Snapshot(now time.Duration, nowMS int64) *State {
	if f.period == 0 {
		return nil
	}
	end := f.closed
	state := &State{
		PeriodMS: int64(f.period) * f.cfg.Bin.Milliseconds(),
		EndMS:    nowMS - (now - time.Duration(end)*f.cfg.Bin).Milliseconds(),
		BinMS:    stateBins * f.cfg.Bin.Milliseconds(),
		Error:    f.fitError,
	}
	for name, s := range f.series {
		profile := SeriesState{
			Name: name,
		}
		for b := end - f.period; b < end; b += stateBins {
			sum := 0.0
			for i := b; i < min(end, b+stateBins); i++ {
				if i >= f.oldest() {
					sum += s.bins[i%f.size]
				}
			}
			profile.Work = append(profile.Work, int64(sum))
		}
		state.Series = append(state.Series, profile)
	}
	slices.SortFunc(state.Series, func(a, b SeriesState) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return state
}

// Restore replaces the history by the load of a state, as if it had recurred until now. It
// returns false if the state does not fit the configuration. A state whose time is wrong, because
// the clock of a machine was set, gives predictions that are wrong and soon given up.
func (f *Forecaster) Restore(state *State, now time.Duration, nowMS int64) bool {
	period := f.bins(time.Duration(state.PeriodMS) * time.Millisecond)
	if period < f.bins(f.cfg.MinPeriod) || period+f.overlap(period) >= f.size || state.BinMS != stateBins*f.cfg.Bin.Milliseconds() ||
		state.Error < 0 || state.Error > maxFitError || len(state.Series) > f.cfg.MaxSeries {
		return false
	}
	present := f.bin(now)
	f.reset(present)
	f.began = true
	f.first = present - period
	f.period, f.fitError = period, state.Error
	begin := f.bin(now - time.Duration(nowMS-state.EndMS)*time.Millisecond)
	for _, profile := range state.Series {
		if len(profile.Work) != (period+stateBins-1)/stateBins {
			continue
		}
		s := f.get(profile.Name)
		if s == nil {
			continue
		}
		for b := f.first; b < present; b++ {
			phase := ((b-begin)%period + period) % period
			s.bins[b%f.size] = max(0, float64(profile.Work[phase/stateBins])) / stateBins
		}
	}
	return true
}
