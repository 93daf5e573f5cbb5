package verifier

import (
	"net/http"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/server"
)

// Guards against a zone that accepts withdrawn keys or exceeds limits while it is cut off,
// against open queues that stop there, and against a zone that does not serve keyed work
// again after the cut.
func TestZoneCutOffFromPlatformAndOtherZones(t *testing.T) {
	f := newFixture(t)
	old := f.Keys["orders"]
	var inside, outside []int
	for i, e := range f.Entries {
		if e.Zone == "zone-b" {
			inside = append(inside, i)
		} else {
			outside = append(outside, i)
		}
	}
	keyed := f.stream(12, func(caller, n int) call {
		c := f.call((caller+n)%len(f.Entries), "stock", http.MethodGet, old)
		c.duration = 100 * time.Millisecond
		c.timeout = 2 * time.Second
		return c
	})
	open := f.stream(4, func(caller, n int) call {
		return f.call(inside[(caller+n)%len(inside)], "quotes", http.MethodGet, "")
	})
	for _, i := range inside {
		if a := f.send(f.call(i, "stock", http.MethodGet, old)); !a.done() {
			t.Fatalf("before the cut: %v", a)
		}
	}
	f.partition.Cut("zone-b")
	cut := time.Now()
	staleFrom := cut.Add(stalenessBound)
	a, err := f.withdrawKey(outside[0], "orders-1")
	if err != nil || a.State != server.ChangeInForce {
		t.Fatalf("withdrawal while a zone is cut off: %+v, %v", a, err)
	}
	inForce := time.Now()
	key, a, err := f.issueKey(outside[0], "orders", "orders-2")
	if err != nil {
		t.Fatalf("grant while a zone is cut off: %+v, %v", a, err)
	}
	for _, i := range outside {
		f.await("new key outside the cut zone", eventTimeout, func() error {
			if a := f.send(f.call(i, "orders", http.MethodPost, key)); !a.done() {
				return a
			}
			return nil
		})
	}
	outsideLoad := f.stream(24, func(caller, n int) call {
		c := f.call(outside[(caller+n)%len(outside)], "orders", http.MethodPost, key)
		c.duration = 100 * time.Millisecond
		return c
	})
	time.Sleep(time.Until(cut.Add(3 * stalenessBound)))
	for _, i := range inside {
		if a := f.send(f.call(i, "stock", http.MethodGet, key)); a.reason != dispatcher.ReasonConfigStale {
			t.Errorf("keyed work in the cut zone: %v, want config_stale", a)
		}
	}
	beforeHeal := time.Now()
	f.partition.Heal()
	for _, i := range inside {
		f.await(f.Entries[i].Name+" rejoins", eventTimeout, func() error {
			if a := f.send(f.call(i, "stock", http.MethodGet, key)); !a.done() {
				return a
			}
			return nil
		})
		if a := f.send(f.call(i, "stock", http.MethodGet, old)); a.reason != dispatcher.ReasonKeyRefused {
			t.Errorf("withdrawn key after the cut: %v", a)
		}
	}
	answers := append(keyed.stop(), outsideLoad.stop()...)
	for _, a := range answers {
		switch {
		case a.call.key != old || !a.done():
		case a.sent.After(inForce):
			t.Errorf("withdrawn key worked %s after the withdrawal was in force: %v", a.sent.Sub(inForce), a)
		case f.Entries[a.call.entry].Zone == "zone-b" && a.sent.After(staleFrom):
			t.Errorf("keyed work %s after the cut: %v", a.sent.Sub(cut), a)
		}
	}
	openAnswers := open.stop()
	for _, a := range openAnswers {
		if !a.done() && a.sent.Before(beforeHeal) {
			t.Errorf("open queue in the cut zone, %s after the cut: %v", a.sent.Sub(cut), a)
		}
	}
	if n := peak(f.runs(), "orders", time.Time{}); n > f.Limits()["orders"] {
		t.Errorf("%d slots ran, limit %d", n, f.Limits()["orders"])
	}
	f.checkAnswers(append(answers, openAnswers...))
}
