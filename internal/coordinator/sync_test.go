package coordinator

import (
	"slices"
	"testing"
	"time"
)

// Guards against an entry daemon that takes over all shards of the journal because
// it has not heard its peers yet, after a start or a pause.
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
