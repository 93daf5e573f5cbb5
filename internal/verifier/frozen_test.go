package verifier

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/generator"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// allowance returns the slots that the ledger of a team grants an entry daemon.
func (f *fixture) allowance(store storer.Store, team, entry string) (int, error) {
	item, err := store.Get(f.ctx, limiter.KeyPrefix+team)
	if err != nil {
		return 0, err
	}
	ledger, err := limiter.DecodeLedger(item.Value)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, s := range ledger.Shares {
		if s.Entry == entry {
			n += s.Allowance
		}
	}
	return n, nil
}

// Guards against faults of an entry daemon that resumes after its sessions have ended and its
// allowance was given to others: it must neither run work a second time nor exceed a
// limit, and it must serve again.
func TestFrozenEntryDaemonRunsNothingTwiceWhenItResumes(t *testing.T) {
	f := newFixture(t)
	store := storer.NewClient(storer.ClientConfig{Address: f.Platform.Address})
	defer store.Close()
	const frozen = 0
	e := f.Entries[frozen]
	orders := []generator.Stream{{
		Queue:  "orders",
		Team:   "orders",
		Key:    f.Keys["orders"],
		Method: http.MethodPost,
		Weight: 1,
	}}
	before := f.load(orders, 400, 5*time.Millisecond, 100*time.Millisecond)
	before.awaitSent(100)
	f.await(e.Name+" holds an allowance", eventTimeout, func() error {
		if n, err := f.allowance(store, "orders", e.Name); n == 0 {
			return fmt.Errorf("allowance %d, %w", n, err)
		}
		return nil
	})
	if err := e.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Signal(syscall.SIGCONT) }()
	before.check()
	f.await("allowance of the frozen holder is reclaimed", reclaimFrozenBound+eventTimeout, func() error {
		if n, err := f.allowance(store, "orders", e.Name); n > 0 || err != nil {
			return fmt.Errorf("allowance %d, %w", n, err)
		}
		return nil
	})
	during := f.load(orders, 600, 5*time.Millisecond, 100*time.Millisecond)
	during.awaitSent(100)
	if err := e.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	during.check()
	before.check()
	f.await(e.Name+" rejoins", eventTimeout, func() error {
		if a := f.send(f.call(frozen, "orders", http.MethodPost, f.Keys["orders"])); !a.done() {
			return a
		}
		return nil
	})
}
