package orchestrator

import "time"

// RecentVMOrder names a VM for which an earlier owner may have given an order shortly before it
// lost ownership.
type RecentVMOrder struct {
	VM   string
	Pool string // destination of a move; empty for maintenance
	// Until is when this owner may order the VM.
	Until time.Duration
}

// inheritVMOrders closes the VMs of Config.RecentVMOrders to orders, and counts those that may be
// moving for the pools to which they go.
func (e *Engine) inheritVMOrders() {
	for _, o := range e.cfg.RecentVMOrders {
		e.fleet.retryAt[o.VM] = o.Until
		if o.Pool != "" {
			e.fleet.pendingOrders[o.VM] = e.cfg.AcquiredAt
			e.fleet.destinations[o.VM] = o.Pool
		}
	}
}

// mayMoveVMs reports whether this owner may order moves. If it knows for which VMs the earlier
// owner may have given orders, it moves others as soon as it knows what runs in the pools:
// targets that were not listed yet count as missing capacity.
func (e *Engine) mayMoveVMs(now time.Duration) bool {
	return now >= e.cfg.AcquiredAt+e.cfg.VMOrderDelay || e.cfg.VMOrdersKnown && !e.takingOver
}
