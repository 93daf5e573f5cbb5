package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// turns is a load that goes by turns between the pools desk and stock, each of which is idle
// for the rest of the time.
type turns struct {
	*world
	period    time.Duration
	submitted map[string]time.Duration // by job that has not ended
	took      map[int][]time.Duration  // of the jobs of the pool desk, by cycle
	began     time.Duration
	count     int
	deskOnly  bool
}

const turnsBurst = 4 * time.Second

func newTurns(t *testing.T) *turns {
	w := newWorldWithSpares(t, 44)
	stock := w.conf.Pools["desk"]
	stock.Name = "stock"
	w.conf.Pools["stock"] = stock
	sweeps := w.conf.Queues["quotes"]
	sweeps.Name, sweeps.Pool = "sweeps", "stock"
	w.conf.Queues["sweeps"] = sweeps
	w.engine.Configure(w.conf)
	w.addTarget("t1", "stock", cores(8))
	w.run(time.Second)
	return &turns{
		world:     w,
		period:    16 * time.Second,
		submitted: map[string]time.Duration{},
		took:      map[int][]time.Duration{},
		began:     w.now,
	}
}

// play submits jobs for the given time: eight tasks of 0.6 s on two cores each 50 ms of a
// burst, which keep 24 VMs busy.
func (l *turns) play(length time.Duration) {
	const every = 50 * time.Millisecond
	for end := l.now + length; l.now < end; l.run(every) {
		phase := (l.now - l.began) % l.period
		queue := ""
		switch {
		case phase < turnsBurst:
			queue = "quotes"
		case !l.deskOnly && phase >= l.period/2 && phase < l.period/2+turnsBurst:
			queue = "sweeps"
		}
		if queue != "" {
			j := testJob(fmt.Sprintf("j%05d", l.count), "schools", 600, 8)
			j.Queue, j.Pool = queue, l.conf.Queues[queue].Pool
			l.count++
			l.submit(j)
			l.submitted[j.ID] = l.now
		}
		for id, at := range l.submitted {
			if l.state(id) != jobkeeper.StateComplete {
				continue
			}
			if l.jobsPool(id) == "desk" {
				cycle := int((at - l.began) / l.period)
				l.took[cycle] = append(l.took[cycle], l.now-at)
			}
			delete(l.submitted, id)
		}
	}
}

func (l *turns) jobsPool(id string) string { return l.world.jobs[id].Pool }

// late returns the share of the jobs of a cycle that took longer than their objective.
func (l *turns) late(cycle int) float64 {
	n := 0
	for _, took := range l.took[cycle] {
		if took > 1560*time.Millisecond { // 1.6 times 0.6 s, and 0.6 s
			n++
		}
	}
	return float64(n) / float64(max(1, len(l.took[cycle])))
}

func (l *turns) vmsIn(pool string) int {
	n := 0
	for _, f := range l.targets {
		if f.Pool == pool {
			n++
		}
	}
	return n
}

// The load: bursts of more than the idle pool holds, each 16 s. From the third one on the VMs
// have to be there when the burst begins, and to be parked between the bursts.
func TestVMsArriveBeforeARecurringBurst(t *testing.T) {
	l := newTurns(t)
	l.play(2*l.period - time.Second)
	idle := l.vmsIn("desk")
	l.play(time.Second)
	l.play(l.period - 100*time.Millisecond)
	before := l.vmsIn("desk")
	l.play(2 * l.period)
	t.Logf("late by cycle: %.2f %.2f %.2f %.2f", l.late(0), l.late(1), l.late(2), l.late(3))
	if before < 16 {
		t.Errorf("%d VMs are in the pool when its fourth burst begins, want at least 16 of the 24 that it keeps busy", before)
	}
	if idle > 26 {
		t.Errorf("%d VMs are in the pool a second before its third burst, want no more than the burst needs", idle)
	}
	if late, first := l.late(3), l.late(0); late > first/2 {
		t.Errorf("%.2f of the jobs of the fourth burst are late, want at most half of the %.2f of the first", late, first)
	}
	l.verify()
}

// Between the bursts of a known cycle the pools keep fewer VMs than without one.
func TestPoolsKeepFewerVMsBetweenKnownBursts(t *testing.T) {
	l := newTurns(t)
	l.deskOnly = true
	l.play(l.period * 3 / 4)
	first := l.vmsIn("desk")
	l.play(3 * l.period)
	if later := l.vmsIn("desk"); later > 4 || later >= first {
		t.Errorf("%d VMs are in the idle pool, want at most 4 and fewer than the %d of the first cycle", later, first)
	}
	l.verify()
}

// The next owner has to know the cycle, or each takeover would cost two cycles.
func TestForecastOutlivesItsOwner(t *testing.T) {
	l := newTurns(t)
	l.play(2*l.period + l.period/4)
	state := l.engine.ForecastState(l.now, l.wall())
	if state == nil {
		t.Fatal("no cycle is known")
	}
	l.takeOver()
	l.engine.RestoreForecast(state, l.now, l.wall())
	l.play(l.period - l.period/4 - 100*time.Millisecond)
	if before := l.vmsIn("desk"); before < 16 {
		t.Errorf("%d VMs are in the pool when the burst after the takeover begins, want at least 16", before)
	}
	l.verify()
}

// A forecast that does not come true moves the VMs of each pool for one burst, not for more.
func TestMissedBurstDoesNotKeepVMs(t *testing.T) {
	l := newTurns(t)
	l.play(3*l.period - 100*time.Millisecond)
	l.run(6 * time.Second)
	if held := l.vmsIn("desk"); held > 8 {
		t.Errorf("%d VMs are in the pool 6 s after the burst should have begun, want at most 8", held)
	}
	l.run(l.period)
	moves := l.moves
	l.run(l.period)
	if more := l.moves - moves; more > 2 {
		t.Errorf("%d VMs moved in the second cycle without any job", more)
	}
	l.verify()
}
