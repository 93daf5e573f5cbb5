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

// worker is a fake target that counts the runs of each identity.
type worker struct {
	mu       sync.Mutex
	boot     int
	sessions map[string]time.Time // end of the session
	revoked  map[string]bool
	tasks    map[string]*task
	runs     map[string]int
	broken   int // answers that end too early
	away     bool
	status   int
	large    int // bytes added to each answer
	duration time.Duration
	peak     int // most jobs that ran at the same time
}

type task struct {
	session string
	state   runner.State
	done    chan struct{}
	data    []byte
	job     bool
}

var errAway = errors.New("no answer")

func newWorker() *worker {
	w := &worker{
		runs:     map[string]int{},
		status:   200,
		duration: 4 * time.Second,
	}
	w.restart()
	return w
}

func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot++
	for _, tk := range w.tasks {
		if tk.state == runner.StateRunning {
			tk.state = runner.StateStopped
			close(tk.done)
		}
	}
	w.sessions, w.revoked, w.tasks = map[string]time.Time{}, map[string]bool{}, map[string]*task{}
}

func (w *worker) setAway(away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away = away
}

func (w *worker) open(id string, ttl time.Duration) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return "", errAway
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

func (w *worker) renew(id, boot string, ttl time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return errAway
	}
	if end, ok := w.sessions[id]; !ok || boot != fmt.Sprint(w.boot) || w.revoked[id] || time.Now().After(end) {
		return runner.ErrSessionEnded
	}
	w.sessions[id] = time.Now().Add(ttl)
	return nil
}

func (w *worker) start(t runner.Task, body []byte) (*task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return nil, errAway
	}
	if tk := w.tasks[t.ID]; tk != nil {
		return tk, nil
	}
	if end, ok := w.sessions[t.Session]; !ok || t.Boot != fmt.Sprint(w.boot) || w.revoked[t.Session] || time.Now().After(end) {
		return nil, fmt.Errorf("%w: %w", runner.ErrNotRun, runner.ErrSessionEnded)
	}
	tk := &task{
		session: t.Session,
		state:   runner.StateRunning,
		done:    make(chan struct{}),
		data:    append(resultOf(t.Identity, body), make([]byte, w.large)...),
		job:     t.Deferrable,
	}
	w.tasks[t.ID] = tk
	w.runs[t.Identity]++
	w.peak = max(w.peak, w.jobs())
	time.AfterFunc(w.duration, func() { w.end(tk, true) })
	return tk, nil
}

// jobs counts the running jobs. The lock is held.
func (w *worker) jobs() int {
	n := 0
	for _, tk := range w.tasks {
		if tk.job && tk.state == runner.StateRunning && time.Now().Before(w.sessions[tk.session]) {
			n++
		}
	}
	return n
}

// resultOf is what the application answers; every other identity gets a large result.
func resultOf(identity string, body []byte) []byte {
	data := []byte(identity + ":" + string(body))
	if identity[len(identity)-1]%2 == 0 {
		return append(data, make([]byte, 3*MaxInlineBytes)...)
	}
	return data
}

// end finishes a task, unless its session has expired: then the worker has stopped it.
func (w *worker) end(tk *task, answered bool) {
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

func (w *worker) answer(ctx context.Context, tk *task) (*runner.Answer, error) {
	select {
	case <-tk.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away || tk.state != runner.StateDone {
		return nil, runner.ErrOutcomeUnknown
	}
	var body io.Reader = bytes.NewReader(tk.data)
	if w.broken > 0 {
		w.broken--
		body = io.MultiReader(bytes.NewReader(tk.data[:3]), iotest.ErrReader(runner.ErrTruncated))
	}
	return &runner.Answer{
		Status:      w.status,
		ContentType: "text/plain",
		Body:        io.NopCloser(body),
	}, nil
}

// delayed holds starts until its channel is closed, apart from all other calls.
type delayed struct {
	runner.Target
	until chan struct{}
}

func (d *delayed) Start(ctx context.Context, t runner.Task, body io.Reader) (*runner.Answer, error) {
	<-d.until
	return d.Target.Start(ctx, t, body)
}

// gated is the worker as one owner reaches it. Methods that the journal does not call are left out.
type gated struct {
	runner.Target
	worker *worker
	gate   *gate
	owner  *owner
}

// permitted fails the test when work is started or prolonged without the right.
func (g *gated) permitted(call string) {
	if !g.owner.mayUse("") {
		g.owner.w.t.Errorf("%s by %s without the right", call, g.owner.name)
	}
}

func (g *gated) OpenSession(_ context.Context, id string, ttl time.Duration) (string, error) {
	defer g.gate.cross()()
	return g.worker.open(id, ttl)
}

func (g *gated) RenewSession(_ context.Context, id, boot string, ttl time.Duration) error {
	g.permitted("renewal")
	defer g.gate.cross()()
	return g.worker.renew(id, boot, ttl)
}

func (g *gated) RevokeSession(_ context.Context, id string) (runner.Revocation, error) {
	defer g.gate.cross()()
	g.worker.mu.Lock()
	defer g.worker.mu.Unlock()
	if g.worker.away {
		return runner.Revocation{}, errAway
	}
	g.worker.revoked[id] = true
	return runner.Revocation{Boot: fmt.Sprint(g.worker.boot)}, nil
}

func (g *gated) Start(ctx context.Context, t runner.Task, body io.Reader) (*runner.Answer, error) {
	g.permitted("start")
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

func (g *gated) find(id string) (*task, error) {
	g.worker.mu.Lock()
	defer g.worker.mu.Unlock()
	if g.worker.away {
		return nil, errAway
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

func (g *gated) Status(_ context.Context, id string) (runner.Status, error) {
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

func (g *gated) Answer(ctx context.Context, id string) (*runner.Answer, error) {
	defer g.gate.cross()()
	tk, err := g.find(id)
	if err != nil {
		return nil, err
	}
	return g.worker.answer(ctx, tk)
}

func (g *gated) Adopt(_ context.Context, id, session string) error {
	g.permitted("adoption")
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

func (g *gated) Stop(_ context.Context, id string) error {
	tk, err := g.find(id)
	if err == nil {
		g.worker.end(tk, false)
	}
	return err
}
