package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
)

// After a caller was answered by a configuration, the daemon must not answer by an older one, its
// own or that of a neighbor.
func TestHandedOnCallsDoNotFallBackToAnOlderConfiguration(t *testing.T) {
	newTeams := map[string]string{
		"k1": "schools",
		"k2": "clubs",
	}
	tests := []struct {
		name string
		// play returns the verdict on a call with the new key.
		play func(t *testing.T, n *neighborhoodTest) manager.Result
		want manager.Verdict
	}{
		{
			name: "neighbors have an older configuration",
			play: func(t *testing.T, n *neighborhoodTest) manager.Result {
				for _, neighbor := range []string{"a-2", "b-1"} {
					n.stores[neighbor].deaf.Store(true)
				}
				time.Sleep(2 * time.Second) // calls that began before end
				n.configure(newTeams)
				time.Sleep(time.Second)
				n.stores["a-1"].refuse.Store(true)
				return n.daemons["a-1"].Front().Submit(t.Context(), withDeadline(call("k2", "j1", smallJob()), 3*time.Second))
			},
			want: manager.VerdictUnavailable,
		},
		{
			name: "a neighbor has answered by a newer configuration",
			play: func(t *testing.T, n *neighborhoodTest) manager.Result {
				n.stores["a-1"].deaf.Store(true)
				time.Sleep(2 * time.Second)
				n.configure(newTeams)
				time.Sleep(time.Second)
				n.stores["a-1"].refuse.Store(true)
				time.Sleep(time.Second)
				first := n.daemons["a-1"].Front().Submit(t.Context(), withDeadline(call("k2", "j1", smallJob()), 3*time.Second))
				if first.Verdict != manager.VerdictOK {
					t.Errorf("got %s (%s) from the neighbor, want ok", first.Verdict, first.Reason)
				}
				n.stores["a-1"].refuse.Store(false)
				time.Sleep(time.Second)
				return n.daemons["a-1"].Front().Submit(t.Context(), withDeadline(call("k2", "j2", smallJob()), 3*time.Second))
			},
			want: manager.VerdictOK,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, stop := newNeighborhoodTest(t)
				defer stop()
				if r := tt.play(t, n); r.Verdict != tt.want {
					t.Errorf("got %s (%s), want %s", r.Verdict, r.Reason, tt.want)
				}
			})
		})
	}
}
