package prober

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxOutstanding bounds the goroutines of one load. A request beyond it fails.
	maxOutstanding = 8192
	// spinTime is the time before an arrival that is spent in a busy loop. A sleep on
	// Linux ends about 60 µs late, which would be part of both latencies of a comparison.
	spinTime = 100 * time.Microsecond
)

// call makes one request. It returns an error unless the complete answer arrived.
type call func(ctx context.Context, n int) error

// load is an open-loop load: requests start at planned times, whether or not earlier ones
// were answered.
type load struct {
	rate     float64 // requests per second
	duration time.Duration
	seed     uint64
}

// outcome is what a load measured. Latencies count from the planned start.
type outcome struct {
	latencies []time.Duration // of answered requests, sorted
	failed    int
	firstErr  error
	elapsed   time.Duration // until the last answer
}

// arrivals returns the planned start of each request, as a Poisson process.
func (l load) arrivals() []time.Duration {
	rng := rand.New(rand.NewPCG(l.seed, uint64(l.rate)))
	var times []time.Duration
	for at := 0.0; ; {
		at += rng.ExpFloat64() / l.rate
		planned := time.Duration(at * float64(time.Second))
		if planned >= l.duration {
			return times
		}
		times = append(times, planned)
	}
}

// run makes the requests of the load and waits until all have ended.
func (l load) run(ctx context.Context, do call) outcome {
	times := l.arrivals()
	latencies := make([]time.Duration, len(times))
	errs := make([]error, len(times))
	slots := make(chan struct{}, maxOutstanding)
	var wg sync.WaitGroup
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := time.Now()
	for n, planned := range times {
		sleepUntil(start.Add(planned))
		select {
		case slots <- struct{}{}:
		default:
			errs[n] = Error.New("request not sent: %d others are outstanding", maxOutstanding)
			continue
		}
		wg.Go(func() {
			errs[n] = do(ctx, n)
			latencies[n] = time.Since(start) - planned
			<-slots
		})
	}
	wg.Wait()
	return collect(latencies, errs, time.Since(start))
}

func collect(latencies []time.Duration, errs []error, elapsed time.Duration) outcome {
	o := outcome{elapsed: elapsed}
	for n, err := range errs {
		if err == nil {
			o.latencies = append(o.latencies, latencies[n])
			continue
		}
		o.failed++
		if o.firstErr == nil {
			o.firstErr = err
		}
	}
	slices.Sort(o.latencies)
	return o
}

// sleepUntil calls nanosleep, which under load has a finer resolution than the timers of the
// Go runtime. The calling goroutine has to be locked to its thread.
func sleepUntil(at time.Time) {
	if d := time.Until(at) - spinTime; d > 0 {
		ts := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&ts, nil) // an early return only lengthens the busy loop
	}
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

// quantile returns the latency below which the fraction q of the answers lies. It is 0 if
// there were none.
func (o outcome) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	return o.latencies[min(int(q*float64(len(o.latencies))), len(o.latencies)-1)]
}

// throughput returns the answered requests per second.
func (o outcome) throughput() float64 {
	return float64(len(o.latencies)) / o.elapsed.Seconds()
}
