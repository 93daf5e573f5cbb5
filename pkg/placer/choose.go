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
	t := &p.targets[i]
	r := p.rackLoads[t.rack]
	return t.utilisation() + rackWeight*fraction(int64(r.running), int64(r.slots))
}

// utilisation returns the largest used fraction of the target over all its resources.
func (t *targetState) utilisation() float64 {
	b := fraction(int64(t.used.Slots+t.others.Slots), int64(t.Total.Slots))
	b = max(b, fraction(t.used.CPUMillis+t.others.CPUMillis, t.Total.CPUMillis))
	b = max(b, fraction(t.used.MemoryMB+t.others.MemoryMB, t.Total.MemoryMB))
	b = max(b, fraction(int64(t.used.Accelerators+t.others.Accelerators), int64(t.Total.Accelerators)))
	return max(b, fraction(int64(t.used.Connections+t.others.Connections), int64(t.Total.Connections)))
}

func fraction(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

func (p *Placer) fits(i int32, need *Need) bool {
	if !within(&need.Room, &p.free[i]) || i == p.held && !need.MayUseHeld {
		return false
	}
	for _, id := range need.Avoid {
		if id == p.targets[i].ID {
			return false
		}
	}
	return true
}

// updateFree computes the unused resources of a target. They have a slice of their own
// because Place reads them for many targets and the other state for few.
func (p *Placer) updateFree(i int32) {
	t := &p.targets[i]
	r := &p.free[i]
	*r = t.free()
	if !t.Usable {
		r.Slots = -1
	}
}

// free returns the unused resources of the target, whether it is usable or not.
func (t *targetState) free() Room {
	return Room{
		Resources: runner.Resources{
			Slots:        t.Total.Slots - t.used.Slots - t.others.Slots,
			CPUMillis:    t.Total.CPUMillis - t.used.CPUMillis - t.others.CPUMillis,
			MemoryMB:     t.Total.MemoryMB - t.used.MemoryMB - t.others.MemoryMB,
			Accelerators: t.Total.Accelerators - t.used.Accelerators - t.others.Accelerators,
		},
		Connections: t.Total.Connections - t.used.Connections - t.others.Connections,
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
func (t *targetState) reserve(need *Room, sign int) {
	t.used.Slots += sign * need.Slots
	t.used.Connections += sign * need.Connections
	t.used.CPUMillis += int64(sign) * need.CPUMillis
	t.used.MemoryMB += int64(sign) * need.MemoryMB
	t.used.Accelerators += sign * need.Accelerators
}

// rebuild computes the lists of targets by availability zone and the load of the racks.
func (p *Placer) rebuild() {
	p.sameZone = p.sameZone[:0]
	p.otherZones = p.otherZones[:0]
	p.rackLoads = p.rackLoads[:0]
	clear(p.rackIndex)
	for i := range p.targets {
		t := &p.targets[i]
		p.updateFree(int32(i))
		if t.ID == "" {
			continue
		}
		at, known := p.rackIndex[t.Rack]
		if !known {
			at = int32(len(p.rackLoads))
			p.rackIndex[t.Rack] = at
			p.rackLoads = append(p.rackLoads, rackLoad{})
		}
		t.rack = at
		p.rackLoads[at].slots += t.Total.Slots
		p.rackLoads[at].running += t.used.Slots + t.others.Slots
		if t.AvailabilityZone == p.ownZone {
			p.sameZone = append(p.sameZone, int32(i))
		} else {
			p.otherZones = append(p.otherZones, int32(i))
		}
	}
}
