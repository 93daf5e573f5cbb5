package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// Guards against suspected tasks that wait for a target for good.
func TestSuspectedTaskStartsAgain(t *testing.T) {
	labelled := testJob("suspect", "schools", 2000, 1)
	labelled.Steps[0].Label = "gpu"
	wide := gangJob("suspect", "schools", 1500, 6)
	wide.Steps[0].Needs = cores(12)
	tests := []struct {
		name    string
		job     *jobkeeper.Job
		lasting *jobkeeper.Job // runs on all targets that the job can use
		load    int            // jobs of four tasks that arrive every 100 ms after the crash
	}{
		{
			name:    "idle targets lack its label",
			job:     labelled,
			lasting: longRunningJob("lasting", 4, 0),
		},
		{
			name: "a gang is wider than a quarter of the pool",
			job:  wide,
			load: 100,
		},
		{
			name: "the pool is busy",
			job:  testJob("suspect", "schools", 600, 6),
			load: 100,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newCrashWorld(t)
			for i := range 4 {
				f := w.targets[fmt.Sprintf("t%d", i)]
				f.Labels = []string{"gpu"}
				w.engine.Register(f.Registration, w.now)
			}
			if tt.lasting != nil {
				tt.lasting.Steps[0].Label = "gpu"
				w.submit(tt.lasting)
				w.run(5 * time.Second)
			}
			w.submit(tt.job)
			w.run(300 * time.Millisecond)
			w.crash(w.targets[w.runningOn("suspect.0.0.0")])
			for i := range tt.load {
				w.submit(testJob(fmt.Sprintf("a%d", i), "schools", 600, 4))
				w.run(100 * time.Millisecond)
			}
			if !w.runUntil(10*time.Second, func() bool { return w.state("suspect") == jobkeeper.StateComplete }) {
				t.Errorf("the job is %s after %d starts", w.state("suspect"), w.starts["suspect.0.0.0"])
			}
			w.verify()
		})
	}
}

// Guards against targets that stay reserved for a suspected task which does not fit on them.
func TestTargetsThatDoNotSuitASuspectedTaskStayOpen(t *testing.T) {
	w := newWorld(t, testConfiguration())
	w.addTarget("gpu", "desk", cores(16)).Labels = []string{"gpu"}
	w.addTarget("plain", "desk", cores(16))
	w.takeOver()
	w.run(500 * time.Millisecond)
	suspect := testJob("suspect", "schools", 5000, 1)
	suspect.Steps[0].Label = "gpu"
	w.submit(suspect)
	w.run(200 * time.Millisecond)
	w.crash(w.targets["gpu"])
	w.run(time.Second)
	sound := w.submitSound("a", 20)
	if !w.runUntil(20*time.Second, func() bool { return w.allIn(jobkeeper.StateComplete, sound) }) {
		t.Error("jobs wait beside a reserved target")
	}
	w.verify()
}

// Guards against a gang that crashes targets and starts again beside other tasks.
func TestGangThatCrashesTargetsOfABusyPoolIsGivenUp(t *testing.T) {
	for _, width := range []int{2, 4} {
		t.Run(fmt.Sprint(width), func(t *testing.T) {
			w := newCrashWorld(t)
			w.crashing["gang.0.0.1"] = 0
			gang := gangJob("gang", "schools", 600, width)
			gang.Steps[0].Needs = cores(10)
			w.submit(gang)
			for i := range 200 {
				w.submit(testJob(fmt.Sprintf("a%d", i), "schools", 600, 4))
				w.run(100 * time.Millisecond)
			}
			if w.state("gang") != jobkeeper.StateFailed || w.taskCrashes > 3 {
				t.Errorf("the job is %s after %d crashes", w.state("gang"), w.taskCrashes)
			}
			w.verify()
		})
	}
}

// Guards against starts without end if nothing proves that a run was on its target.
func TestUnprovenCrashesCount(t *testing.T) {
	const maxStarts = 5 // three crashes, and two more starts
	tests := []struct {
		name       string
		unanswered bool
		vmListDown bool
		gone       bool // its targets do not start again
		takeOver   bool // the owner changes once a crash is in the store
	}{
		{
			name:       "starts are not answered",
			unanswered: true,
		},
		{
			name:       "the list of VMs is away",
			vmListDown: true,
		},
		{
			name:       "the list of VMs is away, and the targets are gone",
			vmListDown: true,
			gone:       true,
		},
		{
			name:       "the owner changes as well",
			vmListDown: true,
			gone:       true,
			takeOver:   true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newCrashWorld(t)
			w.vmListDown = tt.vmListDown
			for _, f := range w.targets {
				f.dropsAnswers = tt.unanswered
			}
			w.crashing["crashing.0.0.0"] = 0
			recorded := 0
			w.submit(testJob("crashing", "schools", 600, 6))
			if !w.runUntil(60*time.Second, func() bool {
				if tt.gone {
					for _, f := range w.targets {
						f.restartAt = 0
					}
					w.vmListDown = w.now < 45*time.Second
				}
				if p := w.stored["crashing"]; tt.takeOver && p != nil && len(p.Tasks) > 0 && p.Tasks[0].UnprovenCrashes > recorded {
					recorded = p.Tasks[0].UnprovenCrashes
					w.takeOver()
				}
				return w.state("crashing") == jobkeeper.StateFailed
			}) {
				t.Errorf("the job is %s", w.state("crashing"))
			}
			if n := w.starts["crashing.0.0.0"]; n > maxStarts {
				t.Errorf("%d starts, want at most %d", n, maxStarts)
			}
			w.verify()
		})
	}
}

// Guards against a job that fails because targets crashed before its starts reached them.
func TestCrashesBeforeTheStartAreNoProof(t *testing.T) {
	w := newWorld(t, testConfiguration())
	first, second := w.addTarget("t0", "desk", cores(16)), w.addTarget("t1", "desk", cores(16))
	w.takeOver()
	w.run(500 * time.Millisecond)
	second.reachable = false
	w.crashFor(first, 2*time.Second)
	w.submit(testJob("sound", "schools", 600, 1))
	w.run(300 * time.Millisecond)
	w.crashFor(second, 2*time.Second)
	if !w.runUntil(10*time.Second, func() bool { return w.runningOn("sound.0.0.0") != "" }) {
		t.Fatal("the task does not start")
	}
	w.run(50 * time.Millisecond)
	w.crashFor(w.targets[w.runningOn("sound.0.0.0")], 500*time.Millisecond)
	if !w.runUntil(20*time.Second, func() bool { return w.state("sound").Ended() }) || w.state("sound") != jobkeeper.StateComplete {
		t.Errorf("the job is %s", w.state("sound"))
	}
	w.verify()
}

// Guards against crashes that do not count because the VM of the target has just moved.
func TestCrashOfATargetThatHasJustMovedCounts(t *testing.T) {
	conf := testConfiguration()
	conf.Pools["spare"] = orchestrator.Pool{
		Name:  "spare",
		Spare: true,
	}
	w := newWorld(t, conf)
	w.vmListInterval = 400 * time.Millisecond
	w.moveTime = 1500 * time.Millisecond
	for i := range 12 {
		w.addTarget(fmt.Sprintf("s%d", i), "spare", cores(16))
	}
	w.takeOver()
	w.run(300 * time.Millisecond)
	w.crashing["crashing.0.0.0"] = 0
	w.submit(testJob("crashing", "schools", 600, 6))
	var sound []string
	for i := range 20 {
		id := fmt.Sprintf("a%d", i)
		w.submit(testJob(id, "schools", 600, 6))
		sound = append(sound, id)
	}
	if !w.runUntil(60*time.Second, func() bool {
		return w.state("crashing") == jobkeeper.StateFailed && w.allIn(jobkeeper.StateComplete, sound)
	}) {
		t.Errorf("the job is %s, all sound jobs complete: %v", w.state("crashing"), w.allIn(jobkeeper.StateComplete, sound))
	}
	if w.taskCrashes > 2 {
		t.Errorf("%d crashes, want at most 2", w.taskCrashes)
	}
	w.verify()
}

// Guards against sound gangs that fail because the targets of their members were lost together.
func TestGangWhoseTargetsAreLostTogetherIsNotGivenUp(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *world, targets []*fakeTarget)
	}{
		{
			name: "unreachable",
			lose: func(w *world, targets []*fakeTarget) {
				w.run(300 * time.Millisecond)
				for _, f := range targets {
					f.reachable = false
				}
				w.run(4 * time.Second)
				for _, f := range targets {
					f.reachable = true
				}
			},
		},
		{
			name: "crashed before they answered the start",
			lose: func(w *world, targets []*fakeTarget) {
				for _, f := range targets {
					f.dropsAnswers = false
					w.crashFor(f, crashDowntime)
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newCrashWorld(t)
			gang := gangJob("gang", "schools", 5000, 6)
			gang.Steps[0].Needs = cores(12)
			for i := range 6 {
				w.targets[fmt.Sprintf("t%d", i)].dropsAnswers = true
			}
			w.submit(gang)
			w.run(2 * worldStep)
			var used []*fakeTarget
			for _, id := range sortedKeys(w.targets) {
				if f := w.targets[id]; len(f.runs) > 0 {
					used = append(used, f)
				}
			}
			tt.lose(w, used)
			for _, f := range used {
				f.dropsAnswers = false
			}
			if !w.runUntil(30*time.Second, func() bool { return w.state("gang") == jobkeeper.StateComplete }) {
				t.Errorf("the job is %s: %s", w.state("gang"), w.stored["gang"].Reason)
			}
			w.verify()
		})
	}
}

// Guards against sound jobs that fail because their targets are unreachable.
func TestTaskOnUnreachableTargetsIsNotGivenUp(t *testing.T) {
	w := newCrashWorld(t)
	for i := range 6 {
		w.targets[fmt.Sprintf("t%d", i)].reachable = false
	}
	w.submit(testJob("lone", "schools", 600, 1))
	if !w.runUntil(30*time.Second, func() bool { return w.state("lone") == jobkeeper.StateComplete }) {
		t.Errorf("the job is %s: %s", w.state("lone"), w.stored["lone"].Reason)
	}
	w.verify()
}

// Guards against suspected tasks that wait for good for a reserved target which never suits them.
func TestTargetReservedForASuspectedTaskSuitsIt(t *testing.T) {
	conf := testConfiguration()
	checked := conf.Queues["quotes"]
	checked.Name, checked.AdviceRequired = "checked", true
	conf.Queues[checked.Name] = checked
	tests := []struct {
		name    string
		queue   string
		lasting int64         // cores that a long-running task takes on each of four targets
		before  time.Duration // load before the task
	}{
		{
			name:    "long-running tasks fill the others",
			queue:   "quotes",
			lasting: 15,
			before:  time.Second,
		},
		{
			name:   "the adviser approved few targets",
			queue:  "checked",
			before: 1200 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, conf)
			for i := range 8 {
				w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(16))
			}
			w.takeOver()
			w.run(500 * time.Millisecond)
			if tt.lasting > 0 {
				lasting := longRunningJob("lasting", 4, 0)
				lasting.Steps[0].Needs = cores(tt.lasting)
				w.submit(lasting)
				w.run(4 * time.Second)
			}
			jobs := 0
			advance := func(limit time.Duration, load bool, condition func() bool) bool {
				for end := w.now + limit; w.now < end && !condition(); {
					if load && w.now%(100*time.Millisecond) == 0 {
						jobs++
						w.submit(testJob(fmt.Sprintf("a%d", jobs), "schools", 2500, 3))
					}
					w.step()
					for _, q := range w.engine.AdviceRequests() {
						w.advise(q, map[string]string{"t6": "x", "t7": "x"}, time.Minute)
					}
				}
				return condition()
			}
			never := func() bool { return false }
			started := func() bool { return w.runningOn("suspect.0.0.0") != "" }
			advance(tt.before, true, never)
			suspect := testJob("suspect", "schools", 5000, 1)
			suspect.Queue = tt.queue
			suspect.Steps[0].Needs = cores(4)
			w.submit(suspect)
			if !advance(10*time.Second, tt.queue == "checked", started) {
				t.Fatal("the task does not start")
			}
			advance(100*time.Millisecond, true, never)
			w.crashFor(w.targets[w.runningOn("suspect.0.0.0")], time.Minute)
			if !advance(30*time.Second, true, started) {
				t.Error("the task does not start again")
			}
			w.verify()
		})
	}
}

// Guards against crashes that do not count while orders for the VMs of idle targets are unanswered.
func TestCrashOfATargetWhoseVMOrderIsUnansweredCounts(t *testing.T) {
	conf := testConfiguration()
	conf.Pools["spare"] = orchestrator.Pool{
		Name:  "spare",
		Spare: true,
	}
	for idle := 6 * time.Second; idle < 12*time.Second; idle += 500 * time.Millisecond {
		w := newWorld(t, conf)
		w.vmListInterval = 3 * time.Second
		w.vmOrdersLost = true
		for i := range 12 {
			w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(16))
		}
		w.takeOver()
		w.run(idle)
		w.crashing["crashing.0.0.0"] = 0
		w.submit(testJob("crashing", "schools", 600, 2))
		if !w.runUntil(60*time.Second, func() bool { return w.state("crashing") == jobkeeper.StateFailed }) {
			t.Errorf("the job is %s", w.state("crashing"))
		}
		if n := w.startsAfterCrashes["crashing.0.0.0"]; n > 2 {
			t.Errorf("after %v without load: %d starts after three crashes, want at most 2", idle, n)
		}
		w.verify()
	}
}

// Guards against a pool that stays closed for a suspected gang which it can't hold.
func TestSuspectedGangThatFitsNoMoreClosesNoTargets(t *testing.T) {
	w := newCrashWorld(t)
	gang := gangJob("gang", "schools", 5000, 8)
	gang.Steps[0].Needs = cores(10)
	w.submit(gang)
	w.run(500 * time.Millisecond)
	w.crash(w.targets["t0"])
	w.run(time.Second)
	sound := w.submitSound("a", 10)
	if !w.runUntil(20*time.Second, func() bool { return w.allIn(jobkeeper.StateComplete, sound) }) {
		t.Error("jobs wait beside a gang that needs more targets than there are")
	}
	w.verify()
}

// Guards against sound jobs that fail after one crash because their targets were unreachable before.
func TestTaskIsNotGivenUpAfterOneCrashAndUnprovenOnes(t *testing.T) {
	w := newCrashWorld(t)
	w.vmListDown = true
	for i := range 2 {
		w.targets[fmt.Sprintf("t%d", i)].reachable = false
	}
	w.submit(testJob("lone", "schools", 600, 1))
	if !w.runUntil(10*time.Second, func() bool { return w.runningOn("lone.0.0.0") != "" }) {
		t.Fatal("the task does not start")
	}
	w.vmListDown = false
	w.run(20 * time.Millisecond)
	w.crash(w.targets[w.runningOn("lone.0.0.0")])
	if !w.runUntil(10*time.Second, func() bool { return w.state("lone") == jobkeeper.StateComplete }) {
		t.Errorf("the job is %s: %s", w.state("lone"), w.stored["lone"].Reason)
	}
	w.verify()
}

// Guards against crashes that do not count because the target was unreachable before.
func TestCrashOfAnUnreachableTargetCounts(t *testing.T) {
	for delay := 1500 * time.Millisecond; delay < 2100*time.Millisecond; delay += 50 * time.Millisecond {
		w := newCrashWorld(t)
		w.vmListInterval = time.Second
		w.crashing["crashing.0.0.0"] = delay
		w.submit(testJob("crashing", "schools", 5000, 1))
		if !w.runUntil(time.Second, func() bool { return w.runningOn("crashing.0.0.0") != "" }) {
			t.Fatal("the task does not start")
		}
		w.run(100 * time.Millisecond)
		w.targets[w.runningOn("crashing.0.0.0")].reachable = false
		w.run(3 * time.Second)
		tasks := w.stored["crashing"].Tasks
		if w.taskCrashes != 1 || len(tasks) != 1 || len(tasks[0].CrashedRuns)+tasks[0].UnprovenCrashes != 1 {
			t.Errorf("%v after the start: %d crashes, recorded as %+v, want one", delay, w.taskCrashes, tasks)
		}
		w.verify()
	}
}

// Guards against a suspected task that waits for a reserved target which a long task keeps full.
func TestTargetReservedForASuspectedTaskIsFreeSoon(t *testing.T) {
	w := newWorld(t, testConfiguration())
	for i := range 2 {
		w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(16)).Labels = []string{"plain"}
	}
	alone := w.addTarget("alone", "desk", cores(16))
	w.takeOver()
	w.run(500 * time.Millisecond)
	labelled := func(id string, durationMS int64, width int) *jobkeeper.Job {
		j := testJob(id, "schools", durationMS, width)
		j.Steps[0].Label = "plain"
		return j
	}
	long := labelled("long", 60_000, 1)
	long.Steps[0].Needs = cores(14)
	w.submit(long)
	w.run(4 * time.Second)
	for i := range 20 {
		w.submit(labelled(fmt.Sprintf("a%d", i), 900, 2))
		w.run(100 * time.Millisecond)
	}
	suspect := testJob("suspect", "schools", 5000, 1)
	suspect.Steps[0].Needs = cores(4)
	w.submit(suspect)
	if !w.runUntil(time.Second, func() bool { return len(alone.runs) > 0 }) {
		t.Fatal("the task does not start")
	}
	w.run(50 * time.Millisecond)
	w.crashFor(alone, time.Minute)
	started := func() bool { return w.runningOn("suspect.0.0.0") != "" }
	for i := 0; i < 100 && !started(); i++ {
		w.submit(labelled(fmt.Sprintf("b%d", i), 900, 2))
		w.runUntil(100*time.Millisecond, started)
	}
	if !started() {
		t.Error("the task does not start again")
	}
	w.verify()
}
