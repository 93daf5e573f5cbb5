package journaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing/iotest"
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// fakeWorker is a fake target that counts the runs of each identity.
type fakeWorker struct {
	mu          sync.Mutex
	boot        int
	sessions    map[string]time.Time // expiry time by session
	revoked     map[string]bool
	tasks       map[string]*fakeTask
	runs        map[string]int
	truncated   int // number of answers still to be cut short
	unreachable bool
	status      int
	padding     int // bytes added to each answer
	duration    time.Duration
	peak        int // most jobs that ran at the same time
}

type fakeTask struct {
	session string
	state   runner.State
	done    chan struct{}
	data    []byte
	job     bool
}

var errUnreachable = errors.New("no answer")

func newWorker() *fakeWorker {
	w := &fakeWorker{
		runs:     map[string]int{},
		status:   200,
		duration: 4 * time.Second,
	}
	w.restart()
	return w
}

func (w *fakeWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot++
	for _, tk := range w.tasks {
		if tk.state == runner.StateRunning {
			tk.state = runner.StateStopped
			close(tk.done)
		}
	}
	w.sessions, w.revoked, w.tasks = map[string]time.Time{}, map[string]bool{}, map[string]*fakeTask{}
}

func (w *fakeWorker) setUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = unreachable
}

func (w *fakeWorker) open(id string, ttl time.Duration) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return "", errUnreachable
	}
	end, ok := w.sessions[id]
	if w.revoked[id] || (ok && time.Now().After(end)) {
		return "", runner.ErrSessionEnded
	}
	if !ok {
		w.sessions[id] = time.Now().Add(ttl)
	}
	return fmt.Sprint(w.boot), nil
}

func (w *fakeWorker) renew(id, boot string, ttl time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return errUnreachable
	}
	if end, ok := w.sessions[id]; !ok || boot != fmt.Sprint(w.boot) || w.revoked[id] || time.Now().After(end) {
		return runner.ErrSessionEnded
	}
	w.sessions[id] = time.Now().Add(ttl)
	return nil
}

func (w *fakeWorker) start(t runner.Task, body []byte) (*fakeTask, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return nil, errUnreachable
	}
	if tk := w.tasks[t.ID]; tk != nil {
		return tk, nil
	}
	if end, ok := w.sessions[t.Session]; !ok || t.Boot != fmt.Sprint(w.boot) || w.revoked[t.Session] || time.Now().After(end) {
		return nil, fmt.Errorf("%w: %w", runner.ErrNotRun, runner.ErrSessionEnded)
	}
	tk := &fakeTask{
		session: t.Session,
		state:   runner.StateRunning,
		done:    make(chan struct{}),
		data:    append(resultOf(t.Identity, body), make([]byte, w.padding)...),
		job:     t.Deferrable,
	}
	w.tasks[t.ID] = tk
	w.runs[t.Identity]++
	w.peak = max(w.peak, w.countRunning())
	time.AfterFunc(w.duration, func() { w.endTask(tk, true) })
	return tk, nil
}

// countRunning counts the running jobs. The lock is held.
func (w *fakeWorker) countRunning() int {
	n := 0
	for _, tk := range w.tasks {
		if tk.job && tk.state == runner.StateRunning && time.Now().Before(w.sessions[tk.session]) {
			n++
		}
	}
	return n
}

// resultOf returns the application's answer; every other identity gets a large result.
func resultOf(identity string, body []byte) []byte {
	data := []byte(identity + ":" + string(body))
	if identity[len(identity)-1]%2 == 0 {
		return append(data, make([]byte, 3*MaxInlineBytes)...)
	}
	return data
}

// endTask ends a task: as done if it was answered within its session, otherwise as stopped.
func (w *fakeWorker) endTask(tk *fakeTask, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if tk.state != runner.StateRunning {
		return
	}
	tk.state = runner.StateStopped
	if answered && time.Now().Before(w.sessions[tk.session]) {
		tk.state = runner.StateDone
	}
	close(tk.done)
}

func (w *fakeWorker) answer(ctx context.Context, tk *fakeTask) (*runner.Answer, error) {
	select {
	case <-tk.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable || tk.state != runner.StateDone {
		return nil, runner.ErrOutcomeUnknown
	}
	var body io.Reader = bytes.NewReader(tk.data)
	if w.truncated > 0 {
		w.truncated--
		body = io.MultiReader(bytes.NewReader(tk.data[:3]), iotest.ErrReader(runner.ErrTruncated))
	}
	return &runner.Answer{
		Status:      w.status,
		ContentType: "text/plain",
		Body:        io.NopCloser(body),
	}, nil
}

// delayedTarget holds back starts, but no other calls, until its channel is closed.
type delayedTarget struct {
	runner.Target
	until chan struct{}
}

func (d *delayedTarget) Start(ctx context.Context, t runner.Task, body io.Reader) (*runner.Answer, error) {
	<-d.until
	return d.Target.Start(ctx, t, body)
}

// gatedTarget is the worker as one owner reaches it, through the owner's gate. Methods that the
// journal does not call are left out.
type gatedTarget struct {
	runner.Target
	worker *fakeWorker
	gate   *gate
	owner  *owner
}

// checkPermitted fails the test when work is started or renewed without permission.
func (g *gatedTarget) checkPermitted(call string) {
	if !g.owner.mayRun("") {
		g.owner.w.t.Errorf("%s by %s without permission", call, g.owner.name)
	}
}

func (g *gatedTarget) OpenSession(_ context.Context, id string, ttl time.Duration) (string, error) {
	defer g.gate.cross()()
	return g.worker.open(id, ttl)
}

func (g *gatedTarget) RenewSession(_ context.Context, id, boot string, ttl time.Duration) error {
	g.checkPermitted("renewal")
	defer g.gate.cross()()
	return g.worker.renew(id, boot, ttl)
}

func (g *gatedTarget) RevokeSession(_ context.Context, id string) (runner.Revocation, error) {
	defer g.gate.cross()()
	g.worker.mu.Lock()
	defer g.worker.mu.Unlock()
	if g.worker.unreachable {
		return runner.Revocation{}, errUnreachable
	}
	g.worker.revoked[id] = true
	return runner.Revocation{Boot: fmt.Sprint(g.worker.boot)}, nil
}

func (g *gatedTarget) Start(ctx context.Context, t runner.Task, body io.Reader) (*runner.Answer, error) {
	g.checkPermitted("start")
	defer g.gate.cross()()
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	tk, err := g.worker.start(t, data)
	if err != nil {
		return nil, err
	}
	return g.worker.answer(ctx, tk)
}

func (g *gatedTarget) find(id string) (*fakeTask, error) {
	g.worker.mu.Lock()
	defer g.worker.mu.Unlock()
	if g.worker.unreachable {
		return nil, errUnreachable
	}
	tk := g.worker.tasks[id]
	if tk == nil {
		return nil, runner.ErrUnknownTask
	}
	if tk.state == runner.StateRunning && !time.Now().Before(g.worker.sessions[tk.session]) {
		tk.state = runner.StateStopped
		close(tk.done)
	}
	return tk, nil
}

func (g *gatedTarget) Status(_ context.Context, id string) (runner.Status, error) {
	defer g.gate.cross()()
	tk, err := g.find(id)
	if err != nil {
		return runner.Status{}, err
	}
	g.worker.mu.Lock()
	defer g.worker.mu.Unlock()
	return runner.Status{
		ID:    id,
		State: tk.state,
	}, nil
}

func (g *gatedTarget) Answer(ctx context.Context, id string) (*runner.Answer, error) {
	defer g.gate.cross()()
	tk, err := g.find(id)
	if err != nil {
		return nil, err
	}
	return g.worker.answer(ctx, tk)
}

func (g *gatedTarget) Adopt(_ context.Context, id, session string) error {
	g.checkPermitted("adoption")
	defer g.gate.cross()()
	tk, err := g.find(id)
	if err != nil {
		return err
	}
	g.worker.mu.Lock()
	defer g.worker.mu.Unlock()
	tk.session = session
	return nil
}

func (g *gatedTarget) Stop(_ context.Context, id string) error {
	tk, err := g.find(id)
	if err == nil {
		g.worker.endTask(tk, false)
	}
	return err
}
