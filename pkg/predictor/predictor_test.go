package predictor_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/comfreyford/comfreyford/pkg/predictor"
)

func ExamplePredictor() {
	p := predictor.New(predictor.Config{})
	key := predictor.Key{
		Queue: "quotes",
	}
	fmt.Printf("%.0f\n", p.Predict(key, 1000).DurationMS)
	// Tasks take 2 s, whatever their callers say.
	for i := range 400 {
		p.Observe(predictor.Observation{
			Key:        key,
			EstimateMS: float64(500 + 3000*(i%2)),
			DurationMS: 2000,
		})
	}
	fmt.Printf("%.1f\n", p.Predict(key, 1000).DurationMS/1000)
	// Output:
	// 1000
	// 2.0
}

// load draws tasks with log-normal durations, estimates with an error, and a tail.
type load struct {
	name          string
	spread        float64 // of the logarithm of durations
	estimateError float64 // of the logarithm of estimates
	bias          float64 // of the logarithm of estimates
	tailShare     float64
	tailFactor    float64
}

func (l load) draw(r *rand.Rand) (estimate, duration, usual float64) {
	usual = 800 * math.Exp(l.spread*r.NormFloat64())
	estimate = usual * math.Exp(l.bias+l.estimateError*r.NormFloat64())
	duration = usual
	if r.Float64() < l.tailShare {
		duration *= l.tailFactor
	}
	return estimate, duration, usual
}

// The load: tasks whose estimates are right, roughly right or useless, with and without a tail.
// Predictions must not be worse than estimates, and must be far better than useless ones.
func TestPredictionsAreBetterThanRoughEstimates(t *testing.T) {
	tests := []struct {
		load
		want float64 // most mean error of the logarithm, relative to that of estimates
	}{
		{load{name: "accurate estimates", spread: 0.5, estimateError: 0.01}, 2},
		{load{name: "estimates off by a fifth", spread: 0.5, estimateError: 0.2}, 1.05},
		{load{name: "estimates off by a fifth, all too short", spread: 0.5, estimateError: 0.2, bias: -0.7}, 0.4},
		{load{name: "useless estimates", spread: 0.3, estimateError: 1}, 0.45},
		{load{name: "useless estimates and a tail", spread: 0.3, estimateError: 1, tailShare: 0.03, tailFactor: 7}, 0.45},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := predictor.New(predictor.Config{})
			r := rand.New(rand.NewPCG(1, 1))
			var predicted, estimated float64
			for i := range 2000 {
				estimate, duration, usual := test.draw(r)
				key := predictor.Key{
					Queue: "quotes",
					Team:  fmt.Sprint(i % 5),
				}
				if i >= 200 {
					predicted += math.Abs(math.Log(p.Predict(key, estimate).DurationMS / usual))
					estimated += math.Abs(math.Log(estimate / usual))
				}
				p.Observe(predictor.Observation{
					Key:        key,
					EstimateMS: estimate,
					DurationMS: duration,
				})
			}
			if got := predicted / estimated; got > test.want {
				t.Errorf("predictions are off by %.2f of the error of estimates, want at most %.2f", got, test.want)
			}
		})
	}
}

func TestOffsets(t *testing.T) {
	tests := []struct {
		name string
		slow predictor.Key
		fast predictor.Key
	}{
		{"kinds differ", predictor.Key{Queue: "q", Kind: "a"}, predictor.Key{Queue: "q", Kind: "b"}},
		{"teams differ", predictor.Key{Queue: "q", Team: "a"}, predictor.Key{Queue: "q", Team: "b"}},
		{"VMs differ", predictor.Key{Queue: "q", VM: "a"}, predictor.Key{Queue: "q", VM: "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := predictor.New(predictor.Config{})
			for range 100 {
				p.Observe(predictor.Observation{
					Key:        test.slow,
					EstimateMS: 1000,
					DurationMS: 1500,
				})
				p.Observe(predictor.Observation{
					Key:        test.fast,
					EstimateMS: 1000,
					DurationMS: 1000,
				})
			}
			ratio := p.Predict(test.slow, 1000).DurationMS / p.Predict(test.fast, 1000).DurationMS
			if ratio < 1.4 || ratio > 1.6 {
				t.Errorf("predictions have a ratio of %.2f, want 1.5", ratio)
			}
		})
	}
}

// Durations that change for good are learned anew, although they are far from the prediction.
func TestPredictionFollowsAChange(t *testing.T) {
	p := predictor.New(predictor.Config{})
	key := predictor.Key{
		Queue: "quotes",
	}
	for i := range 1200 {
		duration := 500.0
		if i >= 200 {
			duration = 3000
		}
		p.Observe(predictor.Observation{
			Key:        key,
			EstimateMS: 500,
			DurationMS: duration,
		})
	}
	if got := p.Predict(key, 500).DurationMS; got < 2400 || got > 3600 {
		t.Errorf("predicted %.0f ms, want about 3000", got)
	}
}

// The load: callers that invent kinds and teams. Memory stays bounded, and what is known of the
// queue is kept.
func TestMemoryIsBounded(t *testing.T) {
	p := predictor.New(predictor.Config{
		MaxOffsets: 100,
	})
	for i := range 5000 {
		p.Observe(predictor.Observation{
			Key: predictor.Key{
				Queue: "quotes",
				Kind:  fmt.Sprint("kind ", i),
				Team:  fmt.Sprint("team ", i),
			},
			EstimateMS: 1000,
			DurationMS: 2000,
		})
	}
	if n := p.Offsets(); n > 100 {
		t.Errorf("%d offsets are remembered, want at most 100", n)
	}
	if got := p.Predict(predictor.Key{Queue: "quotes"}, 1000).DurationMS; got < 1900 || got > 2100 {
		t.Errorf("predicted %.0f ms, want 2000", got)
	}
}

func TestLoad(t *testing.T) {
	learned := predictor.New(predictor.Config{})
	for range 50 {
		learned.Observe(predictor.Observation{
			Key: predictor.Key{
				Queue: "quotes",
			},
			EstimateMS: 1000,
			DurationMS: 4000,
		})
	}
	known, _ := learned.Summary("quotes")
	broken := known
	broken.MeanY = math.NaN()
	empty := known
	empty.Weight = 0
	tests := []struct {
		name    string
		summary predictor.Summary
		want    float64
	}{
		{"summary of another daemon", known.Rounded(), 4000},
		{"unreadable figure", broken, 1000},
		{"nothing was observed", empty, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := predictor.New(predictor.Config{})
			p.Load(test.summary)
			got := p.Predict(predictor.Key{Queue: "quotes"}, 1000).DurationMS
			if math.Abs(math.Log(got/test.want)) > 0.25 {
				t.Errorf("predicted %.0f ms, want about %.0f", got, test.want)
			}
		})
	}
}

// Durations without an estimate are predicted from those before.
func TestPredictionWithoutEstimate(t *testing.T) {
	p := predictor.New(predictor.Config{})
	key := predictor.Key{
		Queue: "quotes",
	}
	if got := p.Predict(key, 0).DurationMS; got != 0 {
		t.Errorf("predicted %.0f ms without any knowledge, want 0", got)
	}
	for range 100 {
		p.Observe(predictor.Observation{
			Key:        key,
			DurationMS: 700,
		})
	}
	if got := p.Predict(key, 0).DurationMS; got < 650 || got > 750 {
		t.Errorf("predicted %.0f ms, want 700", got)
	}
}
