package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	fakePool  = "shop"
	fakeSlots = 8
	fakeLimit = 1 << 16
)

// fakeTarget answers without a network. It has the methods that the dispatcher calls for
// idempotent requests; calls of the others panic.
type fakeTarget struct {
	runner.Target
	delay   time.Duration // of each answer
	running atomic.Int64  // answer bodies that are not closed yet
}

func (f *fakeTarget) OpenSession(context.Context, string, time.Duration) (string, error) {
	return "boot", nil
}

func (f *fakeTarget) Start(ctx context.Context, _ runner.Task, _ io.Reader) (*runner.Answer, error) {
	if f.delay > 0 && !sleeper.Sleep(ctx, f.delay) {
		return nil, fmt.Errorf("%w: %w", runner.ErrOutcomeUnknown, ctx.Err())
	}
	f.running.Add(1)
	return &runner.Answer{
		Status: http.StatusOK,
		Body: &closer{
			ReadCloser: io.NopCloser(bytes.NewReader([]byte("answer"))),
			onClose:    func() { f.running.Add(-1) },
		},
	}, nil
}

func (f *fakeTarget) Stop(context.Context, string) error { return nil }

func (f *fakeTarget) Usage(context.Context) (runner.Usage, error) {
	return runner.Usage{Total: runner.Resources{Slots: fakeSlots}}, nil
}

func (f *fakeTarget) Draining() bool { return false }

func (f *fakeTarget) Close() {}

// loadFixture is a dispatcher with fake targets and teams that have allowance.
type loadFixture struct {
	*Dispatcher
	holder *limiter.Holder
	tree   *configurer.Tree
	delay  time.Duration
}

func teamName(n int) string { return fmt.Sprintf("team-%d", n) }

func newLoadFixture(t testing.TB, teams int, delay time.Duration) *loadFixture {
	r, err := recorder.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &loadFixture{
		tree: &configurer.Tree{
			Revision: 1,
			Teams:    map[string]configurer.Team{},
			Queues: map[string]configurer.Queue{
				"keyed": {
					Pool:  fakePool,
					Class: configurer.ClassInteractive,
				},
				"open": {
					Pool:  fakePool,
					Open:  true,
					Class: configurer.ClassInteractive,
				},
			},
		},
		delay: delay,
	}
	for n := range teams {
		f.tree.Teams[teamName(n)] = configurer.Team{
			Weight: 1 + n%5,
			Limit:  fakeLimit,
			Keys:   []configurer.Key{{ID: "key"}},
		}
	}
	f.holder = newHolder(t, f.tree)
	f.Dispatcher = New(Config{
		Entry:            "entry",
		AvailabilityZone: "zone-0",
		Tree:             func() *configurer.Tree { return f.tree },
		ConfigFresh:      func() bool { return true },
		Holder:           f.holder,
		Peers:            unreachablePeers{},
		Recorder:         r,
		Logger:           hclog.NewNullLogger(),
		MaxRequestBytes:  1 << 20,
		MaxAnswerBytes:   1 << 20,
		Connect:          func(string) Target { return &fakeTarget{delay: f.delay} },
	})
	return f
}

// newHolder returns a holder whose share is the whole limit of each team.
func newHolder(t testing.TB, tree *configurer.Tree) *limiter.Holder {
	id := limiter.HolderID{
		Entry:       "entry",
		Incarnation: 1,
	}
	store := storer.NewMemory()
	holder := limiter.NewHolder(id, fakeMembership{}.Lease)
	balancer := limiter.NewBalancer(limiter.Config{
		Store:       store,
		Members:     fakeMembership{},
		Holder:      holder,
		CallTimeout: time.Second,
	})
	limits := map[string]int{}
	for team, document := range tree.Teams {
		limits[team] = document.Limit
		var ledger limiter.Ledger
		ledger, _ = ledger.SetLimit(document.Limit, 1)
		ledger, _ = ledger.Claim(id, document.Limit, 1)
		value, err := ledger.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.CompareAndSwap(context.Background(), storer.Write{
			Key:   limiter.KeyPrefix + team,
			Value: value,
		}); err != nil {
			t.Fatal(err)
		}
	}
	balancer.SetLimits(1, limits)
	for team, limit := range limits {
		// A write by the holder confirms its share in the present term.
		if done, err := balancer.ApplyLimit(context.Background(), team, limit, 2); err != nil || !done {
			t.Fatalf("%s: allowance not settled: %v, %v", team, done, err)
		}
	}
	return holder
}

// setTargets makes the VMs from first to end-1 the targets of the pool.
func (f *loadFixture) setTargets(first, end int) {
	var vms []lister.VM
	fleet := planner.Fleet{VMs: map[string]planner.VM{}}
	for n := first; n < end; n++ {
		vm := lister.VM{
			Name:             fmt.Sprintf("vm-%d", n),
			AvailabilityZone: fmt.Sprintf("zone-%d", n%4),
			Rack:             fmt.Sprintf("rack-%d", n/4),
			Address:          fmt.Sprintf("10.0.%d.%d:1", n/250, n%250),
			State:            lister.StateLive,
		}
		vms = append(vms, vm)
		fleet.VMs[vm.Name] = planner.VM{
			Pool:             fakePool,
			Rack:             vm.Rack,
			AvailabilityZone: vm.AvailabilityZone,
			State:            planner.StateServing,
		}
	}
	f.SetTargets(vms, fleet)
}

func (f *loadFixture) awaitUsable(t testing.TB, n int) {
	for range 500 {
		for _, p := range f.Pools() {
			if p.Usable == n {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got %+v, want %d usable targets", f.Pools(), n)
}

// request returns a request of the team, or one for the open queue if team is below zero.
func request(team int) Request {
	r := Request{
		Queue:  "open",
		Method: http.MethodGet,
		Path:   "/",
	}
	if team >= 0 {
		r.Queue = "keyed"
		r.Team = teamName(team)
		r.KeyID = "key"
	}
	return r
}
