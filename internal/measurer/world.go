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
	waveAt     = 60 * time.Second
	rackLossAt = 150 * time.Second
	rackBackAt = 270 * time.Second
	tick       = 250 * time.Millisecond // reports between entry daemons
	usageTicks = 4                      // worker reports, rebalancing and maintenance, in ticks
	silence    = 2 * time.Second        // until a silent connection is closed
	listLag    = 3 * time.Second        // of the platform's list
	rebootTime = 20 * time.Second
)

// world is the state of one run.
type world struct {
	cfg     Config
	policy  Policy
	rng     *rand.Rand // decisions; the work comes from another source
	now     time.Duration
	queue   events
	arrive  []arrival
	daemons []*daemon
	workers map[string]*worker
	names   []string // of the workers, sorted
	fleet   planner.Fleet
	pools   planner.Pools
	moves   rebalancer.Rebalancing
	ticks   int
	listed  []planner.VMStatus // what the platform lists now
	past    [][]planner.VMStatus
	result  Result
	rack    string // the rack that was lost
	buffer  mean
	share   mean
}

// daemon is one entry daemon.
type daemon struct {
	zone  string
	retry *retrier.Retrier
	pools []*pool // one for each service
}

// pool is what an entry daemon keeps for one service.
type pool struct {
	sched    *scheduler.Scheduler[*task]
	place    *placer.Placer
	eject    *ejector.Ejector
	targets  []string
	reported map[string]runner.Resources // usage by team in the last report to peers

	held         *task  // the request for which a target is kept free
	heldTarget   string // that target, empty if there is none
	reportedHold string // the held target in the last report to peers
}

// task is one request on its way.
type task struct {
	arrival   arrival
	attempt   int
	started   bool
	daemon    *daemon
	need      placer.Need
	placement placer.Placement
	worker    *worker
	epoch     int // of the worker at the start
}

type worker struct {
	name     string
	live     bool
	epoch    int // changes when the worker loses its tasks
	tasks    []*task
	used     placer.Room
	reported placer.Room
	reboot   string // last completed reboot operation
	asked    string // last requested reboot operation
}

func newWorld(cfg Config, policy Policy, seed uint64) *world {
	w := &world{
		cfg:     cfg,
		policy:  policy,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		arrive:  generate(cfg, rand.New(rand.NewPCG(seed, 2))),
		workers: map[string]*worker{},
		pools: planner.Pools{
			spare: {
				Region: "r",
				Spare:  true,
			},
		},
		moves: policy.Rebalancing(),
		result: Result{
			Policy: policy.Name,
			Seed:   seed,
			Waits:  map[Stream][]time.Duration{},
		},
	}
	w.fleet, _ = planner.Decode("r", nil) // an empty document is valid
	all := append(services(), service{
		name:    spare,
		workers: spareWorkers,
	})
	for _, s := range all {
		if s.name != spare {
			w.pools[s.name] = configurer.Pool{
				Region:         "r",
				MaxUnavailable: policy.MaxUnavailable,
				MinVMs:         s.workers / 2,
			}
		}
		for i := range s.workers {
			w.addWorker(s.name, i)
		}
	}
	for z := range zones {
		w.daemons = append(w.daemons, w.newDaemon(fmt.Sprint("az-", z)))
	}
	w.updateViews()
	return w
}

func (w *world) addWorker(pool string, i int) {
	name := fmt.Sprintf("%s-%02d", pool, i)
	w.names = append(w.names, name)
	w.workers[name] = &worker{
		name: name,
		live: true,
	}
	w.fleet.VMs[name] = planner.VM{
		Pool:             pool,
		Rack:             fmt.Sprintf("%s-rack-%d", pool, i/rackWorkers),
		AvailabilityZone: fmt.Sprint("az-", i%zones),
		State:            planner.StateServing,
	}
}

func (w *world) newDaemon(zone string) *daemon {
	d := &daemon{
		zone:  zone,
		retry: retrier.New(retrier.Config{}),
	}
	for range services() {
		p := &pool{
			sched: scheduler.New[*task](scheduler.Config{
				HoldsTargets: true,
				Deferrable:   w.policy.Deferrable,
			}),
			place:    placer.New(zone),
			eject:    ejector.New(ejector.Config{}),
			reported: map[string]runner.Resources{},
		}
		for _, t := range teams() {
			p.sched.SetWeight(t.name, t.weight)
		}
		d.pools = append(d.pools, p)
	}
	return d
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (w *world) clock() time.Time { return at(w.now) }

// run processes all events until the end of the run.
func (w *world) run(ctx context.Context) Result {
	w.queue.add(0, w.tick)
	w.queue.add(rackLossAt, w.loseRack)
	w.queue.add(rackBackAt, w.restoreRack)
	next := 0
	for ctx.Err() == nil {
		var do func()
		if next < len(w.arrive) && w.arrive[next].at < w.queue.next() {
			a := w.arrive[next]
			next++
			w.now = a.at
			do = func() { w.submit(a) }
		} else {
			w.now, do = w.queue.pop()
		}
		if w.now >= w.cfg.Duration {
			break
		}
		do()
	}
	return w.finish()
}

func (w *world) finish() Result {
	w.result.BufferVMs = w.buffer.value()
	w.result.ShareError = w.share.value()
	wave := w.fleet.Waves[waveName]
	w.result.Finished = wave.State == planner.WaveFinished
	w.result.RollOut = w.cfg.Duration - waveAt
	if wave.EndedMS > 0 {
		w.result.RollOut = time.Duration(wave.EndedMS-wave.StartedMS) * time.Millisecond
	}
	for _, waits := range w.result.Waits {
		slices.Sort(waits)
	}
	return w.result
}

// loseRack cuts the power of the rack that runs the most tasks.
func (w *world) loseRack() {
	tasks := map[string]int{}
	for _, name := range w.names {
		rack := w.fleet.VMs[name].Rack
		tasks[rack] += len(w.workers[name].tasks)
		if w.rack == "" || tasks[rack] > tasks[w.rack] {
			w.rack = rack
		}
	}
	for _, wk := range w.lostRack() {
		wk.live = false
		w.loseTasks(wk)
	}
}

func (w *world) restoreRack() {
	for _, wk := range w.lostRack() {
		wk.live = true
	}
}

func (w *world) lostRack() []*worker {
	var list []*worker
	for _, name := range w.names {
		if w.fleet.VMs[name].Rack == w.rack {
			list = append(list, w.workers[name])
		}
	}
	return list
}
