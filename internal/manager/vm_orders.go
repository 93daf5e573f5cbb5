package manager

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// vmOrdersRefresh separates two writes of the record without new orders, which bring the ages
	// of the orders up to date and remove old ones.
	vmOrdersRefresh = 500 * time.Millisecond
	// vmOrdersAttempts is how often the record is written before its new orders are given up.
	vmOrdersAttempts = 2
)

// recordedVMOrder is an entry of the record of recent orders for VMs.
type recordedVMOrder struct {
	VM    string `cbor:"vm"`
	Pool  string `cbor:"pool,omitempty"`   // destination of a move
	AgeMS int64  `cbor:"age_ms,omitempty"` // time since the order ended, at the write
}

// recentVMOrder is an order for a VM that was given lately or is being given.
type recentVMOrder struct {
	pool  string
	open  int           // orders that have not ended
	until time.Duration // the VM stays in the record until then
}

// vmOrderLog holds the orders for VMs that wait to be recorded and those that were given lately.
// It is safe for concurrent use.
type vmOrderLog struct {
	delay  time.Duration // how long a VM stays in the record after the end of an order
	queued chan struct{} // has an element if orders wait

	mu      sync.Mutex
	waiting []orchestrator.Order
	entries map[string]recentVMOrder // by VM
}

func newVMOrderLog(delay time.Duration) *vmOrderLog {
	return &vmOrderLog{
		delay:   delay,
		queued:  make(chan struct{}, 1),
		entries: map[string]recentVMOrder{},
	}
}

// inherit adds orders of the earlier owner, which lost the ownership before now.
func (l *vmOrderLog) inherit(orders []recordedVMOrder, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range orders {
		l.entries[o.VM] = recentVMOrder{
			pool:  o.Pool,
			until: now + l.delay - time.Duration(o.AgeMS)*time.Millisecond,
		}
	}
}

// recent describes the recent orders to the engine.
func (l *vmOrderLog) recent() []orchestrator.RecentVMOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orders []orchestrator.RecentVMOrder
	for _, vm := range slices.Sorted(maps.Keys(l.entries)) {
		orders = append(orders, orchestrator.RecentVMOrder{
			VM:    vm,
			Pool:  l.entries[vm].pool,
			Until: l.entries[vm].until,
		})
	}
	return orders
}

// enqueue adds an order that is sent once it is recorded.
func (l *vmOrderLog) enqueue(order orchestrator.Order) {
	l.mu.Lock()
	l.waiting = append(l.waiting, order)
	l.mu.Unlock()
	select {
	case l.queued <- struct{}{}:
	default:
	}
}

// next removes VMs whose last order ended long ago, adds those of the orders that wait, and
// returns these orders and the record.
func (l *vmOrderLog) next(now time.Duration) (orders []orchestrator.Order, record []recordedVMOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	orders, l.waiting = l.waiting, nil
	maps.DeleteFunc(l.entries, func(_ string, entry recentVMOrder) bool { return entry.open == 0 && now >= entry.until })
	for _, o := range orders {
		entry := l.entries[o.VM]
		entry.pool = o.Pool
		entry.open++
		l.entries[o.VM] = entry
	}
	for _, vm := range slices.Sorted(maps.Keys(l.entries)) {
		entry := l.entries[vm]
		recorded := recordedVMOrder{
			VM:   vm,
			Pool: entry.pool,
		}
		if entry.open == 0 {
			recorded.AgeMS = (l.delay - (entry.until - now)).Milliseconds()
		}
		record = append(record, recorded)
	}
	return orders, record
}

// ended notes that no order returned by next for the VM is sent after now, unless there is
// another one.
func (l *vmOrderLog) ended(vm string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[vm]
	entry.open--
	entry.until = now + l.delay
	l.entries[vm] = entry
}

// readVMOrders reads for which VMs the earlier owner may have given its last orders. Without a
// readable record, or if the last report of the cell is of an owner that writes none, vmOrdersKnown
// stays false: it may have ordered any VM.
func (o *owner) readVMOrders(ctx context.Context) error {
	items, err := o.scan(ctx, vmOrdersKey(o.cell))
	if err != nil {
		return err
	}
	for _, item := range items {
		if item.Key != vmOrdersKey(o.cell) {
			continue // of a cell whose name begins alike
		}
		o.locked(func() { o.versions[item.Key] = item.Version })
		var record []recordedVMOrder
		if err := cbor.Unmarshal(item.Value, &record); err != nil {
			o.logger.Error("recent orders for VMs not readable, ordering none for the whole delay", "key", item.Key, "error", err)
			return nil
		}
		o.vmOrders.inherit(record, o.term.AcquiredAt)
		if o.vmOrdersKnown, err = o.vmOrdersWereRecorded(ctx); err != nil {
			return err
		}
	}
	return nil
}

// vmOrdersWereRecorded reports whether the owner of the last report of the cell recorded its orders
// for VMs. While releases are mixed, an owner may follow one that did not touch an older record.
func (o *owner) vmOrdersWereRecorded(ctx context.Context) (bool, error) {
	items, err := o.scan(ctx, reportKey(o.cell))
	if err != nil {
		return false, err
	}
	for _, item := range items {
		var report cellReport
		if item.Key == reportKey(o.cell) && cbor.Unmarshal(item.Value, &report) == nil {
			return report.RecordsVMOrders, nil
		}
	}
	o.logger.Info("no report tells whether orders for VMs were recorded, ordering none for the whole delay", "key", reportKey(o.cell))
	return false, nil
}

// recordVMOrders sends the orders for VMs until ctx ends. It records their VMs first, so that the
// next owner of the cell, which reads the record after it has acquired ownership, knows all VMs
// that this one may have ordered: from then on, the record can't be written here. known is false
// if the orders of the earlier owner are unknown; the record is then not written, and nothing is
// sent, until they are of no importance.
func (o *owner) recordVMOrders(ctx context.Context, known bool) {
	refresh := time.NewTicker(vmOrdersRefresh)
	defer refresh.Stop()
	var stored []byte // nil if unknown
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-o.vmOrders.queued:
		}
		orders, record := o.vmOrders.next(o.cfg.Clock())
		data, err := cbor.Marshal(record)
		if err != nil {
			o.fail(err)
			return
		}
		if !bytes.Equal(data, stored) && (known || o.cfg.Clock() >= o.term.AcquiredAt+o.vmOrders.delay) {
			if !o.writeVMOrders(ctx, data) {
				stored = nil
				o.refuseVMOrders(orders)
				continue
			}
			stored, known = data, true
		}
		if !known {
			o.refuseVMOrders(orders)
			continue
		}
		for _, order := range orders {
			o.spawn(func() { o.orderVM(ctx, order) })
		}
	}
}

// writeVMOrders writes the record and reports whether it is stored.
func (o *owner) writeVMOrders(ctx context.Context, data []byte) bool {
	for range vmOrdersAttempts {
		if !o.leaseValid() {
			break
		}
		if o.put(ctx, storer.Put{
			Key:   vmOrdersKey(o.cell),
			Value: data,
		}) {
			return true
		}
	}
	return false
}

// refuseVMOrders answers orders that could not be recorded and were not sent.
func (o *owner) refuseVMOrders(orders []orchestrator.Order) {
	for _, order := range orders {
		now := o.cfg.Clock()
		o.vmOrders.ended(order.VM, now)
		o.answer(orchestrator.Answer{
			Order:      order,
			Outcome:    orchestrator.OutcomeRefused,
			SentAt:     now,
			ReceivedAt: now,
		})
	}
}
