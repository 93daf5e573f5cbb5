// Package scheduler decides which queued request of a pool starts next.
//
// A Scheduler serves one pool. It keeps bounded queues per team and class and
// chooses by class first and then by the smallest ratio of dominant share to
// weight (weighted dominant resource fairness). The usage of a team is what this
// entry daemon runs for it plus what the peers report. Strict class order alone
// would starve deferrable work, so one start in PromotionInterval goes to the
// request that is furthest past its age limit.
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
	// ErrQueueFull means that the team has reached its limit of queued requests of this class.
	ErrQueueFull = errors.New("queue full")
	// ErrDeadlinePassed means that the deadline of the request is not in the future.
	ErrDeadlinePassed = errors.New("deadline passed")
	// ErrNeverFits means that no target of the pool is large enough for the request.
	ErrNeverFits = errors.New("request larger than any target")
	// ErrUnknownClass means that the class is none of urgent, interactive and deferrable.
	ErrUnknownClass = errors.New("unknown class")
	// ErrNegativeResources means that the request asks for a negative amount of a resource.
	ErrNegativeResources = errors.New("negative amount of a resource")
)

// The default values of Config.
const (
	DefaultMaxQueued         = 256
	DefaultPromotionInterval = 16
	DefaultCheckpointDelay   = 500 * time.Millisecond
	DefaultUrgentAge         = time.Second // urgent work must start within 2.3 s
	DefaultInteractiveAge    = 5 * time.Second
	DefaultDeferrableAge     = time.Minute
	// DefaultUrgentHoldAge is short because it takes most of the 2.3 s until a held target
	// is free. UrgentAge can't be as short: urgent work would then get all promotions.
	DefaultUrgentHoldAge = 100 * time.Millisecond
)

// lookAhead is how many of a team's oldest requests are tried when the oldest
// does not fit, so that one large request does not block the small ones behind it.
const lookAhead = 4

// Config configures a Scheduler. Zero values select the defaults.
type Config struct {
	MaxQueued         int           // per team and class
	PromotionInterval int           // one of this many starts may go to a request past its age limit
	CheckpointDelay   time.Duration // wait after which a deferrable task may be checkpointed
	UrgentAge         time.Duration // age from which an urgent request is past its limit
	UrgentHoldAge     time.Duration // age from which Overdue returns an urgent request
	InteractiveAge    time.Duration // age from which an interactive request is past its limit
	DeferrableAge     time.Duration // age from which a deferrable request is past its limit
	HoldsTargets      bool          // the caller keeps a target free for the request of Overdue
	Deferrable        StartPolicy   // nil: deferrable work starts whenever nothing else wants the slot
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

// Ticket identifies a queued request for Cancel.
type Ticket struct {
	team   string
	class  int
	handle Handle
}

// Scheduler holds the queued requests and the usage of one pool.
type Scheduler[T any] struct {
	cfg              Config
	ageLimits        [classCount]time.Duration
	holdAges         [classCount]time.Duration
	capacity         runner.Resources
	largest          runner.Resources
	teams            map[string]*team[T]
	order            []*team[T]
	queued           [classCount]int  // by class, all teams; empty classes are skipped
	earliestDeadline time.Time        // lower bound of the deadlines of all queued requests
	totalUsage       runner.Resources // of this entry daemon and its peers, all teams
	starts           int              // since the last promotion or the last check that none was due
	sequence         uint64
}

type team[T any] struct {
	name      string
	weight    int
	ownUsage  runner.Resources
	peerUsage runner.Resources
	ratio     float64 // dominant share divided by weight
	served    uint64  // sequence number of the last start; breaks ties
	queues    [classCount]*Queue[Request[T]]
}

const classCount = 3

func classIndex(class configurer.Class) (int, error) {
	switch class {
	case configurer.ClassUrgent:
		return 0, nil
	case configurer.ClassInteractive:
		return 1, nil
	case configurer.ClassDeferrable:
		return deferrableIndex, nil
	}
	return 0, Error.New("%w: want urgent, interactive or deferrable, got %q", ErrUnknownClass, class)
}

const deferrableIndex = 2

// New returns a scheduler without teams and capacity.
func New[T any](cfg Config) *Scheduler[T] {
	cfg.MaxQueued = orDefault(cfg.MaxQueued, DefaultMaxQueued)
	cfg.PromotionInterval = orDefault(cfg.PromotionInterval, DefaultPromotionInterval)
	cfg.CheckpointDelay = orDefault(cfg.CheckpointDelay, DefaultCheckpointDelay)
	ages := [classCount]time.Duration{
		orDefault(cfg.UrgentAge, DefaultUrgentAge),
		orDefault(cfg.InteractiveAge, DefaultInteractiveAge),
		orDefault(cfg.DeferrableAge, DefaultDeferrableAge),
	}
	holdAges := ages
	holdAges[0] = orDefault(cfg.UrgentHoldAge, DefaultUrgentHoldAge)
	return &Scheduler[T]{
		cfg:       cfg,
		ageLimits: ages,
		holdAges:  holdAges,
		teams:     map[string]*team[T]{},
	}
}

func orDefault[V int | time.Duration](v, def V) V {
	if v <= 0 {
		return def
	}
	return v
}

// SetCapacity sets the resources of the whole pool and those of its largest target.
func (s *Scheduler[T]) SetCapacity(pool, largest runner.Resources) {
	s.capacity = pool
	s.largest = largest
	for _, t := range s.order {
		s.updateRatio(t)
	}
}

// SetWeight sets the weight of a team; values below 1 count as 1.
func (s *Scheduler[T]) SetWeight(name string, weight int) {
	t := s.team(name)
	t.weight = max(weight, 1)
	s.updateRatio(t)
}

// RemoveTeam removes a team. It returns false, and keeps the team, while requests of the
// team are queued or running.
func (s *Scheduler[T]) RemoveTeam(name string) bool {
	t := s.teams[name]
	if t == nil {
		return true
	}
	if t.ownUsage != (runner.Resources{}) || t.queued() > 0 {
		return false
	}
	s.totalUsage = s.totalUsage.Minus(t.peerUsage)
	delete(s.teams, name)
	s.order = slices.DeleteFunc(s.order, func(other *team[T]) bool { return other == t })
	return true
}

// SetPeerUsage sets the resources that all peers together use for a team in this pool.
// The caller leaves out peers whose reports are stale.
func (s *Scheduler[T]) SetPeerUsage(name string, used runner.Resources) {
	t := s.team(name)
	s.totalUsage = s.totalUsage.Minus(t.peerUsage).Plus(used)
	t.peerUsage = used
	s.updateRatio(t)
}

// Enqueue queues a request. Errors wrap ErrQueueFull, ErrDeadlinePassed,
// ErrNeverFits, ErrNegativeResources or ErrUnknownClass; the request is then not queued.
func (s *Scheduler[T]) Enqueue(now time.Time, r Request[T]) (Ticket, error) {
	class, err := classIndex(r.Class)
	if err != nil {
		return Ticket{}, err
	}
	if !r.Deadline.After(now) {
		return Ticket{}, Error.Wrap(ErrDeadlinePassed)
	}
	if !(runner.Resources{}).FitsIn(r.Resources) {
		return Ticket{}, Error.Wrap(ErrNegativeResources)
	}
	if !r.Resources.FitsIn(s.largest) {
		return Ticket{}, Error.Wrap(ErrNeverFits)
	}
	r.Enqueued = now
	h, ok := s.team(r.Team).queues[class].Push(r, r.Deadline)
	if !ok {
		return Ticket{}, Error.Wrap(ErrQueueFull)
	}
	if s.queued == [classCount]int{} || r.Deadline.Before(s.earliestDeadline) {
		s.earliestDeadline = r.Deadline
	}
	s.queued[class]++
	return Ticket{
		team:   r.Team,
		class:  class,
		handle: h,
	}, nil
}

// Cancel removes a queued request. It returns false if the request has started, expired
// or been cancelled before.
func (s *Scheduler[T]) Cancel(ticket Ticket) (Request[T], bool) {
	t := s.teams[ticket.team]
	if t == nil {
		return Request[T]{}, false
	}
	r, ok := t.queues[ticket.class].Remove(ticket.handle)
	if ok {
		s.queued[ticket.class]--
	}
	return r, ok
}

// Next removes and returns the request that starts next and counts it as running
// until Finish. fits reports whether a target has room; nil means that all requests fit.
func (s *Scheduler[T]) Next(now time.Time, fits func(*Request[T]) bool) (Request[T], bool) {
	c, found := s.promoted(now, fits)
	for class := 0; class < classCount && !found; class++ {
		c, found = s.lowestRatio(now, class, fits)
	}
	if !found {
		return Request[T]{}, false
	}
	r, _ := c.team.queues[c.class].Remove(c.handle)
	s.queued[c.class]--
	s.starts++
	s.sequence++
	c.team.served = s.sequence
	c.team.ownUsage = c.team.ownUsage.Plus(r.Resources)
	s.totalUsage = s.totalUsage.Plus(r.Resources)
	s.updateRatio(c.team)
	return r, true
}

// Finish records that a request of a team, returned by Next, has ended. used is the
// request's Resources.
func (s *Scheduler[T]) Finish(name string, used runner.Resources) {
	t := s.team(name)
	t.ownUsage = t.ownUsage.Minus(used)
	s.totalUsage = s.totalUsage.Minus(used)
	s.updateRatio(t)
}

// Expire removes the requests whose deadline has passed and calls drop for each.
func (s *Scheduler[T]) Expire(now time.Time, drop func(Request[T])) {
	if s.queued == [classCount]int{} || s.earliestDeadline.After(now) {
		return
	}
	var earliest time.Time
	for _, t := range s.order {
		for class, q := range t.queues {
			for r, ok := q.PopExpired(now); ok; r, ok = q.PopExpired(now) {
				s.queued[class]--
				drop(r)
			}
			if next, ok := q.earliestDeadline(); ok && (earliest.IsZero() || next.Before(earliest)) {
				earliest = next
			}
		}
	}
	s.earliestDeadline = earliest
}

// Queued returns the number of queued requests of a team and class.
func (s *Scheduler[T]) Queued(name string, class configurer.Class) int {
	i, err := classIndex(class)
	if err != nil || s.teams[name] == nil {
		return 0
	}
	return s.teams[name].queues[i].Len()
}

// Running returns the resources that this entry daemon uses for a team, without its peers.
func (s *Scheduler[T]) Running(name string) runner.Resources {
	if t := s.teams[name]; t != nil {
		return t.ownUsage
	}
	return runner.Resources{}
}

// ShouldCheckpoint reports whether urgent or interactive work has waited so long
// that a deferrable task of the pool may be checkpointed.
func (s *Scheduler[T]) ShouldCheckpoint(now time.Time) bool {
	_, ok := s.FirstDelayed(now, nil)
	return ok
}

// FirstDelayed returns a request for which a deferrable task may be checkpointed: an urgent,
// otherwise an interactive one that is the oldest of its team and class, has waited
// CheckpointDelay and for which helps returns true. A nil helps accepts every request.
func (s *Scheduler[T]) FirstDelayed(now time.Time, helps func(*Request[T]) bool) (Request[T], bool) {
	for class := range deferrableIndex {
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

// Resume counts a request as running again until the next Finish. It is called when a
// task continues that was checkpointed and therefore ended by Finish.
func (s *Scheduler[T]) Resume(name string, used runner.Resources) {
	t := s.team(name)
	t.ownUsage = t.ownUsage.Plus(used)
	s.totalUsage = s.totalUsage.Plus(used)
	s.updateRatio(t)
}

// Overdue returns the request that is furthest past the age from which a target may be
// held for its class. For urgent work that age is UrgentHoldAge, otherwise the age limit.
// If the request fits on no target, the caller keeps one free for it (see placer.Hold);
// otherwise smaller requests of other teams would take each slot that becomes free.
func (s *Scheduler[T]) Overdue(now time.Time) (Request[T], bool) {
	if r := s.overdue(now); r != nil {
		return *r, true
	}
	return Request[T]{}, false
}

// Utilisation returns the largest used fraction of the pool over all resources.
func (s *Scheduler[T]) Utilisation() float64 { return DominantShare(s.totalUsage, s.capacity) }
