package coordinator

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/loader"
	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Guards against an entry daemon that takes over all shards of the journal because it has no
// reports of its peers yet, after a start or a pause.
func TestMemberViewWaitsForReports(t *testing.T) {
	type step struct {
		after time.Duration // since the step before
		peers []string
		want  []string
		known bool
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{
			name: "start",
			steps: []step{
				{
					known: true,
				},
				{
					after: memberInterval,
					peers: []string{"b"},
					want:  []string{"b"},
					known: true,
				},
				{
					after: reportTimeout / 2,
					peers: []string{"b", "c"},
					want:  []string{"b", "c"},
					known: true,
				},
				{
					after: reportTimeout / 2,
					peers: []string{"b", "c"},
					want:  []string{"a", "b", "c"},
					known: true,
				},
			},
		},
		{
			name: "pause",
			steps: []step{
				{
					known: true,
				},
				{
					after: reportTimeout / 2,
					peers: []string{"b"},
					want:  []string{"b"},
					known: true,
				},
				{
					after: reportTimeout / 2,
					peers: []string{"b"},
					want:  []string{"a", "b"},
					known: true,
				},
				{
					after: 20 * time.Second,
				},
				{
					after: reportTimeout / 2,
					peers: []string{"b"},
					want:  []string{"b"},
				},
				{
					after: reportTimeout / 2,
					peers: []string{"b"},
					want:  []string{"a", "b"},
					known: true,
				},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m memberView
			now := time.Unix(1000, 0)
			for i, s := range c.steps {
				now = now.Add(s.after)
				got, known := m.observe(now, "a", s.peers)
				if known != s.known || known && !slices.Equal(got, s.want) {
					t.Fatalf("step %d: got %v %v, want %v %v", i, got, known, s.want, s.known)
				}
			}
		})
	}
}

// Guards against spare allowance that is forgotten although it has not changed: a report
// leaves out unchanged figures.
func TestReportWithoutFiguresKeepsTheOlderOnes(t *testing.T) {
	cases := []struct {
		name    string
		reports []report
		want    map[string]int
	}{
		{
			name: "left out",
			reports: []report{
				{
					Entry:       "b",
					Incarnation: 1,
					Teams: []teamReport{
						{
							Team:  "orders",
							Spare: 3,
						},
					},
				},
				{
					Entry:       "b",
					Incarnation: 1,
				},
			},
			want: map[string]int{"orders": 3},
		},
		{
			name: "another incarnation",
			reports: []report{
				{
					Entry:       "b",
					Incarnation: 1,
					Teams: []teamReport{
						{
							Team:  "orders",
							Spare: 3,
						},
					},
				},
				{
					Entry:       "b",
					Incarnation: 2,
				},
			},
			want: map[string]int{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPeers(hclog.NewNullLogger())
			var got map[string]int
			for i, r := range c.reports {
				got = p.observe(r, time.Unix(int64(i), 0))
			}
			if !maps.Equal(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a member that uses a revision, and reports it, but asks for promises with an
// older one: its peers refuse them while the key-value service is unreachable.
func TestPromisesNameTheRevisionInUse(t *testing.T) {
	r, err := recorder.New()
	if err != nil {
		t.Fatal(err)
	}
	e := &Entry{
		cfg: Config{
			Settings: loader.Settings{
				Name:                 "entry-0",
				PeerAdvertiseAddress: "127.0.0.1:1",
			},
			Logger: hclog.NewNullLogger(),
		},
		store:    storer.NewMemory(),
		peers:    newPeers(hclog.NewNullLogger()),
		view:     configurer.NewView(nil),
		recorder: r,
	}
	e.buildParts()
	now := time.Now()
	e.registrar.Do(func(s *registrar.State, _ time.Time) { s.ObserveHeartbeat(now, now) })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.applyConfig(ctx) }()
	// As after a watch or a change made here: no poll has confirmed the revision yet.
	if err := e.view.Apply(configurer.Delta{
		Revision: 1,
		Proved:   true,
	}, time.Now()); err != nil {
		t.Fatal(err)
	}
	reported := e.buildReport(&reporter{}).Revision
	var promised uint64
	for deadline := time.Now().Add(5 * time.Second); promised != reported && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		e.registrar.Do(func(s *registrar.State, _ time.Time) { promised = s.Self.Revision })
	}
	if reported != 1 || promised != reported {
		t.Errorf("reports revision %d, asks for promises with revision %d", reported, promised)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
