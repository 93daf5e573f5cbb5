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

// lowestRatio returns a request of the team with the lowest ratio of dominant share to
// weight among the teams that have a fitting request of the class.
func (s *Scheduler[T]) lowestRatio(now time.Time, class int, fits func(*Request[T]) bool) (candidate[T], bool) {
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

// promoted returns the fitting request that exceeds the age limit of its class by the
// largest factor. It returns none until PromotionInterval-1 requests have started without
// a promotion.
func (s *Scheduler[T]) promoted(now time.Time, fits func(*Request[T]) bool) (candidate[T], bool) {
	var best candidate[T]
	if s.starts < s.cfg.PromotionInterval-1 {
		return best, false
	}
	maxAge := 1.0
	anyOverdue := false
	for _, t := range s.order {
		for class, q := range t.queues {
			r := q.Peek()
			if r == nil {
				continue
			}
			age := float64(now.Sub(r.Enqueued)) / float64(s.ageLimits[class])
			if age < maxAge {
				continue
			}
			anyOverdue = true
			if h, ok := s.fitting(now, t, class, fits); ok {
				maxAge = age
				best = candidate[T]{
					team:   t,
					class:  class,
					handle: h,
				}
			}
		}
	}
	if best.team != nil || !anyOverdue {
		s.starts = 0
	}
	return best, best.team != nil
}

// fitting returns the team's first request of the class that may start now. Once the
// oldest request is past its age limit, only that one is tried, so that small requests
// behind a large one do not starve it. This is not needed if the caller holds targets.
func (s *Scheduler[T]) fitting(now time.Time, t *team[T], class int, fits func(*Request[T]) bool) (Handle, bool) {
	q := t.queues[class]
	depth := lookAhead
	if r := q.Peek(); !s.cfg.HoldsTargets && r != nil && now.Sub(r.Enqueued) >= s.ageLimits[class] {
		depth = 1
	}
	return q.find(depth, func(r *Request[T]) bool {
		if !r.Deadline.After(now) || class == deferrableIndex && !s.mayStart(now, r) {
			return false
		}
		return fits == nil || fits(r)
	})
}

// overdue returns the request for which a target should be held first, nil if there is none.
func (s *Scheduler[T]) overdue(now time.Time) *Request[T] {
	var oldest *Request[T]
	maxAge := 1.0
	for _, t := range s.order {
		for class, q := range t.queues {
			r := q.Peek()
			if r == nil || !r.Deadline.After(now) || class == deferrableIndex && !s.mayStart(now, r) {
				continue
			}
			if age := float64(now.Sub(r.Enqueued)) / float64(s.holdAges[class]); age >= maxAge {
				maxAge = age
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

func (s *Scheduler[T]) updateRatio(t *team[T]) {
	t.ratio = DominantShare(t.ownUsage.Plus(t.peerUsage), s.capacity) / float64(t.weight)
}

// DominantShare returns the largest fraction of the capacity that is used, over slots,
// processors, memory and accelerators. Resources without capacity do not count.
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
