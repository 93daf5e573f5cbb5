package reviewer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// This file checks a configuration, and the requests of operators, against the VMs.

// maxNames bounds the VMs that a finding names.
const maxNames = 5

func (r *Report) checkFleet(in Input) {
	if len(in.VMs) == 0 {
		r.skip("pools", "want the list of VMs, to find pools without VMs and VMs without a pool")
		r.skip("teams", "want the list of VMs, to find limits beyond them")
		if len(in.Waves) > 0 {
			r.skip("waves", "want the list of VMs, to find waves of unknown VMs")
		}
		if len(in.Evacuated) > 0 {
			r.skip("evacuations", "want the list of VMs, to find unknown availability zones")
		}
		return
	}
	r.checkPoolsOfVMs(in.Candidate, in.VMs)
	r.checkLimitsOfFleet(in.Candidate, in.VMs)
	r.checkVMsOfWaves(in.Waves, in.VMs)
	r.checkEvacuations(in.Evacuated, in.VMs)
}

func (r *Report) checkPoolsOfVMs(c *manager.Configuration, vms []orchestrator.VM) {
	count := map[string]int{}
	for _, vm := range vms {
		count[vm.Pool]++
	}
	for _, pool := range slices.Sorted(maps.Keys(count)) {
		if _, known := c.Engine.Pools[pool]; !known {
			r.warn("pools/"+pool, "want an entry for it, as %d VMs belong to it; nothing starts on them", count[pool])
		}
	}
	used := usedPools(c)
	for _, name := range slices.Sorted(maps.Keys(c.Engine.Pools)) {
		if used[name] && !c.Engine.Pools[name].Spare && count[name] == 0 {
			r.warn("pools/"+name, "want VMs in it, got none; its jobs wait until VMs of other pools move to it")
		}
	}
}

func (r *Report) checkLimitsOfFleet(c *manager.Configuration, vms []orchestrator.VM) {
	var fleet jobkeeper.Resources
	for _, vm := range vms {
		if vm.Capacity.CPUMillis <= 0 || vm.Capacity.MemoryMB <= 0 {
			r.skip("teams", "want the capacity of each VM, to find limits beyond them; VM %q has none", vm.ID)
			return
		}
		fleet = fleet.Plus(vm.Capacity)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Engine.Teams)) {
		limit := c.Engine.Teams[name].Limit
		for _, amount := range []struct {
			name      string
			got, have int64
		}{
			{"cores", limit.CPUMillis, fleet.CPUMillis},
			{"memory", limit.MemoryMB, fleet.MemoryMB},
			{"gpus", limit.GPUs, fleet.GPUs},
		} {
			if amount.got > amount.have {
				r.warn("teams/"+name+"/limit/"+amount.name, "want at most what all VMs have (%s), got a limit of %s: it never applies", total(fleet), amounts(limit))
			}
		}
	}
}

// checkWaves checks what needs no list of VMs.
func (r *Report) checkWaves(waves []orchestrator.Wave) {
	numbers := map[int]bool{}
	for _, w := range waves {
		if numbers[w.Number] {
			r.fail(wavePath(w), "want one wave with this number; the last one holds")
		}
		numbers[w.Number] = true
		if len(w.VMs) == 0 {
			r.fail(wavePath(w)+"/vms", "want VMs, got none; the wave does nothing")
		}
		named := map[string]bool{}
		for _, vm := range w.VMs {
			if named[vm] {
				r.warn(wavePath(w)+"/vms", "want each VM once, got %q again; it gets maintenance once", vm)
			}
			named[vm] = true
		}
	}
}

func (r *Report) checkVMsOfWaves(waves []orchestrator.Wave, vms []orchestrator.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	for _, w := range waves {
		var unknown []string
		for _, vm := range w.VMs {
			if !listed[vm] {
				unknown = append(unknown, vm)
			}
		}
		switch {
		case len(unknown) > 0 && len(unknown) == len(w.VMs):
			r.fail(wavePath(w)+"/vms", "want VMs of the list, got none: %s; the wave does nothing", names(unknown))
		case len(unknown) > 0:
			r.warn(wavePath(w)+"/vms", "want VMs of the list; %d of %d are not: %s; they get no maintenance", len(unknown), len(w.VMs), names(unknown))
		}
		if w.MaxUnavailable >= len(vms) {
			r.warn(wavePath(w)+"/max_unavailable", "want fewer than all %d VMs, got %d; all may be down at once", len(vms), w.MaxUnavailable)
		}
	}
}

func wavePath(w orchestrator.Wave) string { return fmt.Sprintf("waves/%d", w.Number) }

func (r *Report) checkEvacuations(evacuated []string, vms []orchestrator.VM) {
	left := map[string]bool{}
	for _, vm := range vms {
		left[vm.Zone] = true
	}
	for _, zone := range evacuated {
		if !slices.ContainsFunc(vms, func(vm orchestrator.VM) bool { return vm.Zone == zone }) {
			r.fail("evacuations/"+zone, "want an availability zone with VMs, got none; the request does nothing")
		}
		delete(left, zone)
	}
	if len(left) == 0 {
		r.fail("evacuations", "want a zone with VMs that is not evacuated, got none; nothing starts anywhere")
	}
}

// names lists names, the first maxNames of them in full.
func names(list []string) string {
	more := ""
	if n := len(list) - maxNames; n > 0 {
		list, more = list[:maxNames], fmt.Sprintf(" and %d more", n)
	}
	return strings.Join(list, ", ") + more
}

// total describes what the VMs have.
func total(r jobkeeper.Resources) string {
	return fmt.Sprintf("%g cores, %d MB, %d GPUs", float64(r.CPUMillis)/1000, r.MemoryMB, r.GPUs)
}
