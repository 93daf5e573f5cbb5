package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/ejector"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/rebalancer"
	"github.com/comfreyford/comfreyford/pkg/retrier"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

// The times of a run.
const (
	waveAt         = 60 * time.Second
	rackLossAt     = 150 * time.Second
	rackBackAt     = 270 * time.Second
	tick           = 250 * time.Millisecond // interval of reports between entry daemons
	usageTicks     = 4                      // interval of worker reports, rebalancing and maintenance, in ticks
	silenceTimeout = 2 * time.Second        // after which a silent connection is closed
	listLag        = 3 * time.Second        // age of the VM list that the platform returns
	rebootTime     = 20 * time.Second
)

// simulation is the state of one run.
type simulation struct {
	cfg         Config
	policy      Policy
	rng         *rand.Rand // for decisions; arrivals come from another source
	now         time.Duration
	queue       events
	arrivals    []arrival
	daemons     []*daemon
	workers     map[string]*worker
	names       []string // of the workers, sorted
	fleet       planner.Fleet
	pools       planner.Pools
	rebalancing rebalancer.MovePolicy
	ticks       int
	listed      []planner.VMStatus   // VM list that the platform returns now
	recentLists [][]planner.VMStatus // lists of the last listLag, oldest first
	result      Result
	failedRack  string // the rack that was lost
	bufferVMs   mean
	shareError  mean
}

// daemon is one entry daemon.
type daemon struct {
	zone    string
	retrier *retrier.Retrier
	pools   []*pool // one for each service
}

// pool is the state of an entry daemon for one service.
type pool struct {
	scheduler *scheduler.Scheduler[*task]
	placer    *placer.Placer
	ejector   *ejector.Ejector
	targets   []string
	reported  map[string]runner.Resources // usage by team in the last report to peers

	held         *task  // the request for which a target is kept free
	heldTarget   string // that target, empty if there is none
	reportedHold string // the held target in the last report to peers
}

// task is one request from its arrival to its end.
type task struct {
	arrival     arrival
	attempt     int
	started     bool
	daemon      *daemon
	need        placer.Need
	reservation placer.Reservation
	worker      *worker
	epoch       int // of the worker at the start
}

type worker struct {
	name            string
	live            bool
	epoch           int // changes when the worker loses its tasks
	tasks           []*task
	used            placer.Room
	reported        placer.Room
	completedReboot string // last completed reboot operation
	requestedReboot string // last requested reboot operation
}

func newSimulation(cfg Config, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		cfg:      cfg,
		policy:   policy,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		arrivals: generate(cfg, rand.New(rand.NewPCG(seed, 2))),
		workers:  map[string]*worker{},
		pools: planner.Pools{
			spare: {
				Region: "r",
				Spare:  true,
			},
		},
		rebalancing: policy.Rebalancing(),
		result: Result{
			Policy: policy.Name,
			Seed:   seed,
			Waits:  map[Stream][]time.Duration{},
		},
	}
	sim.fleet, _ = planner.Decode("r", nil) // an empty document is valid
	all := append(services(), service{
		name:    spare,
		workers: spareWorkers,
	})
	for _, s := range all {
		if s.name != spare {
			sim.pools[s.name] = configurer.Pool{
				Region:         "r",
				MaxUnavailable: policy.MaxUnavailable,
				MinVMs:         s.workers / 2,
			}
		}
		for i := range s.workers {
			sim.addWorker(s.name, i)
		}
	}
	for z := range zones {
		sim.daemons = append(sim.daemons, sim.newDaemon(fmt.Sprint("az-", z)))
	}
	sim.updateTargets()
	return sim
}

func (sim *simulation) addWorker(pool string, i int) {
	name := fmt.Sprintf("%s-%02d", pool, i)
	sim.names = append(sim.names, name)
	sim.workers[name] = &worker{
		name: name,
		live: true,
	}
	sim.fleet.VMs[name] = planner.VM{
		Pool:             pool,
		Rack:             fmt.Sprintf("%s-rack-%d", pool, i/rackWorkers),
		AvailabilityZone: fmt.Sprint("az-", i%zones),
		State:            planner.StateServing,
	}
}

func (sim *simulation) newDaemon(zone string) *daemon {
	d := &daemon{
		zone:    zone,
		retrier: retrier.New(retrier.Config{}),
	}
	for range services() {
		p := &pool{
			scheduler: scheduler.New[*task](scheduler.Config{
				HoldsTargets: true,
				Deferrable:   sim.policy.Deferrable,
			}),
			placer:   placer.New(zone),
			ejector:  ejector.New(ejector.Config{}),
			reported: map[string]runner.Resources{},
		}
		for _, t := range teams() {
			p.scheduler.SetWeight(t.name, t.weight)
		}
		d.pools = append(d.pools, p)
	}
	return d
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (sim *simulation) clock() time.Time { return at(sim.now) }

// run processes events in the order of time until cfg.Duration or the end of ctx.
func (sim *simulation) run(ctx context.Context) Result {
	sim.queue.add(0, sim.tick)
	sim.queue.add(rackLossAt, sim.loseRack)
	sim.queue.add(rackBackAt, sim.restoreRack)
	next := 0
	for ctx.Err() == nil {
		var do func()
		if next < len(sim.arrivals) && sim.arrivals[next].at < sim.queue.next() {
			a := sim.arrivals[next]
			next++
			sim.now = a.at
			do = func() { sim.submit(a) }
		} else {
			sim.now, do = sim.queue.pop()
		}
		if sim.now >= sim.cfg.Duration {
			break
		}
		do()
	}
	return sim.finish()
}

func (sim *simulation) finish() Result {
	sim.result.BufferVMs = sim.bufferVMs.value()
	sim.result.ShareError = sim.shareError.value()
	wave := sim.fleet.Waves[waveName]
	sim.result.RollOutFinished = wave.State == planner.WaveFinished
	sim.result.RollOut = sim.cfg.Duration - waveAt
	if wave.EndedMS > 0 {
		sim.result.RollOut = time.Duration(wave.EndedMS-wave.StartedMS) * time.Millisecond
	}
	for _, waits := range sim.result.Waits {
		slices.Sort(waits)
	}
	return sim.result
}

// loseRack stops all workers of the rack that runs the most tasks.
func (sim *simulation) loseRack() {
	tasks := map[string]int{}
	for _, name := range sim.names {
		rack := sim.fleet.VMs[name].Rack
		tasks[rack] += len(sim.workers[name].tasks)
		if sim.failedRack == "" || tasks[rack] > tasks[sim.failedRack] {
			sim.failedRack = rack
		}
	}
	for _, wk := range sim.lostWorkers() {
		wk.live = false
		sim.loseTasks(wk)
	}
}

func (sim *simulation) restoreRack() {
	for _, wk := range sim.lostWorkers() {
		wk.live = true
	}
}

func (sim *simulation) lostWorkers() []*worker {
	var list []*worker
	for _, name := range sim.names {
		if sim.fleet.VMs[name].Rack == sim.failedRack {
			list = append(list, sim.workers[name])
		}
	}
	return list
}
