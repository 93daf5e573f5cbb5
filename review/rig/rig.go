package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zone      = "grand-baie"
	host      = "pule25.example"
	tenantKey = "key-of-schools"
	// memoryMB is the limit of a process in a small deployment.
	memoryMB = 284
)

// rig is a small deployment on loopback addresses.
type rig struct {
	dir     string // for settings and logs
	service string
	trouble bool
	began   time.Time
	store   *store
	workers []*worker
	daemons []*daemon

	storeAddress string
	cloudAddress string

	mu     sync.Mutex
	file   *os.File
	quiet  string // job of which runs are counted, not recorded one by one
	jobs   map[string]*job
	runs   []*runRecord
	counts map[string]int
	tailOf func(disturbed float64) float64
}

// runRecord is what a worker saw of a run.
type runRecord struct {
	task   string
	number uint64
	worker string
	began  time.Time
	ended  time.Time
	how    string
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case could not run: "+format+"\n", args...)
	if theRig != nil {
		theRig.killAll()
	}
	os.Exit(2)
}

// theRig is killed when the case is interrupted.
var theRig *rig

func newRig(out string) *rig {
	dir, err := os.MkdirTemp("", "comfreyford-review")
	if err != nil {
		fail("%v", err)
	}
	file, err := os.Create(out)
	if err != nil {
		fail("%v", err)
	}
	r := &rig{
		dir:     dir,
		service: "schools-desk",
		trouble: os.Getenv("TROUBLE") != "0",
		began:   time.Now(),
		store:   newStore(),
		file:    file,
		jobs:    map[string]*job{},
		counts:  map[string]int{},
		tailOf:  func(float64) float64 { return 20 },
	}
	theRig = r
	r.storeAddress = listen(r.store.handler())
	r.cloudAddress = listen(r.cloudHandler())
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		fail("interrupted")
	}()
	r.record("TROUBLE=%t", r.trouble)
	return r
}

func listen(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(l) }() // until the end of the process
	return l.Addr().String()
}

// record writes a line of record.txt.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(format, args...)
}

func (r *rig) recordLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *rig) tail(disturbed float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tailOf(disturbed)
}

// setTail changes how the response times of tasks with users depend on the tasks that fill beside them.
func (r *rig) setTail(f func(disturbed float64) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tailOf = f
}

func (r *rig) runStarted(w *worker, x *run, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["started"]++
	if r.quiet != "" && strings.HasPrefix(x.task, r.quiet) {
		return
	}
	r.runs = append(r.runs, &runRecord{
		task:   x.task,
		number: x.number,
		worker: w.id,
		began:  x.started,
	})
	r.recordLocked("run of %s number %d starts on %s, spec %q", x.task, x.number, w.id, spec)
}

func (r *rig) runEnded(w *worker, x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[how]++
	if r.quiet != "" && strings.HasPrefix(x.task, r.quiet) {
		return
	}
	for _, known := range r.runs {
		if known.task == x.task && known.number == x.number && known.worker == w.id {
			known.ended, known.how = time.Now(), how
		}
	}
	r.recordLocked("run of %s number %d ends on %s: %s", x.task, x.number, w.id, how)
}

// idleSpan watches an accepted job until the time, and returns how long on end it had nothing running
// while under half of the processors of the workers were in use.
func (r *rig) idleSpan(id string, until time.Time) time.Duration {
	var longest time.Duration
	since := time.Now()
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		running, used, capacity := 0, int64(0), int64(0)
		for _, w := range r.workers {
			w.mu.Lock()
			for task, x := range w.active {
				used += x.step.Cpu
				if strings.HasPrefix(task, id) {
					running++
				}
			}
			capacity += w.cpu
			w.mu.Unlock()
		}
		if running > 0 || 2*used >= capacity || r.doneOf(id) == r.tasksOf(id) {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest
}

// doneOf returns how many tasks of a job have ended done.
func (r *rig) doneOf(id string) int {
	done := map[string]bool{}
	for _, x := range r.runsOf(id) {
		if x.how == "done" {
			done[x.task] = true
		}
	}
	return len(done)
}

func (r *rig) tasksOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.jobs[id].Steps {
		n += s.Count
	}
	return n
}

// runsLost counts runs that ended with their worker.
func (r *rig) runsLost(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["lost"] += n
}

// count returns how many runs have started or ended in some way.
func (r *rig) count(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}

// runsOf returns the runs whose task names begin with the prefix.
func (r *rig) runsOf(prefix string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []runRecord
	for _, x := range r.runs {
		if strings.HasPrefix(x.task, prefix) {
			found = append(found, *x)
		}
	}
	return found
}

// finish ends all processes and reports whether the rule held.
func (r *rig) finish(broken bool, verdict string) {
	r.record("verdict: broken=%t: %s", broken, verdict)
	fmt.Printf("broken=%t trouble=%t: %s\n", broken, r.trouble, verdict)
	r.killAll()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir) // a temporary folder
	} else {
		fmt.Println("logs:", r.dir)
	}
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func (r *rig) killAll() {
	for _, d := range r.daemons {
		d.kill()
	}
}

// cloudHandler serves the machines: one for each worker, all in one pool.
func (r *rig) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		machines := []map[string]any{}
		for _, x := range r.workers {
			x.mu.Lock()
			state := "up"
			if x.id == "" {
				state = "down"
			}
			machines = append(machines, map[string]any{
				"HostMachine": x.machine,
				"Pool":        r.service,
				"State":       state,
				"Zone":        zone,
				"Labels":      x.labels,
				"Capacity":    map[string]int64{"Cpu": x.cpu, "MemMb": x.memMB, "Gpu": 0},
				"Id":          x.id,
			})
			x.mu.Unlock()
		}
		answer(w, http.StatusOK, map[string]any{
			"Machines":  machines,
			"NextToken": nil,
		})
	})
	busy := func(w http.ResponseWriter, q *http.Request) {
		r.record("order for a machine: %s", q.URL.Path)
		answer(w, http.StatusConflict, map[string]any{
			"Reason": "busy",
		})
	}
	mux.HandleFunc("POST /v1/machine-move", busy)
	mux.HandleFunc("POST /v1/machine-upkeep", busy)
	return mux
}

// configure writes the first configuration: one queue with a key.
func (r *rig) configure() {
	r.store.put("op/config", fmt.Appendf(nil, `{"Version":7,"Routes":[{"Name":"fete-quote","Host":%q,"Prefix":"/fete/","Kind":"non_idempotent","TimeoutMs":3000,`+
		`"TargetLatencyMs":600,"Priority":0,"Service":%q,"MaxAttempts":4,"StretchFactor":1.6,"Public":false}],`+
		`"Services":[{"Name":%q,"EnforcesCapacity":true}],"Limits":{"MaxBodyBytes":262144},`+
		`"Tenants":[{"Name":"schools","ApiKeys":[%q],"Weight":50,"MaxCount":{"Cpu":0,"MemMb":0,"Gpu":0}}]}`, host, r.service, r.service, tenantKey))
}

const (
	bootWorkers = 8
	bootDaemons = 3
	rackSize    = 4
)

// boot starts the workers, the configuration and the daemons, and waits until these are ready.
func (r *rig) boot() {
	for i := range bootWorkers {
		r.addWorker(fmt.Sprintf("%c", 'a'+i), "a", fmt.Sprintf("r1-%d", i/rackSize))
	}
	r.run(bootDaemons)
}

// run writes the configuration, starts the daemons and waits until they are ready.
func (r *rig) run(daemons int) {
	r.configure()
	for i := range daemons {
		r.addDaemon(i)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range r.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				fail("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.record("%d entry daemons are ready", daemons)
}

func (r *rig) path(name string) string { return filepath.Join(r.dir, name) }

func (r *rig) context() context.Context { return context.Background() }
