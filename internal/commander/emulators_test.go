package commander

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// TestEmulatorsRefuseBadFlags guards against an emulator that starts with other settings than
// requested, and against errors that are longer than one line.
func TestEmulatorsRefuseBadFlags(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	tests := []struct {
		name string
		args string
		want string
	}{
		{"not a number", "worker --slots x", `worker: invalid value "x" for flag -slots`},
		{"no slots", "worker --slots 0", "worker: --slots is 0, expected 1 to 1000"},
		{"no connections", "worker --connections 0", "worker: --connections is 0"},
		{"negative memory", "worker --memory-mb=-1", "worker: --memory-mb is -1"},
		{"negative lag", "worker --usage-lag=-1s", "worker: --usage-lag is -1s, expected 0s to 1h0m0s"},
		{"no unit", "worker --usage-lag 5", "missing unit"},
		{"unknown flag", "worker --nope", "worker: flag provided but not defined: -nope"},
		{"argument", "worker extra", `worker: unexpected arguments "extra"`},
		{"worker port taken", "worker --listen " + taken.Addr().String(), "address already in use"},
		{"platform port taken", "platform --listen " + taken.Addr().String(), "address already in use"},
		{"no port", "platform --listen nowhere", "platform: --listen: "},
		{"malformed VM", "platform --vm a", "must be NAME/ZONE/RACK/HOST:PORT"},
		{"VM twice", "platform --vm a/z/r/h:1 --vm a/z/r/h:2", `name "a" is given twice`},
		{"latency too long", "platform --latency 2h", "platform: --latency is 2h0m0s"},
		{"value missing", "platform --vm", "platform: flag needs an argument: --vm"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := Main(append([]string{"comfreyford"}, strings.Fields(tt.args)...), &stdout, &stderr)
			if status == 0 || stdout.Len() != 0 {
				t.Errorf("status %d, stdout %q", status, stdout.String())
			}
			if got := stderr.String(); !strings.Contains(got, tt.want) || strings.Count(got, "\n") != 1 {
				t.Errorf("stderr is %q, want one line with %q", got, tt.want)
			}
		})
	}
}

// process is a subcommand that runs in this process.
type process struct {
	address string
	status  chan int
}

// start starts a subcommand and waits until it listens.
func start(t *testing.T, args ...string) process {
	t.Helper()
	reader, writer := io.Pipe()
	p := process{status: make(chan int, 1)}
	go func() {
		status := Main(append([]string{"comfreyford"}, args...), writer, io.Discard)
		writer.Close() //nolint:errcheck // always nil
		p.status <- status
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if err != nil || !ok {
		t.Fatalf("first line is %q, %v", line, err)
	}
	p.address = address
	return p
}

// TestEmulatorsServeUntilSIGTERM guards against emulators that do not serve over real
// sockets, do not reach each other, or do not stop on SIGTERM. It checks no durations.
func TestEmulatorsServeUntilSIGTERM(t *testing.T) {
	worker := start(t, "worker", "--listen", "127.0.0.1:0")
	platform := start(t, "platform", "--listen", "127.0.0.1:0", "--vm", "a/az1/r1/"+worker.address, "--reboot-time", "1ms")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	store := storer.NewClient(storer.ClientConfig{Address: platform.address, Timeout: time.Minute})
	defer store.Close()
	if _, err := store.CompareAndSwap(ctx, storer.Write{Key: "k", Value: []byte("v")}); err != nil {
		t.Error(err)
	}
	target := runner.NewClient(runner.ClientConfig{Address: worker.address, Timeout: time.Minute, SilenceLimit: time.Minute})
	defer target.Close()
	boot, err := target.OpenSession(ctx, "s", time.Minute)
	if err != nil {
		t.Error(err)
	}
	vms := lister.NewClient(lister.ClientConfig{Address: platform.address, Timeout: time.Minute})
	defer vms.Close()
	if err := vms.Reboot(ctx, "a", "op1"); err != nil {
		t.Error(err)
	}
	for current := boot; current == boot && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		// Errors are expected while the worker reboots.
		if got, err := target.OpenSession(ctx, "s", time.Minute); err == nil {
			current = got
		}
	}
	if ctx.Err() != nil {
		t.Error("the worker did not restart")
	}

	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, p := range []process{worker, platform} {
		if status := <-p.status; status != 0 {
			t.Errorf("status is %d", status)
		}
	}
}
