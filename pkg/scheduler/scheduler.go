// Package scheduler decides which queued request of a pool starts next.
//
// A Scheduler serves one pool. It keeps bounded queues per team and class and
// chooses by class first and then by the smallest ratio of dominant share to
// weight. Usage is the entry daemon's own plus what its peers reported. Strict
// class order alone would starve deferrable work, so one start in
// PromotionInterval goes to the request that is furthest past its age limit.
//
// A Scheduler does no I/O, starts no goroutine, reads no clock and is not safe
// for concurrent use.
package scheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Error is the class of all errors of this package.
var Error = errs.Class("scheduler")

var (
	// ErrQueueFull means that the team has as many requests of this class queued as it may.
	ErrQueueFull = errors.New("queue full")
	// ErrDeadlinePassed means that the deadline of the request is not in the future.
	ErrDeadlinePassed = errors.New("deadline passed")
	// ErrNeverFits means that no target of the pool is large enough for the declared need.
	ErrNeverFits = errors.New("request larger than any target")
	// ErrUnknownClass means that the class is none of urgent, interactive and deferrable.
	ErrUnknownClass = errors.New("unknown class")
	// ErrBadNeed means that a declared need is negative.
	ErrBadNeed = errors.New("negative need")
)

// The default values of Config.
const (
	DefaultMaxQueued         = 256
	DefaultPromotionInterval = 16
	DefaultCheckpointDelay   = 500 * time.Millisecond
	DefaultUrgentAge         = time.Second // urgent work is to start within 2.3 s
	DefaultInteractiveAge    = 5 * time.Second
	DefaultDeferrableAge     = time.Minute
	// DefaultUrgentHoldAge is short because a held target takes most of 2.3 s to become
	// free. UrgentAge can't be as short: urgent work would then get all promotions.
	DefaultUrgentHoldAge = 100 * time.Millisecond
)

// lookAhead is how many of a team's oldest requests are tried when the oldest
// does not fit, so that one large request does not block the small ones behind it.
const lookAhead = 4

// Config configures a Scheduler. Zero values select the defaults.
type Config struct {
	MaxQueued         int // per team and class
	PromotionInterval int // one start of this many may go to a request past its age limit
	CheckpointDelay   time.Duration
	UrgentAge         time.Duration // age from which an urgent request is past its limit
	UrgentHoldAge     time.Duration // age from which Overdue names an urgent request
	InteractiveAge    time.Duration
	DeferrableAge     time.Duration
	HoldsTargets      bool        // the caller holds a target free for the request that Overdue names
	Deferrable        StartPolicy // nil: deferrable work starts whenever nothing else wants the slot
}

// Request is a queued request.
type Request[T any] struct {
	Team      string // empty on queues open to all
	Class     configurer.Class
	Resources runner.Resources
	Enqueued  time.Time
	Deadline  time.Time
	Value     T
}

// Ticket names a queued request for Cancel.
type Ticket struct {
	team   string
	class  int
	handle Handle
}

// Scheduler holds the queued requests and the usage of one pool.
type Scheduler[T any] struct {
	cfg      Config
	ages     [classes]time.Duration
	holdAges [classes]time.Duration
	capacity runner.Resources
	largest  runner.Resources
	teams    map[string]*team[T]
	order    []*team[T]
	queued   [classes]int     // requests of all teams; most classes are empty most of the time
	soonest  time.Time        // no queued request has an earlier deadline
	total    runner.Resources // own usage and that of peers, all teams
	starts   int              // since the last promotion
	sequence uint64
}

type team[T any] struct {
	name   string
	weight int
	own    runner.Resources
	peers  runner.Resources
	ratio  float64 // dominant share divided by weight
	served uint64  // sequence number of the last start; breaks ties
	queues [classes]*Queue[Request[T]]
}

const classes = 3

func classIndex(class configurer.Class) (int, error) {
	switch class {
	case configurer.ClassUrgent:
		return 0, nil
	case configurer.ClassInteractive:
		return 1, nil
	case configurer.ClassDeferrable:
		return deferrable, nil
	}
	return 0, Error.New("%w: want urgent, interactive or deferrable, got %q", ErrUnknownClass, class)
}

const deferrable = 2

// New returns a scheduler without teams and capacity.
func New[T any](cfg Config) *Scheduler[T] {
	cfg.MaxQueued = orDefault(cfg.MaxQueued, DefaultMaxQueued)
	cfg.PromotionInterval = orDefault(cfg.PromotionInterval, DefaultPromotionInterval)
	cfg.CheckpointDelay = orDefault(cfg.CheckpointDelay, DefaultCheckpointDelay)
	ages := [classes]time.Duration{
		orDefault(cfg.UrgentAge, DefaultUrgentAge),
		orDefault(cfg.InteractiveAge, DefaultInteractiveAge),
		orDefault(cfg.DeferrableAge, DefaultDeferrableAge),
	}
	holdAges := ages
	holdAges[0] = orDefault(cfg.UrgentHoldAge, DefaultUrgentHoldAge)
	return &Scheduler[T]{
		cfg:      cfg,
		ages:     ages,
		holdAges: holdAges,
		teams:    map[string]*team[T]{},
	}
}

func orDefault[V int | time.Duration](v, def V) V {
	if v <= 0 {
		return def
	}
	return v
}

// SetCapacity states the resources of the whole pool and those of its largest target.
func (s *Scheduler[T]) SetCapacity(pool, largest runner.Resources) {
	s.capacity = pool
	s.largest = largest
	for _, t := range s.order {
		s.weigh(t)
	}
}

// SetWeight states the weight of a team; values below 1 count as 1.
func (s *Scheduler[T]) SetWeight(name string, weight int) {
	t := s.team(name)
	t.weight = max(weight, 1)
	s.weigh(t)
}

// RemoveTeam forgets a team; false while it has requests queued or running.
func (s *Scheduler[T]) RemoveTeam(name string) bool {
	t := s.teams[name]
	if t == nil {
		return true
	}
	if t.own != (runner.Resources{}) || t.queued() > 0 {
		return false
	}
	s.total = s.total.Minus(t.peers)
	delete(s.teams, name)
	s.order = slices.DeleteFunc(s.order, func(other *team[T]) bool { return other == t })
	return true
}

// SetPeerUsage replaces what the peers together run for a team in this pool. The
// caller leaves out peers whose reports are stale.
func (s *Scheduler[T]) SetPeerUsage(name string, used runner.Resources) {
	t := s.team(name)
	s.total = s.total.Minus(t.peers).Plus(used)
	t.peers = used
	s.weigh(t)
}

// Enqueue queues a request. Errors wrap ErrQueueFull, ErrDeadlinePassed,
// ErrNeverFits, ErrBadNeed or ErrUnknownClass; the request was then not queued.
func (s *Scheduler[T]) Enqueue(now time.Time, r Request[T]) (Ticket, error) {
	class, err := classIndex(r.Class)
	if err != nil {
		return Ticket{}, err
	}
	if !r.Deadline.After(now) {
		return Ticket{}, Error.Wrap(ErrDeadlinePassed)
	}
	if !(runner.Resources{}).FitsIn(r.Resources) {
		return Ticket{}, Error.Wrap(ErrBadNeed)
	}
	if !r.Resources.FitsIn(s.largest) {
		return Ticket{}, Error.Wrap(ErrNeverFits)
	}
	r.Enqueued = now
	h, ok := s.team(r.Team).queues[class].Push(r, r.Deadline)
	if !ok {
		return Ticket{}, Error.Wrap(ErrQueueFull)
	}
	if s.queued == [classes]int{} || r.Deadline.Before(s.soonest) {
		s.soonest = r.Deadline
	}
	s.queued[class]++
	return Ticket{
		team:   r.Team,
		class:  class,
		handle: h,
	}, nil
}

// Cancel removes a queued request; false when it has started, expired or was cancelled before.
func (s *Scheduler[T]) Cancel(k Ticket) (Request[T], bool) {
	t := s.teams[k.team]
	if t == nil {
		return Request[T]{}, false
	}
	r, ok := t.queues[k.class].Remove(k.handle)
	if ok {
		s.queued[k.class]--
	}
	return r, ok
}

// Next removes and returns the request that starts next and counts it as running
// until Finish. fits tells whether a target has room; nil means that all requests fit.
func (s *Scheduler[T]) Next(now time.Time, fits func(*Request[T]) bool) (Request[T], bool) {
	c, found := s.promoted(now, fits)
	for class := 0; class < classes && !found; class++ {
		c, found = s.smallest(now, class, fits)
	}
	if !found {
		return Request[T]{}, false
	}
	r, _ := c.team.queues[c.class].Remove(c.handle)
	s.queued[c.class]--
	s.starts++
	s.sequence++
	c.team.served = s.sequence
	c.team.own = c.team.own.Plus(r.Resources)
	s.total = s.total.Plus(r.Resources)
	s.weigh(c.team)
	return r, true
}

// Finish ends the running of a request that Next returned.
func (s *Scheduler[T]) Finish(name string, used runner.Resources) {
	t := s.team(name)
	t.own = t.own.Minus(used)
	s.total = s.total.Minus(used)
	s.weigh(t)
}

// Expire removes the requests whose deadline has passed and hands each to drop.
func (s *Scheduler[T]) Expire(now time.Time, drop func(Request[T])) {
	if s.queued == [classes]int{} || s.soonest.After(now) {
		return
	}
	var soonest time.Time
	for _, t := range s.order {
		for class, q := range t.queues {
			for r, ok := q.PopExpired(now); ok; r, ok = q.PopExpired(now) {
				s.queued[class]--
				drop(r)
			}
			if next, ok := q.soonest(); ok && (soonest.IsZero() || next.Before(soonest)) {
				soonest = next
			}
		}
	}
	s.soonest = soonest
}

// Queued returns the number of queued requests of a team and class.
func (s *Scheduler[T]) Queued(name string, class configurer.Class) int {
	i, err := classIndex(class)
	if err != nil || s.teams[name] == nil {
		return 0
	}
	return s.teams[name].queues[i].Len()
}

// Running returns what the entry daemon itself runs for a team.
func (s *Scheduler[T]) Running(name string) runner.Resources {
	if t := s.teams[name]; t != nil {
		return t.own
	}
	return runner.Resources{}
}

// ShouldCheckpoint tells whether urgent or interactive work has waited so long
// that a deferrable task of the pool may be checkpointed.
func (s *Scheduler[T]) ShouldCheckpoint(now time.Time) bool {
	_, ok := s.Delayed(now, nil)
	return ok
}

// Delayed returns the first urgent, otherwise interactive, request that has waited so
// long that a deferrable task may be checkpointed for it and for which helps returns
// true. nil means that it helps all requests.
func (s *Scheduler[T]) Delayed(now time.Time, helps func(*Request[T]) bool) (Request[T], bool) {
	for class := range deferrable {
		for _, t := range s.order {
			r := t.queues[class].Peek()
			if r == nil || now.Sub(r.Enqueued) < s.cfg.CheckpointDelay || !r.Deadline.After(now) {
				continue
			}
			if helps == nil || helps(r) {
				return *r, true
			}
		}
	}
	return Request[T]{}, false
}

// Continue counts a request that was checkpointed, and therefore ended by Finish, as
// running again until the next Finish.
func (s *Scheduler[T]) Continue(name string, used runner.Resources) {
	t := s.team(name)
	t.own = t.own.Plus(used)
	s.total = s.total.Plus(used)
	s.weigh(t)
}

// Overdue returns the request that is furthest past the age from which a target may be
// held for its class, which for urgent work is below the age limit. When
// it fits on no target, the caller holds a target free for it (see placer.Hold):
// otherwise smaller requests of other teams would take each slot that becomes free.
func (s *Scheduler[T]) Overdue(now time.Time) (Request[T], bool) {
	if r := s.overdue(now); r != nil {
		return *r, true
	}
	return Request[T]{}, false
}

// Utilisation returns the largest used fraction of the pool over all resources.
func (s *Scheduler[T]) Utilisation() float64 { return DominantShare(s.total, s.capacity) }
