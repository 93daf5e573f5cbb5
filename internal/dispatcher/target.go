package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

const (
	// usageInterval is the default time between usage requests to a target. A leaving target
	// says so in its answer, so it gets no new work after this time and one round trip, even
	// if the VM list lags.
	usageInterval = time.Second
	usageTimeout  = time.Second
	// targetSilence is the time without an answer after which a target gets no new work.
	targetSilence = 3 * time.Second
	// workerConnections is the number of connections of a worker that all entry daemons share.
	workerConnections = 64
)

// ErrUnknownTarget means that no target of this name is known.
var ErrUnknownTarget = errors.New("unknown target")

// Target is the client of a worker as a Dispatcher uses it.
type Target interface {
	runner.Target
	// Draining reports whether the latest answer said that the worker is leaving.
	Draining() bool
	// Close ends all calls.
	Close()
}

// target is one VM that runs work.
type target struct {
	vm     lister.VM
	pool   *pool
	client Target
	stop   context.CancelFunc
	done   chan struct{}

	serving    atomic.Bool // according to the fleet document and the platform's VM list
	responsive atomic.Bool // the worker has answered within targetSilence and is not draining
}

func (t *target) usable() bool {
	return t.serving.Load() && t.responsive.Load()
}

// registry holds the targets of all pools.
type registry struct {
	d  *Dispatcher
	mu sync.Mutex
	// targets by VM name
	targets map[string]*target
	wg      sync.WaitGroup
}

// SetTargets applies the platform's VM list and the fleet document. VMs that are missing from
// either get no new work.
func (d *Dispatcher) SetTargets(vms []lister.VM, fleet planner.Fleet) {
	r := &d.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		record, ok := fleet.VMs[vm.Name]
		if !ok {
			continue
		}
		listed[vm.Name] = true
		t := r.targets[vm.Name]
		if t != nil && (t.vm.Address != vm.Address || t.pool.name != record.Pool) {
			r.remove(t)
			t = nil
		}
		if t == nil {
			t = r.add(vm, record.Pool)
		}
		t.serving.Store(vm.State == lister.StateLive && record.State == planner.StateServing)
		t.pool.updateTarget(t)
	}
	for name, t := range r.targets {
		if !listed[name] {
			t.serving.Store(false)
			t.pool.updateTarget(t)
			r.remove(t)
		}
	}
	for _, p := range d.allPools() {
		p.updateEjector()
	}
}

// add creates a target. The lock is held.
func (r *registry) add(vm lister.VM, poolName string) *target {
	ctx, cancel := context.WithCancel(r.d.ctx)
	t := &target{
		vm:     vm,
		pool:   r.d.pool(poolName),
		client: r.d.cfg.Connect(vm.Address),
		stop:   cancel,
		done:   make(chan struct{}),
	}
	r.targets[vm.Name] = t
	r.wg.Go(func() { t.pollUsage(ctx) })
	return t
}

// remove takes a target out of its pool. Its connections stay open until its attempts have
// ended, because a VM that is moved or drained finishes its work first.
func (r *registry) remove(t *target) {
	delete(r.targets, t.vm.Name)
	drained := t.pool.remove(t)
	t.stop()
	r.wg.Go(func() {
		<-t.done
		select {
		case <-drained:
		case <-r.d.ctx.Done():
		}
		t.client.Close()
	})
}

func (r *registry) find(name string) (*target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[name]
	if t == nil {
		return nil, Error.Wrap(ErrUnknownTarget)
	}
	return t, nil
}

// Target returns the client of the worker on a VM, by the name of the VM.
func (d *Dispatcher) Target(name string) (runner.Target, error) {
	t, err := d.registry.find(name)
	if err != nil {
		return nil, err
	}
	return t.client, nil
}

// pollUsage periodically requests the worker's usage until ctx is done.
func (t *target) pollUsage(ctx context.Context) {
	defer close(t.done)
	var lastAnswer time.Time
	answered := false
	for {
		before := answered
		answered = t.requestUsage(ctx)
		if answered {
			lastAnswer = time.Now()
		} else if before && ctx.Err() == nil {
			t.pool.recordSilence(t)
		}
		if time.Since(lastAnswer) >= targetSilence {
			t.setResponsive(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.pool.d.cfg.HealthInterval):
		}
	}
}

// requestUsage sends one usage request and returns whether the worker answered.
func (t *target) requestUsage(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	usage, err := t.client.Usage(ctx)
	if err != nil {
		return false
	}
	t.pool.report(t, usage)
	t.setResponsive(!usage.Draining && !t.client.Draining())
	return true
}

func (t *target) setResponsive(responsive bool) {
	if t.responsive.Swap(responsive) != responsive {
		t.pool.updateTarget(t)
	}
}

func (t *target) placerTarget(total runner.Resources, usable bool) placer.Target {
	return placer.Target{
		ID:               t.vm.Name,
		Rack:             t.vm.Rack,
		AvailabilityZone: t.vm.AvailabilityZone,
		Total: placer.Room{
			Resources:   total,
			Connections: workerConnections,
		},
		Usable: usable,
	}
}
