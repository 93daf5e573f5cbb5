package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

const (
	// DefaultSlots and the resources below are those of the users' present VMs.
	DefaultSlots = 8
	// DefaultConnections is how many connections a worker accepts at a time.
	DefaultConnections = 64
	// DefaultMillicores is 32 cores, in thousandths of a core.
	DefaultMillicores = 32_000
	// DefaultMemoryMB is 64 GB.
	DefaultMemoryMB = 65_536
	// DefaultAnswerRetention is how long answers of ended tasks are kept.
	DefaultAnswerRetention = 10 * time.Minute
	// sessionRetention is how long the id of an ended session is kept. It is longer than any
	// request can be delayed, so that a late one does not open the session again.
	sessionRetention = time.Hour
	// dropInterval is the time between removals of expired sessions and answers.
	dropInterval = time.Second
	// maxBodyBytes limits the body of a task.
	maxBodyBytes = 16 << 20
)

// WorkerFaults are the faults that can be set at run time.
type WorkerFaults struct {
	// FailAll makes each task end at once with status 500.
	FailAll bool `json:"fail_all"`
	// Truncate cuts each answer to half, but states its full length and digest.
	Truncate bool `json:"truncate"`
	// SlowMS is added to the duration of each task that is started.
	SlowMS int64 `json:"slow_ms"`
	// UsageLagMS is the age of the usage report.
	UsageLagMS int64 `json:"usage_lag_ms"`
}

func (f WorkerFaults) validate() error {
	largest := maxDelay.Milliseconds()
	if f.SlowMS < 0 || f.SlowMS > largest || f.UsageLagMS < 0 || f.UsageLagMS > largest {
		return fmt.Errorf("%w: slow_ms and usage_lag_ms must be 0 to %d", errBadRequest, largest)
	}
	return nil
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Total           runner.Resources
	AnswerRetention time.Duration // zero means DefaultAnswerRetention
	Faults          WorkerFaults
}

// DefaultResources returns the resources of one of the users' present VMs.
func DefaultResources() runner.Resources {
	return runner.Resources{
		Slots:     DefaultSlots,
		CPUMillis: DefaultMillicores,
		MemoryMB:  DefaultMemoryMB,
	}
}

// Worker emulates the platform's worker program on one VM. It implements runner.Target for use
// in the same process; WorkerServer serves it over the network.
type Worker struct {
	cfg WorkerConfig

	mu        sync.Mutex
	boot      string
	sessions  map[string]*session
	tasks     map[string]*task
	droppedAt time.Time // when dropExpired last removed sessions and answers
	used      runner.Resources
	running   int
	usage     []usageView // oldest first
	draining  bool
	faults    WorkerFaults
	runs      runLog
}

// session is a lease: its tasks are stopped when it expires.
type session struct {
	expires time.Time
	revoked bool
	timer   *time.Timer // ends the tasks at expires
}

func (s *session) open(now time.Time) bool {
	return s != nil && !s.revoked && now.Before(s.expires)
}

var _ runner.Target = (*Worker)(nil)

// NewWorker returns a worker without sessions and tasks.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	if cfg.AnswerRetention == 0 {
		cfg.AnswerRetention = DefaultAnswerRetention
	}
	if cfg.Total.Slots < 1 || cfg.Total.CPUMillis < 0 || cfg.Total.MemoryMB < 0 || cfg.Total.Accelerators < 0 {
		return nil, fmt.Errorf("%w: resources %+v: want at least one slot and no negative value", errBadRequest, cfg.Total)
	}
	if err := cfg.Faults.validate(); err != nil {
		return nil, err
	}
	w := &Worker{
		cfg:    cfg,
		faults: cfg.Faults,
	}
	w.reset()
	return w, nil
}

// Reboot stops all tasks and drops sessions, tasks and answers. The log of runs
// is kept, because it belongs to the emulator and not to the emulated VM.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.sessions {
		s.timer.Stop()
	}
	for _, t := range w.tasks {
		w.finish(t, runner.StateStopped)
	}
	w.reset()
}

func (w *Worker) reset() {
	w.boot = uuid.NewString()
	w.sessions = map[string]*session{}
	w.tasks = map[string]*task{}
	w.used = runner.Resources{}
	w.running = 0
	w.usage = nil
	w.draining = false
	w.recordUsage()
}

// SetDraining makes the worker refuse new tasks, or accept them again.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
	w.recordUsage()
}

// Draining reports whether the worker refuses new tasks.
func (w *Worker) Draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Faults returns the current faults.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) error {
	if err := f.validate(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	return nil
}

// OpenSession implements runner.Target. A session that has ended is not opened again.
func (w *Worker) OpenSession(ctx context.Context, id string, ttl time.Duration) (string, error) {
	if err := ctx.Err(); err != nil {
		return "", runner.Error.Wrap(err)
	}
	if id == "" || ttl <= 0 || ttl > maxDelay {
		return "", runner.Error.New("%w: a session needs an id and a time to live up to %v", runner.ErrInvalid, maxDelay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired()
	now := time.Now()
	s := w.sessions[id]
	if s == nil {
		s = &session{expires: now.Add(ttl)}
		s.timer = time.AfterFunc(ttl, func() { w.expire(id, s) })
		w.sessions[id] = s
	} else if !s.open(now) {
		return "", runner.Error.Wrap(runner.MarkNotRun(runner.ErrSessionEnded))
	}
	return w.boot, nil
}

// RenewSession implements runner.Target.
func (w *Worker) RenewSession(ctx context.Context, id, boot string, ttl time.Duration) error {
	if err := ctx.Err(); err != nil {
		return runner.Error.Wrap(err)
	}
	if id == "" || ttl <= 0 || ttl > maxDelay {
		return runner.Error.New("%w: a session needs an id and a time to live up to %v", runner.ErrInvalid, maxDelay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired()
	now := time.Now()
	s := w.sessions[id]
	if boot != w.boot || !s.open(now) {
		return runner.Error.Wrap(runner.MarkNotRun(runner.ErrSessionEnded))
	}
	s.expires = now.Add(ttl)
	s.timer.Reset(ttl)
	return nil
}

// RevokeSession implements runner.Target.
func (w *Worker) RevokeSession(ctx context.Context, id string) (runner.Revocation, error) {
	if err := ctx.Err(); err != nil {
		return runner.Revocation{}, runner.Error.Wrap(err)
	}
	if id == "" {
		return runner.Revocation{}, runner.Error.New("%w: a session needs an id", runner.ErrInvalid)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired()
	s := w.sessions[id]
	if s == nil {
		s = &session{expires: time.Now()}
		s.timer = time.AfterFunc(0, func() {})
		w.sessions[id] = s
	}
	s.revoked = true
	revocation := runner.Revocation{Boot: w.boot}
	for _, t := range w.tasks {
		if t.spec.Session == id {
			revocation.Tasks = append(revocation.Tasks, t.status())
		}
	}
	return revocation, nil
}

// expire stops the tasks of a session that has expired.
func (w *Worker) expire(id string, s *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The session may have been renewed between the timer and the lock.
	if w.sessions[id] != s || time.Now().Before(s.expires) {
		return
	}
	for _, t := range w.tasks {
		if t.spec.Session == id {
			w.finish(t, runner.StateStopped)
		}
	}
}

// dropExpired removes ended sessions and answers after their retention. It runs at most once
// per dropInterval, because it visits all kept answers.
func (w *Worker) dropExpired() {
	now := time.Now()
	if now.Sub(w.droppedAt) < dropInterval {
		return
	}
	w.droppedAt = now
	for id, s := range w.sessions {
		if now.Sub(s.expires) > sessionRetention {
			delete(w.sessions, id)
		}
	}
	for id, t := range w.tasks {
		if t.ended() && now.Sub(t.endedAt) > w.cfg.AnswerRetention {
			delete(w.tasks, id)
		}
	}
}

// Start implements runner.Target.
func (w *Worker) Start(ctx context.Context, spec runner.Task, body io.Reader) (*runner.Answer, error) {
	t, known, err := w.admit(ctx, spec)
	if err != nil {
		return nil, err
	}
	if !known {
		hash := xxhash.New()
		n, err := io.Copy(hash, io.LimitReader(body, maxBodyBytes+1))
		if err == nil && n > maxBodyBytes {
			err = fmt.Errorf("body larger than %d bytes", maxBodyBytes)
		}
		if err != nil {
			w.abandon(t)
			return nil, runner.Error.Wrap(runner.MarkNotRun(err))
		}
		w.begin(t, runner.Digest{
			Length: n,
			Sum:    hash.Sum64(),
		})
	}
	return w.await(ctx, t)
}

// admit returns the task with this id if it is known, or else a new one with its resources
// reserved.
func (w *Worker) admit(ctx context.Context, spec runner.Task) (t *task, known bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, runner.Error.Wrap(runner.MarkNotRun(err))
	}
	app, err := parseBehaviour(spec.Path)
	if err != nil || spec.ID == "" {
		return nil, false, runner.Error.Wrap(runner.MarkNotRun(fmt.Errorf("%w: task %q, path %q", runner.ErrInvalid, spec.ID, spec.Path)))
	}
	spec.Resources.Slots = max(spec.Resources.Slots, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired()
	if t := w.tasks[spec.ID]; t != nil {
		return t, true, nil
	}
	refused := func(err error) (*task, bool, error) { return nil, false, runner.Error.Wrap(runner.MarkNotRun(err)) }
	switch {
	case spec.Boot != w.boot, !w.sessions[spec.Session].open(time.Now()):
		return refused(runner.ErrSessionEnded)
	case w.draining:
		return refused(runner.ErrDraining)
	case !validResources(spec.Resources) || !spec.Resources.FitsIn(w.cfg.Total):
		return refused(fmt.Errorf("%w: the task needs %+v, the worker has %+v", runner.ErrInvalid, spec.Resources, w.cfg.Total))
	case !spec.Resources.FitsIn(w.cfg.Total.Minus(w.used)):
		return refused(runner.ErrBusy)
	}
	t = newTask(spec, app, w.faults)
	w.tasks[spec.ID] = t
	w.reserve(t)
	return t, false, nil
}

// Usage implements runner.Target.
func (w *Worker) Usage(ctx context.Context) (runner.Usage, error) {
	if err := ctx.Err(); err != nil {
		return runner.Usage{}, runner.Error.Wrap(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportUsage(), nil
}

// Health implements runner.Target.
func (w *Worker) Health(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return runner.Error.Wrap(err)
	}
	if w.Draining() {
		return runner.Error.Wrap(runner.ErrDraining)
	}
	return nil
}
