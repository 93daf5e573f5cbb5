package main

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// finishTime is finish_s.
const finishTime = 14 * time.Second

// haltedFill: the entry daemons are stopped and started in turn while tasks that fill are halted,
// because the tasks with users beside them have many of these.
func haltedFill(r *rig) {
	r.boot()
	calm := func(disturbed float64) float64 { return 20 + 10*disturbed }
	busy := func(disturbed float64) float64 { return 50 + 100*disturbed }
	r.setTail(calm)
	r.submit("serving", &job{
		Spec: "serve",
		Steps: []step{{
			Count:        8,
			Cpu:          2700,
			MemMb:        4800,
			EstimateMs:   900,
			AntiAffinity: 1,
			LongRunning:  true,
			Image:        "web",
			TargetMs:     60,
		}},
	})
	time.Sleep(4 * time.Second)
	fill, _ := r.submit("fill", &job{
		Spec: "fill",
		Steps: []step{{
			Count:      4,
			Cpu:        1800,
			MemMb:      2500,
			EstimateMs: 5000,
			Image:      "batch",
			FillCount:  true,
		}},
	})
	time.Sleep(1500 * time.Millisecond)
	r.record("the users of the serving tasks become many")
	r.setTail(busy)
	time.Sleep(5 * time.Second)
	if r.trouble {
		for _, d := range r.daemons {
			d.signal(syscall.SIGTERM, 300*time.Millisecond)
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(12 * time.Second)
	}
	r.record("the users of the serving tasks become few")
	r.setTail(calm)
	calmSince := time.Now()
	state := r.await(fill, 45*time.Second, "complete")
	halted, working := 0, 0
	for _, w := range r.workers {
		w.mu.Lock()
		for _, x := range w.active {
			if x.step.FillCount {
				r.record("run of %s number %d on %s: pace %d, %d%% done", x.task, x.number, w.id, x.pace, x.percent())
				if x.pace == 0 {
					halted++
				} else {
					working++
				}
			}
		}
		w.mu.Unlock()
	}
	r.finish(state != "complete" && working == 0, fmt.Sprintf("%.0f s after the load ended, the fill job of 4 tasks of 5 s is %s, %d of its runs are halted and %d work",
		time.Since(calmSince).Seconds(), state, halted, working))
}

// crashesUnderAJob: workers crash, one at a time; three times it is the one on which a task of a sound
// job that lasts has just been started.
func crashesUnderAJob(r *rig) {
	const crashes, downTime = 3, time.Second
	r.boot()
	time.Sleep(2 * time.Second)
	id, _ := r.submit("lasting", &job{
		Spec: "serve",
		Steps: []step{{
			Count:        5,
			Cpu:          2700,
			MemMb:        4800,
			EstimateMs:   900,
			AntiAffinity: 1,
			LongRunning:  true,
			Image:        "web",
		}},
	})
	if r.trouble {
		task := id + ".0.0.0"
		for n := 0; n < crashes && time.Since(r.began) < 60*time.Second; time.Sleep(20 * time.Millisecond) {
			if w := r.startedLongerAgo(task, time.Second); w != nil {
				w.crash(downTime)
				n++
			}
		}
	}
	state := r.await(id, 20*time.Second, "failed", "cancelled", "gone", "complete")
	time.Sleep(time.Second)
	active := 0
	for _, w := range r.workers {
		w.mu.Lock()
		active += len(w.active)
		w.mu.Unlock()
	}
	r.finish(state != "running", fmt.Sprintf("the job of 5 tasks that last, which nobody cancelled, is %s; %d runs started, %d ended failed, %d were lost with their worker, %d of its tasks run now",
		state, r.count("started"), r.count("failed"), r.count("lost"), active))
}

// startedLongerAgo returns the worker on which the last run of a task began longer ago than the time,
// or nil.
func (r *rig) startedLongerAgo(task string, age time.Duration) *worker {
	for _, w := range r.workers {
		w.mu.Lock()
		x := w.active[task]
		found := x != nil && time.Since(x.started) > age
		w.mu.Unlock()
		if found {
			return w
		}
	}
	return nil
}

// pendingOfARefusingWorker: the only worker with a label refuses what it is told to start.
func pendingOfARefusingWorker(r *rig) {
	const jobs = 10
	for i := range 11 {
		r.addWorker(fmt.Sprintf("%c", 'a'+i), "a", fmt.Sprintf("r1-%d", i/4))
	}
	special := r.addWorker("l", "b", "r1-2")
	r.run(bootDaemons)
	time.Sleep(2 * time.Second)
	special.mu.Lock()
	special.unhealthy = r.trouble
	special.mu.Unlock()
	r.record("worker %s refuses starts: %t", special.id, r.trouble)
	greySince := time.Now()
	var last time.Time
	for range jobs {
		_, last = r.submit("labelled", &job{
			Spec: "labelled",
			Steps: []step{{
				Count:        1,
				Cpu:          1000,
				MemMb:        1000,
				EstimateMs:   1000,
				Requirements: "b",
			}},
		})
	}
	low, asked := 0, 0
	for time.Since(greySince) < 6400*time.Millisecond {
		time.Sleep(50 * time.Millisecond)
		if time.Since(last) < 5*time.Second {
			continue
		}
		begun := r.count("started")
		for _, d := range r.daemons {
			n := r.pending(d)
			asked++
			r.record("client: GET of the queue at %s: Pending %d; %d of %d jobs have begun", d.name, n, begun, jobs)
			if n >= 0 && 2*n < jobs-begun {
				low++
			}
		}
	}
	special.mu.Lock()
	refused := special.refused
	special.unhealthy = false
	special.mu.Unlock()
	r.finish(low > 0, fmt.Sprintf("%d of %d answers gave under half of the jobs that had been accepted over 5 s before and had not begun; %d starts were refused", low, asked, refused))
}

// recordThatOutgrowsTheStore: a scheduled job of which one step can never be done.
func recordThatOutgrowsTheStore(r *rig) {
	r.boot()
	time.Sleep(time.Second)
	first := step{
		Count:      1,
		Cpu:        1000,
		EstimateMs: 100,
	}
	if r.trouble {
		first.Requirements = "gpu" // no worker has it
	}
	id, _ := r.submit("schedule", &job{
		Spec: "schedule",
		Steps: []step{
			first,
			{
				Count:      4095,
				Cpu:        80,
				MemMb:      1,
				EstimateMs: 20,
			},
		},
		FirstRunMs:  time.Now().UnixMilli() + 500,
		RepeatCount: 30,
		IntervalMs:  1800,
	})
	r.hush(id)
	progress := func() {
		item, err := r.store.memory.Read(r.context(), "progress/"+id)
		if err == nil {
			r.record("%d runs started, %d done; the record of the scheduled job has %d bytes", r.count("started"), r.count("done"), len(item.Value))
		}
	}
	// Until nothing of the schedule has started for 8 s: it is over, or it has stopped.
	last, since := 0, time.Now()
	for time.Since(r.began) < 90*time.Second && time.Since(since) < 8*time.Second {
		time.Sleep(2 * time.Second)
		progress()
		if n := r.count("started"); n != last {
			last, since = n, time.Now()
		}
	}
	other, accepted := r.submit("other", smallJob())
	r.traffic(other, accepted, progress)
}

// overdueSchedule: a large job comes, a schedule of every minute that began 30 days before it is handed
// in. The platform kills a process that exceeds its memory and starts it again.
func overdueSchedule(r *rig) {
	const overdue, restartDelay = 30 * 24 * time.Hour, 500 * time.Millisecond
	r.boot()
	time.Sleep(time.Second)
	first := time.Now()
	if r.trouble {
		first = first.Add(-overdue)
	}
	var kills atomic.Int64
	for _, d := range r.daemons {
		go func() {
			for {
				time.Sleep(20 * time.Millisecond)
				if mb := d.rss(); mb > memoryMB {
					r.record("%s has %d MB, its limit is %d: the platform kills it", d.name, mb, memoryMB)
					kills.Add(1)
					d.signal(syscall.SIGKILL, restartDelay)
				}
			}
		}()
	}
	id, _ := r.submit("schedule", &job{
		Spec: "schedule",
		Steps: []step{
			{
				Count:      8,
				Cpu:        3800,
				MemMb:      7100,
				EstimateMs: 1700,
			},
			{
				Count:      8,
				Cpu:        3800,
				MemMb:      7100,
				EstimateMs: 1700,
				After:      []int{0},
			},
		},
		FirstRunMs:  first.UnixMilli(),
		RepeatCount: 86400,
		IntervalMs:  time.Minute.Milliseconds(),
	})
	r.hush(id)
	time.Sleep(2 * time.Second)
	other, accepted := r.trySubmit("other", smallJob(), 60)
	if accepted.IsZero() {
		r.finish(false, "no daemon accepted another job")
	}
	r.traffic(other, accepted, func() { r.record("processes killed beyond their memory: %d", kills.Load()) })
}

// smallJob returns a job of two tasks of half a second.
func smallJob() *job {
	return &job{
		Spec: "small",
		Steps: []step{{
			Count:      2,
			Cpu:        1000,
			MemMb:      1000,
			EstimateMs: 500,
		}},
	}
}

// traffic ends with the acceptance of a small job. finish_s after it, the job is asked for: for 3 s it
// must not have had nothing running, with its turn come and the workers idle.
func (r *rig) traffic(id string, accepted time.Time, note func()) {
	const allowed = 3 * time.Second
	time.Sleep(time.Until(accepted.Add(finishTime)))
	idle := r.idleSpan(id, accepted.Add(finishTime+4*time.Second))
	state := r.state(id)
	note()
	r.finish(idle >= allowed, fmt.Sprintf("%.0f s after its acknowledgement, an accepted job of 2 tasks of 0.5 s is %s, %d of its tasks have ended done; finish_s after the traffic it had nothing running for %.1f s, with under half of the processors in use",
		time.Since(accepted).Seconds(), state, r.doneOf(id), idle.Seconds()))
}

// hush keeps the runs of a job out of the record; they are counted.
func (r *rig) hush(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quiet = id
}

// oddEntries: another writer leaves entries among those of the workers that can't be read.
func oddEntries(r *rig) {
	const entries, entryBytes, historyTime = 10, 1_000_000, 20 * time.Second
	r.boot()
	time.Sleep(3 * time.Second)
	before, _ := r.submit("before", smallJob())
	if state := r.await(before, 10*time.Second, "complete"); state != "complete" {
		fail("the job before the disruption is %s", state)
	}
	if r.trouble {
		for i := range entries {
			r.store.put(fmt.Sprintf("servers/inventory-%d", i), bytes.Repeat([]byte{0xff}, entryBytes))
		}
		r.record("another writer leaves %d entries of %d bytes under servers/", entries, entryBytes)
		time.AfterFunc(historyTime, func() {
			r.store.memory.Compact()
			r.record("the store forgets its history")
		})
	}
	time.Sleep(2500 * time.Millisecond)
	id, accepted := r.submit("after", smallJob())
	r.traffic(id, accepted, func() {})
}
