package placer

import (
	"math/rand/v2"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// choose returns the index of the less loaded of two random targets that fit, none if
// none fits.
func (p *Placer) choose(rng *rand.Rand, targets []int32, need *Need) int32 {
	if len(targets) == 0 {
		return none
	}
	first := none
	for range maxDraws {
		i := targets[rng.IntN(len(targets))]
		if i == first || !p.fits(i, need) {
			continue
		}
		if first != none {
			return p.lessLoaded(first, i)
		}
		first = i
	}
	return p.scan(rng, targets, need)
}

// scan returns the less loaded of two targets drawn from all that fit, each pair with the
// same probability (reservoir sampling).
func (p *Placer) scan(rng *rand.Rand, targets []int32, need *Need) int32 {
	var sample [2]int32
	n := 0
	for _, i := range targets {
		if !p.fits(i, need) {
			continue
		}
		if n < len(sample) {
			sample[n] = i
		} else if at := rng.IntN(n + 1); at < len(sample) {
			sample[at] = i
		}
		n++
	}
	switch n {
	case 0:
		return none
	case 1:
		return sample[0]
	}
	return p.lessLoaded(sample[0], sample[1])
}

func (p *Placer) lessLoaded(a, b int32) int32 {
	if p.score(b) < p.score(a) {
		return b
	}
	return a
}

func (p *Placer) score(i int32) float64 {
	e := &p.entries[i]
	r := p.rackLoads[e.rack]
	return e.utilisation() + rackWeight*fraction(int64(r.running), int64(r.slots))
}

// utilisation returns the largest used fraction of the target over all its resources.
func (e *entry) utilisation() float64 {
	b := fraction(int64(e.used.Slots+e.others.Slots), int64(e.Total.Slots))
	b = max(b, fraction(e.used.CPUMillis+e.others.CPUMillis, e.Total.CPUMillis))
	b = max(b, fraction(e.used.MemoryMB+e.others.MemoryMB, e.Total.MemoryMB))
	b = max(b, fraction(int64(e.used.Accelerators+e.others.Accelerators), int64(e.Total.Accelerators)))
	return max(b, fraction(int64(e.used.Connections+e.others.Connections), int64(e.Total.Connections)))
}

func fraction(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

func (p *Placer) fits(i int32, need *Need) bool {
	if !within(&need.Room, &p.free[i]) || i == p.held && !need.Held {
		return false
	}
	for _, id := range need.Avoid {
		if id == p.entries[i].ID {
			return false
		}
	}
	return true
}

// updateFree computes the unused resources of an entry. They have a slice of their own
// because Place reads them for many targets and the entries for few.
func (p *Placer) updateFree(i int32) {
	e := &p.entries[i]
	r := &p.free[i]
	*r = e.free()
	if !e.Usable {
		r.Slots = -1
	}
}

// free returns the unused resources of the target, whether it is usable or not.
func (e *entry) free() Room {
	return Room{
		Resources: runner.Resources{
			Slots:        e.Total.Slots - e.used.Slots - e.others.Slots,
			CPUMillis:    e.Total.CPUMillis - e.used.CPUMillis - e.others.CPUMillis,
			MemoryMB:     e.Total.MemoryMB - e.used.MemoryMB - e.others.MemoryMB,
			Accelerators: e.Total.Accelerators - e.used.Accelerators - e.others.Accelerators,
		},
		Connections: e.Total.Connections - e.used.Connections - e.others.Connections,
	}
}

func within(need, free *Room) bool {
	return need.Slots <= free.Slots &&
		need.Connections <= free.Connections &&
		need.CPUMillis <= free.CPUMillis &&
		need.MemoryMB <= free.MemoryMB &&
		need.Accelerators <= free.Accelerators
}

// reserve adds the need to this entry daemon's use, or subtracts it if sign is -1.
func (e *entry) reserve(need *Room, sign int) {
	e.used.Slots += sign * need.Slots
	e.used.Connections += sign * need.Connections
	e.used.CPUMillis += int64(sign) * need.CPUMillis
	e.used.MemoryMB += int64(sign) * need.MemoryMB
	e.used.Accelerators += sign * need.Accelerators
}

// rebuild computes the lists of targets by availability zone and the load of the racks.
func (p *Placer) rebuild() {
	p.sameZone = p.sameZone[:0]
	p.otherZones = p.otherZones[:0]
	p.rackLoads = p.rackLoads[:0]
	clear(p.rackIndex)
	for i := range p.entries {
		e := &p.entries[i]
		p.updateFree(int32(i))
		if e.ID == "" {
			continue
		}
		at, known := p.rackIndex[e.Rack]
		if !known {
			at = int32(len(p.rackLoads))
			p.rackIndex[e.Rack] = at
			p.rackLoads = append(p.rackLoads, rackLoad{})
		}
		e.rack = at
		p.rackLoads[at].slots += e.Total.Slots
		p.rackLoads[at].running += e.used.Slots + e.others.Slots
		if e.AvailabilityZone == p.ownZone {
			p.sameZone = append(p.sameZone, int32(i))
		} else {
			p.otherZones = append(p.otherZones, int32(i))
		}
	}
}
