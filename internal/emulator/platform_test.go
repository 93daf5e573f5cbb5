package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

var testVM = lister.VM{
	Name:             "a",
	AvailabilityZone: "az1",
	Rack:             "rack1",
	Address:          "127.0.0.1:9000",
	State:            lister.StateLive,
}

// newPlatformWithWorker returns a platform that signals the worker by calling its handler.
func newPlatformWithWorker(t *testing.T) (*Platform, *Worker) {
	t.Helper()
	worker, err := NewWorker(WorkerConfig{Total: DefaultResources()})
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewWorkerServer(worker, NewMemoryListener(), DefaultConnections)
	if err != nil {
		t.Fatal(err)
	}
	platform, err := NewPlatform(PlatformConfig{
		VMs:        []lister.VM{testVM},
		RebootTime: 3 * time.Second,
		Signal: func(_ context.Context, _, path string) error {
			return call(server.server.Handler, http.MethodPost, path, nil, nil)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	return platform, worker
}

// call calls a handler without a socket and decodes its answer.
func call(h http.Handler, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(data)))
	if recorder.Code != http.StatusOK {
		return fmt.Errorf("status %d: %s", recorder.Code, recorder.Body)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(recorder.Body.Bytes(), answer)
}

func vmState(t *testing.T, p *Platform) lister.State {
	t.Helper()
	var vms []lister.VM
	if err := call(p.Handler(), http.MethodGet, "/v1/vms", nil, &vms); err != nil || len(vms) != 1 {
		t.Fatalf("VMs are %v, %v", vms, err)
	}
	return vms[0].State
}

// TestRebootRestartsTheWorkerAndReturns guards against a reboot that the worker
// does not notice and against a VM that stays leaving after it.
func TestRebootRestartsTheWorkerAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, worker := newPlatformWithWorker(t)
		boot := worker.Runs().Boot
		if err := call(platform.Handler(), http.MethodPost, "/v1/reboot?vm=a&operation=op1", nil, nil); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if worker.Runs().Boot == boot || vmState(t, platform) != lister.StateLeaving {
			t.Fatal("the worker was not restarted, or the VM is not leaving")
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if state := vmState(t, platform); state != lister.StateLive {
			t.Fatalf("state is %s", state)
		}
	})
}

// TestFailedRebootStaysLeaving guards against a failed VM that is reported as live.
func TestFailedRebootStaysLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, _ := newPlatformWithWorker(t)
		if err := platform.SetFaults(PlatformFaults{FailReboots: 1}); err != nil {
			t.Fatal(err)
		}
		if err := call(platform.Handler(), http.MethodPost, "/v1/reboot?vm=a&operation=op1", nil, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if state := vmState(t, platform); state != lister.StateLeaving {
			t.Fatalf("state is %s", state)
		}
	})
}

// TestDrainReachesTheWorker guards against a leaving VM whose worker takes new tasks.
func TestDrainReachesTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, worker := newPlatformWithWorker(t)
		if err := call(platform.Handler(), http.MethodPost, "/admin/vms/a/drain", nil, nil); err != nil {
			t.Fatal(err)
		}
		if !worker.Draining() || vmState(t, platform) != lister.StateLeaving {
			t.Fatal("the worker is not draining, or the VM is not leaving")
		}
	})
}

// TestAdminRefusesBadFaults guards against a misspelled fault that is ignored.
func TestAdminRefusesBadFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, _ := newPlatformWithWorker(t)
		bad := []any{
			map[string]any{"outage": "sometimes"},
			map[string]any{"latency_ms": -1},
			map[string]any{"list_lag_ms": 1e12},
			map[string]any{"lose_writes": -2},
			map[string]any{"latency": 5},
			"text",
		}
		for _, faults := range bad {
			err := call(platform.Handler(), http.MethodPut, "/admin/faults", faults, nil)
			if err == nil || !strings.Contains(err.Error(), "status 400") {
				t.Errorf("%v: error is %v", faults, err)
			}
		}
	})
}

// TestRunLogShowsSegments guards against a checkpointed task that counts as two runs, or as
// running while it held no slot.
func TestRunLogShowsSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, worker := newPlatformWithWorker(t)
		boot, err := worker.OpenSession(t.Context(), "s", time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		go worker.Start(t.Context(), runner.Task{ //nolint:errcheck // the test checks the log of runs
			ID:       "t",
			Session:  "s",
			Boot:     boot,
			Identity: "i",
			Team:     "team",
			Path:     "/x?duration_ms=2000",
		}, strings.NewReader(""))
		time.Sleep(time.Second)
		if err := worker.Checkpoint(t.Context(), "t"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := worker.Resume(t.Context(), "t"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		type segment struct {
			number     int
			state      runner.State
			start, end time.Duration
		}
		var got []segment
		for _, run := range worker.Runs().Runs {
			if run.Identity != "i" || run.Task != "t" || run.Team != "team" {
				t.Fatalf("run is %+v", run)
			}
			got = append(got, segment{
				run.Segment, run.State,
				time.Duration(run.StartNS - start.UnixNano()), time.Duration(run.EndNS - start.UnixNano()),
			})
		}
		want := []segment{
			{0, runner.StateCheckpointed, 0, time.Second},
			{1, runner.StateDone, 2 * time.Second, 3 * time.Second},
		}
		if !slices.Equal(got, want) {
			t.Fatalf("segments are %+v, want %+v", got, want)
		}
	})
}
