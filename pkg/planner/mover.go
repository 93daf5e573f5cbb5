package planner

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/rebalancer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// DefaultMoveCost is the VM-seconds of waiting work that one move is worth.
const DefaultMoveCost = 5

// moveMemory is how long a move with an unknown outcome is repeated. The document keeps
// the operation ids of the last 64 writes, which are further apart than a second.
const moveMemory = 30 * time.Second

// Load is what the pools of a region use and want.
type Load struct {
	Demand  map[string]float64   // slots of running work and of queued work that can't wait, by pool
	VMSlots map[string]int       // slots of one VM, by pool; pools that are missing get no VM
	Tasks   func(vm string) int  // running tasks of a VM; nil: not known
	Ready   func(vm string) bool // whether a VM can take work; nil: all that serve can
}

// MoverConfig configures a Mover. Zero MoveCost selects the default.
type MoverConfig struct {
	Region   string
	Store    storer.Store
	Pools    func() Pools
	Policy   func() configurer.Policy
	Load     func() Load
	NewID    func() string // returns a new unique operation id
	MoveCost float64
}

// Mover lends VMs of the spare pools of a region and takes them back, as the policy
// document says. The maintenance leaseholder calls it; a former leaseholder that still
// calls it fails its compare-and-swap or repeats a transition that is refused. It is not
// safe for concurrent use.
type Mover struct {
	cfg     MoverConfig
	policy  *rebalancer.Hysteresis
	pending []move // decided and not known to be carried out
}

// move is one decided move. Its operation id makes sure that it is carried out once.
type move struct {
	operation string
	vm        string
	from      string
	to        string
	decided   time.Time
}

// NewMover returns a Mover without history.
func NewMover(cfg MoverConfig) *Mover {
	cfg.MoveCost = cmp.Or(cfg.MoveCost, DefaultMoveCost)
	return &Mover{cfg: cfg}
}

// Reset forgets what was observed. A process that becomes leaseholder starts with it,
// because the demand in between is not known.
func (m *Mover) Reset() {
	m.policy = nil
	m.pending = nil
}

// Step decides on the document and carries out what was decided. The first error ends
// it; a move whose outcome is unknown is repeated in the next Step with the same id.
func (m *Mover) Step(ctx context.Context, now time.Time, f Fleet) error {
	if len(m.pending) == 0 {
		m.decide(now, f)
	}
	for len(m.pending) > 0 {
		if err := m.carryOut(ctx, now, m.pending[0]); err != nil {
			return err
		}
		m.pending = m.pending[1:]
	}
	return nil
}

// moveCost scales the cost of a move by the operators' weights: those who weigh moves
// more wait for more waiting work before a move, those who weigh share more for less.
func moveCost(base float64, p configurer.Policy) float64 {
	switch {
	case p.WeightMoves <= 0:
		return 0
	case p.WeightShare <= 0:
		return math.Inf(1)
	default:
		return base * p.WeightMoves / p.WeightShare
	}
}

func (m *Mover) decide(now time.Time, f Fleet) {
	settings := m.cfg.Policy()
	if m.policy == nil {
		m.policy = &rebalancer.Hysteresis{}
	}
	m.policy.MoveCost = moveCost(m.cfg.MoveCost, settings)
	m.policy.MoveDelay = time.Duration(settings.MoveDelay)
	m.policy.ReturnDelay = time.Duration(settings.ReturnDelay)
	load := m.cfg.Load()
	pools := m.cfg.Pools()
	taken := map[string]bool{}
	for _, d := range m.policy.Decide(now, observation(f, pools, load)) {
		next := move{
			operation: m.cfg.NewID(),
			decided:   now,
		}
		var found bool
		if d.Return {
			next.from = d.Pool
			next.vm, next.to, found = lentVM(f, pools, load, taken, d.Pool)
		} else {
			next.to = d.Pool
			next.vm, next.from, found = spareVM(f, pools, load, taken)
		}
		if found {
			taken[next.vm] = true
			m.pending = append(m.pending, next)
		}
	}
}

func (m *Mover) carryOut(ctx context.Context, now time.Time, next move) error {
	_, err := Update(ctx, m.cfg.Store, m.cfg.Region, next.operation, func(f Fleet) (Fleet, error) {
		return Move(f, now, next.vm, next.from, next.to, m.cfg.Pools())
	})
	switch {
	case refused(err):
		return nil // the document has changed since the decision
	case errors.Is(err, storer.ErrOutcomeUnknown) && now.Sub(next.decided) < moveMemory:
		return err
	case err != nil:
		// Nothing is known to have happened; the next Step decides on a newer document.
		m.pending = nil
	}
	return err
}

// refused tells whether the document does not allow a move.
func refused(err error) bool {
	return errors.Is(err, ErrUnknownVM) || errors.Is(err, ErrState) || errors.Is(err, ErrWrongPool) ||
		errors.Is(err, ErrUnknownPool) || errors.Is(err, ErrMinimum)
}

// observation describes the region as the policy sees it.
func observation(f Fleet, pools Pools, load Load) rebalancer.Fleet {
	serving, ready, borrowed := map[string]int{}, map[string]int{}, map[string]int{}
	for id, vm := range f.VMs {
		if vm.State != StateServing {
			continue
		}
		serving[vm.Pool]++
		if load.ready(id) {
			ready[vm.Pool]++ // another one would bring no capacity
		}
		if lent(pools, vm) {
			borrowed[vm.Pool]++
		}
	}
	var in rebalancer.Fleet
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		pool := pools[name]
		switch {
		case pool.Region != f.Region:
		case pool.Spare:
			in.Spare += max(min(serving[name]-pool.MinVMs, ready[name]), 0)
		default:
			in.Pools = append(in.Pools, rebalancer.Pool{
				Name:     name,
				VMs:      serving[name],
				MinVMs:   pool.MinVMs,
				VMSlots:  load.VMSlots[name],
				Demand:   load.Demand[name],
				Borrowed: borrowed[name],
			})
		}
	}
	return in
}

// lent tells whether a VM came from a pool that is still a spare pool.
func lent(pools Pools, vm VM) bool {
	return vm.LentBy != "" && pools[vm.LentBy].Spare && !pools[vm.Pool].Spare
}

func (l Load) ready(vm string) bool { return l.Ready == nil || l.Ready(vm) }

func (l Load) tasks(vm string) int {
	if l.Tasks == nil {
		return 0
	}
	return l.Tasks(vm)
}

// spareVM returns a ready VM of a spare pool with more VMs than its minimum.
func spareVM(f Fleet, pools Pools, load Load, taken map[string]bool) (vm, pool string, ok bool) {
	left := map[string]int{}
	for id, vm := range f.VMs {
		if vm.State == StateServing && !taken[id] {
			left[vm.Pool]++
		}
	}
	vm = fewestTasks(f, load, func(id string, vm VM) bool {
		p := pools[vm.Pool]
		return p.Spare && p.Region == f.Region && !taken[id] && load.ready(id) && left[vm.Pool] > p.MinVMs
	})
	return vm, f.VMs[vm].Pool, vm != ""
}

// lentVM returns the VM that a pool gives back and the spare pool that it came from.
func lentVM(f Fleet, pools Pools, load Load, taken map[string]bool, pool string) (vm, home string, ok bool) {
	vm = fewestTasks(f, load, func(id string, vm VM) bool {
		return vm.Pool == pool && lent(pools, vm) && !taken[id]
	})
	return vm, f.VMs[vm].LentBy, vm != ""
}

// fewestTasks returns the serving VM with the fewest tasks among those that qualify, "" if none does.
func fewestTasks(f Fleet, load Load, qualifies func(id string, vm VM) bool) string {
	best, least := "", math.MaxInt
	for _, id := range f.sortedVMs() {
		vm := f.VMs[id]
		if vm.State != StateServing || !qualifies(id, vm) {
			continue
		}
		if n := load.tasks(id); n < least {
			best, least = id, n
		}
	}
	return best
}
