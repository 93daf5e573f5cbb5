package commander

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const testOperatorKey = "operator-key"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"comfreyford": func() { os.Exit(Main(os.Args, os.Stdout, os.Stderr)) },
	})
}

// fakeEntry implements server.Members and server.StatusSource. No member is ever missing.
type fakeEntry struct{}

func (fakeEntry) Unconfirmed(uint64) []string { return nil }

func (fakeEntry) MemberStatus() []server.MemberStatus {
	return []server.MemberStatus{{
		Name:             "entry-2",
		AvailabilityZone: "north-b",
		Revision:         1,
	}, {
		Name:             "entry-1",
		AvailabilityZone: "north-a",
		Revision:         1,
		Live:             true,
	}}
}

func (fakeEntry) RunningSlots(string) int { return 3 }

func (fakeEntry) PoolStatus() []server.PoolStatus {
	return []server.PoolStatus{{
		Name:    "quotes",
		Usable:  2,
		Ejected: 1,
		Queued:  4,
	}}
}

// maintain is a script command that runs the planner N times, with ten minutes between the
// runs. Reboots complete before the next run, except those of the named VMs.
func maintain(ts *testscript.TestScript, neg bool, args []string) {
	n, err := strconv.Atoi(args[0])
	if neg || err != nil {
		ts.Fatalf("usage: maintain N [VM...]")
	}
	committer := ts.Value("committer").(*configurer.Committer)
	start := time.Now()
	for i := range n {
		_, err := planner.Update(context.Background(), committer.Store, "north", uuid.NewString(), func(f planner.Fleet) (planner.Fleet, error) {
			tree := committer.View.Current().Tree
			in := planner.Input{
				Pools: tree.Pools,
				Waves: tree.Waves,
			}
			for id, vm := range f.VMs {
				status := planner.VMStatus{
					ID:   id,
					Live: !slices.Contains(args[1:], id),
				}
				if status.Live {
					status.Operation = vm.Operation
				}
				in.VMs = append(in.VMs, status)
			}
			return planner.Plan(f, start.Add(time.Duration(i)*10*time.Minute), in), nil
		})
		ts.Check(err)
	}
}

// dropFirstResponse forwards requests to h and drops the response to the first one that is
// not a GET.
func dropFirstResponse(h http.Handler) http.Handler {
	var dropped atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || dropped.Swap(true) {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// Guards against command lines whose exit status, output or effect differs from their help.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"maintain": maintain},
		Setup: func(env *testscript.Env) error {
			committer := &configurer.Committer{
				Store: storer.NewMemory(),
				View:  configurer.NewView(nil),
			}
			env.Values["committer"] = committer
			handler := server.NewOperatorAPI(server.OperatorAPIConfig{
				Committer:      committer,
				Members:        fakeEntry{},
				Region:         "north",
				Status:         fakeEntry{},
				KeySHA256:      sha256.Sum256([]byte(testOperatorKey)),
				BodyLimitBytes: 1 << 20,
			})
			s := httptest.NewServer(dropFirstResponse(handler))
			env.Defer(s.Close)
			env.Setenv("COMFREYFORD_OPERATOR_ADDRESS", s.URL)
			path := filepath.Join(env.WorkDir, "operator.key")
			env.Setenv("COMFREYFORD_OPERATOR_KEY_FILE", path)
			env.Setenv("USER", "ann")
			return os.WriteFile(path, []byte(testOperatorKey+"\n"), 0o600)
		},
	})
}

// Guards against scripts that continue before a change is in force on all members.
func TestChangeNotYetInForceIsAnError(t *testing.T) {
	var out strings.Builder
	err := printChange(&cli.Command{Writer: &out}, server.ChangeAnswer{
		Revision: 7,
		State:    server.ChangeStored,
		Missing:  []string{"entry-2", "entry-5"},
	})
	if want := "revision 7 is stored but not in force; missing members: entry-2, entry-5"; err == nil || err.Error() != want || out.Len() > 0 {
		t.Errorf("got %v and %q, want %q", err, out.String(), want)
	}
}
