package forecaster

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// stateBins is how many bins of the history make one of a State.
	stateBins = 2
	// stateUnit is the work that one in a State stands for.
	stateUnit = 100.0
)

// State is what another Forecaster needs to go on. Its times are by the clock of the day, because
// the steady clocks of two machines have nothing in common.
type State struct {
	BinMS    int64         `cbor:"1,keyasint"`
	EndMS    int64         `cbor:"2,keyasint"`           // Unix time of the end of the history
	PeriodMS int64         `cbor:"3,keyasint,omitempty"` // zero if none is known
	Error    float64       `cbor:"4,keyasint,omitempty"` // of the period
	Series   []SeriesState `cbor:"5,keyasint,omitempty"`
}

// SeriesState is the history of a series: the work of each bin, up to the end of the history.
type SeriesState struct {
	Name string  `cbor:"1,keyasint"`
	Work []int64 `cbor:"2,keyasint"`
}

// Snapshot returns the state, or nil if nothing has arrived. nowMS is the Unix time in
// milliseconds.
func (f *Forecaster) Snapshot(now time.Duration, nowMS int64) *State {
	if !f.began {
		return nil
	}
	end := f.closed
	state := &State{
		BinMS:    stateBins * f.cfg.Bin.Milliseconds(),
		EndMS:    nowMS - (now - f.begin(end)).Milliseconds(),
		PeriodMS: (time.Duration(f.period) * f.cfg.Bin).Milliseconds(),
		Error:    f.fitError,
	}
	first := end - (end-f.oldest())/stateBins*stateBins
	for name, s := range f.series {
		history := SeriesState{
			Name: name,
		}
		for b := first; b < end; b += stateBins {
			sum := 0.0
			for i := range stateBins {
				sum += s.bins[(b+i)%f.size]
			}
			history.Work = append(history.Work, int64(math.Round(sum/stateUnit)))
		}
		state.Series = append(state.Series, history)
	}
	slices.SortFunc(state.Series, func(a, b SeriesState) int { return cmp.Compare(a.Name, b.Name) })
	return state
}

// Restore replaces the history by that of a state. Arrivals since its end, which is returned, can
// be added afterwards. ok is false if the state does not fit the configuration or is too old. A
// state whose time is wrong, because the clock of a machine was set, gives predictions that are
// wrong and soon given up.
func (f *Forecaster) Restore(state *State, now time.Duration, nowMS int64) (end time.Duration, ok bool) {
	age := nowMS - state.EndMS
	if state.BinMS != stateBins*f.cfg.Bin.Milliseconds() || age < 0 || age > f.cfg.History.Milliseconds() || len(state.Series) > f.cfg.MaxSeries {
		return 0, false
	}
	present := f.bin(now)
	end = now - time.Duration(age)*time.Millisecond
	f.began = true
	f.reset(present)
	for _, history := range state.Series {
		s := f.get(history.Name)
		for i, work := range history.Work {
			first := f.bin(end) - (len(history.Work)-i)*stateBins
			if first <= present-f.size+1 || work <= 0 {
				continue
			}
			f.first = min(f.first, first)
			for b := range stateBins {
				s.bins[(first+b)%f.size] = float64(work) * stateUnit / stateBins
			}
		}
	}
	if period := time.Duration(state.PeriodMS) * time.Millisecond; period >= f.cfg.MinPeriod && period < f.cfg.History && state.Error >= 0 && state.Error <= maxFitError {
		f.period, f.fitError = f.bins(period), state.Error
	}
	return end, true
}
