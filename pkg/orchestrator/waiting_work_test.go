package orchestrator_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// overdueJob returns a job that is due each minute since the given time.
func overdueJob(id string, firstRunMS int64, repeat int) *jobkeeper.Job {
	j := testJob(id, "schools", 1700, 8, 8)
	j.FirstRunMS = firstRunMS
	j.Repeat = repeat
	j.IntervalMS = time.Minute.Milliseconds()
	return j
}

// heapMB returns the memory of all reachable objects, in MB.
func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// Guards against owners that exceed their memory, one after the other, because accepted work that
// has not begun has a state for each of its tasks.
func TestWorkThatWaitsTakesLittleMemory(t *testing.T) {
	// An eighth of the 284 MB of the VM that the users' settings state.
	const maxMB = 284.0 / 8
	day := 24 * time.Hour.Milliseconds()
	tests := []struct {
		name string
		jobs func() []*jobkeeper.Job
	}{
		{
			name: "schedule that began 30 days ago",
			jobs: func() []*jobkeeper.Job { return []*jobkeeper.Job{overdueJob("j", wallStart-30*day, 86_400)} },
		},
		{
			name: "schedule that began in 1970",
			jobs: func() []*jobkeeper.Job {
				return []*jobkeeper.Job{overdueJob("j", 0, jobkeeper.MaxOccurrences)}
			},
		},
		{
			name: "36 schedules that began 2 days ago",
			jobs: func() (jobs []*jobkeeper.Job) {
				for i := range 36 {
					jobs = append(jobs, overdueJob(fmt.Sprintf("j%d", i), wallStart-2*day, 86_400))
				}
				return jobs
			},
		},
		{
			name: "160 jobs of 4,000 tasks",
			jobs: func() (jobs []*jobkeeper.Job) {
				for i := range 160 {
					jobs = append(jobs, testJob(fmt.Sprintf("j%d", i), "schools", 1700, 4000))
				}
				return jobs
			},
		},
		{
			name: "160 gangs of 4,000 tasks that fit nowhere",
			jobs: func() (jobs []*jobkeeper.Job) {
				for i := range 160 {
					jobs = append(jobs, gangJob(fmt.Sprintf("j%d", i), "schools", 1700, 4000))
				}
				return jobs
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, testConfiguration())
			for i := range 8 {
				w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(4))
			}
			w.takeOver()
			w.run(300 * time.Millisecond)
			before := heapMB()
			check := func(when string) {
				t.Helper()
				if mb := heapMB() - before; mb > maxMB {
					t.Fatalf("%s, the owner holds %.0f MB, want at most %.0f", when, mb, maxMB)
				}
			}
			jobs := tt.jobs()
			for _, j := range jobs {
				w.submit(j)
				check("while jobs arrive")
			}
			w.submit(testJob("small", "clubs", 500, 2))
			w.run(time.Second)
			check("after a second")
			w.takeOver()
			check("when the next owner has loaded the jobs")
			if !w.runUntil(14*time.Second, func() bool { return w.state("small") == jobkeeper.StateComplete }) {
				t.Error("a small job has not completed after 14 s")
			}
			check("after the takeover")
			for _, j := range jobs {
				w.cancel(j.ID)
			}
			w.takeOver()
			check("when the next owner has loaded the cancelled jobs")
			w.run(time.Second)
			check("after the cancellations")
			w.verify()
		})
	}
}

// Guards against occurrences that are due and are not started, out of order or not shown as done,
// because more of them are due than have a state.
func TestOverdueOccurrencesStartInOrderAndEnd(t *testing.T) {
	const occurrences = 400
	w := newWorld(t, testConfiguration())
	for i := range 4 {
		w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(4))
	}
	w.takeOver()
	w.run(300 * time.Millisecond)
	j := testJob("late", "schools", 100, 2, 1)
	j.FirstRunMS = w.wall() - 30*24*time.Hour.Milliseconds()
	j.Repeat = occurrences
	j.IntervalMS = 1000
	w.submit(j)
	began := func(occurrence int) bool { return w.starts[fmt.Sprintf("late.%d.0.0", occurrence)] > 0 }
	next, changes := 0, 0
	for end := w.now + 2*time.Minute; w.now < end && w.state("late") != jobkeeper.StateComplete; {
		w.step()
		for next < occurrences && began(next) {
			next++
		}
		// Four targets run eight tasks at a time, so that no occurrence starts before one that is
		// eight earlier.
		for ahead := next + 8; ahead < min(next+200, occurrences); ahead++ {
			if began(ahead) {
				t.Fatalf("occurrence %d begins before occurrence %d", ahead, next)
			}
		}
		if changes < 2 && next > (changes+1)*occurrences/3 {
			changes++
			w.takeOver()
		}
	}
	if w.state("late") != jobkeeper.StateComplete || changes < 2 {
		t.Errorf("the job is %s with %d of %d occurrences begun and %d changes of the owner, want complete after two",
			w.state("late"), next, occurrences, changes)
	}
	for n := range occurrences {
		for _, task := range []string{"0.0", "0.1", "1.0"} {
			if id := fmt.Sprintf("late.%d.%s", n, task); w.starts[id] != 1 {
				t.Errorf("task %s started %d times, want once", id, w.starts[id])
			}
		}
	}
	w.verify()
}

// Guards against a listed run of an occurrence far ahead that gives a state to all before it.
func TestRunOfADistantOccurrenceTakesLittleMemory(t *testing.T) {
	w := newWorld(t, testConfiguration())
	w.addTarget("t0", "desk", cores(4))
	w.takeOver()
	w.run(300 * time.Millisecond)
	before := heapMB()
	j := overdueJob("j", wallStart, jobkeeper.MaxOccurrences)
	w.submit(j)
	w.stored["j"] = &jobkeeper.Progress{
		State: jobkeeper.StateRunning,
		Tasks: []jobkeeper.TaskRecord{{
			Occurrence: jobkeeper.MaxOccurrences - 1,
			Done:       true,
		}},
	}
	w.takeOver()
	if mb := heapMB() - before; mb > 5 {
		t.Errorf("the owner holds %.0f MB, want at most 5", mb)
	}
	w.run(time.Second)
	if w.starts["j.0.0.0"] == 0 {
		t.Error("the first occurrence has not started")
	}
}

// Guards against estimates of the memory for accepted work on which refusals can't rest.
func TestHeldBytesAreNearTheMemoryInUse(t *testing.T) {
	tests := []struct {
		name string
		job  func(id string) *jobkeeper.Job
	}{
		{
			name: "jobs of one task",
			job:  func(id string) *jobkeeper.Job { return testJob(id, "schools", 1700, 1) },
		},
		{
			name: "jobs of 64 steps",
			job: func(id string) *jobkeeper.Job {
				widths := make([]int, jobkeeper.MaxSteps)
				for i := range widths {
					widths[i] = 60
				}
				return testJob(id, "schools", 1700, widths...)
			},
		},
		{
			name: "schedules",
			job:  func(id string) *jobkeeper.Job { return overdueJob(id, wallStart, 1000) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const jobs = 500
			w := newWorld(t, testConfiguration())
			w.addTarget("t0", "desk", cores(4))
			w.takeOver()
			w.run(300 * time.Millisecond)
			before := heapMB()
			for i := range jobs {
				w.submit(tt.job(fmt.Sprintf("j%d", i)))
			}
			w.run(200 * time.Millisecond)
			used := heapMB() - before
			held := float64(w.engine.HeldBytes()["schools"]) / (1 << 20)
			if held < used/2 || held > 4*used {
				t.Errorf("%.1f MB are in use and %.1f MB are stated, want a half to four times as many", used, held)
			}
		})
	}
}
