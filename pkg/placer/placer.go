// Package placer chooses the target on which a request runs.
//
// Place takes two random choices among the targets that fit and uses the less
// loaded one. Targets of the own availability zone go first. The random source
// is passed in, so that a decision can be repeated. The worker's own slot count
// resolves races between entry daemons: the view here is only an estimate.
//
// A Placer does no I/O, reads no clock and is not safe for concurrent use.
package placer

import (
	"math/rand/v2"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Room is an amount of everything that a target has.
type Room struct {
	runner.Resources
	Connections int
}

// Target is one target of a pool.
type Target struct {
	ID               string
	Rack             string
	AvailabilityZone string
	Total            Room
	Usable           bool // false while it is leaving, ejected or silent
}

// Need is what one request takes. Resources that are zero are not needed.
type Need struct {
	Room
	Avoid []string // targets that refused or failed this request before
	Held  bool     // the request for which Hold keeps a target free
}

// Placement is one reservation on a target. The zero Placement reserves nothing.
type Placement struct {
	Target     string
	index      int32
	generation uint32
	need       Room
}

// Placer is the view of the targets of one pool.
type Placer struct {
	zone    string // own availability zone
	entries []entry
	room    []Room // free room of each entry, less than zero slots while it is not usable
	index   map[string]int32
	own     []int32 // targets of the own availability zone
	rest    []int32
	racks   map[string]int32
	load    []rack
	held    int32 // the target that Hold keeps free, none if there is none
}

type entry struct {
	Target
	used       Room // by this entry daemon
	others     Room // by others, from the last report
	rack       int32
	generation uint32
}

type rack struct {
	running int
	slots   int
}

const none = int32(-1)

// draws is how many random draws are tried before all targets are looked at. With
// half of the targets full, 8 draws miss two fitting ones in 4% of the calls.
const draws = 8

// rackWeight is how much the load of the rack counts beside that of the target. It
// spreads work over racks without preferring a loaded target in an idle rack.
const rackWeight = 0.5

// New returns a placer without targets for an entry daemon in the availability zone.
func New(availabilityZone string) *Placer {
	return &Placer{
		zone:  availabilityZone,
		index: map[string]int32{},
		racks: map[string]int32{},
		held:  none,
	}
}

// Put adds a target or replaces its description. Reservations on it stay.
func (p *Placer) Put(t Target) {
	i, known := p.index[t.ID]
	if !known {
		i = int32(len(p.entries))
		for j := range p.entries {
			if p.entries[j].ID == "" {
				i = int32(j)
				break
			}
		}
		if int(i) == len(p.entries) {
			p.entries = append(p.entries, entry{})
			p.room = append(p.room, Room{})
		}
		p.index[t.ID] = i
	}
	p.entries[i].Target = t
	p.rebuild()
}

// Remove forgets a target; its reservations end without effect.
func (p *Placer) Remove(id string) {
	i, ok := p.index[id]
	if !ok {
		return
	}
	delete(p.index, id)
	p.entries[i] = entry{generation: p.entries[i].generation + 1}
	if p.held == i {
		p.held = none
	}
	p.rebuild()
}

// SetUsable states whether a target may receive new work.
func (p *Placer) SetUsable(id string, usable bool) {
	if i, ok := p.index[id]; ok {
		p.entries[i].Usable = usable
		p.refresh(i)
	}
}

// Report takes a worker's report of everything that runs on it. What exceeds the own
// reservations is taken as the work of other entry daemons until the next report.
func (p *Placer) Report(id string, used Room) {
	i, ok := p.index[id]
	if !ok {
		return
	}
	e := &p.entries[i]
	r := &p.load[e.rack]
	r.running -= e.others.Slots
	e.others = Room{
		Resources: runner.Resources{
			Slots:        max(used.Slots-e.used.Slots, 0),
			CPUMillis:    max(used.CPUMillis-e.used.CPUMillis, 0),
			MemoryMB:     max(used.MemoryMB-e.used.MemoryMB, 0),
			Accelerators: max(used.Accelerators-e.used.Accelerators, 0),
		},
		Connections: max(used.Connections-e.used.Connections, 0),
	}
	r.running += e.others.Slots
	p.refresh(i)
}

// Place reserves room for a request; false when no usable target fits.
func (p *Placer) Place(rng *rand.Rand, need *Need) (Placement, bool) {
	i := p.choose(rng, p.own, need)
	if i == none {
		i = p.choose(rng, p.rest, need)
	}
	if i == none {
		return Placement{}, false
	}
	if need.Held && i == p.held {
		p.held = none
	}
	return p.reserve(i, need), true
}

// Fits tells whether Place would find a target.
func (p *Placer) Fits(need *Need) bool {
	for _, targets := range [2][]int32{p.own, p.rest} {
		for _, i := range targets {
			if p.fits(i, need) {
				return true
			}
		}
	}
	return false
}

// FitsWithout tells whether a request would fit on the target of a reservation if that
// reservation ended. It is false on targets that are not usable.
func (p *Placer) FitsWithout(need *Need, r Placement) bool {
	if !p.current(r) || !p.entries[r.index].Usable || r.index == p.held && !need.Held {
		return false
	}
	for _, id := range need.Avoid {
		if id == r.Target {
			return false
		}
	}
	e := &p.entries[r.index]
	e.reserve(&r.need, -1)
	room := e.free()
	e.reserve(&r.need, 1)
	return within(&need.Room, &room)
}

// Reserve reserves room on one target, also while that is not usable: a checkpointed
// task can continue only there. Without room or on the held target it returns false.
func (p *Placer) Reserve(target string, need *Need) (Placement, bool) {
	i, ok := p.index[target]
	if !ok || i == p.held {
		return Placement{}, false
	}
	e := &p.entries[i]
	room := e.free()
	if !within(&need.Room, &room) {
		return Placement{}, false
	}
	return p.reserve(i, need), true
}

func (p *Placer) reserve(i int32, need *Need) Placement {
	e := &p.entries[i]
	e.reserve(&need.Room, 1)
	p.load[e.rack].running += need.Slots
	p.refresh(i)
	return Placement{
		Target:     e.ID,
		index:      i,
		generation: e.generation,
		need:       need.Room,
	}
}

// current tells whether a reservation is on a target that was not removed since.
func (p *Placer) current(r Placement) bool {
	return r.Target != "" && int(r.index) < len(p.entries) && p.entries[r.index].generation == r.generation
}

// Release ends a reservation. It has no effect after the target was removed.
func (p *Placer) Release(r Placement) {
	if !p.current(r) {
		return
	}
	e := &p.entries[r.index]
	e.reserve(&r.need, -1)
	p.load[e.rack].running -= r.need.Slots
	p.refresh(r.index)
}

// Hold keeps one target free of new work until a request with Need.Held is placed
// on it or Unhold is called, so that a request that needs most of a target finds
// room. It returns the target, and false when no usable target is large enough. Peers
// should be told to leave the target alone: their work would fill it again.
func (p *Placer) Hold(need *Need) (target string, ok bool) {
	if p.held != none {
		return p.entries[p.held].ID, true
	}
	best := none
	for _, targets := range [2][]int32{p.own, p.rest} {
		for _, i := range targets {
			e := &p.entries[i]
			if e.Usable && within(&need.Room, &e.Total) && (best == none || e.busy() < p.entries[best].busy()) {
				best = i
			}
		}
	}
	if best == none {
		return "", false
	}
	p.held = best
	return p.entries[best].ID, true
}

// Unhold lets the held target receive any work again.
func (p *Placer) Unhold() { p.held = none }

// Capacity returns the resources of all usable targets together and the largest
// amount of each that one target has.
func (p *Placer) Capacity() (pool, largest runner.Resources) {
	for i := range p.entries {
		e := &p.entries[i]
		if !e.Usable {
			continue
		}
		pool.Slots += e.Total.Slots
		pool.CPUMillis += e.Total.CPUMillis
		pool.MemoryMB += e.Total.MemoryMB
		pool.Accelerators += e.Total.Accelerators
		largest.Slots = max(largest.Slots, e.Total.Slots)
		largest.CPUMillis = max(largest.CPUMillis, e.Total.CPUMillis)
		largest.MemoryMB = max(largest.MemoryMB, e.Total.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, e.Total.Accelerators)
	}
	return pool, largest
}
