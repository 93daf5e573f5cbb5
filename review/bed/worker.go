package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax      = 6 * time.Second
	killTime     = 200 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxListed    = 500
	instanceName = "Comfreyford-Expect-Instance"
)

// worker is one life of the program that runs tasks on a machine.
type worker struct {
	id      string
	machine *machine
	bed     *bed
	born    time.Time
	address string
	late    time.Duration // how long the store takes to carry out its first heartbeat
	server  *http.Server

	mu       sync.Mutex
	down     bool
	fence    uint64
	deadline time.Duration // end of the lease, on the worker's clock
	runs     map[string]*run
	highest  map[string]uint64 // highest run of each task that ended or was stopped here
	ended    [][]any
	lastEnd  uint64
	changed  chan struct{} // closed and replaced when a run ends
	sequence int
}

// run is a task at work. Its specification reads "cpu=N ms=N", where ms=0 lasts, and "ticket=1" if
// it starts with a ticket only.
type run struct {
	task    string
	number  uint64
	cpu     int64
	length  time.Duration
	started time.Time
	stopAt  time.Time
}

func parseSpec(spec string) (cpu int64, length time.Duration, ticket bool) {
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "cpu":
			cpu = n
		case "ms":
			length = time.Duration(n) * time.Millisecond
		case "ticket":
			ticket = true
		}
	}
	return cpu, length, ticket
}

// newWorker starts a worker on a machine. The caller holds the lock.
func (b *bed) newWorker(m *machine) *worker {
	b.lives++
	return b.startWorker(m, fmt.Sprintf("i-%s-%d", m.name, b.lives), "127.0.0.1:0", 0)
}

// startWorker starts a worker with an ID, at an address. If lateEntry is set, the store carries out
// its first heartbeat only after that time.
func (b *bed) startWorker(m *machine, id, address string, lateEntry time.Duration) *worker {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	w := &worker{
		id:      id,
		late:    lateEntry,
		machine: m,
		bed:     b,
		born:    time.Now(),
		address: l.Addr().String(),
		runs:    map[string]*run{},
		highest: map[string]uint64{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.call(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /v1/pace", w.call(w.pace))
	mux.HandleFunc("POST /v1/hold", w.call(w.hold))
	w.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = w.server.Serve(l) }()
	go w.live()
	b.record.add("worker %s up on %s in %s, born %d", w.id, m.name, m.pool, w.born.UnixMilli())
	return w
}

// crash ends the worker and all that runs on it, without a word.
func (w *worker) crash() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	var lost []string
	for key := range w.runs {
		lost = append(lost, key)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
	sort.Strings(lost)
	w.bed.record.add("worker %s down, lost %v", w.id, lost)
}

// live sends heartbeats and ends runs until the worker is down. The platform's store removes the
// entry after three intervals of silence.
func (w *worker) live() {
	next := time.Now()
	for {
		w.mu.Lock()
		if w.down {
			w.mu.Unlock()
			time.Sleep(3 * heartbeat)
			if !w.bed.isUp(w.id) {
				w.bed.store.remove("servers/" + w.id)
			}
			return
		}
		w.step()
		entry := map[string]any{
			"Service":         w.machine.pool,
			"Address":         w.address,
			"Zone":            w.machine.zone,
			"Version":         "v1",
			"Slots":           8,
			"State":           "ready",
			"ColdRemainingMs": 0,
			"Capacity":        map[string]int64{"Cpu": w.machine.cpu, "MemMb": 65536, "Gpu": 0},
			"Labels":          w.machine.labels(),
			"HostMachine":     w.machine.name,
			"ClockMs":         w.clock().Milliseconds(),
			"born":            w.born.UnixMilli(),
			"Sequence":        w.sequence,
		}
		beat := !time.Now().Before(next)
		if beat {
			w.sequence++
			next = time.Now().Add(heartbeat)
		}
		w.mu.Unlock()
		switch {
		case beat && w.late > 0 && w.sequence == 1:
			time.AfterFunc(w.late, func() {
				w.bed.store.put("servers/"+w.id, entry)
				w.bed.record.add("late heartbeat of worker %s, born %d, carried out", w.id, w.born.UnixMilli())
			})
		case beat:
			w.bed.store.put("servers/"+w.id, entry)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + 100*time.Second }

// step ends the runs whose time has come. The caller holds the lock.
func (w *worker) step() {
	now := time.Now()
	lapsed := len(w.runs) > 0 && w.clock() > w.deadline
	for key, r := range w.runs {
		switch {
		case lapsed:
			w.endRun(key, r, "lapsed")
		case r.length > 0 && now.Sub(r.started) >= r.length:
			w.endRun(key, r, "done")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.endRun(key, r, "stopped")
		}
	}
}

func (w *worker) endRun(key string, r *run, how string) {
	delete(w.runs, key)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.number, how, ""})
	w.bed.record.add("run %s ended %s on %s", key, how, w.id)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task         string
	RunId        uint64 //nolint:revive // name of the platform
	Spec         string
	Ticket       string
	DeadlineMs   int64
	FencingToken uint64
	AckedThrough uint64
	WaitMs       int64
}

// call decodes a call and answers it.
func (w *worker) call(handle func(c *workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c workerCall
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get(instanceName); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := handle(&c)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		body["ClockMs"] = w.clock().Milliseconds()
		body["born"] = w.born.UnixMilli()
		answer(rw, status, body)
	}
}

// fenced notes the fencing token of a call, and reports whether it is too low. The caller holds
// the lock.
func (w *worker) fenced(c *workerCall) bool {
	if c.FencingToken < w.fence {
		return true
	}
	w.fence = c.FencingToken
	return false
}

func (w *worker) extend(c *workerCall) {
	wanted := min(time.Duration(c.DeadlineMs)*time.Millisecond, w.clock()+holdMax)
	w.deadline = max(w.deadline, wanted)
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"Reason": reason}
}

func (w *worker) start(c *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", c.Task, c.RunId)
	switch {
	case w.down:
		return 0, nil
	case w.fenced(c):
		return refused("fence")
	case w.runs[key] != nil:
		w.extend(c)
		return http.StatusOK, map[string]any{}
	case time.Duration(c.DeadlineMs)*time.Millisecond < w.clock():
		return refused("late")
	}
	w.extend(c)
	cpu, length, ticket := parseSpec(c.Spec)
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	switch {
	case c.RunId <= w.highest[c.Task]:
		return refused("old")
	case ticket && c.Ticket != "ticket-"+w.id:
		return refused("ticket")
	case used > w.machine.cpu:
		return refused("room")
	}
	w.runs[key] = &run{
		task:    c.Task,
		number:  c.RunId,
		cpu:     cpu,
		length:  length,
		started: time.Now(),
	}
	w.bed.record.add("run %s started on %s", key, w.id)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(c *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.down:
		return 0, nil
	case w.fenced(c):
		return refused("fence")
	}
	key := fmt.Sprintf("%s/%d", c.Task, c.RunId)
	w.highest[c.Task] = max(w.highest[c.Task], c.RunId)
	if r := w.runs[key]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(killTime / 2)
		w.bed.record.add("run %s told to stop on %s", key, w.id)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(c *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c) {
		return refused("fence")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c *workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c) {
		return refused("fence")
	}
	w.extend(c)
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end[0].(uint64) > c.AckedThrough {
			kept = append(kept, end)
		}
	}
	w.ended = kept
	if c.WaitMs > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	if w.down {
		return 0, nil
	}
	active := [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.length > 0 {
			percent = int(100 * time.Since(r.started) / r.length)
		}
		active = append(active, []any{r.task, r.number, "", percent, 0})
	}
	return http.StatusOK, map[string]any{
		"Active":   active,
		"Finished": append([][]any{}, w.ended[:min(len(w.ended), maxListed)]...),
	}
}

// has reports whether a run of a job is at work.
func (w *worker) has(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job+".") {
			return true
		}
	}
	return false
}
