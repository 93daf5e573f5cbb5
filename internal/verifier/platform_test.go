package verifier

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/internal/server"
)

// Guards against keyed work that stops although every entry daemon finds the platform
// down, against journaled work that is refused as not run although it ran, and against a
// configuration that changes during the outage or reverts after it.
func TestPlatformDownForAll(t *testing.T) {
	for _, outage := range []emulator.Outage{emulator.OutageRefuse, emulator.OutageHang} {
		t.Run(string(outage), func(t *testing.T) {
			platformDown(t, outage)
		})
	}
}

func platformDown(t *testing.T, outage emulator.Outage) {
	f := newFixture(t)
	key, a, err := f.issueKey(0, "orders", "orders-2")
	if err != nil || a.State != server.ChangeInForce {
		t.Fatalf("grant: %+v, %v", a, err)
	}
	doc, err := f.document(0, "teams/orders")
	if err != nil {
		t.Fatal(err)
	}
	for i := range f.Entries {
		if a := f.send(f.call(i, "stock", http.MethodGet, key)); !a.done() {
			t.Fatal(a)
		}
	}
	f.admin(f.Platform, http.MethodPut, "/admin/faults", emulator.PlatformFaults{
		Outage:     outage,
		ListOutage: outage,
	})
	down := time.Now()
	unjournaled := f.stream(8, func(caller, n int) call {
		entry := (caller + n) % len(f.Entries)
		if caller%2 == 0 {
			return f.call(entry, "quotes", http.MethodGet, "")
		}
		return f.call(entry, "stock", http.MethodGet, key)
	})
	time.Sleep(time.Until(down.Add(2 * stalenessBound)))
	journaled := f.stream(4, func(caller, _ int) call {
		return f.call(caller, "orders", http.MethodPost, key)
	})
	for i := range f.Entries {
		if a, _, err := f.putNumber(i, doc, "weight", 50+i); err == nil {
			t.Errorf("change accepted without the platform: %+v", a)
		}
	}
	time.Sleep(time.Until(down.Add(4 * stalenessBound)))
	refused := journaled.stop()
	answered := unjournaled.stop()
	f.admin(f.Platform, http.MethodPut, "/admin/faults", emulator.PlatformFaults{})

	// A member gives a promise 3 s after its last successful call and asks for promises
	// once per second, so a configuration may count as stale briefly before it is extended.
	extended := down.Add(stalenessBound + time.Second)
	refusals := 0
	for _, a := range answered {
		switch {
		case a.done():
		case a.reason == dispatcher.ReasonConfigStale && a.call.key != "" && a.sent.Before(extended):
			refusals++
		default:
			t.Errorf("%s after the outage began: %v", a.sent.Sub(down).Round(time.Second), a)
		}
	}
	t.Logf("%d of %d refused until the first promises", refusals, len(answered))
	unavailable := 0
	for _, a := range refused {
		switch {
		case a.outcome == dispatcher.OutcomeNotRun && a.reason == dispatcher.ReasonJournalUnavailable:
			unavailable++
		case a.outcome == dispatcher.OutcomeUnknown && outage == emulator.OutageHang:
			// Correct here; TestHangingPlatformRefusesJournaledWork demands a refusal.
		default:
			t.Errorf("journaled work during the outage: %v, want not_run with journal_unavailable", a)
		}
	}
	if unavailable == 0 && outage == emulator.OutageRefuse {
		t.Error("no journaled request was refused with journal_unavailable")
	}
	for i := range f.Entries {
		f.await("journaled work continues after the outage", eventTimeout, func() error {
			if a := f.send(f.call(i, "orders", http.MethodPost, key)); !a.done() {
				return a
			}
			return nil
		})
	}
	f.checkSameText("teams/orders", doc.Text)
	for i := range f.Entries {
		if got := f.revision(i); got < a.Revision {
			t.Errorf("%s reverted to revision %d, had %d", f.Entries[i].Name, got, a.Revision)
		}
	}
	f.checkAnswers(append(refused, answered...))
}

// Guards against journaled work that waits for a hanging platform until its outcome counts
// as unknown, although no run was started.
func TestHangingPlatformRefusesJournaledWork(t *testing.T) {
	f := newFixture(t)
	f.admin(f.Platform, http.MethodPut, "/admin/faults", emulator.PlatformFaults{
		Outage:     emulator.OutageHang,
		ListOutage: emulator.OutageHang,
	})
	time.Sleep(2 * stalenessBound)
	s := f.stream(4, func(caller, _ int) call {
		return f.call(caller, "orders", http.MethodPost, f.Keys["orders"])
	})
	time.Sleep(2 * stalenessBound)
	for _, a := range s.stop() {
		if a.outcome != dispatcher.OutcomeNotRun || a.reason != dispatcher.ReasonJournalUnavailable {
			t.Errorf("%v, want not_run with journal_unavailable", a)
		}
	}
}

// Guards against work that runs twice, is lost or is refused as not run although it ran, and
// against a change that is applied twice, when answers to writes are lost.
func TestLostWriteAnswersChangeNothingTwice(t *testing.T) {
	f := newFixture(t)
	l := f.load(f.Streams(), 500, time.Millisecond, 20*time.Millisecond)
	for _, n := range []int64{50, 150, 250, 350} {
		l.awaitSent(n)
		f.admin(f.Platform, http.MethodPut, "/admin/faults", emulator.PlatformFaults{LoseWriteAnswers: 12})
	}
	l.check()

	doc, err := f.document(0, "teams/planning")
	if err != nil {
		t.Fatal(err)
	}
	before := f.revision(0)
	f.admin(f.Platform, http.MethodPut, "/admin/faults", emulator.PlatformFaults{LoseWriteAnswers: 3})
	a, text, err := f.putNumber(0, doc, "weight", 7)
	if err != nil {
		t.Fatal(err)
	}
	f.await("all entry daemons have the change", 4*time.Second, func() error {
		for i := range f.Entries {
			doc, err := f.document(i, "teams/planning")
			if err != nil || doc.Text != text {
				return fmt.Errorf("%s: %s, %w", f.Entries[i].Name, doc.Text, err)
			}
		}
		return nil
	})
	if a.Revision != before+1 || f.revision(0) != before+1 {
		t.Errorf("revision went from %d to %d, answer %d; want one change", before, f.revision(0), a.Revision)
	}
}
