package commander

import (
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const testOperatorKey = "operator-key"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"comfreyford": func() { os.Exit(Main(os.Args, os.Stdout, os.Stderr)) },
	})
}

type everyMember struct{}

func (everyMember) Missing(uint64) []string { return nil }

// loseAnswers passes requests on and drops the answer to the first change.
func loseAnswers(h http.Handler) http.Handler {
	var lost atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || lost.Swap(true) {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// Guards against command lines that end with another status, output or effect than their help says.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			handler := server.NewOperator(server.OperatorConfig{
				Committer: &configurer.Committer{
					Store: storer.NewMemory(),
					View:  configurer.NewView(nil),
				},
				Members:        everyMember{},
				KeySHA256:      sha256.Sum256([]byte(testOperatorKey)),
				BodyLimitBytes: 1 << 20,
			})
			s := httptest.NewServer(loseAnswers(handler))
			env.Defer(s.Close)
			env.Setenv("COMFREYFORD_OPERATOR_ADDRESS", s.URL)
			path := filepath.Join(env.WorkDir, "operator.key")
			env.Setenv("COMFREYFORD_OPERATOR_KEY_FILE", path)
			env.Setenv("USER", "ann")
			return os.WriteFile(path, []byte(testOperatorKey+"\n"), 0o600)
		},
	})
}

// Guards against scripts that go on before a change is in force everywhere.
func TestStoredChangeIsAnErrorThatNamesMembers(t *testing.T) {
	var out strings.Builder
	err := report(&cli.Command{Writer: &out}, server.ChangeAnswer{
		Revision: 7,
		State:    server.ChangeStored,
		Missing:  []string{"entry-2", "entry-5"},
	})
	if want := "revision 7 is stored but not in force; missing members: entry-2, entry-5"; err == nil || err.Error() != want || out.Len() > 0 {
		t.Errorf("got %v and %q, want %q", err, out.String(), want)
	}
}
