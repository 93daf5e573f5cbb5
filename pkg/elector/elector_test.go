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

// cuttable is a store that a daemon can be cut off from.
type cuttable struct {
	*storer.Memory
	cut atomic.Bool
}

func (c *cuttable) Renew(ctx context.Context, id storer.LeaseID) error {
	if c.cut.Load() {
		<-ctx.Done()
		return storer.ErrUnavailable
	}
	return c.Memory.Renew(ctx, id)
}

func (c *cuttable) Revoke(ctx context.Context, id storer.LeaseID) error {
	if c.cut.Load() {
		return storer.ErrUnavailable
	}
	return c.Memory.Revoke(ctx, id)
}

func (c *cuttable) Scan(ctx context.Context, prefix string) (storer.Listing, error) {
	if c.cut.Load() {
		return storer.Listing{}, storer.ErrUnavailable
	}
	return c.Memory.Scan(ctx, prefix)
}

// contest runs electors and notes who leads when.
type contest struct {
	mu      sync.Mutex
	began   time.Time
	leading map[string]elector.Term
	fences  []storer.Version
	clashes int
	running sync.WaitGroup
}

func newContest() *contest {
	return &contest{
		began:   time.Now(),
		leading: map[string]elector.Term{},
	}
}

func (c *contest) clock() time.Duration { return time.Since(c.began) + time.Hour }

func (c *contest) enter(ctx context.Context, t *testing.T, name string, store storer.TransactionalStore, handicap time.Duration) {
	e := elector.New(elector.Config{
		Store:       store,
		Logger:      hclog.NewNullLogger(),
		Key:         "owner",
		Name:        name,
		TTL:         ttl,
		Clock:       c.clock,
		Handicap:    handicap,
		CallTimeout: 500 * time.Millisecond,
	})
	c.running.Go(func() {
		if err := e.Run(ctx, func(ctx context.Context, term elector.Term) { c.lead(ctx, name, term) }); err != nil {
			t.Error(err)
		}
	})
}

func (c *contest) lead(ctx context.Context, name string, term elector.Term) {
	c.mu.Lock()
	for _, other := range c.leading {
		if c.clock() < other.ValidUntil() {
			c.clashes++
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

// leader returns the only daemon whose right holds, or "".
func (c *contest) leader() string {
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
		c := newContest()
		ctx, stopAll := context.WithCancel(t.Context())
		first, stopFirst := context.WithCancel(ctx)
		c.enter(first, t, "a", store, 0)
		time.Sleep(200 * time.Millisecond)
		b := &cuttable{
			Memory: store,
		}
		c.enter(ctx, t, "b", b, 0)
		c.enter(ctx, t, "c", store, 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		if got := c.leader(); got != "a" {
			t.Errorf("leader is %q, want a", got)
		}
		stopFirst()
		time.Sleep(400 * time.Millisecond)
		if got := c.leader(); got != "b" {
			t.Errorf("leader is %q 400 ms after a stop in order, want b, which has no handicap", got)
		}
		b.cut.Store(true)
		time.Sleep(ttl)
		if got := c.leader(); got == "b" {
			t.Error("b leads after its lease without contact to the store")
		}
		time.Sleep(time.Second)
		if got := c.leader(); got != "c" {
			t.Errorf("leader is %q after b was cut off, want c", got)
		}
		stopAll()
		c.running.Wait()
		if c.clashes > 0 {
			t.Errorf("%d terms began before the one before had ended", c.clashes)
		}
		for i := 1; i < len(c.fences); i++ {
			if c.fences[i] <= c.fences[i-1] {
				t.Errorf("fences %v do not rise", c.fences)
			}
		}
	})
}

func TestLeaderThatGivesUpMakesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory()
		c := newContest()
		ctx, stop := context.WithCancel(t.Context())
		e := elector.New(elector.Config{
			Store:       store,
			Logger:      hclog.NewNullLogger(),
			Key:         "owner",
			Name:        "quitter",
			TTL:         ttl,
			Clock:       c.clock,
			CallTimeout: 500 * time.Millisecond,
		})
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
