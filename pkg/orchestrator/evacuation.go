package orchestrator

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/packer"
)

// This file carries out the evacuation of availability zones, and lets the targets of a zone that
// was taken back, which may be cold, take load after warm ones.
//
// An evacuated zone takes no starts, and its VMs do not count as capacity, so that VMs of other
// zones replace them. Tasks that end run to their end there; long-running ones move out as their
// disruption budgets and the room elsewhere allow.

const (
	// coldPenaltyTime is the remaining time of slowness after its start at which a target counts
	// as twice as slow as a warm one.
	coldPenaltyTime = 10 * time.Second
	// maxColdSlowdown is below maxSlowdown, so that a cold target takes what has room nowhere else.
	maxColdSlowdown = 2.0
	// evacuatedParkDelay is how long a target of an evacuated zone must be idle before its VM
	// goes to a spare pool. After a shorter evacuation, it would have to be moved back at once.
	evacuatedParkDelay = 6 * time.Second
)

// ZoneRuns is the number of runs on the targets of an evacuated availability zone.
type ZoneRuns struct {
	Zone string `cbor:"1,keyasint" json:"availability_zone"`
	Runs int    `cbor:"2,keyasint,omitempty" json:"runs"`
}

// SetEvacuatedZones replaces the availability zones that are evacuated. Their targets get no
// starts from now on, including those that were ordered and not sent yet.
func (e *Engine) SetEvacuatedZones(zones map[string]bool, now time.Duration) {
	for zone, since := range e.fleet.evacuated {
		if !zones[zone] {
			delete(e.fleet.evacuated, zone)
			e.cfg.Logger.Info("availability zone taken back", "zone", zone, "after_ms", (now - since).Milliseconds())
		}
	}
	for zone := range zones {
		if _, known := e.fleet.evacuated[zone]; known {
			continue
		}
		e.fleet.evacuated[zone] = now
		targets, runs := 0, 0
		for _, t := range e.targets {
			if !t.registered || e.zoneOf(t) != zone {
				continue
			}
			targets++
			runs += len(t.attempts)
			t.cordoned = false // its VM may no longer move to another pool
		}
		e.cfg.Logger.Info("availability zone evacuated", "zone", zone, "targets", targets, "runs", runs)
	}
}

// EvacuatedZones returns the runs that are left in each evacuated zone, sorted by zone.
func (e *Engine) EvacuatedZones() []ZoneRuns {
	if len(e.fleet.evacuated) == 0 {
		return nil
	}
	runs := map[string]int{}
	for _, t := range e.targets {
		runs[e.zoneOf(t)] += len(t.attempts)
	}
	var zones []ZoneRuns
	for _, zone := range slices.Sorted(maps.Keys(e.fleet.evacuated)) {
		zones = append(zones, ZoneRuns{
			Zone: zone,
			Runs: runs[zone],
		})
	}
	return zones
}

// inEvacuatedZone reports whether the target is in an evacuated zone, by its own account or by
// the list of VMs.
func (e *Engine) inEvacuatedZone(t *target) bool {
	if len(e.fleet.evacuated) == 0 {
		return false
	}
	return e.fleet.isEvacuated(t.Zone) || e.fleet.isEvacuated(e.fleet.vms[t.VM].Zone)
}

// zoneOf returns the zone of a target, an evacuated one if its registration and the list of VMs
// differ.
func (e *Engine) zoneOf(t *target) string {
	if zone := e.fleet.vms[t.VM].Zone; e.fleet.isEvacuated(zone) {
		return zone
	}
	return t.Zone
}

func (f *fleet) isEvacuated(zone string) bool {
	_, evacuated := f.evacuated[zone]
	return evacuated
}

// wholeCellEvacuated reports whether all registered targets are in evacuated zones.
func (e *Engine) wholeCellEvacuated() bool {
	found := false
	for _, t := range e.targets {
		if !t.registered {
			continue
		}
		if !e.inEvacuatedZone(t) {
			return false
		}
		found = true
	}
	return found
}

// vacate stops long-running tasks on the targets of evacuated zones, as far as their disruption
// budgets and the room elsewhere allow. A task that has no room elsewhere stays, and its pool
// gets a VM for it.
func (e *Engine) vacate(now time.Duration) {
	// During a takeover, the tasks of unlisted targets count against the budgets, and their room
	// is not known.
	if len(e.fleet.evacuated) == 0 || e.takingOver {
		return
	}
	views := map[string][]packer.Target{}
	var leaving []*attempt
	for _, a := range e.runsToMoveOut() {
		name := e.poolOf(a.task.step.job)
		if views[name] == nil {
			views[name] = e.views(e.pool(name), now)
		}
		if a.phase != phaseStopping {
			leaving = append(leaving, a)
			continue
		}
		e.takeRoom(a, views[name])
	}
	for _, a := range leaving {
		s := a.task.step
		name := e.poolOf(s.job)
		switch {
		case a.phase != phaseRunning, !e.mayMoveOut(a, now):
		case e.takeRoom(a, views[name]):
			e.cfg.Logger.Info("long-running task leaves an evacuated availability zone", "task", a.task.id(), "run", a.run, "target", a.target.ID, "zone", e.zoneOf(a.target))
			e.stop(a, now, "availability zone evacuated")
		default:
			e.pool(name).addDisplaced(s.step)
		}
	}
}

// runsToMoveOut returns the runs of long-running tasks on the targets of evacuated zones, in a
// fixed order.
func (e *Engine) runsToMoveOut() []*attempt {
	var runs []*attempt
	for _, id := range slices.Sorted(maps.Keys(e.targets)) {
		t := e.targets[id]
		if !e.inEvacuatedZone(t) {
			continue
		}
		for _, a := range t.sortedAttempts() {
			if a.task.step.step.LongRunning {
				runs = append(runs, a)
			}
		}
	}
	return runs
}

// mayMoveOut reports whether the disruption budget allows stopping a run for an evacuation. The
// tasks of a step without a budget leave one at a time.
func (e *Engine) mayMoveOut(a *attempt, now time.Duration) bool {
	s := a.task.step
	if s.step.HasMaxUnavailable {
		return e.mayInterrupt(a, now)
	}
	return s.fresh() == 0 && !slices.ContainsFunc(s.tasks, func(t *task) bool { return t != a.task && !t.atFullCapacity(now) })
}

// takeRoom takes the room that the task of a run needs on another target from the views, and
// reports whether there is any.
func (e *Engine) takeRoom(a *attempt, views []packer.Target) bool {
	s := a.task.step
	i := packer.Choose(e.request(s, s.rack()), e.viewFor(views, s))
	if i < 0 {
		return false
	}
	place(&views[i], s.step)
	return true
}

// parkEvacuated moves idle VMs of evacuated zones to a spare pool, where they cost nothing. It
// returns the number of moves.
func (e *Engine) parkEvacuated(to string, maxMoves int, now time.Duration) int {
	if len(e.fleet.evacuated) == 0 || to == "" {
		return 0
	}
	moved := 0
	for _, id := range slices.Sorted(maps.Keys(e.moves.idleSince)) {
		t := e.targets[id]
		if moved >= maxMoves {
			break
		}
		if t == nil || !e.inEvacuatedZone(t) || e.spare(t.Pool) || t.evacuating || !t.listed || now-e.moves.idleSince[id] < evacuatedParkDelay {
			continue
		}
		if vm, listed := e.fleet.vms[t.VM]; !listed || e.targetOn(t.VM) != t || !e.orderable(vm, now) {
			continue
		}
		e.move(t.VM, to, now)
		moved++
	}
	return moved
}

// coldSlowdown returns how much slower than a warm one a target counts that remains cold until
// the given time. The longer it does, the later it takes load.
func coldSlowdown(coldUntil, now time.Duration) float64 {
	return min(maxColdSlowdown, 1+float64(max(0, coldUntil-now))/float64(coldPenaltyTime))
}
