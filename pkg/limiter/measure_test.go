package limiter

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// TestStrandedAllowance guards against allowance of an idle, stopped or lost holder that
// others cannot use in time, and logs how much is stranded and for how long.
func TestStrandedAllowance(t *testing.T) {
	const limit = 40
	const short, long = 300 * time.Millisecond, 500 * time.Second
	cases := []struct {
		name  string
		event func(f *fleet)
		jobs  time.Duration
		bound time.Duration
	}{
		{"idle holder transfers", func(f *fleet) { f.set(func() { f.nodes[0].demand = 0 }) }, short, 10 * time.Second},
		{"graceful stop", func(f *fleet) {
			n := f.nodes[0]
			f.set(func() { n.demand = 0 })
			f.run(time.Second)
			n.stop()
			if err := n.balancer.Leave(f.ctx); err != nil {
				f.t.Fatal(err)
			}
			if err := n.registrar.Leave(f.ctx); err != nil {
				f.t.Fatal(err)
			}
		}, short, 10 * time.Second},
		{"killed, new incarnation at once", func(f *fleet) {
			f.kill(0, false)
			f.startNode(0)
		}, long, 35 * time.Second},
		{"killed with its VM", func(f *fleet) { f.kill(0, true) }, long, 35 * time.Second},
		{"killed, VM still listed", func(f *fleet) { f.kill(0, false) }, long, 95 * time.Second},
		{"availability zone cut off", func(f *fleet) { f.apply("cut", 0, 0) }, long, 95 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, 1, 4, limit, func(f *fleet) {
				f.run(2 * time.Second)
				f.set(func() { f.nodes[0].demand, f.nodes[0].jobTime = limit, c.jobs })
				f.run(30 * time.Second)
				lost := f.nodes[0].holder
				stranded := lost.Usage(team).Allowance
				if stranded < limit*9/10 {
					t.Fatalf("the first holder has %d slots only", stranded)
				}
				start := time.Now()
				f.set(func() { f.nodes[1].demand = limit })
				c.event(f)
				took := f.until(c.bound+time.Second, func() bool { return f.nodes[1].holder.Usage(team).Running >= limit*9/10 })
				took = max(took, time.Since(start))
				t.Logf("stranded %d of %d slots, usable again after %v", stranded, limit, took)
				if took > c.bound {
					t.Fatalf("not usable again after %v: %+v", took, f.ledger())
				}
			})
		})
	}
}

// TestAllowancesFollowDemand guards against allowances that stay behind a demand that moves
// from holder to holder, and logs how fast they follow if no requests are forwarded.
func TestAllowancesFollowDemand(t *testing.T) {
	for _, seconds := range []int{4, 8, 16} {
		t.Run(fmt.Sprintf("%d s", seconds), func(t *testing.T) {
			bubble(t, 1, 4, 40, func(f *fleet) {
				f.run(6 * time.Second)
				var asked, served, reached int
				var reach time.Duration
				const turns = 8
				f.set(func() { f.calls = map[storer.Op]int{} })
				begin := time.Now()
				for turn := range turns {
					// One holder at a time has a demand of 40 slots, the others have none.
					f.set(func() {
						for i, n := range f.nodes {
							n.demand = 0
							if i == turn%4 {
								n.demand = 40
							}
						}
					})
					start := time.Now()
					done := false
					for range seconds * 25 {
						f.run(40 * time.Millisecond)
						asked += 40
						served += min(40, f.running())
						if !done && f.nodes[turn%4].holder.Usage(team).Running >= 36 {
							done = true
							reached++
							reach += time.Since(start)
						}
					}
				}
				writes := float64(f.calls[storer.OpCompareAndSwap]) / time.Since(begin).Seconds()
				t.Logf("served %d%% of the demand; 90%% of it ran in %d of %d turns, after %v on average; %.2f writes/s with 0.8/s heartbeats",
					100*served/asked, reached, turns, reach/time.Duration(max(1, reached)), writes)
				if served*10 < asked {
					t.Fatal("allowances do not follow the demand")
				}
				if writes > 0.8+4*1.0+1 {
					t.Fatalf("%.2f writes/s", writes)
				}
			})
		})
	}
}

// FuzzDecodeLedger guards against a ledger that is accepted but changed by encoding it again.
func FuzzDecodeLedger(f *testing.F) {
	var l Ledger
	l, _ = l.SetLimit(9, 3)
	l, _ = l.Claim(HolderID{Entry: "a", Incarnation: 1}, 4, 2)
	l, _ = l.Claim(HolderID{Entry: "b", Incarnation: 7}, 2, 1)
	seed, err := l.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Add([]byte("\xa1\x03\x81\x84\x61a\x01\x20\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := DecodeLedger(b)
		if err != nil {
			return
		}
		if l.Sum() < 0 || l.Unassigned() > l.Limit {
			t.Fatalf("sum %d of %+v", l.Sum(), l)
		}
		again, err := l.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if n, err := DecodeLedger(again); err != nil || fmt.Sprint(n) != fmt.Sprint(l) {
			t.Fatalf("got %+v, %v, want %+v", n, err, l)
		}
	})
}

// newHolderWithAllowance returns a holder with a valid lease and 1<<20 slots.
func newHolderWithAllowance() *Holder {
	lease := registrar.Lease{Until: time.Now().Add(time.Hour), Term: 1}
	id := HolderID{Entry: "a", Incarnation: 1}
	h := NewHolder(id, func() registrar.Lease { return lease })
	a := h.account(team)
	var l Ledger
	l, _ = l.SetLimit(1<<20, 1)
	l, _ = l.Claim(id, 1<<20, 1)
	a.term = 1
	a.setLedger(id, l, 1)
	return h
}

func BenchmarkAcquireRelease(b *testing.B) {
	h := newHolderWithAllowance()
	b.ReportAllocs()
	for b.Loop() {
		if err := h.Acquire(team, 1); err != nil {
			b.Fatal(err)
		}
		h.Release(team, 1)
	}
}

func BenchmarkAcquireReleaseParallel(b *testing.B) {
	h := newHolderWithAllowance()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := h.Acquire(team, 1); err != nil {
				b.Error(err)
				return
			}
			h.Release(team, 1)
		}
	})
}

// A lowered limit leaves the allowances as they are; holders return what exceeds their target.
func ExampleLedger() {
	a := HolderID{Entry: "a", Incarnation: 1}
	b := HolderID{Entry: "b", Incarnation: 2}
	var l Ledger
	l, _ = l.SetLimit(10, 1)
	l, _ = l.Claim(a, 6, 1)
	l, granted := l.Claim(b, 6, 1)
	fmt.Println(granted, l.Sum())
	l, _ = l.SetLimit(5, 2)
	fmt.Println(l.Sum(), l.Target(a), l.Target(b), l.Unassigned())
	l, _ = l.Return(a, 3, 2)
	l, _ = l.Return(b, 2, 2)
	fmt.Println(l.Sum())
	// Output:
	// 4 10
	// 10 3 2 0
	// 5
}

// A holder without a valid lease cannot start work.
func ExampleHolder_Acquire() {
	h := NewHolder(HolderID{Entry: "a", Incarnation: 1}, func() registrar.Lease { return registrar.Lease{} })
	err := h.Acquire("chalk", 1)
	fmt.Println(errors.Is(err, ErrLeaseExpired))
	// Output: true
}
