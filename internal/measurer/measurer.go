// Package measurer drives the decision functions in virtual time and compares
// policies on the four measures of the design: cost of spare buffer capacity,
// duration of a roll-out, number of moves, and closeness of usage to share.
//
// For a given seed, all policies receive the same generated requests. Nothing runs over a
// network or in a process of its own: an entry daemon is modelled by a scheduler, a placer
// and an ejector per pool, a worker by its used resources, and reports between them arrive
// late. A run is repeatable: its results depend only on the policy, the seed and the Config.
package measurer

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/rebalancer"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

// Error is the class of all errors of this package.
var Error = errs.Class("measurer")

// Config configures a comparison. The same values give the same results.
type Config struct {
	Duration time.Duration // virtual time of one run
	Seeds    int           // runs of each policy, with the seeds 1 to Seeds
	Load     float64       // mean demand as a fraction of the capacity without spare VMs
}

// MinDuration is long enough for the maintenance wave and the rack loss to begin.
const MinDuration = rackLossAt + time.Minute

// Policy is one combination of decisions.
type Policy struct {
	Name           string
	Rebalancing    func() rebalancer.MovePolicy // returns a new instance, because some keep state
	Deferrable     scheduler.StartPolicy        // nil: deferrable work starts whenever a slot is free
	MaxUnavailable int
}

// Policies returns the policies that are compared. The first makes no moves and is the baseline.
func Policies() []Policy {
	hysteresisWith := func(moveCost float64) func() rebalancer.MovePolicy {
		return func() rebalancer.MovePolicy {
			return &rebalancer.Hysteresis{
				MoveDelay:   5 * time.Second,
				ReturnDelay: time.Minute,
				MoveCost:    moveCost,
			}
		}
	}
	hysteresis := hysteresisWith(planner.DefaultMoveCost)
	threshold := scheduler.UtilisationThreshold{
		Below:   0.7,
		Reserve: 10 * time.Minute,
	}
	price := scheduler.CongestionPrice{
		Max:   1,
		Base:  100,
		Floor: 0.25,
	}
	return []Policy{
		{
			Name:           "no_moves",
			Rebalancing:    func() rebalancer.MovePolicy { return rebalancer.NoMoves{} },
			Deferrable:     threshold,
			MaxUnavailable: 1,
		},
		{
			Name: "threshold",
			Rebalancing: func() rebalancer.MovePolicy {
				return rebalancer.Threshold{
					High: 1,
					Low:  0.7,
				}
			},
			Deferrable:     threshold,
			MaxUnavailable: 1,
		},
		{
			Name:           "hysteresis",
			Rebalancing:    hysteresis,
			Deferrable:     threshold,
			MaxUnavailable: 1,
		},
		{
			Name:           "break_even",
			Rebalancing:    func() rebalancer.MovePolicy { return &rebalancer.BreakEven{MoveCost: 20} },
			Deferrable:     threshold,
			MaxUnavailable: 1,
		},
		{
			Name:           "hysteresis+price",
			Rebalancing:    hysteresis,
			Deferrable:     price,
			MaxUnavailable: 1,
		},
		{
			Name:        "hysteresis+0.8",
			Rebalancing: hysteresis,
			Deferrable: scheduler.UtilisationThreshold{
				Below:   0.8,
				Reserve: time.Minute,
			},
			MaxUnavailable: 1,
		},
		{
			Name:           "hysteresis+no_yield",
			Rebalancing:    hysteresis,
			MaxUnavailable: 1,
		},
		{
			Name:           "hysteresis+2_down",
			Rebalancing:    hysteresis,
			Deferrable:     threshold,
			MaxUnavailable: 2,
		},
		{
			Name:           "hysteresis+moves_x8", // weight_moves is eight times weight_share
			Rebalancing:    hysteresisWith(8 * planner.DefaultMoveCost),
			Deferrable:     threshold,
			MaxUnavailable: 1,
		},
		{
			Name:           "hysteresis+share_x8", // weight_share is eight times weight_moves
			Rebalancing:    hysteresisWith(planner.DefaultMoveCost / 8.0),
			Deferrable:     threshold,
			MaxUnavailable: 1,
		},
	}
}

// Result is one run of one policy.
type Result struct {
	Policy          string
	Seed            uint64
	BufferVMs       float64                    // mean number of spare VMs that were not needed in addition to the VMs of the pools
	RollOut         time.Duration              // from the start to the end of the maintenance wave
	RollOutFinished bool                       // false when the wave did not end within the run
	Moves           int                        // VMs moved from and to the spare pool
	ShareError      float64                    // mean distance of usage to fair share while a pool is contended, 0 to 1
	Waits           map[Stream][]time.Duration // waits of started requests, sorted
	Requests        int
	Refused         int // requests that were refused because a queue was full
	Expired         int // requests whose deadline passed in a queue
	Retried         int // attempts that were lost with their target and retried
	Lost            int // attempts that were lost with their target and not retried
}

// Stream identifies the requests of one team and class.
type Stream struct {
	Team  string
	Class string
}

// Run runs every policy with every seed and returns the results in the order of the
// policies and seeds. It returns an error if cfg is invalid or ctx ends.
func Run(ctx context.Context, cfg Config, policies []Policy) ([]Result, error) {
	switch {
	case cfg.Duration < MinDuration:
		return nil, Error.New("duration: want at least %v, got %v", MinDuration, cfg.Duration)
	case cfg.Seeds < 1:
		return nil, Error.New("seeds: want at least 1, got %d", cfg.Seeds)
	case cfg.Load <= 0 || cfg.Load > 1:
		return nil, Error.New("load: want more than 0 and at most 1, got %v", cfg.Load)
	}
	results := make([]Result, len(policies)*cfg.Seeds)
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			policy := policies[i/cfg.Seeds]
			results[i] = newSimulation(cfg, policy, uint64(i%cfg.Seeds)+1).run(ctx)
		})
	}
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return results, nil
}
