// Package demonstrator starts a whole installation as processes on loopback: the
// platform emulator, worker emulators and entry daemons of several availability
// zones. The demo and the process-level tests use it.
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/internal/reserver"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("demonstrator")

const (
	region       = "north"
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	operatorKey  = "demo-operator-key"
)

// Config configures an Installation.
type Config struct {
	Program        string // path of the comfreyford binary
	Dir            string // for settings, certificates and logs
	Zones          int
	EntriesPerZone int
	Log            io.Writer // progress, one line per step
	// AnswerRetention is how long workers keep answers; zero means their default.
	AnswerRetention time.Duration
	Profiling       bool // entry daemons serve profiles on their metrics listener
	// Links sets up relays between an entry daemon, its peers and the platform, whose
	// address it receives; nil means direct connections.
	Links func(e *EntryProcess, platform string) (Links, error)
}

// Links are the addresses through which an entry daemon is connected.
type Links struct {
	PlatformAddress string // at which it reaches the platform
	PeerAddress     string // at which the other entry daemons reach it
}

// EntryProcess is the process of an entry daemon with its listen addresses.
type EntryProcess struct {
	*Process
	Zone            string
	SettingsFile    string // path of the settings file
	CallerAddress   string // address for callers
	OperatorAddress string
	MetricsAddress  string
	PeerAddress     string
	links           Links
}

// WorkerProcess is the process of a worker emulator and the VM that it stands for.
type WorkerProcess struct {
	*Process
	VM   string
	Zone string
	Rack string
	Pool string
}

// Installation is a set of running processes.
type Installation struct {
	cfg      Config
	plan     plan
	log      *os.File
	Platform *Process
	Workers  []*WorkerProcess
	Entries  []*EntryProcess
	Keys     map[string]string // value of Comfreyford-Key by team
	client   *http.Client
	ports    reserver.Ports // of the entry daemons
}

// Start starts all processes, writes the settings documents and the fleet, and waits until
// the entry daemons use all targets. If a step fails, it kills the processes.
func Start(ctx context.Context, cfg Config) (*Installation, error) {
	p, err := readPlan()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(cfg.Dir, "log"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	in := &Installation{
		cfg:    cfg,
		plan:   p,
		log:    log,
		client: &http.Client{Timeout: 10 * time.Second},
	}
	for _, step := range []struct {
		name string
		do   func(ctx context.Context) error
	}{
		{
			name: "workers",
			do:   in.startWorkers,
		},
		{
			name: "platform",
			do:   in.startPlatform,
		},
		{
			name: "entry daemons",
			do:   in.startEntries,
		},
		{
			name: "configuration and fleet",
			do:   in.load,
		},
		{
			name: "targets in use",
			do:   in.awaitTargets,
		},
	} {
		in.progress("%s", step.name)
		if err := step.do(ctx); err != nil {
			in.Kill()
			return nil, errors.Join(err, in.lastLog())
		}
	}
	return in, nil
}

func (in *Installation) progress(format string, args ...any) {
	fmt.Fprintf(in.cfg.Log, "demo: "+format+"\n", args...)
}

// lastLog returns the end of the processes' log as an error.
func (in *Installation) lastLog() error {
	content, err := os.ReadFile(in.log.Name())
	if err != nil {
		return Error.Wrap(err)
	}
	const lines = 15
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return Error.New("log of the processes ends with:\n%s", strings.Join(all[max(0, len(all)-lines):], "\n"))
}

func zoneName(n int) string {
	return "zone-" + string(rune('a'+n))
}

func (in *Installation) startPlatform(context.Context) error {
	args := []string{"platform", "--listen", "127.0.0.1:0"}
	for _, w := range in.Workers {
		args = append(args, "--vm", fmt.Sprintf("%s/%s/%s/%s", w.VM, w.Zone, w.Rack, w.Address))
	}
	p, err := start(in.cfg.Program, "platform", in.log, true, args...)
	if err != nil {
		return err
	}
	in.Platform = p
	return nil
}

func (in *Installation) startEntries(ctx context.Context) error {
	if err := in.writeSettings(); err != nil {
		return err
	}
	for _, e := range in.Entries {
		if err := in.StartEntry(e); err != nil {
			return err
		}
	}
	for _, e := range in.Entries {
		if err := in.await(ctx, e.Name+" ready", func() error { return in.checkReady(e) }); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the process of an entry daemon, also to restart it after its end.
func (in *Installation) StartEntry(e *EntryProcess) error {
	p, err := start(in.cfg.Program, e.Name, in.log, false, "entry", "--settings", e.SettingsFile)
	if err != nil {
		return err
	}
	e.Process = p
	return nil
}

// writeSettings chooses the addresses of all entry daemons and writes their certificates
// and settings files.
func (in *Installation) writeSettings() error {
	now := time.Now()
	authority, err := messenger.NewAuthority("demo", now)
	if err != nil {
		return err
	}
	ca := filepath.Join(in.cfg.Dir, "ca.pem")
	if err := authority.WriteCertificate(ca); err != nil {
		return err
	}
	var contacts []string
	for zone := range in.cfg.Zones {
		for n := range in.cfg.EntriesPerZone {
			e := &EntryProcess{
				Process: &Process{Name: fmt.Sprintf("entry-%s-%d", zoneName(zone), n)},
				Zone:    zoneName(zone),
			}
			for _, address := range []*string{&e.CallerAddress, &e.OperatorAddress, &e.MetricsAddress, &e.PeerAddress} {
				if *address, err = in.ports.Reserve(); err != nil {
					return Error.Wrap(err)
				}
			}
			e.SettingsFile = filepath.Join(in.cfg.Dir, e.Name+".toml")
			if err := in.link(e); err != nil {
				return err
			}
			in.Entries = append(in.Entries, e)
			contacts = append(contacts, e.links.PeerAddress)
		}
	}
	hash := sha256.Sum256([]byte(operatorKey))
	for _, e := range in.Entries {
		certificate := filepath.Join(in.cfg.Dir, e.Name+".pem")
		key := filepath.Join(in.cfg.Dir, e.Name+".key")
		if _, err := authority.Issue(e.Name, certificate, key, now); err != nil {
			return err
		}
		text := fmt.Sprintf(`name = %q
region = %q
availability_zone = %q
caller_address = %q
operator_address = %q
metrics_address = %q
peer_address = %q
peer_advertise_address = %q
platform_address = "http://%s"
contact_peers = ["%s"]
certificate_file = %q
private_key_file = %q
ca_files = [%q]
operator_key_sha256 = %q
drain_delay = "200ms"
profiling = %t
`, e.Name, region, e.Zone, e.CallerAddress, e.OperatorAddress, e.MetricsAddress, e.PeerAddress, e.links.PeerAddress, e.links.PlatformAddress,
			strings.Join(contacts, `", "`), certificate, key, ca, hex.EncodeToString(hash[:]), in.cfg.Profiling)
		if err := os.WriteFile(e.SettingsFile, []byte(text), 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// link sets the addresses through which e and the platform or its peers reach each other.
func (in *Installation) link(e *EntryProcess) error {
	e.links = Links{
		PlatformAddress: in.Platform.Address,
		PeerAddress:     e.PeerAddress,
	}
	if in.cfg.Links == nil {
		return nil
	}
	var err error
	e.links, err = in.cfg.Links(e, in.Platform.Address)
	return err
}

func (in *Installation) checkReady(e *EntryProcess) error {
	select {
	case <-e.done:
		return Error.New("%s ended: %w", e.Name, e.err)
	default:
	}
	return in.get("http://"+e.MetricsAddress+"/ready", nil)
}

// load writes the settings documents through the operator API and the fleet document
// directly to the platform's store.
func (in *Installation) load(ctx context.Context) error {
	edits, keys, err := in.plan.edits()
	if err != nil {
		return err
	}
	in.Keys = keys
	change := configurer.Change{
		ID:     uuid.NewString(),
		Author: "demo",
		Edits:  edits,
	}
	if err := in.CallOperatorAPI(ctx, in.Entries[0], http.MethodPost, "/v1/settings/changes", change, nil); err != nil {
		return err
	}
	store := storer.NewClient(storer.ClientConfig{Address: in.Platform.Address})
	_, err = planner.Update(ctx, store, region, uuid.NewString(), func(f planner.Fleet) (planner.Fleet, error) {
		for _, w := range in.Workers {
			next, err := planner.AddVM(f, time.Now(), w.VM, planner.VM{
				Pool:             w.Pool,
				Rack:             w.Rack,
				AvailabilityZone: w.Zone,
				State:            planner.StateServing,
			}, in.plan.Pools)
			if err != nil {
				return f, err
			}
			f = next
		}
		return f, nil
	})
	return Error.Wrap(err)
}

// awaitTargets waits until every entry daemon uses all targets and every journal shard has
// an owner.
func (in *Installation) awaitTargets(ctx context.Context) error {
	for _, e := range in.Entries {
		if err := in.await(ctx, e.Name+" uses all targets", func() error { return in.checkTargets(e) }); err != nil {
			return err
		}
	}
	return in.await(ctx, "all journal shards owned", in.checkShards)
}

func (in *Installation) checkTargets(e *EntryProcess) error {
	usable, err := in.gauge(e, recorder.UsableTargets)
	if err != nil {
		return err
	}
	if usable < len(in.Workers) {
		return Error.New("%d of %d targets usable", usable, len(in.Workers))
	}
	return nil
}

func (in *Installation) checkShards() error {
	owned := 0
	for _, e := range in.Entries {
		n, err := in.gauge(e, recorder.OwnedShards)
		if err != nil {
			return err
		}
		owned += n
	}
	if owned < journaler.Shards {
		return Error.New("%d of %d shards owned", owned, journaler.Shards)
	}
	return nil
}

// gauge returns the sum of a gauge over its labels.
func (in *Installation) gauge(e *EntryProcess, name string) (int, error) {
	page, err := in.Metrics(e)
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, line := range strings.Split(page, "\n") {
		fields := strings.Fields(line)
		if len(fields) != 2 || !strings.HasPrefix(line, name) {
			continue
		}
		if n, err := strconv.Atoi(fields[1]); err == nil {
			sum += n
		}
	}
	return sum, nil
}

// await repeats check until it succeeds, for at most readyTimeout.
func (in *Installation) await(ctx context.Context, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("%s: %w", what, err)
		case <-time.After(pollInterval):
		}
	}
}

// Runs returns the runs that all workers have logged.
func (in *Installation) Runs() ([]emulator.Run, error) {
	var all []emulator.Run
	for _, w := range in.Workers {
		var runs emulator.Runs
		if err := in.get("http://"+w.Address+"/v1/runs", &runs); err != nil {
			return nil, err
		}
		all = append(all, runs.Runs...)
	}
	return all, nil
}

// Stop stops all processes gracefully, entry daemons first.
func (in *Installation) Stop(ctx context.Context) error {
	var err error
	stopped := make(chan error)
	for _, e := range in.Entries {
		go func() { stopped <- e.Stop(ctx) }()
	}
	for range in.Entries {
		err = errors.Join(err, <-stopped)
	}
	for _, w := range in.Workers {
		err = errors.Join(err, w.Stop(ctx))
	}
	in.ports.Close()
	return errors.Join(err, in.Platform.Stop(ctx), in.log.Close())
}

// Kill sends SIGKILL to all processes that were started and waits for their ends.
func (in *Installation) Kill() {
	for _, e := range in.Entries {
		if e.cmd != nil {
			e.Kill()
		}
	}
	for _, w := range in.Workers {
		w.Kill()
	}
	if in.Platform != nil {
		in.Platform.Kill()
	}
	in.ports.Close()
}
