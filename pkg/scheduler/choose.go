package scheduler

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

type candidate[T any] struct {
	team   *team[T]
	class  int
	handle Handle
}

// smallest returns the request of the team with the smallest ratio among those
// that have a fitting request of the class.
func (s *Scheduler[T]) smallest(now time.Time, class int, fits func(*Request[T]) bool) (candidate[T], bool) {
	var best candidate[T]
	if s.queued[class] == 0 {
		return best, false
	}
	for _, t := range s.order {
		if t.queues[class].Len() == 0 || best.team != nil && !t.before(best.team) {
			continue
		}
		if h, ok := s.fitting(now, t, class, fits); ok {
			best = candidate[T]{
				team:   t,
				class:  class,
				handle: h,
			}
		}
	}
	return best, best.team != nil
}

// promoted returns the oldest request in relation to the age limit of its class.
// It looks after PromotionInterval starts without a promotion.
func (s *Scheduler[T]) promoted(now time.Time, fits func(*Request[T]) bool) (candidate[T], bool) {
	var best candidate[T]
	if s.starts < s.cfg.PromotionInterval-1 {
		return best, false
	}
	worst := 1.0
	waiting := false
	for _, t := range s.order {
		for class, q := range t.queues {
			r := q.Peek()
			if r == nil {
				continue
			}
			age := float64(now.Sub(r.Enqueued)) / float64(s.ages[class])
			if age < worst {
				continue
			}
			waiting = true
			if h, ok := s.fitting(now, t, class, fits); ok {
				worst = age
				best = candidate[T]{
					team:   t,
					class:  class,
					handle: h,
				}
			}
		}
	}
	if best.team != nil || !waiting {
		s.starts = 0
	}
	return best, best.team != nil
}

// fitting returns the team's first request of the class that may start now. Unless the
// caller holds a target for it, only the oldest is tried once it is past its age
// limit, so that small requests behind a large one do not starve it.
func (s *Scheduler[T]) fitting(now time.Time, t *team[T], class int, fits func(*Request[T]) bool) (Handle, bool) {
	q := t.queues[class]
	depth := lookAhead
	if r := q.Peek(); !s.cfg.HoldsTargets && r != nil && now.Sub(r.Enqueued) >= s.ages[class] {
		depth = 1
	}
	return q.find(depth, func(r *Request[T]) bool {
		if !r.Deadline.After(now) || class == deferrable && !s.mayStart(now, r) {
			return false
		}
		return fits == nil || fits(r)
	})
}

// overdue returns the request for which a target should be held first, nil if there is none.
func (s *Scheduler[T]) overdue(now time.Time) *Request[T] {
	var oldest *Request[T]
	worst := 1.0
	for _, t := range s.order {
		for class, q := range t.queues {
			r := q.Peek()
			if r == nil || !r.Deadline.After(now) || class == deferrable && !s.mayStart(now, r) {
				continue
			}
			if age := float64(now.Sub(r.Enqueued)) / float64(s.holdAges[class]); age >= worst {
				worst = age
				oldest = r
			}
		}
	}
	return oldest
}

func (s *Scheduler[T]) mayStart(now time.Time, r *Request[T]) bool {
	if s.cfg.Deferrable == nil {
		return true
	}
	return s.cfg.Deferrable.MayStart(Load{
		Utilisation: s.Utilisation(),
		Waited:      now.Sub(r.Enqueued),
		Left:        r.Deadline.Sub(now),
	})
}

func (t *team[T]) before(other *team[T]) bool {
	if t.ratio != other.ratio {
		return t.ratio < other.ratio
	}
	return t.served < other.served
}

func (t *team[T]) queued() int {
	n := 0
	for _, q := range t.queues {
		n += q.Len()
	}
	return n
}

func (s *Scheduler[T]) team(name string) *team[T] {
	if t := s.teams[name]; t != nil {
		return t
	}
	t := &team[T]{
		name:   name,
		weight: 1,
	}
	for i := range t.queues {
		t.queues[i] = NewQueue[Request[T]](s.cfg.MaxQueued)
	}
	s.teams[name] = t
	s.order = append(s.order, t)
	return t
}

func (s *Scheduler[T]) weigh(t *team[T]) {
	t.ratio = DominantShare(t.own.Plus(t.peers), s.capacity) / float64(t.weight)
}

// DominantShare returns the largest fraction that used is of capacity over slots,
// processors, memory and accelerators. Resources that the capacity lacks do not count.
func DominantShare(used, capacity runner.Resources) float64 {
	share := fraction(int64(used.Slots), int64(capacity.Slots))
	share = max(share, fraction(used.CPUMillis, capacity.CPUMillis))
	share = max(share, fraction(used.MemoryMB, capacity.MemoryMB))
	return max(share, fraction(int64(used.Accelerators), int64(capacity.Accelerators)))
}

func fraction(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
