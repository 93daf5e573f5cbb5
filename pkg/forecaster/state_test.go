package forecaster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/forecaster"
)

const wallMS = int64(1_700_000_000_000)

// An owner that takes over in the middle of a cycle, on another machine, must predict the next
// burst of each pool as the owner before it would have.
func TestRestoredForecastGoesOn(t *testing.T) {
	before := forecaster.New(forecaster.DefaultConfig())
	play(1, before, turns(16*time.Second), 37*time.Second, func(time.Duration, [pools]float64) {})
	const snapshotAt, takeover, otherClock = 37 * time.Second, 42 * time.Second, 3 * time.Second
	state := before.Snapshot(snapshotAt, wallMS+snapshotAt.Milliseconds())
	after := forecaster.New(forecaster.DefaultConfig())
	if !after.Restore(state, otherClock, wallMS+takeover.Milliseconds()) {
		t.Fatal("the state was not accepted")
	}
	for pool := range pools {
		at := 48*time.Second + time.Duration(pool)*4*time.Second + 2*time.Second
		if at > takeover+16*time.Second {
			at -= 16 * time.Second
		}
		p, ok := after.Predict(name(pool), at-takeover+otherClock, at-takeover+otherClock)
		if !ok || p.Rate < 500*peak {
			t.Errorf("pool %d: predicted %.0f cores in the middle of its burst (%t), want at least half of %.0f", pool, p.Rate/1000, ok, peak)
		}
		rest := at - takeover + otherClock - 6*time.Second
		if p, _ := after.Predict(name(pool), rest, rest); p.Rate > 500*peak {
			t.Errorf("pool %d: predicted %.0f cores outside its burst", pool, p.Rate/1000)
		}
	}
}

// A state that another version wrote, or that is damaged, must not end the owner that reads it.
func TestUnusableStateIsRefused(t *testing.T) {
	sound := func() *forecaster.State {
		return &forecaster.State{
			PeriodMS: 16_000,
			EndMS:    wallMS,
			BinMS:    500,
			Error:    0.1,
			Series: []forecaster.SeriesState{{
				Name: "pool-0",
				Work: make([]int64, 32),
			}},
		}
	}
	tests := []struct {
		name   string
		change func(s *forecaster.State)
		want   bool
	}{
		{"sound", func(*forecaster.State) {}, true},
		{"no period", func(s *forecaster.State) { s.PeriodMS = 0 }, false},
		{"negative period", func(s *forecaster.State) { s.PeriodMS = -16_000 }, false},
		{"period longer than the history", func(s *forecaster.State) { s.PeriodMS = 1 << 40 }, false},
		{"other bins", func(s *forecaster.State) { s.BinMS = 0 }, false},
		{"error out of range", func(s *forecaster.State) { s.Error = 2 }, false},
		{"profile too short", func(s *forecaster.State) { s.Series[0].Work = nil }, true},
		{"negative work", func(s *forecaster.State) { s.Series[0].Work[0] = -1 << 62 }, true},
		{"end far in the future", func(s *forecaster.State) { s.EndMS = 1 << 62 }, true},
		{"end far in the past", func(s *forecaster.State) { s.EndMS = -1 << 62 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := forecaster.New(forecaster.DefaultConfig())
			s := sound()
			test.change(s)
			if got := f.Restore(s, time.Second, wallMS); got != test.want {
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
