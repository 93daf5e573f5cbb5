package lister

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Memory is a Lister that keeps the VMs in memory. It reads the time from
// package time, so that it follows the virtual time of testing/synctest.
type Memory struct {
	mu         sync.Mutex
	vms        map[string]VM
	views      []view // the list after each change, oldest first
	lag        time.Duration
	operations map[string]string // operation id to VM
	onReboot   func(vm VM, operation string)
}

// view is the list from the given time on.
type view struct {
	at  time.Time
	vms []VM
}

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	VMs []VM
	// Lag is the age of the list that List returns; see SetLag.
	Lag time.Duration
	// OnReboot, if not nil, is called once per operation, without a lock held.
	OnReboot func(vm VM, operation string)
}

// NewMemory returns a Memory whose List shows the VMs of cfg at once, without the lag.
func NewMemory(cfg MemoryConfig) *Memory {
	m := &Memory{
		vms:        map[string]VM{},
		lag:        cfg.Lag,
		operations: map[string]string{},
		onReboot:   cfg.OnReboot,
	}
	for _, vm := range cfg.VMs {
		m.vms[vm.Name] = vm
	}
	m.record()
	return m
}

var _ Lister = (*Memory)(nil)

// List implements Lister.
func (m *Memory) List(ctx context.Context) ([]VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	asOf := time.Now().Add(-m.lag)
	list := m.views[0].vms
	for _, v := range m.views[1:] {
		if v.at.After(asOf) {
			break
		}
		list = v.vms
	}
	return slices.Clone(list), nil
}

// Reboot implements Lister. It uses the actual state, not the lagging list.
func (m *Memory) Reboot(ctx context.Context, vm, operation string) error {
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	if vm == "" || operation == "" {
		return Error.New("%w: VM name and operation id must not be empty", ErrInvalid)
	}
	found, first, err := m.register(vm, operation)
	if err != nil {
		return err
	}
	if first && m.onReboot != nil {
		m.onReboot(found, operation)
	}
	return nil
}

// register records a new operation. It reports false for a repeated one.
func (m *Memory) register(vm, operation string) (VM, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other, ok := m.operations[operation]; ok {
		if other != vm {
			return VM{}, false, Error.Wrap(ErrOperationReused)
		}
		return VM{}, false, nil
	}
	found, ok := m.vms[vm]
	if !ok {
		return VM{}, false, Error.Wrap(ErrUnknownVM)
	}
	m.operations[operation] = vm
	return found, true, nil
}

// Put adds or replaces a VM.
func (m *Memory) Put(vm VM) error {
	if err := vm.Validate(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[vm.Name] = vm
	m.record()
	return nil
}

// SetState changes the state of a VM and returns the VM.
func (m *Memory) SetState(name string, state State) (VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, ok := m.vms[name]
	if !ok {
		return VM{}, Error.Wrap(ErrUnknownVM)
	}
	vm.State = state
	m.vms[name] = vm
	m.record()
	return vm, nil
}

// CompleteReboot sets a VM to StateLive and records the operation as its last completed
// reboot.
func (m *Memory) CompleteReboot(name, operation string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, ok := m.vms[name]
	if !ok {
		return Error.Wrap(ErrUnknownVM)
	}
	vm.State = StateLive
	vm.LastReboot = operation
	m.vms[name] = vm
	m.record()
	return nil
}

// Remove removes a VM.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.vms[name]; !ok {
		return Error.Wrap(ErrUnknownVM)
	}
	delete(m.vms, name)
	m.record()
	return nil
}

// SetLag changes the age of the list that List returns. A longer lag does not
// bring back lists that have already been dropped.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// record appends the present state as a view and drops views that are too old for List.
func (m *Memory) record() {
	now := time.Now()
	list := slices.SortedFunc(maps.Values(m.vms), func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	for len(m.views) > 1 && !m.views[1].at.After(now.Add(-m.lag)) {
		m.views = m.views[1:]
	}
	m.views = append(m.views, view{
		at:  now,
		vms: list,
	})
}
