package registrar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// mesh implements Peers by direct calls between registrars, by entry name.
type mesh map[string]*Registrar

func (m mesh) RequestPromise(ctx context.Context, to Member, r PromiseRequest) (PromiseAnswer, error) {
	return m[to.Entry].ServePromise(ctx, r), nil
}

func (m mesh) ConfirmMember(_ context.Context, to Member, r ConfirmRequest) (ConfirmAnswer, error) {
	return m[to.Entry].ServeConfirm(r), nil
}

// TestPromisesExtendLeaseDuringOutage guards against the loss of freshness or lease while
// all members agree that the service cannot be reached.
func TestPromisesExtendLeaseDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := &storer.FaultInjector{
			Store: storer.NewMemory(),
			Before: func(context.Context, storer.Op, string) error {
				if down.Load() {
					return storer.ErrUnavailable
				}
				return nil
			},
		}
		peers := mesh{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		for i := range 3 {
			r := New(Config{
				Store:  store,
				Peers:  peers,
				Timing: DefaultTiming(),
				Self: Member{
					Entry:       fmt.Sprint("e", i),
					Incarnation: uint64(i + 1),
				},
			})
			peers[fmt.Sprint("e", i)] = r
		}
		for _, r := range peers {
			wg.Go(func() { _ = r.Run(ctx) })
			wg.Go(func() {
				for ctx.Err() == nil {
					start := time.Now()
					_, err := store.Get(ctx, "config/head")
					r.Observe(start, err)
					if err == nil {
						r.Do(func(s *State, _ time.Time) { s.ObserveHead(start, 1) })
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		time.Sleep(20 * time.Second)
		down.Store(true)
		// Promises start once the last success of every member is 3 s old.
		stale := 0
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if !peers["e0"].Fresh() {
				stale++
			}
		}
		t.Logf("not fresh for %d ms at the start of the outage", stale*100)
		for range 200 {
			time.Sleep(time.Second)
			for name, r := range peers {
				if !r.Fresh() || !r.Lease().Valid(time.Now()) || r.Lease().Term != 1 {
					t.Fatalf("%s: fresh %t, lease %+v", name, r.Fresh(), r.Lease())
				}
			}
		}
	})
}

// TestHeartbeatWithLostAnswer guards against a lease that counts from a later attempt than
// the one that took effect.
func TestHeartbeatWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lose := 0
		store := &storer.FaultInjector{
			Store: storer.NewMemory(),
			After: func(_ context.Context, op storer.Op, _ string) error {
				if op == storer.OpCompareAndSwap && lose > 0 {
					lose--
					return storer.ErrOutcomeUnknown
				}
				return nil
			},
		}
		cfg := Config{
			Store:  store,
			Peers:  mesh{},
			Timing: DefaultTiming(),
			Self: Member{
				Entry:       "a",
				Incarnation: 1,
			},
		}
		r := New(cfg)
		start := time.Now()
		lose = 1
		if err := r.Heartbeat(t.Context()); !errors.Is(err, storer.ErrOutcomeUnknown) {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if err := r.Heartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		if want := start.Add(60 * time.Second); !r.Lease().Until.Equal(want) {
			t.Fatalf("lease until %v, want %v", r.Lease().Until, want)
		}
		time.Sleep(31 * time.Second)
		if err := r.Heartbeat(t.Context()); err != nil || r.Lease().Term != 2 {
			t.Fatalf("lease after it had expired: got %+v, %v, want term 2", r.Lease(), err)
		}
		cfg.Self.Incarnation = 2
		if err := New(cfg).Heartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := r.Heartbeat(t.Context()); !errors.Is(err, ErrSuperseded) {
			t.Fatalf("old incarnation: got %v, want ErrSuperseded", err)
		}
	})
}

// FuzzDecodeMember guards against a record that is accepted but changed by encoding it again.
func FuzzDecodeMember(f *testing.F) {
	seed, _ := other(7).Encode()
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Add([]byte("\xbf\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMember(b)
		if err != nil {
			return
		}
		again, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if n, err := DecodeMember(again); err != nil || n != m {
			t.Fatalf("got %+v, %v, want %+v", n, err, m)
		}
	})
}

// The lease ends 60 s after the start of the last heartbeat, however late its answer came.
func ExampleState_ObserveHeartbeat() {
	start := time.Unix(0, 0)
	s := NewState(DefaultTiming(), Member{
		Entry:       "a",
		Incarnation: 1,
	})
	s.ObserveHeartbeat(start, start.Add(400*time.Millisecond))
	fmt.Println(s.Lease.Valid(start.Add(59*time.Second)), s.Lease.Valid(start.Add(60*time.Second)))
	// Output: true false
}
