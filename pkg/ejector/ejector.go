// Package ejector decides which targets of a pool receive no work because they fail.
//
// A target is ejected after consecutive failures or when too many of its last requests failed.
// Each ejection lasts twice as long as the one before. The fraction of a pool that may be
// ejected is capped, because simultaneous failures of many targets are more often caused by
// the tasks than by the targets.
//
// An Ejector does no I/O, reads no clock and is not safe for concurrent use.
package ejector

import (
	"cmp"
	"time"
)

// The default values of Config.
const (
	DefaultConsecutive = 5
	DefaultWindow      = 20
	DefaultErrorRate   = 0.5
	DefaultBase        = 5 * time.Second
	DefaultMax         = 80 * time.Second
	DefaultMaxShare    = 0.3
)

// maxWindow is the number of results that fit into target.results, one bit each.
const maxWindow = 64

// Config configures an Ejector. Zero values select the defaults.
type Config struct {
	Consecutive int           // failures in a row that eject a target
	Window      int           // number of last requests over which the error rate is taken, at most 64
	ErrorRate   float64       // fraction of failures in a full window above which a target is ejected
	Base        time.Duration // length of the first ejection
	Max         time.Duration // longest ejection; a target not ejected for this long starts again at Base
	MaxShare    float64       // fraction of the pool that may be ejected at a time
}

// Ejector holds the health of the targets of one pool.
type Ejector struct {
	cfg     Config
	targets map[string]*target
}

type target struct {
	id           string
	results      uint64 // one bit per request, 1 is a failure, the latest in bit 0
	requests     int    // number of valid bits
	consecutive  int
	until        time.Time // end of the current or last ejection
	nextEjection time.Duration
	ejected      bool
	probing      bool // no request has succeeded since the ejection ended
}

// New returns an Ejector without targets.
func New(cfg Config) *Ejector {
	cfg.Window = min(orDefault(cfg.Window, DefaultWindow), maxWindow)
	cfg.Consecutive = orDefault(cfg.Consecutive, DefaultConsecutive)
	cfg.ErrorRate = orDefault(cfg.ErrorRate, DefaultErrorRate)
	cfg.Base = orDefault(cfg.Base, DefaultBase)
	cfg.Max = orDefault(cfg.Max, DefaultMax)
	cfg.MaxShare = orDefault(cfg.MaxShare, DefaultMaxShare)
	return &Ejector{
		cfg:     cfg,
		targets: map[string]*target{},
	}
}

func orDefault[V int | float64 | time.Duration](v, def V) V {
	if v <= 0 {
		return def
	}
	return v
}

// SetTargets sets the targets of the pool. Known targets keep their state. If the pool has
// become smaller, the least unhealthy targets are restored until the cap holds.
func (e *Ejector) SetTargets(now time.Time, ids []string) {
	targets := make(map[string]*target, len(ids))
	for _, id := range ids {
		t := e.targets[id]
		if t == nil {
			t = &target{
				id:           id,
				nextEjection: e.cfg.Base,
			}
		}
		targets[id] = t
	}
	e.targets = targets
	for e.Count(now) > e.limit() {
		e.leastUnhealthy(now).restore(now)
	}
}

// Record takes the result of one request and returns true if it ejected the target. ok is
// false only for failures of the target itself: a response with a 4xx status counts as
// success.
func (e *Ejector) Record(now time.Time, id string, ok bool) bool {
	t := e.targets[id]
	if t == nil {
		return false
	}
	t.expire(now)
	t.results <<= 1
	t.requests = min(t.requests+1, e.cfg.Window)
	if ok {
		t.consecutive = 0
		t.probing = false
		return false
	}
	t.results |= 1
	t.consecutive++
	if t.ejected || !e.unhealthy(t) || !e.makeRoom(now, t) {
		return false
	}
	if !t.probing && now.Sub(t.until) >= e.cfg.Max {
		t.nextEjection = e.cfg.Base
	}
	t.ejected = true
	t.until = now.Add(t.nextEjection)
	t.nextEjection = min(2*t.nextEjection, e.cfg.Max)
	return true
}

// Ejected reports whether the target receives no work now. A target whose ejection has ended
// receives work again; one more failure before its first success ejects it for twice as long.
func (e *Ejector) Ejected(now time.Time, id string) bool {
	t := e.targets[id]
	return t != nil && t.ejected && now.Before(t.until)
}

// Count returns the number of targets that are ejected now.
func (e *Ejector) Count(now time.Time) int {
	n := 0
	for _, t := range e.targets {
		if t.expire(now); t.ejected {
			n++
		}
	}
	return n
}

func (e *Ejector) unhealthy(t *target) bool {
	if t.probing || t.consecutive >= e.cfg.Consecutive {
		return true
	}
	return t.requests >= e.cfg.Window && e.errorRate(t) > e.cfg.ErrorRate
}

func (e *Ejector) errorRate(t *target) float64 {
	if t.requests == 0 {
		return 0
	}
	failures := 0
	for i := range t.requests {
		failures += int(t.results >> i & 1)
	}
	return float64(failures) / float64(t.requests)
}

// limit returns how many targets may be ejected at the same time.
func (e *Ejector) limit() int { return int(e.cfg.MaxShare * float64(len(e.targets))) }

// makeRoom reports whether t may be ejected. At the cap, it restores an ejected target that is
// less unhealthy than t.
func (e *Ejector) makeRoom(now time.Time, t *target) bool {
	if e.Count(now) < e.limit() {
		return true
	}
	other := e.leastUnhealthy(now)
	if other == nil || !e.worse(t, other) {
		return false
	}
	other.restore(now)
	return true
}

// leastUnhealthy returns the least unhealthy of the ejected targets, nil if none is ejected.
func (e *Ejector) leastUnhealthy(now time.Time) *target {
	var best *target
	for _, t := range e.targets {
		if t.expire(now); t.ejected && (best == nil || e.compare(t, best) < 0) {
			best = t
		}
	}
	return best
}

// compare orders targets from the least to the most unhealthy. The ID comes last, so that
// equal histories lead to equal decisions.
func (e *Ejector) compare(a, b *target) int {
	return cmp.Or(
		cmp.Compare(e.errorRate(a), e.errorRate(b)),
		cmp.Compare(a.consecutive, b.consecutive),
		a.until.Compare(b.until),
		cmp.Compare(a.id, b.id),
	)
}

// worse reports whether a fails more than b.
func (e *Ejector) worse(a, b *target) bool {
	return cmp.Or(cmp.Compare(e.errorRate(a), e.errorRate(b)), cmp.Compare(a.consecutive, b.consecutive)) > 0
}

func (t *target) expire(now time.Time) {
	if t.ejected && !now.Before(t.until) {
		t.ejected = false
		t.probing = true
		t.results = 0
		t.requests = 0
		t.consecutive = 0
	}
}

// restore ends an ejection early and keeps the results, so that comparisons stay valid.
func (t *target) restore(now time.Time) {
	t.ejected = false
	t.until = now
}
