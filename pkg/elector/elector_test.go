package elector_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/elector"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const ttl = 1500 * time.Millisecond

// partitionableStore is a store whose connection to a daemon can be cut.
type partitionableStore struct {
	*storer.Memory
	partitioned atomic.Bool
}

func (s *partitionableStore) Renew(ctx context.Context, id storer.LeaseID) error {
	if s.partitioned.Load() {
		<-ctx.Done()
		return storer.ErrUnavailable
	}
	return s.Memory.Renew(ctx, id)
}

func (s *partitionableStore) Revoke(ctx context.Context, id storer.LeaseID) error {
	if s.partitioned.Load() {
		return storer.ErrUnavailable
	}
	return s.Memory.Revoke(ctx, id)
}

func (s *partitionableStore) GrantLease(ctx context.Context, d time.Duration) (storer.LeaseID, time.Duration, error) {
	if s.partitioned.Load() {
		return 0, 0, storer.ErrUnavailable
	}
	return s.Memory.GrantLease(ctx, d)
}

func (s *partitionableStore) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	if s.partitioned.Load() {
		return 0, storer.ErrUnavailable
	}
	return s.Memory.Commit(ctx, t)
}

func (s *partitionableStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if s.partitioned.Load() {
		return storer.Changes{}, storer.ErrUnavailable
	}
	return s.Memory.WatchPrefix(ctx, prefix, after, wait)
}

func (s *partitionableStore) ScanPages(ctx context.Context, prefix string, page func([]storer.Item)) (storer.Version, error) {
	if s.partitioned.Load() {
		return 0, storer.ErrUnavailable
	}
	return s.Memory.ScanPages(ctx, prefix, page)
}

// election runs electors and records which of them leads.
type election struct {
	mu        sync.Mutex
	startedAt time.Time
	leading   map[string]elector.Term
	fences    []storer.Version
	overlaps  int
	running   sync.WaitGroup
}

func newElection() *election {
	return &election{
		startedAt: time.Now(),
		leading:   map[string]elector.Term{},
	}
}

func (c *election) clock() time.Duration { return time.Since(c.startedAt) + time.Hour }

func (c *election) join(ctx context.Context, t *testing.T, name string, store storer.TransactionalStore, attemptDelay time.Duration) {
	owners := elector.NewOwners()
	c.running.Go(func() { follow(ctx, store, owners) })
	e := c.elector(name, store, owners, attemptDelay)
	c.running.Go(func() {
		if err := e.Run(ctx, func(ctx context.Context, term elector.Term) { c.lead(ctx, name, term) }); err != nil {
			t.Error(err)
		}
	})
}

func (c *election) elector(name string, store storer.TransactionalStore, owners *elector.Owners, attemptDelay time.Duration) *elector.Elector {
	return elector.New(elector.Config{
		Store:        store,
		Owners:       owners,
		Logger:       hclog.NewNullLogger(),
		Key:          "owner",
		Name:         name,
		TTL:          ttl,
		Clock:        c.clock,
		AttemptDelay: func() time.Duration { return attemptDelay },
		CallTimeout:  500 * time.Millisecond,
	})
}

// follow keeps owners up to date until ctx ends.
func follow(ctx context.Context, store storer.TransactionalStore, owners *elector.Owners) {
	for ctx.Err() == nil {
		listing, err := storer.Scan(ctx, store, "owner")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var events []storer.Event
		for _, item := range listing.Items {
			events = append(events, storer.Event{
				Item: item,
			})
		}
		owners.Apply(events, true)
		for revision := listing.Revision; ; {
			changes, err := store.WatchPrefix(ctx, "owner", revision, time.Second)
			if err != nil {
				break
			}
			owners.Apply(changes.Events, false)
			revision = changes.Revision
		}
	}
}

func (c *election) lead(ctx context.Context, name string, term elector.Term) {
	c.mu.Lock()
	for _, other := range c.leading {
		if c.clock() < other.ValidUntil() {
			c.overlaps++
		}
	}
	c.leading[name] = term
	c.fences = append(c.fences, term.Fence)
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leading, name)
}

// leader returns a daemon whose lease is valid, or "" if there is none.
func (c *election) leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, term := range c.leading {
		if c.clock() < term.ValidUntil() {
			return name
		}
	}
	return ""
}

func TestOneLeaderAtATimeThroughStopsAndCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory()
		c := newElection()
		ctx, stopAll := context.WithCancel(t.Context())
		first, stopFirst := context.WithCancel(ctx)
		c.join(first, t, "a", store, 0)
		time.Sleep(200 * time.Millisecond)
		b := &partitionableStore{
			Memory: store,
		}
		c.join(ctx, t, "b", b, 0)
		c.join(ctx, t, "c", store, 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		if got := c.leader(); got != "a" {
			t.Errorf("leader is %q, want a", got)
		}
		stopFirst()
		time.Sleep(400 * time.Millisecond)
		if got := c.leader(); got != "b" {
			t.Errorf("leader is %q 400 ms after an orderly shutdown, want b, which has no attempt delay", got)
		}
		b.partitioned.Store(true)
		time.Sleep(ttl)
		if got := c.leader(); got == "b" {
			t.Error("b, without contact to the store, still leads after its lease expired")
		}
		time.Sleep(time.Second)
		if got := c.leader(); got != "c" {
			t.Errorf("leader is %q after b lost contact to the store, want c", got)
		}
		stopAll()
		c.running.Wait()
		if c.overlaps > 0 {
			t.Errorf("%d terms began before the previous one ended", c.overlaps)
		}
		for i := 1; i < len(c.fences); i++ {
			if c.fences[i] <= c.fences[i-1] {
				t.Errorf("fencing tokens %v do not increase", c.fences)
			}
		}
	})
}

func TestLeaderThatReturnsReleasesOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory()
		c := newElection()
		ctx, stop := context.WithCancel(t.Context())
		owners := elector.NewOwners()
		c.running.Go(func() { follow(ctx, store, owners) })
		e := c.elector("a", store, owners, 0)
		terms := 0
		c.running.Go(func() {
			if err := e.Run(ctx, func(context.Context, elector.Term) { terms++ }); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Second)
		stop()
		c.running.Wait()
		if terms < 2 {
			t.Errorf("%d terms in a second, want more than one: each ends when its leader returns", terms)
		}
	})
}

// An elector that has just lost its store may still be told that it is the owner, or that there
// is none. It must neither lead nor call the store without a pause.
func TestElectorWithAnOldViewOfTheOwnerDoesNotLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{
			Memory: storer.NewMemory(),
		}
		if _, err := store.Memory.Commit(t.Context(), storer.Transaction{
			Puts: []storer.Put{{
				Key:   "owner",
				Value: []byte("b"),
			}},
		}); err != nil {
			t.Fatal(err)
		}
		c := newElection()
		ctx, stop := context.WithCancel(t.Context())
		owners := elector.NewOwners()
		owners.Apply(nil, true) // as before b became the owner
		e := c.elector("a", store, owners, 0)
		c.running.Go(func() {
			if err := e.Run(ctx, func(ctx context.Context, term elector.Term) { c.lead(ctx, "a", term) }); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(3 * time.Second)
		if len(c.fences) > 0 {
			t.Error("two daemons own the resource")
		}
		if n := store.commits.Load(); n < 2 || n > 20 {
			t.Errorf("%d attempts in 3 s, want several with pauses between them", n)
		}
		stop()
		c.running.Wait()
	})
}

// countingStore counts the commits.
type countingStore struct {
	*storer.Memory
	commits atomic.Int64
}

func (s *countingStore) Commit(ctx context.Context, t storer.Transaction) (storer.Version, error) {
	s.commits.Add(1)
	return s.Memory.Commit(ctx, t)
}
