package dispatcher

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// fakePeers answers forwarded requests with the given results in turn and repeats the last
// one.
type fakePeers struct {
	mu      sync.Mutex
	spare   string
	results []Result
	sent    []Request
	peers   []string
	bodies  []string
}

func (f *fakePeers) PeerWithSpare(string, int) string { return f.spare }

func (f *fakePeers) Forward(_ context.Context, peer string, r Request) Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	result := f.results[min(len(f.sent), len(f.results)-1)]
	f.sent = append(f.sent, r)
	f.peers = append(f.peers, peer)
	f.bodies = append(f.bodies, string(body))
	return result
}

func (f *fakePeers) ForwardJob(context.Context, string, JobRequest) Result {
	return NotRun(ReasonPeerUnreachable, "no jobs here")
}

// newForwarder returns the dispatcher of an entry daemon without allowance and
// without targets, next to one peer that owns most shards.
func newForwarder(t *testing.T, p *fakePeers) (*Dispatcher, *journaler.Journal) {
	t.Helper()
	r, err := recorder.New()
	if err != nil {
		t.Fatal(err)
	}
	tree := &configurer.Tree{
		Teams: map[string]configurer.Team{"orders": {
			Weight: 1,
			Limit:  1,
			Keys:   []configurer.Key{{ID: "orders-1"}},
		}},
		Pools: map[string]configurer.Pool{"shop": {}},
		Queues: map[string]configurer.Queue{
			"orders": {
				Pool:  "shop",
				Class: configurer.ClassInteractive,
			},
		},
	}
	id := limiter.HolderID{
		Entry:       "self",
		Incarnation: 1,
	}
	d := New(Config{
		Entry:           "self",
		Tree:            func() *configurer.Tree { return tree },
		ConfigFresh:     func() bool { return true },
		Holder:          limiter.NewHolder(id, func() registrar.Lease { return registrar.Lease{} }),
		Peers:           p,
		Recorder:        r,
		Logger:          hclog.NewNullLogger(),
		MaxRequestBytes: 1 << 20,
		MaxAnswerBytes:  1 << 20,
	})
	t.Cleanup(d.Close)
	j := journaler.New(journaler.Config{
		Store:      storer.NewMemory(),
		Entry:      "self",
		Limiter:    &journaler.WriteLimiter{},
		Targets:    d.Target,
		Dispatcher: d,
		Logger:     hclog.NewNullLogger(),
	})
	d.SetJournal(j)
	return d, j
}

// identityOwnedByPeer returns an identity whose shard the peer owns.
func identityOwnedByPeer(t *testing.T, j *journaler.Journal) uuid.UUID {
	t.Helper()
	for range 1000 {
		if id := uuid.Must(uuid.NewV7()); j.Owner(id) == "peer" {
			return id
		}
	}
	t.Fatal("the peer owns no shard")
	return uuid.UUID{}
}

func (f *fakePeers) submit(t *testing.T, d *Dispatcher, method, identity string) Result {
	t.Helper()
	return d.Submit(context.Background(), Request{
		Queue:    "orders",
		Method:   method,
		Path:     "/work",
		Identity: identity,
		Team:     "orders",
		KeyID:    "orders-1",
		Deadline: time.Now().Add(5 * time.Second),
		Body:     strings.NewReader("body"),
	})
}

// Guards against a "not run" result after an attempt at the owner that may have run, whatever
// the later attempts return.
func TestNoNotRunAfterAnAttemptThatMayHaveRun(t *testing.T) {
	lost := Unknown(ReasonPeerLost, "answer lost")
	for _, c := range []struct {
		name    string
		results []Result
		want    Outcome
	}{
		{name: "lost, then unreachable", results: []Result{lost, NotRun(ReasonPeerUnreachable, "")}, want: OutcomeUnknown},
		{name: "lost, then moved", results: []Result{lost, NotRun(ReasonJournalMoved, "")}, want: OutcomeUnknown},
		{name: "lost, then refused", results: []Result{lost, NotRun(ReasonJournalUnavailable, "")}, want: OutcomeUnknown},
		{name: "always lost", results: []Result{lost}, want: OutcomeUnknown},
		{name: "lost, then found", results: []Result{lost, {Outcome: OutcomeDone, Status: http.StatusOK}}, want: OutcomeDone},
		{name: "never delivered", results: []Result{NotRun(ReasonPeerUnreachable, "")}, want: OutcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := &fakePeers{results: c.results}
			d, j := newForwarder(t, p)
			j.SetMembers(t.Context(), []string{"self", "peer"})
			t.Cleanup(func() { j.Close(context.Background()) })
			id := identityOwnedByPeer(t, j)
			if result := p.submit(t, d, http.MethodPost, id.String()); result.Outcome != c.want {
				t.Errorf("got %s, %s; want %s", result.Outcome, result.Reason, c.want)
			}
			for i, r := range p.sent {
				if r.Identity != id.String() || p.peers[i] != "peer" || p.bodies[i] != "body" {
					t.Errorf("attempt %d went to %s as %q with body %q", i, p.peers[i], r.Identity, p.bodies[i])
				}
			}
		})
	}
}

// Guards against a request that runs here although it may have run at the peer, and against
// one that is not forwarded to a peer with spare allowance.
func TestRequestWithoutAllowanceIsForwardedOnce(t *testing.T) {
	for _, result := range []Result{
		{Outcome: OutcomeDone, Status: http.StatusOK},
		Unknown(ReasonPeerLost, "answer lost"),
	} {
		p := &fakePeers{
			spare:   "peer",
			results: []Result{result},
		}
		d, _ := newForwarder(t, p)
		got := p.submit(t, d, http.MethodGet, "")
		if got.Outcome != result.Outcome || !slices.Equal(p.peers, []string{"peer"}) {
			t.Errorf("got %s after attempts at the peers %v, want %s after one", got.Outcome, p.peers, result.Outcome)
		}
	}
}
