// Package placer chooses the target on which a request runs.
//
// Place draws two random targets that fit and uses the less loaded one (the power of
// two choices). Targets in the entry daemon's own availability zone are preferred. The
// random source is passed in, so that decisions are reproducible. The view here is only
// an estimate: when entry daemons race for a slot, the worker's own slot count decides.
//
// A Placer does no I/O, reads no clock and is not safe for concurrent use.
package placer

import (
	"math/rand/v2"
	"slices"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Room is an amount of each resource of a target, connections included.
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
	Usable           bool // false while it is leaving, ejected or not answering
}

// Need is what one request requires. A resource of amount zero is not required.
type Need struct {
	Room
	Avoid      []string // IDs of targets that refused or failed this request before
	MayUseHeld bool     // the request for which Hold keeps a target free
}

// Reservation is an amount of resources reserved on a target. The zero Reservation reserves
// nothing.
type Reservation struct {
	Target     string
	index      int32
	generation uint32
	need       Room
}

// Placer holds what this entry daemon knows of the targets of one pool.
type Placer struct {
	ownZone    string // availability zone of this entry daemon
	targets    []targetState
	free       []Room // unused resources of each target; Slots is -1 while it is not usable
	indexByID  map[string]int32
	sameZone   []int32 // indices of the targets in ownZone
	otherZones []int32
	rackIndex  map[string]int32
	rackLoads  []rackLoad
	held       int32 // index of the target that Hold keeps free, none if there is none
}

type targetState struct {
	Target
	used       Room  // reserved by this entry daemon
	others     Room  // used by other entry daemons, from the last report
	rack       int32 // index in rackLoads
	generation uint32
}

type rackLoad struct {
	running int // slots in use
	slots   int
}

const none = int32(-1)

// maxDraws is how many random targets are tried before all targets are scanned. With half
// of the targets full, 8 draws find fewer than two that fit in 4% of the calls.
const maxDraws = 8

// rackWeight is the weight of the rack's load relative to that of the target. It spreads
// work over racks without preferring a loaded target in an idle rack.
const rackWeight = 0.5

// New returns a placer without targets for an entry daemon in the availability zone.
func New(availabilityZone string) *Placer {
	return &Placer{
		ownZone:   availabilityZone,
		indexByID: map[string]int32{},
		rackIndex: map[string]int32{},
		held:      none,
	}
}

// Put adds a target or replaces its description. Its reservations are kept.
func (p *Placer) Put(t Target) {
	i, known := p.indexByID[t.ID]
	if !known {
		i = int32(len(p.targets))
		for j := range p.targets {
			if p.targets[j].ID == "" {
				i = int32(j)
				break
			}
		}
		if int(i) == len(p.targets) {
			p.targets = append(p.targets, targetState{})
			p.free = append(p.free, Room{})
		}
		p.indexByID[t.ID] = i
	}
	p.targets[i].Target = t
	p.rebuild()
}

// Remove removes a target and its reservations; releasing these later has no effect.
func (p *Placer) Remove(id string) {
	i, ok := p.indexByID[id]
	if !ok {
		return
	}
	delete(p.indexByID, id)
	p.targets[i] = targetState{generation: p.targets[i].generation + 1}
	if p.held == i {
		p.held = none
	}
	p.rebuild()
}

// SetUsable sets whether a target may receive new work.
func (p *Placer) SetUsable(id string, usable bool) {
	if i, ok := p.indexByID[id]; ok {
		p.targets[i].Usable = usable
		p.updateFree(i)
	}
}

// RecordUsage records the total use that a worker reports. Until the next report, the use
// beyond this entry daemon's reservations is attributed to other entry daemons.
func (p *Placer) RecordUsage(id string, used Room) {
	i, ok := p.indexByID[id]
	if !ok {
		return
	}
	t := &p.targets[i]
	r := &p.rackLoads[t.rack]
	r.running -= t.others.Slots
	t.others = Room{
		Resources: runner.Resources{
			Slots:        max(used.Slots-t.used.Slots, 0),
			CPUMillis:    max(used.CPUMillis-t.used.CPUMillis, 0),
			MemoryMB:     max(used.MemoryMB-t.used.MemoryMB, 0),
			Accelerators: max(used.Accelerators-t.used.Accelerators, 0),
		},
		Connections: max(used.Connections-t.used.Connections, 0),
	}
	r.running += t.others.Slots
	p.updateFree(i)
}

// Place reserves resources for a request on a target that it chooses. It returns false
// if no usable target has enough room.
func (p *Placer) Place(rng *rand.Rand, need *Need) (Reservation, bool) {
	i := p.choose(rng, p.sameZone, need)
	if i == none {
		i = p.choose(rng, p.otherZones, need)
	}
	if i == none {
		return Reservation{}, false
	}
	if need.MayUseHeld && i == p.held {
		p.held = none
	}
	return p.reserve(i, need), true
}

// Fits reports whether Place would find a target.
func (p *Placer) Fits(need *Need) bool {
	for _, targets := range [2][]int32{p.sameZone, p.otherZones} {
		for _, i := range targets {
			if p.fits(i, need) {
				return true
			}
		}
	}
	return false
}

// FitsWithout reports whether a request would fit on a target if the given reservations there
// ended. It returns false for a target that is not usable, and for reservations on several
// targets.
func (p *Placer) FitsWithout(need *Need, ended ...Reservation) bool {
	if len(ended) == 0 {
		return false
	}
	first := ended[0]
	for _, r := range ended {
		if !p.current(r) || r.index != first.index {
			return false
		}
	}
	t := &p.targets[first.index]
	if !t.Usable || first.index == p.held && !need.MayUseHeld || slices.Contains(need.Avoid, first.Target) {
		return false
	}
	for _, r := range ended {
		t.reserve(&r.need, -1)
	}
	room := t.free()
	for _, r := range ended {
		t.reserve(&r.need, 1)
	}
	return within(&need.Room, &room)
}

// ReserveOn reserves resources on a given target, even if it is not usable: a checkpointed
// task can continue only there. It returns false if the target is unknown, is held or
// has too little room.
func (p *Placer) ReserveOn(target string, need *Need) (Reservation, bool) {
	i, ok := p.indexByID[target]
	if !ok || i == p.held {
		return Reservation{}, false
	}
	t := &p.targets[i]
	room := t.free()
	if !within(&need.Room, &room) {
		return Reservation{}, false
	}
	return p.reserve(i, need), true
}

func (p *Placer) reserve(i int32, need *Need) Reservation {
	t := &p.targets[i]
	t.reserve(&need.Room, 1)
	p.rackLoads[t.rack].running += need.Slots
	p.updateFree(i)
	return Reservation{
		Target:     t.ID,
		index:      i,
		generation: t.generation,
		need:       need.Room,
	}
}

// current reports whether the target of a reservation has not been removed since.
func (p *Placer) current(r Reservation) bool {
	return r.Target != "" && int(r.index) < len(p.targets) && p.targets[r.index].generation == r.generation
}

// Release ends a reservation. It has no effect after the target was removed.
func (p *Placer) Release(r Reservation) {
	if !p.current(r) {
		return
	}
	t := &p.targets[r.index]
	t.reserve(&r.need, -1)
	p.rackLoads[t.rack].running -= r.need.Slots
	p.updateFree(r.index)
}

// Hold keeps one target free of new work until a request with Need.MayUseHeld is placed
// on it or ReleaseHold is called, so that a request that needs most of a target finds
// room. It returns the ID of the target, and false if no usable target is large enough.
// The caller should tell its peers not to use the target: their work would fill it again.
func (p *Placer) Hold(need *Need) (target string, ok bool) {
	if p.held != none {
		return p.targets[p.held].ID, true
	}
	best := none
	for _, targets := range [2][]int32{p.sameZone, p.otherZones} {
		for _, i := range targets {
			t := &p.targets[i]
			if t.Usable && within(&need.Room, &t.Total) && (best == none || t.utilisation() < p.targets[best].utilisation()) {
				best = i
			}
		}
	}
	if best == none {
		return "", false
	}
	p.held = best
	return p.targets[best].ID, true
}

// ReleaseHold releases the held target, which may receive any work again.
func (p *Placer) ReleaseHold() { p.held = none }

// Capacity returns the resources of all usable targets together and the largest
// amount of each that one target has.
func (p *Placer) Capacity() (pool, largest runner.Resources) {
	for i := range p.targets {
		t := &p.targets[i]
		if !t.Usable {
			continue
		}
		pool.Slots += t.Total.Slots
		pool.CPUMillis += t.Total.CPUMillis
		pool.MemoryMB += t.Total.MemoryMB
		pool.Accelerators += t.Total.Accelerators
		largest.Slots = max(largest.Slots, t.Total.Slots)
		largest.CPUMillis = max(largest.CPUMillis, t.Total.CPUMillis)
		largest.MemoryMB = max(largest.MemoryMB, t.Total.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, t.Total.Accelerators)
	}
	return pool, largest
}
