// Package ejector decides which targets of a pool receive no work because they fail.
//
// A target is ejected after consecutive failures or when too many of its last
// requests failed. Each ejection lasts twice as long as the one before. The share of
// a pool that may be ejected is capped, because failures of many targets at once
// come more often from what they run than from the targets.
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

// maxWindow is the number of results that fit into a word.
const maxWindow = 64

// Config configures an Ejector. Zero values select the defaults.
type Config struct {
	Consecutive int           // failures in a row that eject a target
	Window      int           // last requests over which the error rate is taken, at most 64
	ErrorRate   float64       // fraction of failures in a full window above which a target is ejected
	Base        time.Duration // first ejection
	Max         time.Duration // longest ejection; also the time without ejection after which Base counts again
	MaxShare    float64       // fraction of the pool that may be ejected at a time
}

// Ejector holds the health of the targets of one pool.
type Ejector struct {
	cfg     Config
	targets map[string]*target
}

type target struct {
	id          string
	results     uint64 // one bit per request, 1 is a failure, the latest in bit 0
	requests    int    // number of valid bits
	consecutive int
	until       time.Time // end of the current or last ejection
	next        time.Duration
	ejected     bool
	probing     bool // no request has succeeded since the ejection ended
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

// SetTargets states the targets of the pool. Known targets keep their state. When the
// pool became smaller, the least unhealthy targets return until the cap holds.
func (e *Ejector) SetTargets(now time.Time, ids []string) {
	targets := make(map[string]*target, len(ids))
	for _, id := range ids {
		t := e.targets[id]
		if t == nil {
			t = &target{
				id:   id,
				next: e.cfg.Base,
			}
		}
		targets[id] = t
	}
	e.targets = targets
	for e.Count(now) > e.limit() {
		e.leastUnhealthy(now).restore(now)
	}
}

// Record takes the result of one request and returns true when it ejected the target.
// A failure is one of the target, not of the request: answers with a 4xx status succeed.
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
		t.next = e.cfg.Base
	}
	t.ejected = true
	t.until = now.Add(t.next)
	t.next = min(2*t.next, e.cfg.Max)
	return true
}

// Ejected tells whether the target receives no work now. A target whose ejection
// ended receives work again; one more failure ejects it for twice as long.
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

// limit returns how many targets may be ejected.
func (e *Ejector) limit() int { return int(e.cfg.MaxShare * float64(len(e.targets))) }

// makeRoom tells whether t may be ejected. At the cap, a less unhealthy ejected target returns instead.
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

// leastUnhealthy returns the ejected target that is best to use, nil if none is ejected.
func (e *Ejector) leastUnhealthy(now time.Time) *target {
	var best *target
	for _, t := range e.targets {
		if t.expire(now); t.ejected && (best == nil || e.compare(t, best) < 0) {
			best = t
		}
	}
	return best
}

// compare orders targets from the least to the most unhealthy. The identifier comes
// last, so that equal histories lead to equal decisions.
func (e *Ejector) compare(a, b *target) int {
	return cmp.Or(
		cmp.Compare(e.errorRate(a), e.errorRate(b)),
		cmp.Compare(a.consecutive, b.consecutive),
		a.until.Compare(b.until),
		cmp.Compare(a.id, b.id),
	)
}

// worse tells whether a fails more than b.
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
