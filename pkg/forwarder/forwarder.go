// Package forwarder decides when a daemon hands a call that it can't serve to a neighbor, to which
// one, and when it gives up.
//
// The load that it answers: the platform's store turns some daemons away and serves the others.
// Callers of the former would be refused for seconds although a daemon beside theirs could serve
// them. If the store is away for all, the neighbors refuse as well; then a call must not cost more
// than a few attempts of the whole daemon, and be refused at once.
//
// A Router does no I/O and reads no clock. Times are durations on a steady clock.
package forwarder

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxNeighbors bounds the neighbors that a Router keeps, whatever the size of the fleet.
	MaxNeighbors = 8
	// maxAttempts bounds the neighbors that one call is handed to.
	maxAttempts = 2
	// attemptTimeout bounds one attempt: a neighbor that is served answers within a few calls to
	// a slow store.
	attemptTimeout = time.Second
	// minAttempt is the shortest time for an attempt. With less time left, the outcome would
	// hardly be known before the caller leaves.
	minAttempt = 150 * time.Millisecond
	// answerReserve is kept between the end of an attempt and the deadline of the caller, for the
	// answer.
	answerReserve = 50 * time.Millisecond
	// distrustAfter is how long calls to the store have to fail until calls are handed on without
	// a try there.
	distrustAfter = 200 * time.Millisecond
	// firstPause is how long a neighbor gets no calls after a failed one. It doubles with each
	// further failure up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// outageMisses is the number of failed attempts in a row, at any neighbors, from which the store
	// is taken to be away for all. Then the pauses apply to all neighbors together. If it turns a
	// third of the daemons away, one such row in eighty is by chance.
	outageMisses = 4
)

// Neighbor is another daemon.
type Neighbor struct {
	Name    string
	Zone    string
	Address string
}

// Config configures a Router.
type Config struct {
	// Name and Zone are those of this daemon.
	Name string
	Zone string
}

// Router keeps what is known of the neighbors and of the store. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu           sync.Mutex
	neighbors    []Neighbor // those of the own zone first
	circuits     map[string]*circuit
	turn         int
	failingSince time.Duration // first failure of a call to the store since the last success
	failing      bool
	servedAt     time.Duration // when a neighbor last served a call
	served       bool
	// misses is the number of failed attempts since a neighbor, or the store, last served a call.
	misses int
	until  time.Duration // no neighbor gets a call before
}

// circuit is what is known of a neighbor that has failed.
type circuit struct {
	failures int
	until    time.Duration // it gets no call before
}

// Attempt is a neighbor that a call is to be handed to.
type Attempt struct {
	Neighbor
	Timeout time.Duration
}

// New returns a Router without neighbors.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		circuits: map[string]*circuit{},
	}
}

// SetNeighbors replaces the neighbors: at most MaxNeighbors, those of the own zone first. This
// daemon is left out.
func (r *Router) SetNeighbors(neighbors []Neighbor) {
	others := slices.DeleteFunc(slices.Clone(neighbors), func(n Neighbor) bool { return n.Name == r.cfg.Name })
	slices.SortStableFunc(others, func(a, b Neighbor) int { return r.distance(a) - r.distance(b) })
	others = others[:min(len(others), MaxNeighbors)]
	circuits := map[string]*circuit{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range others {
		if c := r.circuits[n.Address]; c != nil {
			circuits[n.Address] = c
		}
	}
	r.neighbors, r.circuits = others, circuits
}

func (r *Router) distance(n Neighbor) int {
	if n.Zone == r.cfg.Zone {
		return 0
	}
	return 1
}

// StoreFailed records that a call to the store failed.
func (r *Router) StoreFailed(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		r.failing, r.failingSince = true, now
	}
}

// StoreServed records that a call to the store succeeded that was sent at the given time. One that
// waited there since before the first failure proves nothing.
func (r *Router) StoreServed(sentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing || sentAt < r.failingSince {
		return
	}
	r.failing = false
	r.misses, r.until = 0, 0
	clear(r.circuits) // the store likely serves the neighbors again, too
}

// Unserved reports whether the store has turned this daemon away for long enough that calls are
// handed on without a try there.
func (r *Router) Unserved(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing && now-r.failingSince >= distrustAfter
}

// Next returns the neighbor to hand a call to; ok is false if the call is to be answered without
// one. tried are the addresses that the call was handed to before, left is the time until the
// caller's deadline.
func (r *Router) Next(tried []string, left, now time.Duration) (a Attempt, ok bool) {
	left -= answerReserve
	if len(tried) >= maxAttempts || left < minAttempt {
		return Attempt{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.until {
		return Attempt{}, false
	}
	best := -1
	for k := range r.neighbors {
		i := (r.turn + k) % len(r.neighbors)
		n := r.neighbors[i]
		c := r.circuits[n.Address]
		if slices.Contains(tried, n.Address) || c != nil && now < c.until {
			continue
		}
		if best < 0 || r.distance(n) < r.distance(r.neighbors[best]) {
			best = i
		}
	}
	if best < 0 {
		return Attempt{}, false
	}
	r.turn = best + 1
	n := r.neighbors[best]
	if c := r.circuits[n.Address]; c != nil {
		c.until = now + c.pause() // one call at a time tries a neighbor that has failed
	}
	return Attempt{
		Neighbor: n,
		Timeout:  min(attemptTimeout, left),
	}, true
}

// HasOpen reports whether there is a neighbor that a call could be handed to.
func (r *Router) HasOpen(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.until && slices.ContainsFunc(r.neighbors, func(n Neighbor) bool {
		c := r.circuits[n.Address]
		return c == nil || now >= c.until
	})
}

// pause returns how long the neighbor gets no calls after its last failure.
func (c *circuit) pause() time.Duration { return pauseAfter(c.failures) }

func pauseAfter(failures int) time.Duration {
	pause := firstPause
	for range failures - 1 {
		pause = min(maxPause, 2*pause)
	}
	return pause
}

// NeighborServed records that a neighbor served a call.
func (r *Router) NeighborServed(address string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.circuits, address)
	r.misses, r.until = 0, 0
	r.served, r.servedAt = true, now
}

// NeighborFailed records that a neighbor did not answer a call, or is turned away itself.
func (r *Router) NeighborFailed(address string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.ContainsFunc(r.neighbors, func(n Neighbor) bool { return n.Address == address }) {
		return // replaced meanwhile
	}
	c := r.circuits[address]
	if c == nil {
		c = &circuit{}
		r.circuits[address] = c
	}
	c.failures++
	c.until = now + c.pause()
	if r.misses++; r.misses >= outageMisses {
		r.until = now + pauseAfter(r.misses-outageMisses+1)
	}
}

// ServedWithin reports whether a neighbor has served a call in the last d.
func (r *Router) ServedWithin(d, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served && now-r.servedAt < d
}
