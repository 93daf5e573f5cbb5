package lister_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/lister"
)

func vm(name string) lister.VM {
	return lister.VM{
		Name:             name,
		AvailabilityZone: "az1",
		Rack:             "rack1",
		Address:          "127.0.0.1:9000",
		State:            lister.StateLive,
	}
}

// fixture is a Lister with the VMs "a" and "b" and a list that lags by 5 s.
type fixture struct {
	lister lister.Lister
	reboot chan string // receives the name of each VM that is rebooted
}

var implementations = []struct {
	name string
	open func(t *testing.T) fixture
}{
	{"memory", func(*testing.T) fixture {
		reboots := make(chan string, 10)
		var memory *lister.Memory
		memory = lister.NewMemory(lister.MemoryConfig{
			VMs: []lister.VM{vm("b"), vm("a")},
			Lag: 5 * time.Second,
			OnReboot: func(vm lister.VM, _ string) {
				reboots <- vm.Name
				if _, err := memory.SetState(vm.Name, lister.StateLeaving); err != nil {
					panic(err)
				}
			},
		})
		return fixture{memory, reboots}
	}},
	{"client", func(t *testing.T) fixture {
		reboots := make(chan string, 10)
		platform, err := emulator.NewPlatform(emulator.PlatformConfig{
			VMs:        []lister.VM{vm("b"), vm("a")},
			Faults:     emulator.PlatformFaults{ListLagMS: 5000},
			RebootTime: time.Hour,
			Signal: func(context.Context, string, string) error {
				reboots <- "a"
				return nil
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		client := serve(t, platform.Handler())
		t.Cleanup(platform.Close)
		return fixture{client, reboots}
	}},
}

func serve(t *testing.T, handler http.Handler) *lister.Client {
	t.Helper()
	listener := emulator.NewMemoryListener()
	server := &http.Server{Handler: handler}
	go server.Serve(listener) //nolint:errcheck // ends with ErrServerClosed
	client := lister.NewClient(lister.ClientConfig{
		Address: "platform",
		Dial:    listener.DialContext,
	})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		synctest.Wait()
	})
	return client
}

func states(t *testing.T, l lister.Lister) []string {
	t.Helper()
	vms, err := l.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, vm := range vms {
		got = append(got, vm.Name+" "+string(vm.State))
	}
	return got
}

var contract = []struct {
	name string
	run  func(t *testing.T, f fixture)
}{
	{"the list is sorted and complete", func(t *testing.T, f fixture) {
		vms, err := f.lister.List(t.Context())
		if err != nil || !slices.Equal(vms, []lister.VM{vm("a"), vm("b")}) {
			t.Fatalf("got %+v, %v", vms, err)
		}
	}},
	{"a repeated operation reboots once", func(t *testing.T, f fixture) {
		for range 3 {
			if err := f.lister.Reboot(t.Context(), "a", "op1"); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if len(f.reboot) != 1 {
			t.Fatalf("%d reboots", len(f.reboot))
		}
		if err := f.lister.Reboot(t.Context(), "a", "op2"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if len(f.reboot) != 2 {
			t.Fatalf("%d reboots after a second operation", len(f.reboot))
		}
	}},
	{"an operation id of another VM is refused", func(t *testing.T, f fixture) {
		if err := f.lister.Reboot(t.Context(), "a", "op1"); err != nil {
			t.Fatal(err)
		}
		if err := f.lister.Reboot(t.Context(), "b", "op1"); !errors.Is(err, lister.ErrOperationReused) {
			t.Fatalf("error is %v", err)
		}
	}},
	{"an unknown VM and empty names are refused", func(t *testing.T, f fixture) {
		if err := f.lister.Reboot(t.Context(), "c", "op1"); !errors.Is(err, lister.ErrUnknownVM) {
			t.Fatalf("error is %v", err)
		}
		if err := f.lister.Reboot(t.Context(), "a", ""); !errors.Is(err, lister.ErrInvalid) {
			t.Fatalf("error is %v", err)
		}
	}},
	{"the list shows a leaving VM after the lag and not before", func(t *testing.T, f fixture) {
		if err := f.lister.Reboot(t.Context(), "a", "op1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5*time.Second - time.Millisecond)
		if got := states(t, f.lister); !slices.Equal(got, []string{"a live", "b live"}) {
			t.Fatalf("before the lag: %v", got)
		}
		time.Sleep(time.Millisecond)
		if got := states(t, f.lister); !slices.Equal(got, []string{"a leaving", "b live"}) {
			t.Fatalf("after the lag: %v", got)
		}
	}},
}

func TestListerContract(t *testing.T) {
	for _, impl := range implementations {
		for _, c := range contract {
			t.Run(impl.name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, impl.open(t)) })
			})
		}
	}
}

// TestClientMapsFaults guards against a missing or malformed answer that is used as the list
// of VMs.
func TestClientMapsFaults(t *testing.T) {
	answer := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(body)) //nolint:errcheck // the client may have gone
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"connection cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"not JSON", answer("<html>")},
		{"malformed VM", answer(`[{"name":"a"}]`)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := serve(t, tt.handler)
				if vms, err := client.List(t.Context()); !errors.Is(err, lister.ErrUnavailable) || vms != nil {
					t.Fatalf("got %v, %v", vms, err)
				}
			})
		})
	}
}

// FuzzParseVM guards against a malformed VM that is accepted and cannot be written back.
func FuzzParseVM(f *testing.F) {
	for _, seed := range []string{"a/az1/r1/127.0.0.1:9000", "a/az1/r1/[::1]:1", "a//r/:1", "a/b/c", "a/b/c/d/e:1", " /b/c/d:1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		vm, err := lister.ParseVM(s)
		if err != nil {
			return
		}
		if back := vm.Name + "/" + vm.AvailabilityZone + "/" + vm.Rack + "/" + vm.Address; back != s {
			t.Fatalf("%q was read as %q", s, back)
		}
	})
}
