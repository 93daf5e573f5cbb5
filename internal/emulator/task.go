package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// task is one task of a Worker. All fields except spec.ID and done are guarded by Worker.mu.
type task struct {
	spec        runner.Task
	app         behaviour
	truncate    bool
	state       runner.State
	bodyArrived bool
	remaining   time.Duration // run time left at full speed when resumed was set
	percent     int           // speed in percent of full speed
	resumed     time.Time     // when timer was set
	timer       *time.Timer   // ends the run
	timeout     *time.Timer   // stops the task
	answer      []byte        // head of the answer
	run         *Run          // the open entry in the log, nil while not running
	segment     int           // number of the next entry in the log
	done        chan struct{} // closed at the end
	endedAt     time.Time
}

func newTask(spec runner.Task, app behaviour, faults WorkerFaults) *task {
	app.duration += time.Duration(faults.SlowMS) * time.Millisecond
	if faults.FailAll {
		app = behaviour{status: http.StatusInternalServerError}
	}
	return &task{
		spec:      spec,
		app:       app,
		truncate:  faults.Truncate,
		state:     runner.StateRunning,
		remaining: app.duration,
		percent:   100,
		done:      make(chan struct{}),
	}
}

func (t *task) ended() bool {
	return t.state == runner.StateDone || t.state == runner.StateStopped
}

func (t *task) status() runner.Status {
	return runner.Status{
		ID:      t.spec.ID,
		Session: t.spec.Session,
		Team:    t.spec.Team,
		State:   t.state,
	}
}

func (w *Worker) reserve(t *task) {
	w.used = w.used.Plus(t.spec.Resources)
	w.running++
	w.recordUsage()
}

func (w *Worker) release(t *task) {
	w.used = w.used.Minus(t.spec.Resources)
	w.running--
	w.recordUsage()
}

// abandon removes a task whose body did not arrive in full, so it has not run.
func (w *Worker) abandon(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.spec.ID] == t {
		w.finish(t, runner.StateStopped)
		delete(w.tasks, t.spec.ID)
	}
}

// begin runs the application after the body has arrived.
func (w *Worker) begin(t *task, body runner.Digest) {
	_, sum := body.Trailers()
	head, err := json.Marshal(Echo{
		Identity: t.spec.Identity,
		Xxhash:   sum,
		Length:   body.Length,
	})
	if err != nil {
		head = []byte(err.Error()) // not reached: strings and numbers can be encoded
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.ended() {
		return
	}
	t.bodyArrived = true
	t.answer = head
	if t.spec.Timeout > 0 {
		t.timeout = time.AfterFunc(t.spec.Timeout, func() { w.timeOut(t) })
	}
	if t.state == runner.StateRunning {
		w.run(t)
	}
}

func (w *Worker) timeOut(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(t, runner.StateStopped)
}

// run starts or continues the run time and adds an entry to the log of runs.
func (w *Worker) run(t *task) {
	t.run = w.runs.add(t)
	t.segment++
	w.schedule(t)
}

// schedule sets the timer for the end of the remaining run time.
func (w *Worker) schedule(t *task) {
	t.resumed = time.Now()
	duration := t.remaining * 100 / time.Duration(t.percent)
	var timer *time.Timer
	timer = time.AfterFunc(duration, func() { w.complete(t, &timer) })
	t.timer = timer
}

// complete ends the run unless its timer has been replaced. The timer is passed
// by reference because it can fire before it is assigned.
func (w *Worker) complete(t *task, timer **time.Timer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.timer == *timer && t.state == runner.StateRunning {
		w.finish(t, runner.StateDone)
	}
}

// pause stops the run time and closes the entry in the log of runs.
func (w *Worker) pause(t *task, state runner.State) {
	if t.run == nil {
		return
	}
	w.updateRemaining(t)
	t.run.State = state
	t.run.EndNS = time.Now().UnixNano()
	t.run = nil
}

// updateRemaining stops the timer and subtracts the run time since resumed from remaining.
func (w *Worker) updateRemaining(t *task) {
	t.timer.Stop()
	t.timer = nil
	t.remaining = max(0, t.remaining-time.Since(t.resumed)*time.Duration(t.percent)/100)
}

// finish ends a task and frees its resources, unless it has already ended.
func (w *Worker) finish(t *task, state runner.State) {
	if t.ended() {
		return
	}
	heldResources := t.state == runner.StateRunning
	w.pause(t, state)
	if t.timeout != nil {
		t.timeout.Stop()
	}
	t.state = state
	t.endedAt = time.Now()
	if heldResources {
		w.release(t)
	}
	close(t.done)
}

// await waits for the end of a task and returns its answer.
func (w *Worker) await(ctx context.Context, t *task) (*runner.Answer, error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		return nil, runner.Error.Wrap(fmt.Errorf("%w: %w", runner.ErrOutcomeUnknown, ctx.Err()))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.state != runner.StateDone {
		return nil, runner.Error.Wrap(fmt.Errorf("%w: %w", runner.ErrOutcomeUnknown, runner.ErrTaskStopped))
	}
	body := &padded{
		head:   t.answer,
		length: max(int64(len(t.answer)), t.app.bytes),
	}
	answer := &runner.Answer{
		Status:      t.app.status,
		ContentType: "application/json",
		Body:        io.NopCloser(body),
	}
	if t.truncate {
		answer.Body = &truncated{
			sent: io.LimitReader(body, body.length/2),
			rest: body,
		}
	}
	return answer, nil
}

// truncated is a body that ends with ErrTruncated after sent. The cut-off part is rest.
type truncated struct {
	sent io.Reader
	rest io.Reader
}

// Read implements io.Reader.
func (t *truncated) Read(p []byte) (int, error) {
	n, err := t.sent.Read(p)
	if errors.Is(err, io.EOF) {
		return n, runner.Error.Wrap(runner.ErrTruncated)
	}
	return n, err
}

// Close implements io.Closer.
func (t *truncated) Close() error {
	return nil
}

// Status implements runner.Target.
func (w *Worker) Status(ctx context.Context, id string) (runner.Status, error) {
	var status runner.Status
	err := w.withTask(ctx, id, func(t *task) error {
		status = t.status()
		return nil
	})
	return status, err
}

// Answer implements runner.Target.
func (w *Worker) Answer(ctx context.Context, id string) (*runner.Answer, error) {
	var found *task
	if err := w.withTask(ctx, id, func(t *task) error {
		found = t
		return nil
	}); err != nil {
		return nil, err
	}
	return w.await(ctx, found)
}

// Adopt implements runner.Target. An ended task can be adopted for its kept answer.
func (w *Worker) Adopt(ctx context.Context, id, to string) error {
	return w.withTask(ctx, id, func(t *task) error {
		if !w.sessions[to].open(time.Now()) {
			return runner.ErrSessionEnded
		}
		t.spec.Session = to
		return nil
	})
}

// Stop implements runner.Target. Stopping an ended task changes nothing.
func (w *Worker) Stop(ctx context.Context, id string) error {
	return w.withTask(ctx, id, func(t *task) error {
		w.finish(t, runner.StateStopped)
		return nil
	})
}

// Checkpoint implements runner.Target.
func (w *Worker) Checkpoint(ctx context.Context, id string) error {
	return w.withTask(ctx, id, func(t *task) error {
		if t.ended() {
			return runner.ErrTaskEnded
		}
		if t.state == runner.StateCheckpointed {
			return nil
		}
		t.state = runner.StateCheckpointed
		w.pause(t, t.state)
		w.release(t)
		return nil
	})
}

// Resume implements runner.Target.
func (w *Worker) Resume(ctx context.Context, id string) error {
	return w.withTask(ctx, id, func(t *task) error {
		switch {
		case t.ended():
			return runner.ErrTaskEnded
		case t.state == runner.StateRunning:
			return nil
		case !t.spec.Resources.FitsIn(w.cfg.Total.Minus(w.used)):
			return runner.ErrBusy
		}
		t.state = runner.StateRunning
		w.reserve(t)
		if t.bodyArrived {
			w.run(t)
		}
		return nil
	})
}

// Throttle implements runner.Target.
func (w *Worker) Throttle(ctx context.Context, id string, percent int) error {
	return w.withTask(ctx, id, func(t *task) error {
		if percent < 1 || percent > 100 {
			return fmt.Errorf("%w: percent is %d, want 1 to 100", runner.ErrInvalid, percent)
		}
		if t.ended() {
			return runner.ErrTaskEnded
		}
		if t.run == nil {
			t.percent = percent
			return nil
		}
		w.updateRemaining(t)
		t.percent = percent
		w.schedule(t)
		return nil
	})
}

// withTask locks w and calls f with the task.
func (w *Worker) withTask(ctx context.Context, id string, f func(*task) error) error {
	if err := ctx.Err(); err != nil {
		return runner.Error.Wrap(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired()
	t := w.tasks[id]
	if t == nil {
		return runner.Error.Wrap(runner.ErrUnknownTask)
	}
	return runner.Error.Wrap(f(t))
}

// copyAnswer copies body to w and hash and returns its length. The cut-off part of a truncated
// body is not written to w, but counts for hash and length.
func copyAnswer(w io.Writer, hash io.Writer, body io.Reader) (int64, error) {
	n, err := io.Copy(io.MultiWriter(w, hash), body)
	cut, ok := body.(*truncated)
	if !ok || !errors.Is(err, runner.ErrTruncated) {
		return n, err
	}
	rest, err := io.Copy(hash, cut.rest)
	return n + rest, err
}
