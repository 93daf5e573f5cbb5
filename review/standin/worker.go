package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the workers, those of the site craie-ops where it states one.
const (
	HoldMax   = 6000 * time.Millisecond // longest lease
	KillTime  = 200 * time.Millisecond  // time that a stopped run takes to end
	Heartbeat = 1500 * time.Millisecond // between two writes of the registration
)

// Run is a run of a task at a worker.
type Run struct {
	Worker  string
	Task    string
	RunID   uint64
	Life    int
	Began   time.Duration
	Ended   time.Duration // zero while it works
	How     string
	cpu     int64
	ends    time.Time // zero for a task that lasts
	stopAt  time.Time
	started time.Time
	fails   bool // it ends failed instead of done
}

// Worker is a worker of the platform. Its tasks only take time.
type Worker struct {
	ID      string
	Machine string
	Service string
	CPU     int64
	Labels  []string

	record  *Record
	store   *Store
	adviser *Adviser
	addr    string

	mu       sync.Mutex
	server   *http.Server // nil while it is down
	links    *silencer
	life     int
	born     time.Time
	fence    uint64
	deadline time.Time
	active   map[string]*Run // by task and run
	highest  map[string]uint64
	ended    [][]any
	lastEnd  uint64
	sequence int
	changed  chan struct{} // closed and replaced when a run ends
	left     bool
	runs     []*Run // of all lives
}

// NewWorker returns a worker that is down. It listens at address (host:port) when it starts.
func NewWorker(record *Record, store *Store, adviser *Adviser, id, machine, service, address string, cpu int64, labels ...string) *Worker {
	w := &Worker{
		ID:      id,
		Machine: machine,
		Service: service,
		CPU:     cpu,
		Labels:  labels,
		record:  record,
		store:   store,
		adviser: adviser,
		addr:    address,
		changed: make(chan struct{}),
	}
	go w.simulate()
	return w
}

// Start begins a life of the worker. It holds and knows nothing of an earlier one.
func (f *Worker) Start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.server != nil || f.left {
		return
	}
	f.life++
	f.born = time.Now()
	f.fence, f.lastEnd, f.ended, f.deadline = 0, 0, nil, time.Time{}
	f.active, f.highest = map[string]*Run{}, map[string]uint64{}
	f.sequence = 0
	mux := http.NewServeMux()
	life := f.life
	mux.HandleFunc("POST /v1/run-start", f.call(life, f.start))
	mux.HandleFunc("POST /v1/run-stop", f.call(life, f.stop))
	mux.HandleFunc("POST /v1/pace", f.call(life, f.answerClock))
	mux.HandleFunc("POST /v1/hold", f.hold(life))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l, err := listen(f.addr)
	if err != nil {
		panic(err)
	}
	f.links = newSilencer(l)
	f.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go f.server.Serve(f.links) //nolint:errcheck // ends with the life
	f.record.Add("worker %s begins life %d", f.ID, f.life)
}

// listen listens on an address that another listener may have left a moment ago.
func listen(address string) (net.Listener, error) {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// Crash ends the life of the worker without a word. Its connections are reset.
func (f *Worker) Crash() {
	f.mu.Lock()
	server := f.server
	f.server = nil
	for _, r := range f.active {
		f.finish(r, "lost")
	}
	f.active = map[string]*Run{}
	f.notify()
	if server != nil {
		f.record.Add("worker %s crashes", f.ID)
	}
	f.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Silence makes the open connections to the worker go silent for good, and returns how many there
// are. New ones work.
func (f *Worker) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links == nil {
		return 0
	}
	return f.links.silence()
}

// Leave ends the worker for good and removes its registration.
func (f *Worker) Leave() {
	f.Crash()
	f.mu.Lock()
	f.left = true
	f.mu.Unlock()
	f.store.Remove("servers/" + f.ID)
}

// Idle reports whether nothing runs there.
func (f *Worker) Idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.active) == 0
}

// Runs returns copies of all runs of all lives.
func (f *Worker) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make([]Run, 0, len(f.runs))
	for _, r := range f.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Register writes the registration.
func (f *Worker) Register() {
	f.mu.Lock()
	if f.server == nil || f.left {
		f.mu.Unlock()
		return
	}
	f.sequence++
	value := map[string]any{
		"Service":         f.Service,
		"Address":         f.addr,
		"Zone":            "north",
		"Version":         "1",
		"Slots":           8,
		"State":           "ready",
		"ColdRemainingMs": 0,
		"Sequence":        f.sequence,
		"HostMachine":     f.Machine,
		"Capacity":        map[string]any{"Cpu": f.CPU, "MemMb": 65536, "Gpu": 0},
		"Labels":          f.Labels,
		"born":            f.born.UnixMilli(),
	}
	id, life, first := f.ID, f.life, f.sequence == 1
	f.mu.Unlock()
	f.store.Put("servers/"+id, value)
	if first {
		f.record.Add("worker %s registers life %d", id, life)
	}
}

// simulate ends runs when they are due, and writes the registration with each heartbeat. The
// entry of a worker that is silent for three heartbeats is removed.
func (f *Worker) simulate() {
	missed := 0
	for tick := 1; ; tick++ {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		f.advance(time.Now())
		up, left := f.server != nil, f.left
		f.mu.Unlock()
		if left {
			return
		}
		if tick%int(Heartbeat/(5*time.Millisecond)) != 0 {
			continue
		}
		if up {
			missed = 0
			f.Register()
		} else if missed++; missed == 3 {
			f.store.Remove("servers/" + f.ID)
		}
	}
}

func (f *Worker) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Worker) advance(now time.Time) {
	for _, r := range f.active {
		switch {
		case now.After(f.deadline):
			f.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			f.end(r, "stopped")
		case !r.ends.IsZero() && now.After(r.ends) && r.fails:
			f.end(r, "failed")
		case !r.ends.IsZero() && now.After(r.ends):
			f.end(r, "done")
		}
	}
}

func (f *Worker) finish(r *Run, how string) {
	r.Ended, r.How = f.record.Now(), how
	f.record.Add("worker %s life %d: run %d of %s ends %s", f.ID, f.life, r.RunID, r.Task, how)
}

func (f *Worker) end(r *Run, how string) {
	delete(f.active, key(r.Task, r.RunID))
	f.finish(r, how)
	f.highest[r.Task] = max(f.highest[r.Task], r.RunID)
	f.lastEnd++
	f.ended = append(f.ended, []any{f.lastEnd, r.Task, r.RunID, how, ""})
	f.notify()
}

func key(task string, run uint64) string { return task + "#" + strconv.FormatUint(run, 10) }

type order struct {
	Task         string
	RunId        uint64 //nolint:revive // name of the platform
	Spec         string
	Ticket       string
	DeadlineMs   int64
	FencingToken uint64
	AckedThrough uint64
	WaitMs       int64
}

// accept decodes a call and checks its instance and fence. The caller holds the lock.
func (f *Worker) accept(w http.ResponseWriter, r *http.Request, life int) (order, bool) {
	var c order
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	f.mu.Lock()
	switch {
	case f.server == nil || f.life != life:
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.Header.Get("Comfreyford-Expect-Instance") != f.ID:
		f.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	case c.FencingToken < f.fence:
		f.refuse(w, c, "fence")
		f.mu.Unlock()
		return c, false
	}
	f.fence = c.FencingToken
	f.advance(time.Now())
	return c, true
}

func (f *Worker) call(life int, serve func(http.ResponseWriter, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := f.accept(w, r, life)
		if !ok {
			return
		}
		defer f.mu.Unlock()
		serve(w, c)
	}
}

func (f *Worker) clock() int64 { return time.Since(f.born).Milliseconds() }

func (f *Worker) answerClock(w http.ResponseWriter, _ order) {
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": f.clock()})
}

func (f *Worker) refuse(w http.ResponseWriter, c order, reason string) {
	f.record.Add("worker %s life %d: run %d of %s refused: %s", f.ID, f.life, c.RunId, c.Task, reason)
	writeJSON(w, http.StatusConflict, map[string]any{
		"ClockMs": f.clock(),
		"Reason":  reason,
	})
}

func (f *Worker) extend(deadlineMS int64) {
	until := f.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(HoldMax); until.After(limit) {
		until = limit
	}
	if until.After(f.deadline) {
		f.deadline = until
	}
}

// attempts counts the runs of each task at all workers, for tasks whose first runs fail.
var attempts sync.Map

// start runs a task as its specification says: "MILLISECONDS MILLICORES"; 0 ms: it lasts. A third
// number is that of the first runs of each task that fail.
func (f *Worker) start(w http.ResponseWriter, c order) {
	fields := strings.Fields(c.Spec)
	failing := 0
	if len(fields) == 3 {
		failing, _ = strconv.Atoi(fields[2])
		fields = fields[:2]
	}
	if len(fields) != 2 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(fields[0])
	cpu, _ := strconv.ParseInt(fields[1], 10, 64)
	used := cpu
	for _, r := range f.active {
		used += r.cpu
	}
	switch {
	case f.active[key(c.Task, c.RunId)] != nil:
		f.extend(c.DeadlineMs)
	case f.clock() > c.DeadlineMs:
		f.refuse(w, c, "late")
		return
	case c.RunId <= f.highest[c.Task]:
		f.extend(c.DeadlineMs)
		f.refuse(w, c, "old")
		return
	case !f.adviser.accepts(c.Task, f.ID, c.Ticket):
		f.refuse(w, c, "ticket")
		return
	case used > f.CPU:
		f.extend(c.DeadlineMs)
		f.refuse(w, c, "room")
		return
	default:
		f.extend(c.DeadlineMs)
		r := &Run{
			Worker:  f.ID,
			Task:    c.Task,
			RunID:   c.RunId,
			Life:    f.life,
			Began:   f.record.Now(),
			cpu:     cpu,
			started: time.Now(),
		}
		if ms > 0 {
			r.ends = time.Now().Add(time.Duration(ms) * time.Millisecond)
		}
		if failing > 0 {
			n, _ := attempts.LoadOrStore(c.Task, new(atomic.Int64))
			r.fails = int(n.(*atomic.Int64).Add(1)) <= failing
		}
		f.active[key(c.Task, c.RunId)] = r
		f.runs = append(f.runs, r)
		f.record.Add("worker %s life %d: run %d of %s begins", f.ID, f.life, c.RunId, c.Task)
	}
	f.answerClock(w, c)
}

func (f *Worker) stop(w http.ResponseWriter, c order) {
	f.highest[c.Task] = max(f.highest[c.Task], c.RunId)
	if r := f.active[key(c.Task, c.RunId)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(KillTime)
	}
	f.record.Add("worker %s life %d: stop of run %d of %s", f.ID, f.life, c.RunId, c.Task)
	f.answerClock(w, c)
}

// startupTime is the time until a task that lasts is at work.
const startupTime = 500 * time.Millisecond

// hold extends the lease and answers with the lists: after an end, or when WaitMs has passed.
func (f *Worker) hold(life int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := f.accept(w, r, life)
		if !ok {
			return
		}
		if c.DeadlineMs > 0 {
			f.extend(c.DeadlineMs)
		}
		kept := [][]any{}
		for _, e := range f.ended {
			if e[0].(uint64) > c.AckedThrough {
				kept = append(kept, e)
			}
		}
		f.ended = kept
		wait := time.Duration(min(c.WaitMs, 2000)) * time.Millisecond
		if len(f.ended) == 0 && wait > 0 {
			changed := f.changed
			f.mu.Unlock()
			f.await(r.Context(), changed, wait)
			f.mu.Lock()
			if f.server == nil || f.life != life {
				f.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			f.advance(time.Now())
		}
		defer f.mu.Unlock()
		active := [][]any{}
		for _, r := range f.active {
			percent := 100
			if !r.ends.IsZero() {
				percent = int(100 * time.Since(r.started) / max(1, r.ends.Sub(r.started)))
			} else if time.Since(r.started) < startupTime {
				percent = 10
			}
			active = append(active, []any{r.Task, r.RunID, "", min(percent, 100), 0})
		}
		writeJSON(w, http.StatusOK, map[string]any{
			"ClockMs":  f.clock(),
			"born":     f.born.UnixMilli(),
			"Active":   active,
			"Finished": append([][]any{}, f.ended...),
		})
	}
}

func (f *Worker) await(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// String names the run.
func (r Run) String() string {
	end := "still runs"
	if r.Ended > 0 {
		end = fmt.Sprintf("ended %s at %.3f", r.How, r.Ended.Seconds())
	}
	return fmt.Sprintf("run %d of %s on %s (life %d), began at %.3f, %s", r.RunID, r.Task, r.Worker, r.Life, r.Began.Seconds(), end)
}

// spec is the specification of a task that takes ms, 0 for one that lasts, on cpu thousandths
// of a core.
func spec(ms int, cpu int64) string { return fmt.Sprintf("%d %d", ms, cpu) }

// FailFirst changes a specification so that the first n runs of each task fail.
func FailFirst(spec string, n int) string { return fmt.Sprintf("%s %d", spec, n) }
