package estimator

import (
	"math"
	"testing"
)

// Guards against costs that are extrapolated from a wrong line.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		values []float64 // at the sizes 0, 10 and 20
		base   float64
		slope  float64
	}{
		{
			name:   "line",
			values: []float64{5, 25, 45},
			base:   5,
			slope:  2,
		},
		{
			name:   "constant",
			values: []float64{7, 7, 7},
			base:   7,
			slope:  0,
		},
		{
			name:   "scatter",
			values: []float64{0, 3, 0},
			base:   1,
			slope:  0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var points []Point
			for i, v := range tt.values {
				points = append(points, Point{
					Size:  10 * i,
					Bytes: v,
				})
			}
			l := Fit(points, func(p Point) float64 { return p.Bytes })
			if math.Abs(l.Base-tt.base) > 1e-9 || math.Abs(l.Slope-tt.slope) > 1e-9 {
				t.Errorf("got %+v, want %v + %v n", l, tt.base, tt.slope)
			}
		})
	}
}

// Guards against a series that can't be measured at one of its sizes.
func TestSmallestSizes(t *testing.T) {
	for _, s := range allSeries() {
		if s.Name == "target_polls" {
			continue // takes 6 s, and its parts have their own tests
		}
		p, err := s.measure(t.Context(), s.sizes[0])
		if err != nil || p.Bytes <= 0 && p.HeapKB <= 0 {
			t.Errorf("%s: %+v, error %v", s.Name, p, err)
		}
	}
}
