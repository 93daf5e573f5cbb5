// Package budgeter decides how much of a process its callers may hold: connections, and the
// memory of requests under way.
//
// It answers the load of callers that nobody controls: many of them at once, each within the
// limits of a single request, most of which stop sending or reading and stay. What does not fit
// is refused before it is read. A caller that makes no progress gives way to others, and part of
// the budget is kept for small requests and for origins that hold little.
//
// The package does no I/O; the time is an argument.
package budgeter

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrNoRoom means that what a request would hold does not fit into the budget. The request has not
// run.
var ErrNoRoom = errors.New("no room for the request")

// Defaults of Config.
const (
	// DefaultWindow outlasts a partition or a suspension of seconds.
	DefaultWindow = 15 * time.Second
	// DefaultMinRate lets a body of 256 KiB take two minutes.
	DefaultMinRate = 2 << 10
	// DefaultPatience is longer than a round trip between regions.
	DefaultPatience = 250 * time.Millisecond
	// DefaultSmallBytes covers usual requests with all that is made of them.
	DefaultSmallBytes = 128 << 10
)

const (
	// keptPart is the part of a limit that neither large requests nor the heaviest origin may
	// take: one of keptPart.
	keptPart = 4
	// searchesPerPatience bounds the fruitless searches for holders that give way.
	searchesPerPatience = 4
)

// Config configures a Budget. Zero values of the fields after Connections select the defaults.
type Config struct {
	Bytes       int64 // reserved by all requests together
	Connections int
	// Window is how long a caller may make no progress, and MinRate the bytes a second that it
	// has to make on average once the window is over.
	Window  time.Duration
	MinRate int64
	// Patience is how long a caller may make no progress while others wait for what it holds.
	Patience time.Duration
	// SmallBytes is what a small request reserves at most.
	SmallBytes int64
}

// Waiting is what a process waits for on a connection.
type Waiting int

// The process waits for its own work, for the next request, or for the caller to go on with the
// present one.
const (
	WaitingForWork Waiting = iota
	WaitingForRequest
	WaitingForCaller
)

// Holder is a connection with what its requests have reserved. C identifies the connection.
type Holder[C any] struct {
	Connection C

	origin   string
	bytes    int64
	waiting  Waiting
	deadline time.Time     // the caller has to go on by then, unless the process waits for work
	left     time.Duration // until the deadline, when the process last began to wait for work
	removed  bool
}

// Usage is what is held at the moment, and what was refused or given up so far.
type Usage struct {
	Bytes               int64
	Connections         int
	RefusedConnections  int64 // did not fit
	RefusedReservations int64 // did not fit
	Shed                int64 // holders that gave way to others
	Expired             int64 // holders without progress
}

// origin is what one origin holds.
type origin struct {
	bytes       int64
	connections int
}

// Budget is what callers may hold of a process. It may be used by several goroutines.
type Budget[C any] struct {
	cfg Config

	mu      sync.Mutex
	holders map[*Holder[C]]struct{}
	origins map[string]*origin
	usage   Usage
	// searched is when a search for holders that give way found too few.
	searched time.Time
}

// New returns an empty Budget.
func New[C any](cfg Config) *Budget[C] {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.MinRate = cmp.Or(cfg.MinRate, DefaultMinRate)
	cfg.Patience = cmp.Or(cfg.Patience, DefaultPatience)
	cfg.SmallBytes = cmp.Or(cfg.SmallBytes, DefaultSmallBytes)
	return &Budget[C]{
		cfg:     cfg,
		holders: map[*Holder[C]]struct{}{},
		origins: map[string]*origin{},
	}
}

// Config returns the configuration with its defaults.
func (b *Budget[C]) Config() Config { return b.cfg }

// Usage returns what is held.
func (b *Budget[C]) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Open adds a connection from an origin. It returns nil if the connection has to be closed, and
// the holders whose connections have to be closed to make room for it.
func (b *Budget[C]) Open(connection C, from string, now time.Time) (h *Holder[C], shed []*Holder[C]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.cfg.Connections
	if o := b.origins[from]; o != nil && o.connections > limit/2 {
		limit -= limit / keptPart
	}
	if b.usage.Connections >= limit {
		shed = b.makeRoom(now, 0, b.usage.Connections+1-limit)
	}
	if b.usage.Connections >= limit {
		b.usage.RefusedConnections++
		return nil, nil
	}
	h = &Holder[C]{
		Connection: connection,
		origin:     from,
		waiting:    WaitingForRequest,
		deadline:   now.Add(b.cfg.Window),
	}
	b.holders[h] = struct{}{}
	if b.origins[from] == nil {
		b.origins[from] = &origin{}
	}
	b.origins[from].connections++
	b.usage.Connections++
	return h, shed
}

// Reserve adds n bytes to what a holder has reserved. It reports whether they fit, and returns
// the holders whose connections have to be closed to make room for them.
func (b *Budget[C]) Reserve(h *Holder[C], n int64, now time.Time) (ok bool, shed []*Holder[C]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(h, n, now)
}

func (b *Budget[C]) reserve(h *Holder[C], n int64, now time.Time) (ok bool, shed []*Holder[C]) {
	if h.removed {
		return false, nil
	}
	limit := b.limit(h, n)
	if b.usage.Bytes+n > limit {
		shed = b.makeRoom(now, b.usage.Bytes+n-limit, 0)
	}
	if h.removed || b.usage.Bytes+n > limit {
		b.usage.RefusedReservations++
		return false, shed
	}
	b.add(h, n)
	return true, shed
}

// limit returns how much may be reserved in all if a holder reserves n bytes more.
func (b *Budget[C]) limit(h *Holder[C], n int64) int64 {
	limit := b.cfg.Bytes
	if h.bytes+n > b.cfg.SmallBytes {
		limit -= b.cfg.Bytes / keptPart
	}
	if b.origins[h.origin].bytes > b.cfg.Bytes/2 {
		limit -= b.cfg.Bytes / keptPart
	}
	return limit
}

// EverFits reports whether a request of n bytes fits while nothing else is reserved.
func (b *Budget[C]) EverFits(n int64) bool { return n <= b.cfg.Bytes-b.cfg.Bytes/keptPart }

func (b *Budget[C]) add(h *Holder[C], n int64) {
	h.bytes += n
	b.origins[h.origin].bytes += n
	b.usage.Bytes += n
}

// Receive notes that a caller has sent n bytes of a header, and reserves what they become when they
// are decoded.
func (b *Budget[C]) Receive(h *Holder[C], n int, now time.Time) (ok bool, shed []*Holder[C]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait(h, WaitingForCaller, now)
	b.progress(h, n, now)
	return b.reserve(h, int64(n)*HeaderCost, now)
}

// End frees what a holder has reserved: its request is handled. The process waits for the caller to
// take the answer.
func (b *Budget[C]) End(h *Holder[C], now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(h)
	b.wait(h, WaitingForCaller, now)
}

// Release frees what a holder has reserved: its request is answered.
func (b *Budget[C]) Release(h *Holder[C]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(h)
}

func (b *Budget[C]) release(h *Holder[C]) {
	if !h.removed {
		b.add(h, -h.bytes)
	}
}

// Begin sets what a holder has reserved for a new request, of which the caller has sent the header.
func (b *Budget[C]) Begin(h *Holder[C], n int64, now time.Time) (ok bool, shed []*Holder[C]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.waiting, h.left = WaitingForWork, b.cfg.Window
	b.release(h)
	return b.reserve(h, n, now)
}

// Wait notes what the process waits for on a connection from now on. Between two requests nothing is
// reserved. The time in which it waits for
// work does not count against the caller.
func (b *Budget[C]) Wait(h *Holder[C], w Waiting, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait(h, w, now)
}

func (b *Budget[C]) wait(h *Holder[C], w Waiting, now time.Time) {
	switch {
	case w == h.waiting:
		return
	case w == WaitingForRequest:
		b.release(h)
		h.deadline = now.Add(b.cfg.Window)
	case h.waiting == WaitingForRequest:
		h.deadline = now.Add(b.cfg.Window)
	case w == WaitingForWork:
		h.left = h.deadline.Sub(now)
	default:
		h.deadline = now.Add(h.left)
	}
	h.waiting = w
}

// Progress notes that a caller has sent or taken n bytes.
func (b *Budget[C]) Progress(h *Holder[C], n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.progress(h, n, now)
}

func (b *Budget[C]) progress(h *Holder[C], n int, now time.Time) {
	h.deadline = h.deadline.Add(time.Duration(n) * time.Second / time.Duration(b.cfg.MinRate))
	if latest := now.Add(b.cfg.Window); h.deadline.After(latest) {
		h.deadline = latest
	}
}

// Close removes a connection and what it has reserved.
func (b *Budget[C]) Close(h *Holder[C]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(h)
}

// Expire removes the holders whose callers have not gone on with a request in time, and returns
// them; their connections have to be closed.
func (b *Budget[C]) Expire(now time.Time) []*Holder[C] {
	b.mu.Lock()
	defer b.mu.Unlock()
	var expired []*Holder[C]
	for h := range b.holders {
		if h.waiting == WaitingForCaller && !now.Before(h.deadline) {
			expired = append(expired, h)
		}
	}
	for _, h := range expired {
		b.remove(h)
	}
	b.usage.Expired += int64(len(expired))
	return expired
}

func (b *Budget[C]) remove(h *Holder[C]) {
	if h.removed {
		return
	}
	b.add(h, -h.bytes)
	h.removed = true
	delete(b.holders, h)
	b.usage.Connections--
	o := b.origins[h.origin]
	o.connections--
	if o.connections == 0 {
		delete(b.origins, h.origin)
	}
}

// makeRoom removes holders whose callers make no progress until the bytes and connections are
// free, and returns them. It removes none if all of them hold too little. Those of the origins that
// hold most come first, and among these the ones that have waited longest.
func (b *Budget[C]) makeRoom(now time.Time, bytes int64, connections int) []*Holder[C] {
	if since := now.Sub(b.searched); since >= 0 && since < b.cfg.Patience/searchesPerPatience {
		return nil
	}
	var stalled []*Holder[C]
	var found int64
	patientUntil := now.Add(b.cfg.Window - b.cfg.Patience)
	for h := range b.holders {
		if h.waiting == WaitingForWork || h.deadline.After(patientUntil) || bytes > 0 && h.bytes == 0 {
			continue
		}
		stalled = append(stalled, h)
		found += h.bytes
	}
	if found < bytes || len(stalled) < connections {
		b.searched = now
		return nil
	}
	weights := make(map[string]origin, len(b.origins))
	for name, o := range b.origins {
		weights[name] = *o
	}
	slices.SortFunc(stalled, func(x, y *Holder[C]) int {
		wx, wy := weights[x.origin], weights[y.origin]
		return cmp.Or(cmp.Compare(wy.bytes, wx.bytes), cmp.Compare(wy.connections, wx.connections), x.deadline.Compare(y.deadline))
	})
	var freed int64
	for i, h := range stalled {
		if freed >= bytes && i >= connections {
			stalled = stalled[:i]
			break
		}
		freed += h.bytes
		b.remove(h)
	}
	b.usage.Shed += int64(len(stalled))
	return stalled
}
