package manager

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// foundingSpread spreads the daemons' attempts to divide a new fleet, so that most of them
	// find it divided.
	foundingSpread = 300 * time.Millisecond
	// foundingRecount separates two counts of the registered targets, which are complete when
	// both are equal. The list of VMs is complete at once.
	foundingRecount = 200 * time.Millisecond
	// foundingRetryDelay separates attempts after a failure.
	foundingRetryDelay = 300 * time.Millisecond
	// maxFoundingTime is how long a fleet without targets is waited for.
	maxFoundingTime = 3 * time.Second
)

// awaitLayout returns the layout of the fleet. If there is none yet, it divides the fleet and
// stores the layout; the first daemon that stores one decides for all.
func (m *Manager) awaitLayout(ctx context.Context) (*partitioner.Layout, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.sharedWatch.loaded:
	}
	begun := m.cfg.Clock()
	delay := m.cfg.ElectionDelay + rand.N(foundingSpread)
	for {
		layout, changed := m.view.currentLayout()
		if layout != nil {
			return layout, nil
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case <-changed:
			timer.Stop()
			continue
		case <-timer.C:
		}
		delay = foundingRetryDelay
		if err := m.found(ctx, m.cfg.Clock()-begun > maxFoundingTime); err != nil {
			m.cfg.Logger.Warn("dividing the fleet failed, trying again", "error", err)
		}
	}
}

// errNoMembers means that no targets or VMs are known yet.
var errNoMembers = errors.New("no targets or VMs known yet")

// found divides the fleet and stores the layout, unless another daemon has done so.
func (m *Manager) found(ctx context.Context, mayBeEmpty bool) error {
	members, err := m.members(ctx)
	if err != nil {
		return err
	}
	if len(members) == 0 && !mayBeEmpty {
		return errNoMembers
	}
	layout := partitioner.Divide(m.cfg.Cells, members)
	data, err := cbor.Marshal(layout)
	if err != nil {
		return Error.Wrap(err)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := m.cfg.Store.Commit(call, storer.Transaction{
		Conditions: []storer.Condition{{
			Key: layoutKey,
		}},
		Puts: []storer.Put{{
			Key:   layoutKey,
			Value: data,
		}},
	})
	item := storer.Item{
		Key:     layoutKey,
		Value:   data,
		Version: version,
	}
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		item = conflict.Find(layoutKey)
	case err != nil:
		return err
	default:
		m.cfg.Logger.Info("layout of the fleet stored", "members", len(members), "cells", len(layout.Cells()))
	}
	m.view.mu.Lock()
	defer m.view.mu.Unlock()
	return m.view.setLayout(item)
}

// members lists the VMs or, where there is no list of VMs, the registered targets.
func (m *Manager) members(ctx context.Context) ([]partitioner.Member, error) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if m.cfg.VMs != nil {
		vms, err := m.cfg.VMs.List(call)
		if err == nil && len(vms) > 0 {
			members := make([]partitioner.Member, 0, len(vms))
			for _, vm := range vms {
				members = append(members, partitioner.Member{
					Zone: vm.Zone,
					Rack: vm.Rack,
				})
			}
			return members, nil
		}
		m.cfg.Logger.Warn("list of VMs not available, counting registered targets", "error", err)
	}
	before := -1
	for {
		var members []partitioner.Member
		if _, err := m.cfg.Store.ScanPages(call, m.cfg.Schema.TargetPrefix(), func(items []storer.Item) {
			for _, item := range items {
				r, err := readRegistration(m.cfg, item)
				if err != nil {
					continue // the owner of a cell logs it
				}
				members = append(members, partitioner.Member{
					Zone: r.Zone,
					Rack: r.Rack,
				})
			}
		}); err != nil {
			return nil, err
		}
		if len(members) == before {
			return members, nil
		}
		before = len(members)
		if !sleeper.Sleep(call, foundingRecount) {
			return nil, call.Err()
		}
	}
}
