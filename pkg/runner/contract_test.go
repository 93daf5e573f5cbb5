package runner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// fixture is a Target with the emulated worker behind it.
type fixture struct {
	target runner.Target
	worker *emulator.Worker
}

var implementations = []struct {
	name string
	open func(t *testing.T) fixture
}{
	{"worker", func(t *testing.T) fixture {
		worker := newWorker(t)
		return fixture{worker, worker}
	}},
	{"client", func(t *testing.T) fixture {
		worker := newWorker(t)
		client, _ := serve(t, worker)
		return fixture{client, worker}
	}},
}

func newWorker(t *testing.T) *emulator.Worker {
	t.Helper()
	worker, err := emulator.NewWorker(emulator.WorkerConfig{Total: emulator.DefaultResources()})
	if err != nil {
		t.Fatal(err)
	}
	return worker
}

// serve returns a client of a worker. It must be called in a synctest bubble.
func serve(t *testing.T, worker *emulator.Worker) (*runner.Client, *emulator.WorkerServer) {
	t.Helper()
	listener := emulator.NewMemoryListener()
	server, err := emulator.NewWorkerServer(worker, listener, emulator.DefaultConnections)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve() //nolint:errcheck // ends when the test does
	client := runner.NewClient(runner.ClientConfig{
		Address: "worker:1",
		Dial:    listener.DialContext,
	})
	t.Cleanup(func() {
		client.Close()
		synctest.Wait()
		server.Close() //nolint:errcheck // the test is over
		synctest.Wait()
	})
	return client, server
}

func (f fixture) open(t *testing.T, session string) string {
	t.Helper()
	boot, err := f.target.OpenSession(t.Context(), session, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return boot
}

// renew renews a session that was opened since the last boot of the worker.
func (f fixture) renew(t *testing.T, session string) {
	t.Helper()
	must(t, f.target.RenewSession(t.Context(), session, f.boot(), 10*time.Second))
}

// boot returns the present boot id of the worker.
func (f fixture) boot() string {
	return f.worker.Runs().Boot
}

func (f fixture) newTask(id, path string) runner.Task {
	return runner.Task{
		ID:       id,
		Session:  "s1",
		Boot:     f.boot(),
		Identity: "identity of " + id,
		Team:     "équipe\u007f",
		Method:   http.MethodPost,
		Path:     path,
	}
}

// start starts a task in the background and waits until it runs.
func (f fixture) start(t *testing.T, task runner.Task) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	go func() {
		answer, err := f.target.Start(t.Context(), task, strings.NewReader("body"))
		if err == nil {
			err = check(answer, task.Identity, "body")
		}
		result <- err
	}()
	synctest.Wait()
	return result
}

// check verifies that an answer is complete and belongs to its request.
func check(answer *runner.Answer, identity, body string) error {
	defer answer.Body.Close()
	echo, err := emulator.ParseEcho(answer.Body)
	if err != nil {
		return err
	}
	want := emulator.Echo{
		Identity: identity,
		Xxhash:   fmt.Sprintf("%016x", xxhash.Sum64String(body)),
		Length:   int64(len(body)),
	}
	if echo != want {
		return fmt.Errorf("answer is %+v, want %+v", echo, want)
	}
	return nil
}

func (f fixture) state(t *testing.T, task string) runner.State {
	t.Helper()
	status, err := f.target.Status(t.Context(), task)
	if err != nil {
		t.Fatal(err)
	}
	return status.State
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, got error, wanted ...error) {
	t.Helper()
	for _, err := range wanted {
		if !errors.Is(got, err) {
			t.Fatalf("error is %v, want %v", got, err)
		}
	}
}

var contract = []struct {
	name string
	run  func(t *testing.T, f fixture)
}{
	{"an answer belongs to its request and has the requested status and length", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		body := strings.Repeat("chalk", 100_000)
		answer, err := f.target.Start(t.Context(), f.newTask("t1", "/x?status=503&bytes=3000000"), strings.NewReader(body))
		must(t, err)
		if answer.Status != 503 {
			t.Fatalf("status is %d", answer.Status)
		}
		must(t, check(answer, "identity of t1", body))
		answer, err = f.target.Answer(t.Context(), "t1")
		must(t, err)
		n, err := io.Copy(io.Discard, answer.Body)
		must(t, err)
		must(t, answer.Body.Close())
		if n != 3_000_000 {
			t.Fatalf("length is %d", n)
		}
	}},
	{"a task that is started twice runs once", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		first := f.start(t, f.newTask("t1", "/x?duration_ms=1000"))
		second := f.start(t, f.newTask("t1", "/x?duration_ms=1000"))
		must(t, <-first)
		must(t, <-second)
		must(t, <-f.start(t, f.newTask("t1", "/x?duration_ms=1000")))
		if runs := f.worker.Runs().Runs; len(runs) != 1 {
			t.Fatalf("runs: %+v", runs)
		}
	}},
	{"a start without an open session is not run", func(t *testing.T, f fixture) {
		want(t, <-f.start(t, f.newTask("t1", "/x")), runner.ErrNotRun, runner.ErrSessionEnded)
		f.open(t, "s1")
		time.Sleep(10 * time.Second)
		want(t, <-f.start(t, f.newTask("t1", "/x")), runner.ErrNotRun, runner.ErrSessionEnded)
		_, err := f.target.OpenSession(t.Context(), "s1", time.Second)
		want(t, err, runner.ErrSessionEnded)
		_, err = f.target.Status(t.Context(), "t1")
		want(t, err, runner.ErrUnknownTask)
	}},
	{"a revoked session that was not open cannot be opened", func(t *testing.T, f fixture) {
		revocation, err := f.target.RevokeSession(t.Context(), "s1")
		must(t, err)
		_, err = f.target.OpenSession(t.Context(), "s1", time.Second)
		want(t, err, runner.ErrSessionEnded)
		if boot := f.open(t, "s2"); boot != revocation.Boot || len(revocation.Tasks) != 0 {
			t.Fatalf("boot %s, revocation %+v", boot, revocation)
		}
	}},
	{"tasks of an expired session are stopped and those of a renewed one are not", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		result := f.start(t, f.newTask("t1", "/x?duration_ms=60000"))
		time.Sleep(9 * time.Second)
		f.open(t, "s1") // does not extend the session
		f.renew(t, "s1")
		time.Sleep(9 * time.Second)
		if state := f.state(t, "t1"); state != runner.StateRunning {
			t.Fatalf("state is %s", state)
		}
		want(t, <-result, runner.ErrTaskStopped, runner.ErrOutcomeUnknown)
		if state := f.state(t, "t1"); state != runner.StateStopped {
			t.Fatalf("state is %s", state)
		}
	}},
	{"after a revocation the tasks continue until the end of the session and only adopted ones longer", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		adopted := f.start(t, f.newTask("t1", "/x?duration_ms=20000"))
		left := f.start(t, f.newTask("t2", "/x?duration_ms=20000"))
		revocation, err := f.target.RevokeSession(t.Context(), "s1")
		must(t, err)
		if len(revocation.Tasks) != 2 {
			t.Fatalf("revocation is %+v", revocation)
		}
		want(t, <-f.start(t, f.newTask("t3", "/x")), runner.ErrNotRun, runner.ErrSessionEnded)
		want(t, f.target.Adopt(t.Context(), "t1", "s2"), runner.ErrSessionEnded)
		f.open(t, "s2")
		must(t, f.target.Adopt(t.Context(), "t1", "s2"))
		time.Sleep(9 * time.Second)
		f.renew(t, "s2")
		if state := f.state(t, "t2"); state != runner.StateRunning {
			t.Fatalf("state is %s", state)
		}
		want(t, <-left, runner.ErrTaskStopped)
		time.Sleep(8 * time.Second)
		f.renew(t, "s2")
		must(t, <-adopted)
	}},
	{"no more tasks than slots run", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		for i := range emulator.DefaultSlots {
			f.start(t, f.newTask(fmt.Sprint("t", i), "/x?duration_ms=5000"))
		}
		want(t, <-f.start(t, f.newTask("late", "/x")), runner.ErrNotRun, runner.ErrBusy)
		time.Sleep(5 * time.Second)
		synctest.Wait() // until the timers of this instant have ended the tasks
		must(t, <-f.start(t, f.newTask("late", "/x")))
	}},
	{"memory and accelerators bound the tasks", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		big := f.newTask("t1", "/x?duration_ms=5000")
		big.Resources.MemoryMB = emulator.DefaultMemoryMB
		f.start(t, big)
		more := f.newTask("t2", "/x")
		more.Resources.MemoryMB = 1
		want(t, <-f.start(t, more), runner.ErrNotRun, runner.ErrBusy)
		more.Resources = runner.Resources{Accelerators: 1}
		if err := <-f.start(t, more); !errors.Is(err, runner.ErrNotRun) || errors.Is(err, runner.ErrBusy) {
			t.Fatalf("error is %v", err)
		}
	}},
	{"a checkpointed task frees its slot and resumes where it was", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		task := f.newTask("t1", "/x?duration_ms=4000")
		task.Resources.Slots = emulator.DefaultSlots
		result := f.start(t, task)
		time.Sleep(3 * time.Second)
		must(t, f.target.Checkpoint(t.Context(), "t1"))
		other := f.newTask("t2", "/x?duration_ms=1000")
		waiting := f.start(t, other)
		want(t, f.target.Resume(t.Context(), "t1"), runner.ErrBusy)
		must(t, <-waiting)
		start := time.Now()
		must(t, f.target.Resume(t.Context(), "t1"))
		must(t, <-result)
		if took := time.Since(start); took != time.Second {
			t.Fatalf("took %v after the resume", took)
		}
		want(t, f.target.Checkpoint(t.Context(), "t1"), runner.ErrTaskEnded)
	}},
	{"a throttled task takes longer", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		start := time.Now()
		result := f.start(t, f.newTask("t1", "/x?duration_ms=3000"))
		time.Sleep(time.Second)
		must(t, f.target.Throttle(t.Context(), "t1", 50))
		must(t, <-result)
		if took := time.Since(start); took != 5*time.Second {
			t.Fatalf("took %v", took)
		}
		want(t, f.target.Throttle(t.Context(), "t1", 0), runner.ErrInvalid)
	}},
	{"a stopped task has no answer and an ended one keeps it", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		result := f.start(t, f.newTask("t1", "/x?duration_ms=5000"))
		must(t, f.target.Stop(t.Context(), "t1"))
		want(t, <-result, runner.ErrTaskStopped)
		_, err := f.target.Answer(t.Context(), "t1")
		want(t, err, runner.ErrTaskStopped)
		must(t, <-f.start(t, f.newTask("t2", "/x")))
		must(t, f.target.Stop(t.Context(), "t2"))
		answer, err := f.target.Answer(t.Context(), "t2")
		must(t, err)
		must(t, check(answer, "identity of t2", "body"))
	}},
	{"a task is stopped at its timeout", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		task := f.newTask("t1", "/x?duration_ms=5000")
		task.Timeout = time.Second
		want(t, <-f.start(t, task), runner.ErrTaskStopped)
	}},
	{"a caller that gives up leaves the task running and its answer kept", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.target.Start(ctx, f.newTask("t1", "/x?duration_ms=5000"), strings.NewReader("body"))
		want(t, err, runner.ErrOutcomeUnknown)
		answer, err := f.target.Answer(t.Context(), "t1")
		must(t, err)
		must(t, check(answer, "identity of t1", "body"))
	}},
	{"a draining worker finishes its tasks and takes no new ones", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		must(t, f.target.Health(t.Context()))
		result := f.start(t, f.newTask("t1", "/x?duration_ms=5000"))
		f.worker.SetDraining(true)
		want(t, f.target.Health(t.Context()), runner.ErrDraining)
		want(t, <-f.start(t, f.newTask("t2", "/x")), runner.ErrNotRun, runner.ErrDraining)
		must(t, <-result)
	}},
	{"a reboot changes the boot id and forgets the tasks", func(t *testing.T, f fixture) {
		boot := f.open(t, "s1")
		result := f.start(t, f.newTask("t1", "/x?duration_ms=5000"))
		f.worker.Reboot()
		want(t, <-result, runner.ErrOutcomeUnknown)
		_, err := f.target.Status(t.Context(), "t1")
		want(t, err, runner.ErrUnknownTask)
		if again := f.open(t, "s2"); again == boot {
			t.Fatal("the boot id did not change")
		}
	}},
	{"a renewal opens no session and extends none of an earlier boot", func(t *testing.T, f fixture) {
		renew := func(boot string) error {
			return f.target.RenewSession(t.Context(), "s1", boot, 10*time.Second)
		}
		want(t, renew(f.boot()), runner.ErrSessionEnded)
		boot := f.open(t, "s1")
		must(t, renew(boot))
		f.worker.Reboot()
		want(t, renew(boot), runner.ErrSessionEnded)
		want(t, renew(f.boot()), runner.ErrSessionEnded)
		f.open(t, "s1")
		want(t, renew(boot), runner.ErrSessionEnded)
	}},
	{"a start with an earlier boot id is not run although its session was opened again", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		task := f.newTask("t1", "/x")
		_, err := f.target.RevokeSession(t.Context(), "s1")
		must(t, err)
		f.worker.Reboot()
		f.open(t, "s1")
		want(t, <-f.start(t, task), runner.ErrNotRun, runner.ErrSessionEnded)
		task.Boot = ""
		want(t, <-f.start(t, task), runner.ErrNotRun, runner.ErrSessionEnded)
		if runs := f.worker.Runs().Runs; len(runs) != 0 {
			t.Fatalf("runs: %+v", runs)
		}
	}},
	{"usage reports lag behind", func(t *testing.T, f fixture) {
		must(t, f.worker.SetFaults(emulator.WorkerFaults{UsageLagMS: 2000}))
		f.open(t, "s1")
		f.start(t, f.newTask("t1", "/x?duration_ms=9000"))
		for _, running := range []int{0, 1} {
			usage, err := f.target.Usage(t.Context())
			must(t, err)
			if usage.Running != running || usage.Used.Slots != running || usage.AgeMS != 2000 {
				t.Fatalf("usage is %+v, want %d running", usage, running)
			}
			time.Sleep(2 * time.Second)
		}
	}},
	{"a worker that fails everything answers with an error status", func(t *testing.T, f fixture) {
		must(t, f.worker.SetFaults(emulator.WorkerFaults{FailAll: true}))
		f.open(t, "s1")
		answer, err := f.target.Start(t.Context(), f.newTask("t1", "/x?duration_ms=5000"), strings.NewReader("body"))
		must(t, err)
		defer answer.Body.Close()
		if answer.Status != http.StatusInternalServerError {
			t.Fatalf("status is %d", answer.Status)
		}
	}},
	{"a truncated answer is not reported as complete", func(t *testing.T, f fixture) {
		must(t, f.worker.SetFaults(emulator.WorkerFaults{Truncate: true}))
		f.open(t, "s1")
		answer, err := f.target.Start(t.Context(), f.newTask("t1", "/x?bytes=100000"), strings.NewReader("body"))
		must(t, err)
		defer answer.Body.Close()
		n, err := io.Copy(io.Discard, answer.Body)
		want(t, err, runner.ErrTruncated)
		if n != 50_000 {
			t.Fatalf("%d bytes", n)
		}
	}},
	{"a malformed task is not run", func(t *testing.T, f fixture) {
		f.open(t, "s1")
		want(t, <-f.start(t, f.newTask("t1", "/x?status=100")), runner.ErrNotRun, runner.ErrInvalid)
	}},
}

func TestTargetContract(t *testing.T) {
	for _, impl := range implementations {
		for _, c := range contract {
			t.Run(impl.name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, impl.open(t)) })
			})
		}
	}
}
