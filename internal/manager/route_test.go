package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// Guards against accepted jobs that nobody can read or cancel any more, because their route was
// replaced, made public or closed since, and against ones that others can.
func TestAcceptedJobIsReachedThroughItsRoute(t *testing.T) {
	route := quotesRoute()
	renamed, open, moved, other := route, route, route, route
	renamed.Queue = "offers"
	open.Open = true
	moved.Prefix = "/moved/"
	other.Prefix, other.Queue = "/other/", "other"
	tests := []struct {
		name     string
		accepted manager.Route
		present  []manager.Route
		key      string
		path     string
		verdict  manager.Verdict
	}{
		{
			name:     "as it was",
			accepted: route,
			present:  []manager.Route{route},
			key:      "k1",
			path:     "/quotes/j1",
			verdict:  manager.VerdictOK,
		},
		{
			name:     "another queue behind the route",
			accepted: route,
			present:  []manager.Route{renamed},
			key:      "k1",
			path:     "/quotes/j1",
			verdict:  manager.VerdictOK,
		},
		{
			name:     "another prefix of the queue",
			accepted: route,
			present:  []manager.Route{moved},
			key:      "k1",
			path:     "/moved/j1",
			verdict:  manager.VerdictOK,
		},
		{
			name:     "route made public",
			accepted: route,
			present:  []manager.Route{open},
			key:      "k1",
			path:     "/quotes/j1",
			verdict:  manager.VerdictOK,
		},
		{
			name:     "public route closed",
			accepted: open,
			present:  []manager.Route{route},
			key:      "k1",
			path:     "/quotes/j1",
			verdict:  manager.VerdictOK,
		},
		{
			name:     "key of another team",
			accepted: route,
			present:  []manager.Route{renamed},
			key:      "k2",
			path:     "/quotes/j1",
			verdict:  manager.VerdictNoJob,
		},
		{
			name:     "route of another queue",
			accepted: route,
			present:  []manager.Route{route, other},
			key:      "k1",
			path:     "/other/j1",
			verdict:  manager.VerdictNoJob,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keys := map[string]string{
					"k1": "schools",
					"k2": "clubs",
				}
				i := newInstallation(t)
				i.targets.duration = time.Hour
				i.configure(keys, tt.accepted)
				m, stop := i.start("a")
				defer stop()
				time.Sleep(time.Second)
				if r := m.Front().Submit(t.Context(), call("k1", "j1", smallJob())); r.Verdict != manager.VerdictOK {
					t.Fatalf("verdict is %s (%s), want ok", r.Verdict, r.Reason)
				}
				time.Sleep(time.Second) // it runs, and its owner has written its record
				i.configure(keys, tt.present...)
				time.Sleep(time.Second)
				c := call(tt.key, "j1", nil)
				c.Path = tt.path
				if r := m.Front().State(t.Context(), c); r.Verdict != tt.verdict {
					t.Errorf("state: verdict is %s, want %s", r.Verdict, tt.verdict)
				}
				if r := m.Front().Cancel(t.Context(), c); r.Verdict != tt.verdict {
					t.Errorf("cancel: verdict is %s, want %s", r.Verdict, tt.verdict)
				}
				time.Sleep(time.Second)
				want := jobkeeper.StateRunning
				if tt.verdict == manager.VerdictOK {
					want = jobkeeper.StateCancelled
				}
				owner := call("k1", "j1", nil)
				owner.Path = tt.present[0].Prefix + "j1"
				if r := m.Front().State(t.Context(), owner); r.State != want {
					t.Errorf("the job is %s (%s) in the end, want %s", r.State, r.Verdict, want)
				}
			})
		})
	}
}
