package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	holdMax        = 6 * time.Second
	killTime       = 50 * time.Millisecond // KillMs allows 200
	heartbeat      = 1500 * time.Millisecond
	startupTime    = 900 * time.Millisecond // until a task that lasts is at work
	workerTick     = 5 * time.Millisecond
	maxEndsAtATime = 500
)

// run is a task that a worker runs.
type run struct {
	task    string
	number  uint64
	step    *step
	done    time.Duration // work that is done
	pace    int
	stopAt  time.Time // zero: not ordered to stop
	started time.Time
}

func (r *run) percent() int {
	if r.step.LongRunning {
		return min(100, int(100*r.done/startupTime))
	}
	return min(99, int(100*r.done/r.step.work()))
}

// worker is one machine with the worker on it, by the protocol of the platform. Its tasks only take
// time.
type worker struct {
	rig     *rig
	machine string
	labels  []string
	cpu     int64
	memMB   int64

	mu        sync.Mutex
	life      int
	id        string // of the present life; empty while the worker is down
	born      time.Time
	server    *http.Server
	address   string
	fence     uint64
	deadline  time.Time
	active    map[string]*run // by task
	highest   map[string]uint64
	ends      [][]any
	lastEnd   uint64
	changed   chan struct{} // closed and replaced at each end
	sequence  int
	unhealthy bool // answers 503 to starts
	starts    int
	refused   int
}

func (r *rig) addWorker(name string, labels ...string) *worker {
	w := &worker{
		rig:     r,
		machine: "m-" + name,
		labels:  labels,
		cpu:     32000,
		memMB:   65536,
		changed: make(chan struct{}),
	}
	r.workers = append(r.workers, w)
	w.begin()
	go w.work()
	go w.beat()
	return w
}

// begin starts the next life of the worker.
func (w *worker) begin() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("worker: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("POST /v1/pace", w.setPace)
	w.mu.Lock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", w.machine[2:], w.life)
	w.born = time.Now()
	w.address = l.Addr().String()
	w.fence, w.lastEnd, w.sequence = 0, 0, 0
	w.deadline = time.Time{}
	w.active, w.highest, w.ends = map[string]*run{}, map[string]uint64{}, nil
	w.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }() // until crash
	w.register()
}

// crash ends the worker at once and starts its next life after the time. Its entry in the store goes
// after three heartbeats of silence.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	id, server := w.id, w.server
	lost := len(w.active)
	w.id = ""
	w.active = map[string]*run{}
	w.mu.Unlock()
	_ = server.Close() // resets its connections
	w.rig.runsLost(lost)
	w.rig.record("worker %s of %s crashes with %d runs", id, w.machine, lost)
	time.AfterFunc(3*heartbeat, func() { w.rig.store.remove("servers/" + id) })
	time.AfterFunc(down, w.begin)
}

func (w *worker) clockMS() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.id == "" {
		return
	}
	w.sequence++
	data, err := json.Marshal(map[string]any{
		"Service":         w.rig.service,
		"Address":         w.address,
		"Zone":            zone,
		"Version":         "v1",
		"Slots":           8,
		"State":           "ready",
		"ColdRemainingMs": 0,
		"Capacity":        map[string]int64{"Cpu": w.cpu, "MemMb": w.memMB, "Gpu": 0},
		"Labels":          w.labels,
		"ClockMs":         w.clockMS(),
		"Sequence":        w.sequence,
		"born":            w.born.UnixMilli(),
		"HostMachine":     w.machine,
	})
	if err != nil {
		fail("worker: %v", err)
	}
	w.rig.store.put("servers/"+w.id, data)
}

func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.register()
	}
}

// work advances the runs.
func (w *worker) work() {
	last := time.Now()
	for {
		time.Sleep(workerTick)
		w.mu.Lock()
		now := time.Now()
		passed := now.Sub(last)
		last = now
		for _, r := range w.active {
			r.done += passed * time.Duration(r.pace) / 100
			switch {
			case now.After(w.deadline):
				w.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(r, "stopped")
			case !r.step.LongRunning && r.done >= r.step.work():
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	delete(w.active, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rig.runEnded(w, r, how)
}

type order struct {
	Task         string
	RunId        uint64 //nolint:revive // name of the platform
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckedThrough uint64
	WaitMs       int64
	Percentage   int
}

// accept reads an order and checks the instance and the fencing token. The caller holds the lock if
// ok is true.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	if r.Header.Get("Comfreyford-Expect-Instance") != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if o.FencingToken < w.fence {
		w.reject(rw, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.FencingToken
	return o, true
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{
		"ClockMs": w.clockMS(),
		"Reason":  reason,
	})
}

func (w *worker) confirm(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]any{
		"ClockMs": w.clockMS(),
	})
}

// extend moves the end of the lease, which never gets shorter.
func (w *worker) extend(deadlineMS int64) {
	at := w.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(holdMax); at.After(limit) {
		at = limit
	}
	if at.After(w.deadline) {
		w.deadline = at
	}
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.unhealthy {
		w.refused++
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if o.DeadlineMs <= w.clockMS() {
		w.reject(rw, "late")
		return
	}
	w.extend(o.DeadlineMs)
	s := w.rig.stepOf(o.Task)
	present := w.active[o.Task]
	switch {
	case s == nil:
		rw.WriteHeader(http.StatusBadRequest)
		return
	case present != nil && present.number == o.RunId:
		w.confirm(rw)
		return
	case o.RunId <= w.highest[o.Task]:
		w.reject(rw, "old")
		return
	case present != nil || !w.fits(s):
		w.reject(rw, "room")
		return
	}
	w.starts++
	w.active[o.Task] = &run{
		task:    o.Task,
		number:  o.RunId,
		step:    s,
		pace:    100,
		started: time.Now(),
	}
	w.rig.runStarted(w, w.active[o.Task], o.Spec)
	w.confirm(rw)
}

func (w *worker) fits(s *step) bool {
	cpu, mem := int64(0), int64(0)
	for _, r := range append(w.runs(), &run{step: s}) {
		mem += r.step.MemMb
		if !r.step.FillCount {
			cpu += r.step.Cpu
		}
	}
	return cpu <= w.cpu && mem <= w.memMB
}

func (w *worker) runs() []*run {
	runs := make([]*run, 0, len(w.active))
	for _, r := range w.active {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.RunId)
	if present := w.active[o.Task]; present != nil && present.number <= o.RunId && present.stopAt.IsZero() {
		present.stopAt = time.Now().Add(killTime)
	}
	w.confirm(rw)
}

func (w *worker) setPace(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if present := w.active[o.Task]; present != nil && present.number == o.RunId {
		present.pace = o.Percentage
		w.rig.record("pace of %s run %d on %s set to %d by fence %d", o.Task, o.RunId, w.id, o.Percentage, o.FencingToken)
	}
	w.confirm(rw)
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	for len(w.ends) > 0 && w.ends[0][0].(uint64) <= o.AckedThrough {
		w.ends = w.ends[1:]
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	id, changed, waits := w.id, w.changed, len(w.ends) == 0 && o.WaitMs > 0
	w.mu.Unlock()
	if waits {
		timer := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.id != id {
		return
	}
	active := [][]any{}
	for _, x := range w.runs() {
		active = append(active, []any{x.task, x.number, "", x.percent(), w.figure(x)})
	}
	answer(rw, http.StatusOK, map[string]any{
		"ClockMs":  w.clockMS(),
		"born":     w.born.UnixMilli(),
		"Active":   active,
		"Finished": append([][]any{}, w.ends[:min(len(w.ends), maxEndsAtATime)]...),
	})
}

// figure is the tail of the response times of a task with users, and the processors in use of others.
func (w *worker) figure(r *run) float64 {
	if r.step.TargetMs == 0 {
		return float64(r.step.Cpu) * float64(r.pace) / 100
	}
	disturbed := 0.0
	for _, other := range w.active {
		if other.step.FillCount {
			disturbed += float64(other.pace) / 100
		}
	}
	return w.rig.tail(disturbed)
}
