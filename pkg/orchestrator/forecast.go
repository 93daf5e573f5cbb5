package orchestrator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/forecaster"
)

const (
	// maxMoveTime bounds the time that is learned, so that a VM that arrives late for other
	// reasons does not spread the forecast over a whole burst.
	maxMoveTime = 4 * time.Second
	// moveTimeWeight is the weight of the latest move in the mean.
	moveTimeWeight = 0.1
	// forecastMinShare is the fraction of the fleet that an idle pool keeps while it is certain
	// when its load comes: enough for the first tasks of single jobs.
	forecastMinShare = 0.04
	// forecastParkDelay is how long a target must be idle before it goes to a spare pool if it
	// is certain that its pool does not need it for the time of a move there and back.
	forecastParkDelay = moveDelay
	// minCertainty is the certainty from which a forecast is used. Below it, VMs that come at
	// the wrong time are missing where work waits.
	minCertainty = 0.5
)

// loadForecast predicts the load of the pools and learns how long VMs take to move.
type loadForecast struct {
	forecaster *forecaster.Forecaster
	moveTime   time.Duration
	ordered    map[string]time.Duration // time of the last order to move, by VM
	period     time.Duration            // that was last logged
	restored   bool
	restoredTo time.Duration // end of the history of the earlier owner
}

func newLoadForecast() *loadForecast {
	return &loadForecast{
		forecaster: forecaster.New(forecaster.DefaultConfig()),
		moveTime:   vmMoveTime,
		ordered:    map[string]time.Duration{},
	}
}

// ForecastState returns what the next owner needs to go on with the forecast, or nil if nothing
// has arrived.
func (e *Engine) ForecastState(now time.Duration, wallMS int64) *forecaster.State {
	return e.loadForecast.forecaster.Snapshot(now, wallMS)
}

// RestoreForecast goes on with the forecast of an earlier owner. The jobs that arrived since its
// state was stored, and have not ended, are counted as they are added.
func (e *Engine) RestoreForecast(state *forecaster.State, now time.Duration, wallMS int64) {
	f := e.loadForecast
	f.restoredTo, f.restored = f.forecaster.Restore(state, now, wallMS)
	e.cfg.Logger.Info("forecast of the earlier owner", "restored", f.restored, "period_ms", state.PeriodMS, "error", state.Error, "age_ms", wallMS-state.EndMS)
}

// poolForecast is the load of a pool that is expected, in millicores; zero if it is not known.
type poolForecast struct {
	arriving  int64   // until a VM that is ordered now has arrived
	returning int64   // until a VM that is moved away now could be back
	certainty float64 // from 0 to 1
	err       float64
}

// recordArrival counts a job in the load of its pool: a fresh one, which has just arrived, or one
// that arrived after the earlier owner stored its forecast.
func (e *Engine) recordArrival(j *job, fresh bool, now time.Duration) {
	if j.doc.Scheduled() || j.doc.LongRunning() || j.overRate {
		return
	}
	p, f := e.pool(e.poolOf(j)), e.loadForecast
	work := j.expectedWorkMS()
	if fresh {
		p.offered.add(work, now)
	}
	if fresh || f.restored && j.arrival >= f.restoredTo {
		f.forecaster.Add(p.name, float64(work), j.arrival)
	}
}

// predictLoad updates the forecast of each pool.
func (e *Engine) predictLoad(now time.Duration) {
	f := e.loadForecast
	f.forecaster.Advance(now)
	e.learnMoveTime()
	if c := f.forecaster.Cycle(); c.Period != f.period {
		e.cfg.Logger.Info("cycle of the load", "period_ms", c.Period.Milliseconds(), "before_ms", f.period.Milliseconds(), "error", c.Error, "move_ms", f.moveTime.Milliseconds())
		f.period = c.Period
	}
	lead := f.moveTime + moveInterval
	for name, p := range e.pools {
		p.forecast = poolForecast{}
		arriving, ok := f.forecaster.Predict(name, now, now+lead)
		if !ok || arriving.Certainty() < minCertainty {
			continue
		}
		returning, ok := f.forecaster.Predict(name, now, now+2*lead)
		if !ok {
			continue
		}
		p.forecast = poolForecast{
			arriving:  int64(arriving.Rate),
			returning: int64(returning.Rate),
			certainty: arriving.Certainty(),
			err:       arriving.Error,
		}
	}
}

// learnMoveTime notes how long the VMs took that have arrived since.
func (e *Engine) learnMoveTime() {
	f := e.loadForecast
	for _, vm := range slices.Sorted(maps.Keys(f.ordered)) {
		at := f.ordered[vm]
		t := e.targetOn(vm)
		_, pending := e.fleet.pendingOrders[vm]
		switch {
		case t != nil && t.firstSeenAt > at && t.Pool == e.fleet.vms[vm].Pool:
			took := min(maxMoveTime, t.firstSeenAt-at)
			f.moveTime += time.Duration(moveTimeWeight * float64(took-f.moveTime))
			delete(f.ordered, vm)
		case !pending && e.fleet.listedAt > at+maxMoveTime:
			delete(f.ordered, vm)
		}
	}
}

// keptTargets returns the number of targets that a pool keeps, given as a share of the fleet
// for the case that nothing is known about its load.
func (e *Engine) keptTargets(p *pool, share float64) int {
	c := p.forecast.certainty
	return e.minTargets(share*(1-c) + min(share, forecastMinShare)*c)
}

// forecastShortage returns the shortage of a pool for an expected load in millicores.
func (p *pool) forecastShortage(load int64) int64 {
	return p.demand.longRunningMillicores + load - p.demand.capacityMillicores
}

// parkDelay returns how long a target of the pool must be idle before it goes to a spare pool.
func (p *pool) parkDelay() time.Duration {
	if p.forecast.certainty >= minCertainty {
		return forecastParkDelay
	}
	return parkDelay
}

// addVMsAhead moves VMs to a pool for the load that is expected. It returns the number of moves.
func (e *Engine) addVMsAhead(p *pool, maxMoves int, now time.Duration) int {
	moved := e.addVMs(p, p.shortage(now), maxMoves, true, now)
	if moved > 0 {
		e.logAhead(p, moved, now)
	}
	return moved
}

// logAhead logs that VMs were ordered for a load that is expected.
func (e *Engine) logAhead(p *pool, vms int, now time.Duration) {
	e.cfg.Observer.VMsAhead(p.name, vms)
	e.cfg.Logger.Info("VMs ordered ahead", "pool", p.name, "vms", vms, "forecast_millicores", p.forecast.arriving, "error", math.Round(100*p.forecast.err)/100, "offered_millicores", int64(p.offered.rate(now)),
		"capacity_millicores", p.demand.capacityMillicores, "pending_vms", e.moves.pending[p.name], "period_ms", e.loadForecast.period.Milliseconds(), "move_ms", e.loadForecast.moveTime.Milliseconds())
}
