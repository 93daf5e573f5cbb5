// Package estimator measures how the CPU time, the bytes sent and the memory of an entry
// daemon grow with the fleet, so that they can be extrapolated to fleets that are too
// large for a test machine.
//
// Each series runs code of the daemon at three or more sizes and fits a straight line.
// CPU time is that of the whole process, so a series that uses loopback connections counts
// both ends. Bytes don't include the headers of UDP, TCP and IP.
package estimator

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("estimator")

// Point is the cost at one size.
type Point struct {
	Size            int
	Bytes           float64 // sent or encoded by one operation
	CPUMicroseconds float64 // CPU time of one operation in microseconds, user and system
	HeapKB          float64 // heap that the measured state keeps in use
}

// Line is the fitted line y = Base + Slope * x, with the coefficient of determination R2.
type Line struct {
	Base  float64
	Slope float64
	R2    float64
}

// At returns the value of the line at the given size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Series is one operation at several sizes.
type Series struct {
	Name      string // in snake case
	Size      string // unit of the sizes, such as VMs
	Operation string // description of one operation
	Points    []Point
}

type series struct {
	Series
	sizes   []int
	measure func(ctx context.Context, size int) (Point, error)
}

// Run measures all series, which takes about a minute.
func Run(ctx context.Context) ([]Series, error) {
	var done []Series
	for _, s := range allSeries() {
		for _, size := range s.sizes {
			p, err := s.measure(ctx, size)
			if err != nil {
				return nil, Error.New("%s at %d %s: %w", s.Name, size, s.Size, err)
			}
			p.Size = size
			s.Points = append(s.Points, p)
		}
		done = append(done, s.Series)
	}
	return done, nil
}

// Fit returns the least-squares line through the points.
func Fit(points []Point, value func(Point) float64) Line {
	n, x, y := float64(len(points)), 0.0, 0.0
	for _, p := range points {
		x += float64(p.Size) / n
		y += value(p) / n
	}
	xx, xy, yy := 0.0, 0.0, 0.0
	for _, p := range points {
		dx, dy := float64(p.Size)-x, value(p)-y
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	l := Line{
		Base: y,
		R2:   1,
	}
	if xx > 0 {
		l.Slope = xy / xx
		l.Base = y - l.Slope*x
	}
	if xx > 0 && yy > 0 {
		l.R2 = xy * xy / (xx * yy)
	}
	return l
}

// WriteTables prints the points of each series, followed by the fits.
func WriteTables(w io.Writer, all []Series) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "series\tsize\tbytes\tprocessor, us\theap, KB\t")
	for _, s := range all {
		for _, p := range s.Points {
			fmt.Fprintf(tw, "%s\t%d %s\t%.0f\t%.1f\t%.0f\t\n", s.Name, p.Size, s.Size, p.Bytes, p.CPUMicroseconds, p.HeapKB)
		}
	}
	fmt.Fprintln(tw, "\nseries\tone operation\tbytes\tprocessor, us\theap, KB\t")
	for _, s := range all {
		fmt.Fprintf(tw, "%s\t%s\t", s.Name, s.Operation)
		for _, value := range []func(Point) float64{
			func(p Point) float64 { return p.Bytes },
			func(p Point) float64 { return p.CPUMicroseconds },
			func(p Point) float64 { return p.HeapKB },
		} {
			l := Fit(s.Points, value)
			fmt.Fprintf(tw, "%.4g + %.4g n (r2 %.3f)\t", l.Base, l.Slope, l.R2)
		}
		fmt.Fprintln(tw)
	}
	return Error.Wrap(tw.Flush())
}

// minTime is the shortest time for which an operation is repeated. The kernel counts CPU
// time in steps of up to 4 ms, so shorter runs would be off by several percent.
const minTime = 300 * time.Millisecond

// cpuMicros calls f repeatedly and returns the CPU time of one call in microseconds.
func cpuMicros(f func() error) (float64, error) {
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	n := 0
	for start := time.Now(); time.Since(start) < minTime; n++ {
		if err := f(); err != nil {
			return 0, err
		}
	}
	after, err := cpuTime()
	return float64((after - before).Nanoseconds()) / 1000 / math.Max(float64(n), 1), err
}

func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, Error.Wrap(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// heapKB calls build and returns its result with the heap that the result keeps in use.
func heapKB[T any](build func() (T, error)) (T, float64, error) {
	before := heapBytes()
	v, err := build()
	after := heapBytes()
	return v, math.Max(after-before, 0) / 1024, err
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // contents of a sync.Pool are freed by the second collection
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
