package verifier

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/crowder"
	"github.com/comfreyford/comfreyford/internal/demonstrator"
	"github.com/comfreyford/comfreyford/internal/server"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits of the VM in the settings. A process may
	// use half of the memory, and the descriptors but those that are for files.
	crowdMemoryMB    = 160
	crowdDescriptors = 500
	crowdFiles       = 200
)

// Guards against callers that make an entry daemon hold more than its VM has; see the test of this
// name in package platform.
func TestCrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts an installation for each crowd")
	}
	callers := func(e *demonstrator.EntryProcess) string { return e.CallerAddress }
	operators := func(e *demonstrator.EntryProcess) string { return e.OperatorAddress }
	metrics := func(e *demonstrator.EntryProcess) string { return e.MetricsAddress }
	to := func(queue, key string) crowder.Target {
		return crowder.Target{
			Host: "entry.example",
			Path: func(int) string { return "/v1/queues/" + queue + "/work" },
			Fields: server.HeaderKey + ": " + key + "\r\n" +
				server.HeaderIdempotencyKey + ": 01890a5d-ac96-774b-bcce-b302099a8057\r\n",
		}
	}
	tests := []struct {
		name    string
		queue   string
		address func(e *demonstrator.EntryProcess) string
		member  func(to crowder.Target) crowder.Member
	}{
		{
			name:    "whole bodies without their end",
			queue:   "orders",
			address: callers,
			member:  func(to crowder.Target) crowder.Member { return to.UnfinishedBody(crowder.BodyBytes / 2) },
		},
		{
			name:    "small chunks without an end",
			queue:   "orders",
			address: callers,
			member:  func(to crowder.Target) crowder.Member { return to.UnfinishedChunks(8) },
		},
		{
			name:    "bodies without their end to an open queue",
			queue:   "quotes",
			address: callers,
			member:  func(to crowder.Target) crowder.Member { return to.UnfinishedBody(1000) },
		},
		{
			name:    "many header fields without an end",
			queue:   "quotes",
			address: callers,
			member:  crowder.Target.ManyFields,
		},
		{
			name:    "many header fields to operators",
			queue:   "quotes",
			address: operators,
			member:  crowder.Target.ManyFields,
		},
		{
			name:    "many header fields on the metrics listener",
			queue:   "quotes",
			address: metrics,
			member:  crowder.Target.ManyFields,
		},
		{
			name:    "silent connections",
			address: callers,
			member:  func(crowder.Target) crowder.Member { return crowder.Silent },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			in, err := demonstrator.Start(t.Context(), demonstrator.Config{
				Program:        program,
				Dir:            dir,
				Zones:          1,
				EntriesPerZone: 1,
				Log:            t.Output(),
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(in.Kill)
			f := &fixture{
				Installation: in,
				t:            t,
				ctx:          t.Context(),
			}
			f.limitEntry(0)
			f.awaitServing(0)
			usage := crowder.Observe(f.Entries[0].PID())
			crowd := crowder.Gather(test.address(f.Entries[0]), test.member(to(test.queue, f.Keys[test.queue])), false)
			f.awaitServing(0)
			f.await("metrics beside the crowd", eventTimeout, func() error { return f.getMetrics(0) })
			usage.CountDescriptors()
			crowd.Disperse()
			f.awaitServing(0)
			memory, descriptors, err := usage.Peak()
			if err != nil {
				t.Fatalf("the daemon has ended: %v: %s", err, lastLines(filepath.Join(dir, "log"), 20))
			}
			t.Logf("peak: %d MB, %d descriptors", memory, descriptors)
			if memory > crowdMemoryMB/2 {
				t.Errorf("peak memory is %d MB, want at most half of the VM's %d MB", memory, crowdMemoryMB)
			}
			if descriptors > crowdDescriptors-crowdFiles {
				t.Errorf("%d descriptors were open, want at most %d", descriptors, crowdDescriptors-crowdFiles)
			}
		})
	}
}

// limitEntry starts an entry daemon again with the limits of a small VM.
func (f *fixture) limitEntry(i int) {
	f.t.Helper()
	e := f.Entries[i]
	settings, err := os.OpenFile(e.SettingsFile, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = fmt.Fprintf(settings, "\nmemory_limit = %d\ndescriptor_limit = %d\n", crowdMemoryMB<<20, crowdDescriptors)
	if closeErr := settings.Close(); err != nil || closeErr != nil {
		f.t.Fatal(err, closeErr)
	}
	e.Kill()
	if err := f.StartEntry(e); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) getMetrics(i int) error {
	client := &http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	res, err := client.Get("http://" + f.Entries[i].MetricsAddress + "/metrics")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
