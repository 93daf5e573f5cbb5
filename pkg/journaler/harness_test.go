package journaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// gate stops everything that one owner sends and receives. Calls that wait at
// it go through when it opens, like packets of a paused process.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil: open
}

func (g *gate) set(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused && g.closed == nil {
		g.closed = make(chan struct{})
	}
	if !paused && g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// cross passes the gate at once and again in the returned function.
func (g *gate) cross() func() {
	g.pass()
	return g.pass
}

// world is one store, one worker and some owners.
type world struct {
	t      testing.TB
	store  *observed
	worker *worker
	owners []*owner
	mu     sync.Mutex
	claims map[uuid.UUID]int // submissions that may have been accepted
	fresh  map[uuid.UUID]bool
	wg     sync.WaitGroup

	attempts atomic.Int64 // by callers on the line
}

// owner is one entry daemon.
type owner struct {
	gate
	w       *world
	name    string
	j       *Journal
	mu      sync.Mutex
	down    bool
	lost    int // answers to lose
	calls   int
	crashAt int    // pauses for good at this call, counted before and after each call; zero: never
	crashOn string // counts only calls for this shard and for bodies and results
	free    int    // allowance that is not in use
	ended   []bool // arguments of the releases
	noRight bool
	lapse   bool // the right runs out with the next placement
}

func newWorld(t testing.TB, owners int) *world {
	w := &world{
		t:      t,
		store:  &observed{Store: storer.NewMemory(), t: t, codec: mustCodec(t), docs: map[string]*Document{}},
		worker: newWorker(),
		claims: map[uuid.UUID]int{},
		fresh:  map[uuid.UUID]bool{},
	}
	for n := range owners {
		o := &owner{
			w:    w,
			name: string(rune('a' + n)),
			free: ownerAllowance,
		}
		target := &gated{
			worker: w.worker,
			gate:   &o.gate,
			owner:  o,
		}
		o.j = New(Config{
			Store:   &storer.Faulty{Store: w.store, Before: o.before, After: o.after},
			Entry:   o.name,
			Limiter: &Pacer{},
			Targets: func(string) (runner.Target, error) { return target, nil },
			Dispatcher: &placer{
				target: target,
				owner:  o,
			},
			MayUse:   o.mayUse,
			SweepAge: time.Nanosecond,
		})
		w.owners = append(w.owners, o)
	}
	return w
}

const (
	// ownerAllowance is what each owner may run at a time.
	ownerAllowance = 3
	// sessionEnd is the time after which a session without renewals has certainly ended.
	sessionEnd = 20200 * time.Millisecond
)

func (o *owner) mayUse(string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.noRight
}

// acquire waits for allowance.
func (o *owner) acquire(ctx context.Context) (func(ended bool), error) {
	for !o.take() {
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return func(ended bool) {
		o.mu.Lock()
		o.ended = append(o.ended, ended)
		o.mu.Unlock()
		if ended {
			o.giveBack()
		} else {
			time.AfterFunc(sessionEnd, o.giveBack)
		}
	}, nil
}

func (o *owner) take() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.free <= 0 {
		return false
	}
	o.free--
	return true
}

func (o *owner) giveBack() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.free++
}

// toggle cuts the owner off from the store, or connects it again.
func (o *owner) toggle() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = !o.down
}

func (o *owner) step(op storer.Op, key string) error {
	o.mu.Lock()
	if op == storer.OpList { // of the sweep, which belongs to no request
		key = ""
	}
	if key == o.crashOn || strings.Count(key, "/") > 1 {
		o.calls++
		if o.calls == o.crashAt {
			o.set(true)
		}
	}
	down := o.down
	o.mu.Unlock()
	o.pass()
	if down {
		return storer.ErrUnavailable
	}
	return nil
}

func (o *owner) before(_ context.Context, op storer.Op, key string) error { return o.step(op, key) }

func (o *owner) after(_ context.Context, op storer.Op, key string) error {
	_ = o.step(op, key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost > 0 && op == storer.OpCompareAndSwap {
		o.lost--
		return storer.ErrOutcomeUnknown
	}
	return nil
}

// observed checks every committed document against the one before.
type observed struct {
	storer.Store
	t     testing.TB
	codec *codec
	mu    sync.Mutex
	docs  map[string]*Document
}

// CompareAndSwap ignores the end of ctx: what a paused process has sent arrives.
func (o *observed) CompareAndSwap(ctx context.Context, w storer.Write) (storer.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, err := o.Store.CompareAndSwap(context.WithoutCancel(ctx), w)
	if err != nil || strings.Count(w.Key, "/") > 1 {
		return v, err
	}
	doc, err := o.codec.decode(w.Value)
	if err != nil {
		return v, err
	}
	if old := o.docs[w.Key]; old != nil {
		for id, r := range old.Records {
			if now, ok := doc.Records[id]; r.State.Final() && ok && now.State != r.State {
				o.t.Errorf("%s ended twice: %s, then %s", id, r.State, now.State)
			}
		}
	}
	o.docs[w.Key] = doc
	return v, nil
}

// Delete checks that no record names the key, unless the record is about to be dropped.
func (o *observed) Delete(ctx context.Context, key string, expected storer.Version) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, doc := range o.docs {
		for id, r := range doc.Records {
			if slices.Contains(r.keys(), key) && !r.expired(time.Now()) {
				o.t.Errorf("%s lost its key %s", id, key)
			}
		}
	}
	return o.Store.Delete(ctx, key, expected)
}

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
	return &runner.Answer{Status: w.status, ContentType: "text/plain", Body: io.NopCloser(body)}, nil
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
	return runner.Status{ID: id, State: tk.state}, nil
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

type placer struct {
	target runner.Target
	owner  *owner
}

func (p *placer) Place(ctx context.Context, job Job) (Placement, error) {
	if job.Request.Queue == "never" {
		return Placement{}, ErrNeverRuns
	}
	release, err := p.owner.acquire(ctx)
	p.owner.mu.Lock()
	p.owner.noRight = p.owner.noRight || p.owner.lapse
	p.owner.mu.Unlock()
	return Placement{
		Name:    "w",
		Target:  p.target,
		Release: release,
	}, err
}

func (p *placer) Acquire(ctx context.Context, _ Job) (func(ended bool), error) {
	return p.owner.acquire(ctx)
}
