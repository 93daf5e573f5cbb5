// Package rebalancer decides which pools borrow VMs of the spare pool or return them.
//
// Demand shifts between pools quickly and every move of a VM has a cost, so a policy
// weighs waiting work against moves. A policy keeps a history of what it has observed;
// the time and the observations are passed in. The planner makes the moves and refuses
// those that a later document does not allow.
package rebalancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Policy makes decisions of type Out from observations of type In.
type Policy[In, Out any] interface {
	Decide(now time.Time, in In) Out
}

// Pool is the load of one pool.
type Pool struct {
	Name     string
	VMs      int     // serving VMs
	MinVMs   int     // the pool keeps at least this many VMs
	VMSlots  int     // slots of one VM
	Demand   float64 // slots that running and queued work would use
	Borrowed int     // VMs that came from the spare pool
}

// Observation is the input of a MovePolicy.
type Observation struct {
	Spare int // serving VMs of the spare pool that may be lent
	Pools []Pool
}

// Move lends a VM of the spare pool to a pool, or returns one when Return is true.
type Move struct {
	Pool   string
	Return bool
}

// MovePolicy is a policy for the moves from and to the spare pool.
type MovePolicy = Policy[Observation, []Move]

func (p Pool) capacity() float64 { return float64(p.VMs * p.VMSlots) }

// excess returns the demand beyond the capacity, in VMs.
func (p Pool) excess() float64 {
	if p.VMSlots <= 0 {
		return 0
	}
	return (p.Demand - p.capacity()) / float64(p.VMSlots)
}

// missingVMs returns how many more VMs the demand needs, rounded up.
func (p Pool) missingVMs() int { return max(int(math.Ceil(p.excess())), 0) }

// idleBorrowed returns how many borrowed VMs the pool can return with reserve idle VMs left.
func (p Pool) idleBorrowed(reserve float64) int {
	n := int(math.Floor(-p.excess() - reserve))
	return max(min(n, p.Borrowed, p.VMs-p.MinVMs), 0)
}

// Threshold is the baseline policy. It lends VMs as soon as the demand exceeds High of the
// capacity, and returns one as soon as the demand is below Low.
type Threshold struct {
	High float64 // fraction of the capacity
	Low  float64
}

var _ MovePolicy = Threshold{}

// Decide implements Policy.
func (t Threshold) Decide(_ time.Time, in Observation) []Move {
	var moves []Move
	lend := map[string]int{}
	for _, p := range in.Pools {
		switch {
		case p.Demand > t.High*p.capacity():
			lend[p.Name] = max(p.missingVMs(), 1)
		case p.Demand < t.Low*p.capacity() && p.idleBorrowed(0) > 0:
			moves = append(moves, Move{
				Pool:   p.Name,
				Return: true,
			})
		}
	}
	return append(moves, divideSpare(in, lend)...)
}

// Hysteresis lends VMs when demand has exceeded the capacity for MoveDelay without a break
// and the work that waited meanwhile is worth the cost of a move. It returns a borrowed
// VM when the capacity of two VMs has been idle for ReturnDelay, so that one VM stays as a
// reserve.
type Hysteresis struct {
	MoveDelay   time.Duration
	ReturnDelay time.Duration
	MoveCost    float64 // cost of one move in VM-seconds of waiting work
	pools       map[string]*history
}

type history struct {
	last             time.Time
	overloadedFor    time.Duration // how long demand has exceeded capacity without a break
	idleFor          time.Duration // how long borrowed VMs have been idle without a break
	waitingVMSeconds float64       // demand beyond capacity during overloadedFor
	idleVMSeconds    float64       // idle time of borrowed VMs during idleFor
}

var _ MovePolicy = (*Hysteresis)(nil)

// Decide implements Policy.
func (h *Hysteresis) Decide(now time.Time, in Observation) []Move {
	h.pools = historiesFor(h.pools, in)
	var moves []Move
	lend := map[string]int{}
	for _, p := range in.Pools {
		s := h.pools[p.Name]
		s.observe(now, p, 1)
		if s.overloadedFor >= h.MoveDelay && p.missingVMs() > 0 && s.waitingVMSeconds >= h.MoveCost {
			lend[p.Name] = p.missingVMs()
		}
		if s.idleFor >= h.ReturnDelay && p.idleBorrowed(1) > 0 {
			s.idleFor = 0 // at most one VM per ReturnDelay
			moves = append(moves, Move{
				Pool:   p.Name,
				Return: true,
			})
		}
	}
	return append(moves, divideSpare(in, lend)...)
}

// BreakEven is the alternative to fixed delays. It lends a VM when the work that has
// waited reaches the cost of the move, and returns one when the idle time of borrowed VMs
// reaches it. As in the ski rental problem, the total cost is at most about twice that of a
// policy that knows the future demand of a single pool.
type BreakEven struct {
	MoveCost float64 // cost of one move in VM-seconds of waiting work or of idle VMs
	pools    map[string]*history
}

var _ MovePolicy = (*BreakEven)(nil)

// Decide implements Policy.
func (b *BreakEven) Decide(now time.Time, in Observation) []Move {
	b.pools = historiesFor(b.pools, in)
	var moves []Move
	lend := map[string]int{}
	for _, p := range in.Pools {
		s := b.pools[p.Name]
		s.observe(now, p, 0)
		if n := min(int(s.waitingVMSeconds/b.MoveCost), p.missingVMs()); n > 0 {
			lend[p.Name] = n
			s.waitingVMSeconds -= float64(n) * b.MoveCost
		}
		if s.idleVMSeconds >= b.MoveCost && p.idleBorrowed(0) > 0 {
			s.idleVMSeconds -= b.MoveCost
			moves = append(moves, Move{
				Pool:   p.Name,
				Return: true,
			})
		}
	}
	return append(moves, divideSpare(in, lend)...)
}

// NoMoves never moves a VM. It is the reference for the benefit of the spare pool.
type NoMoves struct{}

var _ MovePolicy = NoMoves{}

// Decide implements Policy.
func (NoMoves) Decide(time.Time, Observation) []Move { return nil }

// observe adds the time since the last observation. The figures of overload are
// reset when the demand no longer exceeds the capacity, those of idleness when no borrowed
// VM can be returned with reserve idle VMs left.
func (s *history) observe(now time.Time, p Pool, reserve float64) {
	passed := now.Sub(s.last)
	if s.last.IsZero() || passed < 0 {
		passed = 0
	}
	s.last = now
	excess := p.excess()
	if excess > 0 {
		s.overloadedFor += passed
		s.waitingVMSeconds += excess * passed.Seconds()
	} else {
		s.overloadedFor = 0
		s.waitingVMSeconds = 0
	}
	if n := p.idleBorrowed(reserve); n > 0 {
		s.idleFor += passed
		s.idleVMSeconds += float64(n) * passed.Seconds()
	} else {
		s.idleFor = 0
		s.idleVMSeconds = 0
	}
}

// historiesFor returns the histories of the pools in the fleet, with empty ones for new pools.
func historiesFor(pools map[string]*history, in Observation) map[string]*history {
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

// divideSpare divides the spare VMs among the pools in lend, which maps pools to the VMs that
// they want. Each VM goes to the pool with the highest ratio of demand to capacity.
func divideSpare(in Observation, lend map[string]int) []Move {
	type request struct {
		pool Pool
		n    int
	}
	var requests []request
	for _, name := range slices.Sorted(maps.Keys(lend)) {
		i := slices.IndexFunc(in.Pools, func(p Pool) bool { return p.Name == name })
		requests = append(requests, request{
			pool: in.Pools[i],
			n:    lend[name],
		})
	}
	var moves []Move
	for range in.Spare {
		requests = slices.DeleteFunc(requests, func(r request) bool { return r.n <= 0 })
		if len(requests) == 0 {
			break
		}
		best := slices.MaxFunc(requests, func(a, b request) int {
			return cmp.Or(
				cmp.Compare(a.pool.Demand*b.pool.capacity(), b.pool.Demand*a.pool.capacity()),
				cmp.Compare(b.pool.Name, a.pool.Name),
			)
		})
		i := slices.IndexFunc(requests, func(r request) bool { return r.pool.Name == best.pool.Name })
		requests[i].n--
		requests[i].pool.VMs++
		moves = append(moves, Move{Pool: best.pool.Name})
	}
	return moves
}
