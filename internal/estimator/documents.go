package estimator

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// commitTree commits a settings tree with n documents and returns its store and view.
func commitTree(ctx context.Context, n int) (storer.Store, *configurer.View, error) {
	c := configurer.Committer{
		Store: storer.NewMemory(),
		View:  configurer.NewView(nil),
	}
	// A change holds at most 256 documents.
	for first := 0; first < n; first += 128 {
		change := configurer.Change{
			ID:     uuid.NewString(),
			Author: "estimator",
		}
		for i := first; i < min(n, first+128); i++ {
			change.Edits = append(change.Edits, teamEdit(i))
		}
		if _, err := c.Commit(ctx, change); err != nil {
			return nil, nil, err
		}
	}
	return c.Store, c.View, nil
}

func teamEdit(i int) configurer.Edit {
	return configurer.Edit{
		Path: fmt.Sprintf("teams/team-%04d", i),
		Text: fmt.Sprintf("weight = 2\nlimit = 40\n[[keys]]\nid = \"key-%04d\"\nsha256 = \"%064d\"\n", i, i),
	}
}

// pollWithoutChange measures one poll of the relay that returns no change: building the
// answer, encoding, decoding and applying it.
func pollWithoutChange(ctx context.Context, teams int) (Point, error) {
	view, heap, err := heapKB(func() (*configurer.View, error) {
		_, v, err := commitTree(ctx, teams)
		return v, err
	})
	if err != nil {
		return Point{}, err
	}
	return poll(view, view, view.Current().Tree.Revision, heap)
}

// pollWithoutTree measures the first poll of a daemon, whose answer contains all documents.
func pollWithoutTree(ctx context.Context, teams int) (Point, error) {
	_, view, err := commitTree(ctx, teams)
	if err != nil {
		return Point{}, err
	}
	return poll(view, nil, 0, 0)
}

func poll(from, to *configurer.View, revision uint64, heap float64) (Point, error) {
	size := 0
	us, err := cpuMicros(func() error {
		data, err := cbor.Marshal(from.Since(revision, time.Now()))
		if err != nil {
			return err
		}
		size = len(data)
		var d configurer.Delta
		if err := cbor.Unmarshal(data, &d); err != nil {
			return err
		}
		if to == nil {
			return configurer.NewView(nil).Apply(d, time.Now())
		}
		return to.Apply(d, time.Now())
	})
	return Point{
		Bytes:           float64(size),
		CPUMicroseconds: us,
		HeapKB:          heap,
	}, err
}

// headRead measures one read of the head that finds no change.
func headRead(ctx context.Context, documents int) (Point, error) {
	store, view, err := commitTree(ctx, documents)
	if err != nil {
		return Point{}, err
	}
	us, err := cpuMicros(func() error { return view.Refresh(ctx, store) })
	if err != nil {
		return Point{}, err
	}
	item, err := store.Get(ctx, "config/head")
	return Point{
		Bytes:           float64(len(item.Value)),
		CPUMicroseconds: us,
	}, err
}

// ledgerUpdate measures decoding, changing and encoding the ledger of one team.
func ledgerUpdate(_ context.Context, holders int) (Point, error) {
	id := func(i int) limiter.HolderID {
		return limiter.HolderID{
			Entry:       fmt.Sprintf("entry-%04d", i),
			Incarnation: 1<<63 + uint64(i),
		}
	}
	l, heap, err := heapKB(func() (limiter.Ledger, error) {
		l, _ := limiter.Ledger{}.SetLimit(100*holders, 1)
		for i := range holders {
			l, _ = l.Claim(id(i), 30, 1)
		}
		return l, nil
	})
	if err != nil {
		return Point{}, err
	}
	data, err := l.Encode()
	if err != nil {
		return Point{}, err
	}
	sequence := uint64(2)
	us, err := cpuMicros(func() error {
		l, err := limiter.DecodeLedger(data)
		if err != nil {
			return err
		}
		sequence++
		l, _ = l.Transfer(id(0), id(holders-1), 1, sequence)
		_, err = l.Encode()
		return err
	})
	return Point{
		Bytes:           float64(len(data)),
		CPUMicroseconds: us,
		HeapKB:          heap,
	}, err
}

func fleet(vms int) (planner.Fleet, []planner.VMStatus, planner.Pools) {
	f := planner.Fleet{
		Region: "r",
		VMs:    map[string]planner.VM{},
		Waves:  map[string]planner.Wave{},
	}
	pools := planner.Pools{}
	var list []planner.VMStatus
	for i := range vms {
		id, pool := fmt.Sprintf("vm-%06d", i), fmt.Sprintf("pool-%02d", i/40)
		pools[pool] = configurer.Pool{Region: "r"}
		f.VMs[id] = planner.VM{
			Pool:             pool,
			Rack:             fmt.Sprintf("rack-%05d", i/4),
			AvailabilityZone: fmt.Sprintf("az-%d", i%4),
			State:            planner.StateServing,
			SinceMS:          1_700_000_000_000,
		}
		list = append(list, planner.VMStatus{
			ID:   id,
			Live: true,
		})
	}
	return f, list, pools
}

// fleetRead measures decoding the fleet document, which each entry daemon does every second.
func fleetRead(_ context.Context, vms int) (Point, error) {
	f, _, _ := fleet(vms)
	data, err := f.Encode()
	if err != nil {
		return Point{}, err
	}
	_, heap, err := heapKB(func() (planner.Fleet, error) { return planner.Decode("r", data) })
	if err != nil {
		return Point{}, err
	}
	us, err := cpuMicros(func() error {
		_, err := planner.Decode("r", data)
		return err
	})
	return Point{
		Bytes:           float64(len(data)),
		CPUMicroseconds: us,
		HeapKB:          heap,
	}, err
}

// listRead measures decoding the platform's VM list.
func listRead(_ context.Context, vms int) (Point, error) {
	var list []lister.VM
	for i := range vms {
		list = append(list, lister.VM{
			Name:             fmt.Sprintf("vm-%06d", i),
			AvailabilityZone: fmt.Sprintf("az-%d", i%4),
			Rack:             fmt.Sprintf("rack-%05d", i/4),
			Address:          fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			State:            lister.StateLive,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return Point{}, err
	}
	us, err := cpuMicros(func() error {
		var got []lister.VM
		return json.Unmarshal(data, &got)
	})
	return Point{
		Bytes:           float64(len(data)),
		CPUMicroseconds: us,
	}, err
}

// maintenanceStep measures one step of the maintenance lease holder that changes nothing:
// decoding the fleet document and planning.
func maintenanceStep(_ context.Context, vms int) (Point, error) {
	f, list, pools := fleet(vms)
	data, err := f.Encode()
	if err != nil {
		return Point{}, err
	}
	us, err := cpuMicros(func() error {
		f, err := planner.Decode("r", data)
		if err != nil {
			return err
		}
		planner.Plan(f, time.Now(), planner.Input{
			Pools: pools,
			VMs:   list,
		})
		return nil
	})
	return Point{
		Bytes:           float64(len(data)),
		CPUMicroseconds: us,
	}, err
}

// shardCommit measures the commit of one record to a shard that already has the given
// number of records.
func shardCommit(ctx context.Context, records int) (Point, error) {
	store := storer.NewMemory()
	now := time.Now()
	first := identityAt(now, 0)
	shard, heap, err := heapKB(func() (*journaler.Shard, error) {
		s, err := journaler.OpenShard(ctx, journaler.ShardConfig{
			Store:   store,
			Shard:   journaler.ShardOf(first),
			Owner:   "estimator",
			Limiter: &journaler.WriteLimiter{},
		})
		if err != nil {
			return nil, err
		}
		return s, s.Change(ctx, func(d *journaler.Document, _ time.Time) error {
			for i := range records {
				if err := acceptRecord(d, identityAt(now, i), now); err != nil {
					return err
				}
			}
			return nil
		})
	})
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = shard.Close(ctx) }()
	n := 0
	us, err := cpuMicros(func() error {
		n++
		// The record is an hour old and is dropped once it has ended, so the document keeps its size.
		id := identityAt(now.Add(-time.Hour), n)
		if err := shard.Change(ctx, func(d *journaler.Document, _ time.Time) error { return acceptRecord(d, id, now) }); err != nil {
			return err
		}
		return shard.Change(ctx, func(d *journaler.Document, _ time.Time) error {
			return d.Fail(id, journaler.VerdictCannotRun, now.Add(-time.Hour))
		})
	})
	if err != nil {
		return Point{}, err
	}
	item, err := store.Get(ctx, journaler.ShardKey(journaler.ShardOf(first)))
	return Point{
		Bytes:           float64(len(item.Value)),
		CPUMicroseconds: us / 2, // two commits
		HeapKB:          heap,
	}, err
}

func acceptRecord(d *journaler.Document, id uuid.UUID, now time.Time) error {
	return d.Accept(id, journaler.Request{
		Queue:      "reorder",
		Team:       "team-0001",
		Method:     "POST",
		Path:       "/plans",
		Deferrable: true,
		DeadlineMS: now.Add(time.Hour).UnixMilli(),
	}, journaler.Blob{
		Inline: make([]byte, 64),
		Size:   64,
	})
}

// identityAt returns the n-th identity (UUIDv7) of the given time.
func identityAt(at time.Time, n int) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000)
	id[8] = 0x80 // variant of RFC 9562
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	return id
}
