package prober

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against loads that wait for answers: their latencies would leave out the time that
// requests spend in queues.
func TestLoadDoesNotWaitForAnswers(t *testing.T) {
	var running, highest atomic.Int64
	release := make(chan struct{})
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	o := load{
		rate:     1000,
		duration: 100 * time.Millisecond,
		seed:     1,
	}.run(context.Background(), func(context.Context, int) error {
		highest.Store(max(highest.Load(), running.Add(1)))
		<-release
		return nil
	})
	if n := int64(len(o.latencies)); n < 50 || highest.Load() != n {
		t.Fatalf("%d of %d requests ran together", highest.Load(), n)
	}
	if o.quantile(0) < 90*time.Millisecond {
		t.Fatalf("the shortest latency is %s, want the time from the planned start", o.quantile(0))
	}
}

// Guards against runs of one seed that differ, and against a rate that is not met.
func TestArrivalsFollowSeedAndRate(t *testing.T) {
	l := load{
		rate:     2000,
		duration: 5 * time.Second,
		seed:     7,
	}
	first := l.arrivals()
	if !slices.Equal(first, l.arrivals()) {
		t.Fatal("two runs of one seed differ")
	}
	if n := len(first); n < 9_500 || n > 10_500 || !slices.IsSorted(first) {
		t.Fatalf("got %d arrivals in 5 s at 2000/s", n)
	}
}

// Guards against counting failed requests as fast answers.
func TestFailedRequestsHaveNoLatency(t *testing.T) {
	failure := errors.New("refused")
	o := collect(
		[]time.Duration{3 * time.Millisecond, time.Microsecond, 2 * time.Millisecond},
		[]error{nil, failure, nil},
		time.Second,
	)
	row := newRow("rates", "open", 3, o, outcome{})
	if row.Answered != 2 || row.Failed != 1 || row.P50 != 3*time.Millisecond || row.FirstError != "refused" {
		t.Fatalf("got %+v", row)
	}
	if row.sustained() {
		t.Fatal("a third of the requests failed and the rate counts as sustained")
	}
	var table bytes.Buffer
	if err := (Report{Rows: []Row{row}}).WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(table.String(), "open at 3/s: refused") {
		t.Fatalf("the table lacks the error:\n%s", table.String())
	}
}
