// Package verifier checks the invariants of section 2.2 of the design page on whole
// installations of processes. It relies only on what is seen from outside: on what callers
// and operators received and on what workers ran.
package verifier

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/demonstrator"
)

// Bounds of the design page that the cases use.
const (
	stalenessBound        = 3530 * time.Millisecond  // section 5.2: 3 s, 1% drift and 500 ms
	leavingBound          = 3 * time.Second          // section 5.12: a target that has not answered for 3 s is not used
	reclaimFrozenBound    = 81800 * time.Millisecond // section 5.5: allowance of a holder that sends no heartbeat
	reclaimRestartedBound = 21200 * time.Millisecond // section 5.5: allowance of a holder that has restarted
	recoveryTimeout       = 60 * time.Second         // section 5.7: search for a task at an unreachable target
)

const (
	// eventTimeout bounds the wait for an event for which the design page states no time.
	eventTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// maxInstallations limits how many run at a time, because each has about 15 processes.
	maxInstallations = 4
)

var (
	program       string // path of the comfreyford binary
	installations = make(chan struct{}, maxInstallations)
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "comfreyford-verifier-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "comfreyford")
	build := exec.Command("go", "build", "-o", program, "github.com/comfreyford/comfreyford/cmd/comfreyford")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "verifier: build:", err)
		return 1
	}
	return m.Run()
}

// fixture is a running installation of one test.
type fixture struct {
	*demonstrator.Installation
	t         *testing.T
	ctx       context.Context
	partition *demonstrator.Partition
}

// newFixture starts two availability zones with two entry daemons each. Their links
// go through relays.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Parallel()
	installations <- struct{}{}
	t.Cleanup(func() { <-installations })
	p := demonstrator.NewPartition()
	t.Cleanup(p.Close)
	dir := t.TempDir()
	in, err := demonstrator.Start(t.Context(), demonstrator.Config{
		Program:        program,
		Dir:            dir,
		Zones:          2,
		EntriesPerZone: 2,
		Log:            t.Output(),
		Links:          p.StartRelays,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lastLines(filepath.Join(dir, "log"), 60))
		}
		in.Kill()
	})
	return &fixture{
		Installation: in,
		t:            t,
		ctx:          t.Context(),
		partition:    p,
	}
}

func lastLines(file string, n int) string {
	content, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// await repeats check until it succeeds, and fails the test if it does not in time.
func (f *fixture) await(what string, within time.Duration, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: did not happen within %s: %v", what, within, err)
		}
		time.Sleep(pollInterval)
	}
}

// awaitServing waits until an entry daemon answers a request to an open queue.
func (f *fixture) awaitServing(i int) {
	f.t.Helper()
	f.await(f.Entries[i].Name+" serves", eventTimeout, func() error {
		if a := f.send(f.call(i, "quotes", "GET", "")); !a.done() {
			return a
		}
		return nil
	})
}
