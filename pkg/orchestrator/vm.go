package orchestrator

import (
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "upkeep"
	VMDown        VMState = "down"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID       string
	Pool     string
	State    VMState
	Zone     string
	Target   string // ID of the target that runs on it; empty if there is none
	Rack     string
	Labels   []string
	Capacity jobkeeper.Resources
}

// vmOrderTimeout is how long a VM and its target get no new orders after an order for the
// VM whose outcome is unknown.
const vmOrderTimeout = 4 * time.Second

// vmOrderMaxPending is longer than an order can take to be answered.
const vmOrderMaxPending = time.Minute

// SetVMs replaces the list of VMs. askedAt is when it was requested; a list that was
// requested before the present one is ignored. The list names the target on each VM, so
// the runs of targets that it no longer names have ended.
func (e *Engine) SetVMs(vms []VM, askedAt, now time.Duration) {
	if askedAt < e.fleet.listedAt {
		return
	}
	e.fleet.listedAt = askedAt
	before := e.fleet.vms
	e.fleet.vms = map[string]VM{}
	for _, vm := range vms {
		if old, ok := before[vm.ID]; ok && (old.State != vm.State || old.Target != vm.Target) {
			e.cfg.Logger.Info("VM changed", "vm", vm.ID, "pool", vm.Pool, "state_before", old.State, "state", vm.State, "target_before", old.Target, "target", vm.Target)
		}
		e.fleet.vms[vm.ID] = vm
		if vm.Target != "" {
			e.SetTargetVM(vm.Target, vm.ID)
		}
	}
	e.endTerminated(askedAt, now)
	e.indexVMs()
	for id, at := range e.fleet.pendingOrders {
		vm, ok := e.fleet.vms[id]
		if !ok || vm.State == VMUp && askedAt > at {
			e.fleet.clearOrder(id)
			if t := e.targets[vm.Target]; t != nil {
				// An order that was carried out before, without an answer, has left it alone.
				t.removing = false
				t.vmOrdered = false
			}
		}
	}
}

// endTerminated ends the runs on targets that no longer run on their VMs. A list that was
// requested before a target registered or last answered proves nothing about it: reading the
// list of a large fleet takes several calls.
func (e *Engine) endTerminated(askedAt, now time.Duration) {
	live := e.fleet.liveTargets()
	for id, l := range e.lapses {
		if askedAt > l.at && !e.otherLifeSeen(&l) {
			suspected, _ := e.suspectCrash(l.target)
			e.settleLapse(id, suspected && !live[id])
		}
	}
	for id, t := range e.targets {
		if t.VM == "" || live[id] {
			t.terminated = false
			continue
		}
		if t.firstSeenAt > askedAt || t.answeredAt > askedAt {
			continue
		}
		if !t.terminated {
			t.terminated = true
			e.cfg.Logger.Info("target no longer runs on its VM", "target", id, "pool", t.Pool, "vm", t.VM, "vm_state", e.fleet.vms[t.VM].State, "running", len(t.attempts),
				"list_age_ms", (now - askedAt).Milliseconds(), "last_answer_ms", (now - t.answeredAt).Milliseconds(), "registered_ms", (now - t.firstSeenAt).Milliseconds())
		}
		lost := e.runsFromBefore(t, askedAt)
		if suspected, certain := e.suspectCrash(t); suspected {
			e.recordCrash(t, lost, certain, now)
		}
		e.endRuns(t, lost, now, "VM ended the target")
	}
}

// runsFromBefore returns the runs of a target that it had when a list of VMs was requested, which
// shows that it did not run on its VM. Unless the VM was moved or maintained, the target may have
// started again under its ID since, and begun those whose start was answered later or is on its
// way.
func (e *Engine) runsFromBefore(t *target, askedAt time.Duration) []*attempt {
	runs := t.sortedAttempts()
	if state := e.fleet.vms[t.VM].State; state == VMMoving || state == VMMaintenance {
		return runs
	}
	return slices.DeleteFunc(runs, func(a *attempt) bool {
		return a.phase == phaseOrdered || a.confirmedAt > askedAt
	})
}

// liveTargets returns the targets that run on a VM according to the list of VMs.
func (f *fleet) liveTargets() map[string]bool {
	live := map[string]bool{}
	for _, vm := range f.vms {
		if vm.Target != "" {
			live[vm.Target] = true
		}
	}
	return live
}

// targetOn returns the registered target on a VM, or nil if there is none or an order that
// ends it was given.
func (e *Engine) targetOn(vm string) *target {
	t := e.byVM[vm]
	if t == nil || t.removing || !t.registered {
		return nil
	}
	return t
}

// indexVMs rebuilds the index of targets by VM.
func (e *Engine) indexVMs() {
	clear(e.byVM)
	for _, t := range e.targets {
		if t.registered && !t.terminated && t.VM != "" {
			e.byVM[t.VM] = t
		}
	}
}

// evacuationPatience is how long a VM that could be maintained waits for room elsewhere for its
// long-running tasks: longer than a VM takes to move.
const evacuationPatience = 3 * time.Second

const (
	// evacuationLimit is how long a VM may take to be emptied. After it, its target is opened
	// again for evacuationPause: two VMs that are emptied can wait for each other, because the
	// tasks of one have room only on the other.
	evacuationLimit = 8 * time.Second
	evacuationPause = 4 * time.Second
)

// evacuate closes a target for new work and stops its long-running tasks as far as their
// disruption budgets and the room elsewhere allow. If canOrder is true, so that its VM could be
// maintained as soon as it is empty, it does without room elsewhere after evacuationPatience. It
// reports whether nothing runs there any more. Room that tasks are about to free is enough then.
func (e *Engine) evacuate(t *target, now time.Duration, reason string, canOrder bool) bool {
	if !t.evacuating {
		t.evacuatingSince = now
	}
	if !t.evacuating || !canOrder {
		t.waitsForRoomSince = now
	}
	t.evacuating = true
	for _, a := range t.sortedAttempts() {
		if a.phase == phaseStopping {
			continue
		}
		if !a.task.step.step.LongRunning {
			continue
		}
		if !e.mayInterrupt(a, now) {
			e.prepareRoom(a, now)
			continue
		}
		if e.roomElsewhere(a, now) || canOrder && e.roomSoon(a, now) || now-t.waitsForRoomSince > evacuationPatience {
			e.stop(a, now, reason)
			continue
		}
		e.pool(e.poolOf(a.task.step.job)).addDisplaced(a.task.step.step)
	}
	// Until its present life has been listed, it may have runs that this owner does not know.
	return t.listed && len(t.otherLives) == 0 && len(t.attempts) == 0
}

// prepareRoom asks for a VM for a long-running task whose turn to leave its VM comes next, so that
// it does not wait for one then.
func (e *Engine) prepareRoom(a *attempt, now time.Duration) {
	p, step := e.pool(e.poolOf(a.task.step.job)), a.task.step.step
	for _, d := range p.displaced {
		if d.step == step && d.tasks >= step.MaxUnavailable {
			return
		}
	}
	if !e.roomElsewhere(a, now) {
		p.addDisplaced(step)
	}
}

// addDisplaced records that a task of the step has to leave its VM, now or next, and fits on no
// other target.
func (p *pool) addDisplaced(step *jobkeeper.Step) {
	for i := range p.displaced {
		if p.displaced[i].step == step {
			p.displaced[i].tasks++
			return
		}
	}
	p.displaced = append(p.displaced, unplacedTasks{
		step:  step,
		tasks: 1,
	})
}

// mayInterrupt reports whether the disruption budget of its step allows stopping a run now.
func (e *Engine) mayInterrupt(a *attempt, now time.Duration) bool {
	s := a.task.step
	if !s.step.HasMaxUnavailable {
		return true
	}
	unavailable := s.fresh()
	for _, t := range s.tasks {
		if t != a.task && !t.atFullCapacity(now) {
			unavailable++
		}
	}
	return unavailable < s.step.MaxUnavailable
}

// roomElsewhere reports whether the task of a run could start on another target now.
func (e *Engine) roomElsewhere(a *attempt, now time.Duration) bool {
	return e.roomBeside(a, now, func(*target) jobkeeper.Resources {
		return jobkeeper.Resources{}
	})
}

// roomSoon reports whether the task of a run could start on another target as soon as tasks that
// end have ended there: long-running tasks come before all others that wait.
func (e *Engine) roomSoon(a *attempt, now time.Duration) bool {
	return e.roomBeside(a, now, func(t *target) jobkeeper.Resources {
		var ending jobkeeper.Resources
		for _, other := range t.attempts {
			if step := other.task.step.step; !step.LongRunning {
				ending = ending.Plus(step.Reserved())
			}
		}
		return ending
	})
}

// roomBeside reports whether the task of a run could start on another target if that had freed the
// given amounts. Targets without room are passed over before they are looked at closely, because
// this is asked for many runs in each round of a wave.
func (e *Engine) roomBeside(a *attempt, now time.Duration, freed func(t *target) jobkeeper.Resources) bool {
	s := a.task.step
	request := packer.Request{
		Step: s.step,
	}
	for _, t := range e.pool(e.poolOf(s.job)).targets {
		used := t.used.Minus(freed(t))
		if t == a.target || !s.step.Reserved().FitsIn(t.Capacity.Minus(used)) || !e.approved(s, t) {
			continue
		}
		v := e.viewOf(t, now)
		v.Used = used
		v.SameStep = s.runsOn(t)
		if packer.Eligible(request, &v) {
			return true
		}
	}
	return false
}

// runsOn returns the number of runs of the step on a target.
func (s *stepState) runsOn(t *target) int {
	n := 0
	for _, a := range t.attempts {
		if a.task.step == s {
			n++
		}
	}
	return n
}

// vmOrder issues an order for a VM, which ends the target on it.
func (e *Engine) vmOrder(o Order, now time.Duration) {
	o.Fence = e.cfg.Fence
	// A list that is requested before the order is answered may show the VM as it was.
	e.fleet.pendingOrders[o.VM] = now + vmOrderMaxPending
	if o.Kind == KindMove {
		e.fleet.destinations[o.VM] = o.Pool
	}
	if t := e.targetOn(o.VM); t != nil {
		t.removing = true
		t.vmOrdered = true
		o.Target = t.Endpoint
		o.incarnation = t.incarnation
	}
	e.orders = append(e.orders, o)
}

// handleVMAnswer processes the answer to a move or maintenance order.
func (e *Engine) handleVMAnswer(answer Answer, now time.Duration) {
	o := answer.Order
	e.cfg.Logger.Info("VM order answered", "kind", o.Kind, "vm", o.VM, "pool", o.Pool, "wave", o.Wave, "target", o.Target.ID, "outcome", answer.Outcome, "error", answer.Err)
	t := e.targets[o.Target.ID]
	switch answer.Outcome {
	case OutcomeOK:
		e.fleet.pendingOrders[o.VM] = now
		if t != nil && t.incarnation == o.incarnation {
			t.terminated = true
			e.endAllRuns(t, now, string(o.Kind))
		}
		if o.Kind == KindMaintenance {
			e.stats.Upkeeps++
			e.fleet.recordMaintained(o.Wave, o.VM)
			return
		}
		e.stats.Moves++
	case OutcomeUnknown:
		// The order may still be carried out, so the VM and its target stay closed for a while.
		e.fleet.pendingOrders[o.VM] = now + vmOrderTimeout
		e.fleet.retryAt[o.VM] = now + vmOrderTimeout
		if t != nil {
			t.removing = false
			t.closedUntil = now + vmOrderTimeout
		}
	default:
		e.fleet.retryAt[o.VM] = now + time.Second
		e.fleet.clearOrder(o.VM)
		if t != nil {
			t.removing = false
			t.vmOrdered = false
		}
	}
}
