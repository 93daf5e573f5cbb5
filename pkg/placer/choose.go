package placer

import (
	"math/rand/v2"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// choose returns the less loaded of two random targets that fit, none if none fits.
func (p *Placer) choose(rng *rand.Rand, targets []int32, need *Need) int32 {
	if len(targets) == 0 {
		return none
	}
	first := none
	for range draws {
		i := targets[rng.IntN(len(targets))]
		if i == first || !p.fits(i, need) {
			continue
		}
		if first != none {
			return p.lighter(first, i)
		}
		first = i
	}
	return p.scan(rng, targets, need)
}

// scan draws two of all targets that fit, each pair with the same probability.
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
	return p.lighter(sample[0], sample[1])
}

func (p *Placer) lighter(a, b int32) int32 {
	if p.score(b) < p.score(a) {
		return b
	}
	return a
}

func (p *Placer) score(i int32) float64 {
	e := &p.entries[i]
	r := p.load[e.rack]
	return e.busy() + rackWeight*fraction(int64(r.running), int64(r.slots))
}

// busy returns the largest used fraction of the target over all its resources.
func (e *entry) busy() float64 {
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
	if !within(&need.Room, &p.room[i]) || i == p.held && !need.Held {
		return false
	}
	for _, id := range need.Avoid {
		if id == p.entries[i].ID {
			return false
		}
	}
	return true
}

// refresh derives the free room of an entry. Place reads it for many targets, so it
// is kept apart from what is read for the chosen ones only.
func (p *Placer) refresh(i int32) {
	e := &p.entries[i]
	r := &p.room[i]
	*r = e.free()
	if !e.Usable {
		r.Slots = -1
	}
}

// free returns what neither this entry daemon nor others use, whether usable or not.
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

func within(need, room *Room) bool {
	return need.Slots <= room.Slots &&
		need.Connections <= room.Connections &&
		need.CPUMillis <= room.CPUMillis &&
		need.MemoryMB <= room.MemoryMB &&
		need.Accelerators <= room.Accelerators
}

// reserve adds the need to the own use, or subtracts it when sign is -1.
func (e *entry) reserve(need *Room, sign int) {
	e.used.Slots += sign * need.Slots
	e.used.Connections += sign * need.Connections
	e.used.CPUMillis += int64(sign) * need.CPUMillis
	e.used.MemoryMB += int64(sign) * need.MemoryMB
	e.used.Accelerators += sign * need.Accelerators
}

// rebuild derives the lists of targets and the load of the racks.
func (p *Placer) rebuild() {
	p.own = p.own[:0]
	p.rest = p.rest[:0]
	p.load = p.load[:0]
	clear(p.racks)
	for i := range p.entries {
		e := &p.entries[i]
		p.refresh(int32(i))
		if e.ID == "" {
			continue
		}
		at, known := p.racks[e.Rack]
		if !known {
			at = int32(len(p.load))
			p.racks[e.Rack] = at
			p.load = append(p.load, rack{})
		}
		e.rack = at
		p.load[at].slots += e.Total.Slots
		p.load[at].running += e.used.Slots + e.others.Slots
		if e.AvailabilityZone == p.zone {
			p.own = append(p.own, int32(i))
		} else {
			p.rest = append(p.rest, int32(i))
		}
	}
}
