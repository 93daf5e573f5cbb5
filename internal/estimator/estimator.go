// Package estimator measures what the roles of an entry daemon cost per unit of fleet
// size, so that the cost at a size that no test machine holds can be worked out.
//
// Each series drives the code of the daemon at three or more sizes and fits a straight
// line. Processor time is that of the whole process, so a series that talks over
// loopback counts both ends of the connection. Bytes leave out the headers of UDP, TCP and IP.
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
	Size   int
	Bytes  float64 // of one operation
	Micros float64 // processor time of one operation, user and system
	HeapKB float64 // state that stays in memory
}

// Line is a fit y = Base + Slope x.
type Line struct {
	Base  float64
	Slope float64
	R2    float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Series is one operation at several sizes.
type Series struct {
	Name      string // in snake case
	Size      string // what the size counts
	Operation string // what one operation is
	Points    []Point
}

type series struct {
	Series
	sizes   []int
	measure func(ctx context.Context, size int) (Point, error)
}

// Run measures all series. It takes about a minute.
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
			fmt.Fprintf(tw, "%s\t%d %s\t%.0f\t%.1f\t%.0f\t\n", s.Name, p.Size, s.Size, p.Bytes, p.Micros, p.HeapKB)
		}
	}
	fmt.Fprintln(tw, "\nseries\tone operation\tbytes\tprocessor, us\theap, KB\t")
	for _, s := range all {
		fmt.Fprintf(tw, "%s\t%s\t", s.Name, s.Operation)
		for _, value := range []func(Point) float64{
			func(p Point) float64 { return p.Bytes },
			func(p Point) float64 { return p.Micros },
			func(p Point) float64 { return p.HeapKB },
		} {
			l := Fit(s.Points, value)
			fmt.Fprintf(tw, "%.4g + %.4g n (r2 %.3f)\t", l.Base, l.Slope, l.R2)
		}
		fmt.Fprintln(tw)
	}
	return Error.Wrap(tw.Flush())
}

// minTime is how long one operation is repeated. Processor time is counted in steps of
// up to 4 ms, so that shorter runs are off by several percent.
const minTime = 300 * time.Millisecond

// micros returns the processor time of one call of f.
func micros(f func() error) (float64, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	n := 0
	for start := time.Now(); time.Since(start) < minTime; n++ {
		if err := f(); err != nil {
			return 0, err
		}
	}
	after, err := processorTime()
	return float64((after - before).Nanoseconds()) / 1000 / math.Max(float64(n), 1), err
}

func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, Error.Wrap(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// heapKB returns the heap that what build returns keeps in use.
func heapKB[T any](build func() (T, error)) (T, float64, error) {
	before := heapInUse()
	v, err := build()
	after := heapInUse()
	return v, math.Max(after-before, 0) / 1024, err
}

func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one moves the contents of pools, the second one frees them
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
