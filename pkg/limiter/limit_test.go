package limiter

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// bubble runs f with a fleet in a synctest bubble, that is, under virtual time.
func bubble(t *testing.T, seed uint64, holders, limit int, f func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fl := newFleet(ctx, t, seed, holders, limit)
		defer fl.wg.Wait()
		defer cancel()
		f(fl)
	})
}

// TestRunningWorkStaysWithinLimit guards against more running slots than the limit
// under lost and late answers, outages, network partitions, pauses, restarts, reclaims,
// changed limits and fluctuating demand.
func TestRunningWorkStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holders := rapid.IntRange(2, 4).Draw(rt, "holders")
		limit := rapid.IntRange(2, 24).Draw(rt, "limit")
		seed := rapid.Uint64().Draw(rt, "seed")
		type step struct {
			op   string
			node int
			arg  int
			wait time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				op:   rapid.SampledFrom([]string{"demand", "demand", "demand", "jobs", "store", "heal", "outage", "cut", "pause", "pause", "restart", "vm", "lose", "late", "limit"}).Draw(rt, "op"),
				node: rapid.IntRange(0, holders-1).Draw(rt, "node"),
				arg:  rapid.IntRange(0, 30).Draw(rt, "arg"),
				wait: time.Duration(rapid.SampledFrom([]int{100, 1000, 5000, 12000, 25000, 70000, 100000}).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 4, 14).Draw(rt, "steps")
		bubble(t, seed, holders, limit, func(f *fleet) {
			revision := uint64(1)
			f.set(func() {
				for _, n := range f.nodes {
					n.demand = limit
				}
			})
			f.run(4 * time.Second)
			for _, s := range steps {
				if s.op == "restart" || s.op == "vm" {
					f.kill(s.node, s.op == "vm")
					f.run(time.Duration(s.arg) * time.Second)
					f.startNode(s.node)
				}
				if s.op == "limit" {
					revision++
					f.mu.Lock()
					f.limit = s.arg
					nodes := f.nodes
					f.mu.Unlock()
					for _, n := range nodes {
						n.balancer.SetLimits(revision, map[string]int{team: s.arg})
					}
				}
				f.apply(s.op, s.node, s.arg)
				f.run(s.wait)
			}
		})
	})
}

// set changes the fields of nodes under the lock of the fleet.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// apply injects one fault or changes the demand.
func (f *fleet) apply(op string, i, arg int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[i]
	switch op {
	case "demand":
		n.demand = arg
	case "jobs":
		n.jobTime = time.Duration(arg+1) * time.Second
	case "store":
		n.store = !n.store
	case "outage":
		for _, n := range f.nodes {
			n.store = false
		}
	case "cut":
		n.store, n.peers = false, false
	case "pause":
		n.paused = !n.paused
	case "lose", "late":
		n.lostAnswers, n.late = float64(arg%4)/5, op == "late"
	case "heal":
		for _, n := range f.nodes {
			n.store, n.peers, n.paused, n.lostAnswers = true, true, false, 0
		}
	}
}

// TestHeartbeatDuringReclaim guards against a holder that reconnects after another member
// last read its heartbeat but before the reclaim, and then uses an allowance it has lost.
func TestHeartbeatDuringReclaim(t *testing.T) {
	for name, delay := range map[string]time.Duration{"reclaim first": 10 * time.Second, "ledger write of the holder first": 0} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, 2, 10, func(f *fleet) { heartbeatDuringReclaim(f, delay) })
		})
	}
}

func heartbeatDuringReclaim(f *fleet, delay time.Duration) {
	f.run(2 * time.Second)
	lost, other := f.nodes[0], f.nodes[1]
	f.set(func() { lost.demand = 10 })
	f.run(5 * time.Second)
	var reclaimed, again atomic.Bool
	f.set(func() {
		lost.store, lost.peers, lost.demand = false, false, 0
		other.beforeWrite = func(w storer.Write) {
			l, err := DecodeLedger(w.Value)
			if _, ok := l.Share(lost.holder.id); err != nil || ok || w.Key != KeyPrefix+team {
				return
			}
			if reclaimed.Load() {
				again.Store(true)
				return
			}
			reclaimed.Store(true)
			f.set(func() {
				lost.beforeWrite = func(w storer.Write) {
					if w.Key == KeyPrefix+team {
						time.Sleep(delay)
					}
				}
				lost.store, lost.peers, lost.demand = true, true, 8
			})
			time.Sleep(3 * time.Second)
		}
	})
	f.until(100*time.Second, reclaimed.Load)
	f.run(3200 * time.Millisecond)
	f.set(func() { other.demand = 10 })
	f.run(20 * time.Second)
	if !reclaimed.Load() {
		f.t.Fatal("no reclaim was attempted")
	}
	if delay == 0 && again.Load() {
		f.t.Fatal("the reclaim was repeated on a ledger that is newer than the member list")
	}
}

// TestLateTransferWrite guards against a donor that uses transferred allowance again
// because the answer to its write was lost, although the write takes effect later.
func TestLateTransferWrite(t *testing.T) {
	for _, then := range []string{"service answers", "service down", "answers still lost"} {
		t.Run(then, func(t *testing.T) {
			bubble(t, 1, 2, 10, func(f *fleet) {
				donor, recipient := f.nodes[0], f.nodes[1]
				f.set(func() { donor.demand = 10 })
				f.run(8 * time.Second)
				f.set(func() { donor.demand = 0 })
				f.run(3 * time.Second)
				f.set(func() {
					donor.lostAnswers, donor.late = 1, true
					recipient.demand = 8
				})
				f.until(5*time.Second, func() bool {
					a := donor.holder.account(team)
					a.mu.Lock()
					defer a.mu.Unlock()
					return a.withheld > 0
				})
				f.set(func() {
					donor.demand = 10
					switch then {
					case "service answers":
						donor.lostAnswers = 0
					case "service down":
						donor.store = false
					}
				})
				f.run(12 * time.Second)
				if l := f.ledger(); l.Sum() != 10 || len(l.Shares) != 2 {
					t.Fatalf("no transfer took effect: %+v", l)
				}
			})
		})
	}
}

// TestReclaimRereadsMembers guards against a reclaim based on a member list that is older
// than the ledger: the holder reconnected and confirmed its share in between.
func TestReclaimRereadsMembers(t *testing.T) {
	bubble(t, 1, 2, 10, func(f *fleet) {
		lost, other := f.nodes[0], f.nodes[1]
		other.balancer.sweepMu.Lock() // only this test sweeps
		f.set(func() { lost.demand = 10 })
		f.run(7 * time.Second)
		f.set(func() { lost.store, lost.peers = false, false })
		f.until(100*time.Second, func() bool { return other.registrar.Reclaimable(lost.entry, 1) })
		f.set(func() { lost.store, lost.peers = true, true })
		f.until(3*time.Second, func() bool { return f.running() > 0 })
		if !other.registrar.Reclaimable(lost.entry, 1) {
			t.Fatal("the member list was read again before the sweep")
		}
		if err := other.balancer.Sweep(f.ctx); err != nil {
			t.Fatal(err)
		}
		if s, _ := f.ledger().Share(lost.holder.id); s.Allowance != 10 {
			t.Fatalf("reclaimed from a holder whose work runs: %+v", f.ledger())
		}
	})
}

// TestTransferLeavesRunningWork guards against a donor that transfers slots that its own
// work still uses.
func TestTransferLeavesRunningWork(t *testing.T) {
	bubble(t, 1, 2, 10, func(f *fleet) {
		f.run(2 * time.Second)
		donor := f.nodes[0]
		f.set(func() { donor.demand, donor.jobTime = 7, 100*time.Second })
		f.run(5 * time.Second)
		a, err := donor.balancer.ServeTransfer(f.ctx, TransferRequest{
			Team:      team,
			Amount:    10,
			Recipient: f.nodes[1].holder.id,
		})
		if got := donor.holder.Usage(team); err != nil || got.Running != 7 || a.Granted != 2 {
			t.Fatalf("granted %d, %+v, %v", a.Granted, got, err)
		}
	})
}

// TestLeaveKeepsSlotsOfRunningWork guards against a leaving holder that returns slots
// whose work still runs, or that keeps idle slots.
func TestLeaveKeepsSlotsOfRunningWork(t *testing.T) {
	bubble(t, 1, 2, 10, func(f *fleet) {
		f.run(2 * time.Second)
		n := f.nodes[0]
		f.set(func() { n.demand, n.jobTime = 7, 100*time.Second })
		f.run(5 * time.Second)
		if err := n.balancer.Leave(f.ctx); !errors.Is(err, ErrRunning) {
			t.Fatalf("got %v, want ErrRunning", err)
		}
		if s, _ := f.ledger().Share(n.holder.id); s.Allowance != 7 {
			t.Fatalf("the share is %d slots, want the 7 that run: %+v", s.Allowance, f.ledger())
		}
	})
}

// TestAcquireStopsWhenLeaseExpires guards against work that starts after the lease has expired.
func TestAcquireStopsWhenLeaseExpires(t *testing.T) {
	bubble(t, 1, 2, 4, func(f *fleet) {
		f.run(2 * time.Second)
		n := f.nodes[0]
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		start := time.Now()
		if err := n.holder.AcquireWait(ctx, team, 1); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 3*latency {
			t.Fatalf("the first claim took %v, which is more than a read and a write", took)
		}
		f.set(func() { n.store, n.peers = false, false })
		time.Sleep(time.Until(n.registrar.Lease().Until) - 1)
		if err := n.holder.Acquire(team, 1); err != nil {
			t.Fatalf("before the lease expires: %v", err)
		}
		time.Sleep(time.Nanosecond)
		if err := n.holder.Acquire(team, 1); !errors.Is(err, ErrLeaseExpired) {
			t.Fatalf("when the lease expires: got %v, want ErrLeaseExpired", err)
		}
		f.set(func() { n.store, n.peers = true, true })
		f.run(3 * time.Second)
		if err := n.holder.Acquire(team, 1); err != nil {
			t.Fatalf("after the share was confirmed: %v", err)
		}
		n.holder.Release(team, 3)
	})
}

// TestChangedLimitIsFollowed guards against a lowered limit that never takes effect
// because ended work is replaced at once, and against a raised one that stays unused.
func TestChangedLimitIsFollowed(t *testing.T) {
	bubble(t, 1, 3, 30, func(f *fleet) {
		f.run(2 * time.Second)
		f.set(func() {
			for _, n := range f.nodes {
				n.demand = 30
			}
		})
		f.run(20 * time.Second)
		for i, limit := range []int{9, 0, 20} {
			for _, n := range f.nodes {
				n.balancer.SetLimits(uint64(i+2), map[string]int{team: limit})
			}
			var last Ledger
			took := f.until(10*time.Second, func() bool {
				last = f.ledger()
				return last.Sum() == limit && f.running() == limit
			})
			t.Logf("limit %d reached after %v", limit, took)
			if last.Limit != limit || last.Sum() != limit {
				t.Fatalf("limit %d: ledger %+v", limit, last)
			}
		}
		f.apply("outage", 0, 0)
		for _, n := range f.nodes {
			n.balancer.SetLimits(5, map[string]int{team: 6})
		}
		f.run(2 * time.Second)
		if n := f.running(); n > 6 {
			t.Fatalf("%d slots run during an outage although the configured limit is 6", n)
		}
	})
}

// TestStaleConfigurationCannotRaiseLimit guards against a holder with an older
// configuration that restores an older limit after a newer one is in force.
func TestStaleConfigurationCannotRaiseLimit(t *testing.T) {
	bubble(t, 1, 2, 10, func(f *fleet) {
		f.run(2 * time.Second)
		if ok, err := f.nodes[0].balancer.ApplyLimit(f.ctx, team, 10, 7); err != nil || !ok {
			t.Fatalf("in force %t, %v", ok, err)
		}
		stale := f.nodes[1]
		stale.balancer.SetLimits(5, map[string]int{team: 20})
		f.set(func() { stale.demand = 20 })
		f.run(5 * time.Second)
		if l := f.ledger(); l.Limit != 10 || l.Revision != 7 {
			t.Fatalf("ledger %+v", l)
		}
	})
}

// TestLedgerNeverExceedsLimit guards against a transition that makes the sum exceed
// the limit, or grow while it is above a lowered limit.
func TestLedgerNeverExceedsLimit(t *testing.T) {
	ids := []HolderID{{"a", 1}, {"a", 2}, {"b", 3}, {"c", 4}}
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		l, _ = l.SetLimit(rapid.IntRange(0, 50).Draw(t, "limit"), 1)
		revision := uint64(1)
		for range 40 {
			before := l
			h := rapid.SampledFrom(ids).Draw(t, "holder")
			n := rapid.IntRange(-3, 60).Draw(t, "n")
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				l, _ = l.Claim(h, n, 1)
			case 1:
				l, _ = l.Transfer(h, rapid.SampledFrom(ids).Draw(t, "to"), n, 1)
			case 2:
				l, _ = l.Return(h, n, 1)
			case 3:
				l, _ = l.Reclaim(h)
			case 4:
				l, _ = l.SetLimit(n, revision)
				revision = uint64(rapid.IntRange(0, 9).Draw(t, "revision"))
			}
			if l.Sum() > max(l.Limit, before.Sum()) {
				t.Fatalf("sum %d after %+v became %+v", l.Sum(), before, l)
			}
			if l.Revision < before.Revision {
				t.Fatalf("revision fell from %d to %d", before.Revision, l.Revision)
			}
			targets := 0
			for _, s := range l.Shares {
				targets += l.Target(s.Holder())
			}
			if targets > l.Limit {
				t.Fatalf("targets %d exceed the limit of %+v", targets, l)
			}
			b, err := l.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeLedger(b); err != nil {
				t.Fatalf("the encoded ledger was rejected: %v", err)
			}
		}
	})
}
