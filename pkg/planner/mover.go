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

// DefaultMoveCost is the cost of one move in VM-seconds of waiting work.
const DefaultMoveCost = 5

// moveRetryTime is how long a move with an unknown outcome is repeated. Its operation id
// stays in the document longer: for 64 writes, which are more than a second apart.
const moveRetryTime = 30 * time.Second

// Load is the demand of the pools of a region and the work on its VMs.
type Load struct {
	Demand  map[string]float64   // slots of running work and of queued urgent and interactive work, by pool
	VMSlots map[string]int       // slots of one VM, by pool; a pool without an entry gets no VM
	Tasks   func(vm string) int  // running tasks of a VM; nil if not known
	Ready   func(vm string) bool // whether a VM can take work; nil if all serving VMs can
}

// MoverConfig configures a Mover. Zero MoveCost selects the default.
type MoverConfig struct {
	Region   string
	Store    storer.Store
	Pools    func() Pools
	Policy   func() configurer.Policy
	Load     func() Load
	NewID    func() string // returns a new unique operation id
	MoveCost float64       // VM-seconds of waiting work
}

// Mover lends VMs of the spare pools of a region and takes them back according to the
// policy document. The maintenance leaseholder calls it. If a former leaseholder still calls
// it, each move is checked against the current document in the compare-and-swap that commits
// it, so that a move which was already made is refused. It is not safe for concurrent use.
type Mover struct {
	cfg     MoverConfig
	policy  *rebalancer.Hysteresis
	pending []move // decided but not known to have been made
}

// move is one decided move. Its operation id ensures that it is made at most once.
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

// Reset discards the observed demand and the pending moves. It has to be called before a
// process acts as leaseholder again, because the demand in between is not known.
func (m *Mover) Reset() {
	m.policy = nil
	m.pending = nil
}

// Step decides on moves for the given document and makes them. It stops at the first error;
// a move whose outcome is unknown is repeated in the next Step with the same operation id.
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

// moveCost scales the cost of a move by the operators' weights: a move needs more waiting
// work the higher the weight of moves and the lower the weight of share.
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
	chosen := map[string]bool{}
	for _, d := range m.policy.Decide(now, policyInput(f, pools, load)) {
		next := move{
			operation: m.cfg.NewID(),
			decided:   now,
		}
		var found bool
		if d.Return {
			next.from = d.Pool
			next.vm, next.to, found = borrowedVM(f, pools, load, chosen, d.Pool)
		} else {
			next.to = d.Pool
			next.vm, next.from, found = spareVM(f, pools, load, chosen)
		}
		if found {
			chosen[next.vm] = true
			m.pending = append(m.pending, next)
		}
	}
}

func (m *Mover) carryOut(ctx context.Context, now time.Time, next move) error {
	_, err := Update(ctx, m.cfg.Store, m.cfg.Region, next.operation, func(f Fleet) (Fleet, error) {
		return Move(f, now, next.vm, next.from, next.to, m.cfg.Pools())
	})
	switch {
	case isRefused(err):
		return nil // the document has changed since the decision
	case errors.Is(err, storer.ErrOutcomeUnknown) && now.Sub(next.decided) < moveRetryTime:
		return err
	case err != nil:
		// No write is known to have taken effect; the next Step decides on a newer document.
		m.pending = nil
	}
	return err
}

// isRefused reports whether the error means that the document does not allow the move.
func isRefused(err error) bool {
	return errors.Is(err, ErrUnknownVM) || errors.Is(err, ErrVMState) || errors.Is(err, ErrWrongPool) ||
		errors.Is(err, ErrUnknownPool) || errors.Is(err, ErrMinimum)
}

// policyInput returns the input of the policy for the region of the document.
func policyInput(f Fleet, pools Pools, load Load) rebalancer.Observation {
	serving, ready, borrowed := map[string]int{}, map[string]int{}, map[string]int{}
	for id, vm := range f.VMs {
		if vm.State != StateServing {
			continue
		}
		serving[vm.Pool]++
		if load.ready(id) {
			ready[vm.Pool]++ // lending any other would add no capacity
		}
		if isBorrowed(pools, vm) {
			borrowed[vm.Pool]++
		}
	}
	var in rebalancer.Observation
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

// isBorrowed reports whether a VM was lent by a pool that is still a spare pool to one that
// is not.
func isBorrowed(pools Pools, vm VM) bool {
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
func spareVM(f Fleet, pools Pools, load Load, chosen map[string]bool) (vm, pool string, ok bool) {
	left := map[string]int{}
	for id, vm := range f.VMs {
		if vm.State == StateServing && !chosen[id] {
			left[vm.Pool]++
		}
	}
	vm = fewestTasks(f, load, func(id string, vm VM) bool {
		p := pools[vm.Pool]
		return p.Spare && p.Region == f.Region && !chosen[id] && load.ready(id) && left[vm.Pool] > p.MinVMs
	})
	return vm, f.VMs[vm].Pool, vm != ""
}

// borrowedVM returns the VM that a pool should return and the spare pool that lent it.
func borrowedVM(f Fleet, pools Pools, load Load, chosen map[string]bool, pool string) (vm, lender string, ok bool) {
	vm = fewestTasks(f, load, func(id string, vm VM) bool {
		return vm.Pool == pool && isBorrowed(pools, vm) && !chosen[id]
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
