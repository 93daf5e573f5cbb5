// Package rebalancer decides which pools borrow VMs of the spare pool and return them.
//
// Demand alternates between pools faster than VMs can follow at no cost, so a
// policy weighs waiting work against moves. A policy keeps what it has observed;
// the time and the figures are passed in. The planner carries out the moves and
// refuses those that a later document does not allow.
package rebalancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Policy decides on the observations In and returns the decisions Out.
type Policy[In, Out any] interface {
	Decide(now time.Time, in In) Out
}

// Pool is the load of one pool.
type Pool struct {
	Name     string
	VMs      int     // serving VMs
	MinVMs   int     // VMs that the pool keeps in any case
	VMSlots  int     // slots of one VM
	Demand   float64 // slots that running and queued work would use
	Borrowed int     // VMs that came from the spare pool
}

// Fleet is what policies decide on.
type Fleet struct {
	Spare int // serving VMs in the spare pool
	Pools []Pool
}

// Move lends a VM of the spare pool to a pool, or returns one when Return is true.
type Move struct {
	Pool   string
	Return bool
}

// Rebalancing is a policy for the moves from and to the spare pool.
type Rebalancing = Policy[Fleet, []Move]

func (p Pool) capacity() float64 { return float64(p.VMs * p.VMSlots) }

// excess returns the demand beyond the capacity, in VMs.
func (p Pool) excess() float64 {
	if p.VMSlots <= 0 {
		return 0
	}
	return (p.Demand - p.capacity()) / float64(p.VMSlots)
}

// wants returns the VMs that the demand needs beyond those of the pool, rounded up.
func (p Pool) wants() int { return max(int(math.Ceil(p.excess())), 0) }

// idle returns the borrowed VMs that the demand leaves unused when keep VMs are kept beside it.
func (p Pool) idle(keep float64) int {
	n := int(math.Floor(-p.excess() - keep))
	return max(min(n, p.Borrowed, p.VMs-p.MinVMs), 0)
}

// Threshold is the plain baseline. It moves a VM as soon as demand exceeds High of
// the capacity, and back as soon as it falls below Low.
type Threshold struct {
	High float64 // fraction of the capacity
	Low  float64
}

var _ Rebalancing = Threshold{}

// Decide implements Policy.
func (t Threshold) Decide(_ time.Time, in Fleet) []Move {
	var moves []Move
	lend := map[string]int{}
	for _, p := range in.Pools {
		switch {
		case p.Demand > t.High*p.capacity():
			lend[p.Name] = max(p.wants(), 1)
		case p.Demand < t.Low*p.capacity() && p.idle(0) > 0:
			moves = append(moves, Move{
				Pool:   p.Name,
				Return: true,
			})
		}
	}
	return append(moves, share(in, lend)...)
}

// Hysteresis moves a VM when demand has exceeded the capacity for MoveDelay without a
// break and the work that waited meanwhile is worth the cost of the move. It returns
// VMs when one more VM than needed has been idle for ReturnDelay.
type Hysteresis struct {
	MoveDelay   time.Duration
	ReturnDelay time.Duration
	MoveCost    float64 // VM-seconds of waiting work that one move is worth
	pools       map[string]*history
}

type history struct {
	last    time.Time
	over    time.Duration // time of demand beyond capacity without a break
	under   time.Duration // time of idle borrowed VMs without a break
	waiting float64       // VM-seconds of demand beyond capacity
	idle    float64       // VM-seconds of idle borrowed VMs
}

var _ Rebalancing = (*Hysteresis)(nil)

// Decide implements Policy.
func (h *Hysteresis) Decide(now time.Time, in Fleet) []Move {
	h.pools = observed(h.pools, in)
	var moves []Move
	lend := map[string]int{}
	for _, p := range in.Pools {
		s := h.pools[p.Name]
		s.observe(now, p, 1)
		if s.over >= h.MoveDelay && p.wants() > 0 && s.waiting >= h.MoveCost {
			lend[p.Name] = p.wants()
		}
		if s.under >= h.ReturnDelay && p.idle(1) > 0 {
			s.under = 0 // one VM for each return delay
			moves = append(moves, Move{
				Pool:   p.Name,
				Return: true,
			})
		}
	}
	return append(moves, share(in, lend)...)
}

// BreakEven is the alternative to fixed delays. It moves a VM when the work that has
// waited would have paid for the move, and returns one when the idle time of borrowed
// VMs would have paid for it. As with renting and buying skis, the total cost is at most about
// twice that of a policy that knows the future of a single pool.
type BreakEven struct {
	MoveCost float64 // VM-seconds that one move is worth
	pools    map[string]*history
}

var _ Rebalancing = (*BreakEven)(nil)

// Decide implements Policy.
func (b *BreakEven) Decide(now time.Time, in Fleet) []Move {
	b.pools = observed(b.pools, in)
	var moves []Move
	lend := map[string]int{}
	for _, p := range in.Pools {
		s := b.pools[p.Name]
		s.observe(now, p, 0)
		if n := min(int(s.waiting/b.MoveCost), p.wants()); n > 0 {
			lend[p.Name] = n
			s.waiting -= float64(n) * b.MoveCost
		}
		if s.idle >= b.MoveCost && p.idle(0) > 0 {
			s.idle -= b.MoveCost
			moves = append(moves, Move{
				Pool:   p.Name,
				Return: true,
			})
		}
	}
	return append(moves, share(in, lend)...)
}

// None never moves a VM. It shows what the spare pool is worth.
type None struct{}

var _ Rebalancing = None{}

// Decide implements Policy.
func (None) Decide(time.Time, Fleet) []Move { return nil }

// observe adds the time since the last observation. A pool that is neither over its
// capacity nor has idle borrowed VMs starts over, and so does a change from one to the other.
func (s *history) observe(now time.Time, p Pool, keep float64) {
	passed := now.Sub(s.last)
	if s.last.IsZero() || passed < 0 {
		passed = 0
	}
	s.last = now
	excess := p.excess()
	if excess > 0 {
		s.over += passed
		s.waiting += excess * passed.Seconds()
	} else {
		s.over = 0
		s.waiting = 0
	}
	if n := p.idle(keep); n > 0 {
		s.under += passed
		s.idle += float64(n) * passed.Seconds()
	} else {
		s.under = 0
		s.idle = 0
	}
}

// observed keeps the histories of the pools that exist and adds those of new ones.
func observed(pools map[string]*history, in Fleet) map[string]*history {
	next := make(map[string]*history, len(in.Pools))
	for _, p := range in.Pools {
		s := pools[p.Name]
		if s == nil {
			s = &history{}
		}
		next[p.Name] = s
	}
	return next
}

// share divides the spare VMs among the pools that want some, one at a time to the pool
// whose demand exceeds its capacity most in relation to that capacity.
func share(in Fleet, lend map[string]int) []Move {
	type want struct {
		pool Pool
		n    int
	}
	var wants []want
	for _, name := range slices.Sorted(maps.Keys(lend)) {
		i := slices.IndexFunc(in.Pools, func(p Pool) bool { return p.Name == name })
		wants = append(wants, want{
			pool: in.Pools[i],
			n:    lend[name],
		})
	}
	var moves []Move
	for range in.Spare {
		wants = slices.DeleteFunc(wants, func(w want) bool { return w.n <= 0 })
		if len(wants) == 0 {
			break
		}
		best := slices.MaxFunc(wants, func(a, b want) int {
			return cmp.Or(
				cmp.Compare(a.pool.Demand*b.pool.capacity(), b.pool.Demand*a.pool.capacity()),
				cmp.Compare(b.pool.Name, a.pool.Name),
			)
		})
		i := slices.IndexFunc(wants, func(w want) bool { return w.pool.Name == best.pool.Name })
		wants[i].n--
		wants[i].pool.VMs++
		moves = append(moves, Move{Pool: best.pool.Name})
	}
	return moves
}
