package forecaster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/forecaster"
)

const wallMS = int64(1_700_000_000_000)

// An owner that takes over in the middle of a cycle, on another machine, must predict the next
// bursts as the owner before it would have.
func TestRestoredForecastGoesOn(t *testing.T) {
	tests := []struct {
		name                 string
		snapshot, takeover   time.Duration
		clock                time.Duration // of the machine that takes over
		wantPeriodAtTakeover bool
	}{
		{"with a known period", 37 * time.Second, 38 * time.Second, 3 * time.Second, true},
		{"before the period is known", 15 * time.Second, 15 * time.Second, time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := forecaster.New(forecaster.DefaultConfig())
			play(1, before, turns(16*time.Second), test.snapshot, func(time.Duration, [pools]float64) {})
			state := before.Snapshot(test.snapshot, wallMS+test.snapshot.Milliseconds())
			after := forecaster.New(forecaster.DefaultConfig())
			shift := test.clock - test.takeover
			end, ok := after.Restore(state, test.clock, wallMS+test.takeover.Milliseconds())
			if !ok || (end-test.snapshot-shift).Abs() > 250*time.Millisecond {
				t.Fatalf("restored %t up to %s, want %s", ok, end-shift, test.snapshot)
			}
			if known := after.Cycle().Period > 0; known != test.wantPeriodAtTakeover {
				t.Errorf("a period is known %t, want %t", known, test.wantPeriodAtTakeover)
			}
			later := func(pool int, at time.Duration) float64 {
				return turns(16*time.Second)(pool, at+test.takeover)
			}
			var first time.Duration // at which a period is known
			play(2, shifted{after, test.clock}, later, 5*time.Second, func(now time.Duration, _ [pools]float64) {
				if first == 0 && after.Cycle().Period > 0 {
					first = now
				}
			})
			if first > 4*time.Second || after.Cycle().Period == 0 {
				t.Errorf("a period is known after %s, want at most 4 s", first)
			}
		})
	}
}

// A state that another version wrote, or that is damaged, must not end the owner that reads it.
func TestUnusableStateIsRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *forecaster.State)
		want   bool
	}{
		{"sound", func(*forecaster.State) {}, true},
		{"other bins", func(s *forecaster.State) { s.BinMS = 0 }, false},
		{"end in the future", func(s *forecaster.State) { s.EndMS = 1 << 62 }, false},
		{"end far in the past", func(s *forecaster.State) { s.EndMS = -1 << 62 }, false},
		{"too many series", func(s *forecaster.State) { s.Series = make([]forecaster.SeriesState, 1000) }, false},
		{"negative period", func(s *forecaster.State) { s.PeriodMS = -16_000 }, true},
		{"period longer than the history", func(s *forecaster.State) { s.PeriodMS = 1 << 40 }, true},
		{"error out of range", func(s *forecaster.State) { s.Error = 2 }, true},
		{"history too long", func(s *forecaster.State) { s.Series[0].Work = make([]int64, 10_000) }, true},
		{"negative work", func(s *forecaster.State) { s.Series[0].Work[0] = -1 << 62 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := forecaster.New(forecaster.DefaultConfig())
			s := &forecaster.State{
				BinMS:    500,
				EndMS:    wallMS,
				PeriodMS: 16_000,
				Error:    0.1,
				Series: []forecaster.SeriesState{{
					Name: "pool-0",
					Work: slices.Repeat([]int64{1}, 64),
				}},
			}
			test.change(s)
			if _, got := f.Restore(s, time.Second, wallMS); got != test.want {
				t.Errorf("restored %t, want %t", got, test.want)
			}
			if p, _ := f.Predict("pool-0", time.Second, 3*time.Second); p.Rate < 0 {
				t.Errorf("predicted %.0f millicores", p.Rate)
			}
			for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
				f.Add("pool-0", 1, now)
			}
		})
	}
}

func ExampleForecaster() {
	f := forecaster.New(forecaster.DefaultConfig())
	// 100 cores of work for five seconds out of each twenty.
	for now := time.Duration(0); now < 38*time.Second; now += 50 * time.Millisecond {
		if now%(20*time.Second) < 5*time.Second {
			f.Add("desk", 5_000, now)
		}
		f.Advance(now)
	}
	quiet, _ := f.Predict("desk", 35*time.Second, 37*time.Second)
	burst, ok := f.Predict("desk", 42*time.Second, 43*time.Second)
	fmt.Println(f.Cycle().Period, quiet.Rate, burst.Rate, ok)
	// Output: 20s 0 100000 true
}
