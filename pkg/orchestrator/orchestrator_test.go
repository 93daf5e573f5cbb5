package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

func newWorldWithTargets(t testing.TB, targets int) *world {
	t.Helper()
	w := newWorld(t, testConfiguration())
	for i := range targets {
		w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(8))
	}
	w.takeOver()
	w.run(300 * time.Millisecond)
	return w
}

func TestJobRunsItsStepsInOrderAndCompletes(t *testing.T) {
	w := newWorldWithTargets(t, 3)
	w.submit(testJob("a", "schools", 300, 4, 2))
	if !w.runUntil(3*time.Second, func() bool { return w.state("a") == jobkeeper.StateComplete }) {
		t.Errorf("state is %s, want complete", w.state("a"))
	}
	w.verify()
}

// The lease of a target that does not answer must not be extended. Otherwise the time by
// which its tasks have certainly ended is never reached, and they do not start elsewhere.
func TestTasksOfAnUnreachableTargetStartElsewhereAfterItsLease(t *testing.T) {
	w := newWorldWithTargets(t, 3)
	w.vmListDown = true
	w.submit(longRunningJob("a", 1, 0))
	w.run(500 * time.Millisecond)
	first := w.runningOn("a.0.0.0")
	w.targets[first].reachable = false
	if !w.runUntil(worldLease+time.Second, func() bool { return w.runningOn("a.0.0.0") != "" && w.runningOn("a.0.0.0") != first }) {
		t.Errorf("the task is on %q, want another target than %q", w.runningOn("a.0.0.0"), first)
	}
	w.verify()
}

func TestTasksOfACrashedTargetStartElsewhereAtOnce(t *testing.T) {
	w := newWorldWithTargets(t, 3)
	w.submit(longRunningJob("a", 1, 0))
	w.run(500 * time.Millisecond)
	first := w.runningOn("a.0.0.0")
	w.crash(w.targets[first])
	if !w.runUntil(500*time.Millisecond, func() bool { return w.runningOn("a.0.0.0") != "" }) {
		t.Error("the task does not run 500 ms after the list of VMs showed the crash")
	}
	w.verify()
}

func TestTakeoverDoesNotStartTasksThatAnUnreachableTargetRuns(t *testing.T) {
	for _, registered := range []bool{true, false} {
		t.Run(fmt.Sprintf("registered %v", registered), func(t *testing.T) {
			w := newWorldWithTargets(t, 3)
			w.submit(longRunningJob("a", 1, 0))
			w.run(500 * time.Millisecond)
			first := w.targets[w.runningOn("a.0.0.0")]
			first.reachable = false
			w.takeOver()
			w.run(200 * time.Millisecond)
			first.registered = registered
			if !registered {
				w.engine.Unregister(first.ID, w.now)
			}
			w.run(2 * worldMaxLease)
			if got := w.runningOn("a.0.0.0"); got == "" || got == first.ID {
				t.Errorf("the task runs on %q after the longest lease, want another target than %q", got, first.ID)
			}
			w.verify()
		})
	}
}

func TestTakeoverDoesNotWaitForTargetsMissingFromTheVMList(t *testing.T) {
	w := newWorldWithTargets(t, 3)
	w.submit(testJob("a", "schools", 2000, 3))
	w.run(500 * time.Millisecond)
	first := w.runningOn("a.0.0.0")
	w.crash(w.targets[first])
	w.targets[first].registered = false
	w.takeOver()
	if !w.runUntil(700*time.Millisecond, func() bool { return w.runningOn("a.0.0.0") != "" }) {
		t.Error("a task of a crashed target does not run 700 ms after a takeover")
	}
	w.verify()
}

// A target lists the end of a run until it is acknowledged, so several owners may see the
// same failure. It must count as one attempt.
func TestFailedRunCountsOnceAcrossTakeovers(t *testing.T) {
	w := newWorldWithTargets(t, 1)
	w.submit(testJob("a", "schools", 400, 1))
	w.run(100 * time.Millisecond)
	w.targets["t0"].failing = true
	w.runUntil(time.Second, func() bool { return w.targets["t0"].lastEnd == 1 })
	w.targets["t0"].failing = false
	for range 6 {
		w.record()
		w.takeOver()
		w.list()
	}
	if !w.runUntil(5*time.Second, func() bool { return w.state("a").Ended() }) || w.state("a") != jobkeeper.StateComplete {
		t.Errorf("state is %s, want complete: the task failed once of 4 times allowed", w.state("a"))
	}
	w.verify()
}

func TestJobFailsAfterMaxAttemptsOfATask(t *testing.T) {
	w := newWorldWithTargets(t, 3)
	for _, f := range w.targets {
		f.failing = true
	}
	w.submit(testJob("a", "schools", 400, 1))
	w.runUntil(10*time.Second, func() bool { return w.state("a").Ended() })
	if w.state("a") != jobkeeper.StateFailed || w.starts["a.0.0.0"] != 4 {
		t.Errorf("state is %s after %d starts, want failed after 4", w.state("a"), w.starts["a.0.0.0"])
	}
	w.verify()
}

func TestMaintenanceKeepsDisruptionBudgetWhileATaskIsUnreachable(t *testing.T) {
	w := newWorldWithTargets(t, 6)
	w.vmListDown = false
	w.submit(longRunningJob("a", 3, 1))
	w.run(time.Second)
	unreachable := w.runningOn("a.0.0.0")
	w.targets[unreachable].reachable = false
	var vms []string
	for id, f := range w.targets {
		if id != unreachable {
			vms = append(vms, f.VM)
		}
	}
	w.startWave(vms, 20*time.Second, 5)
	w.run(time.Second)
	for _, task := range []string{"a.0.0.1", "a.0.0.2"} {
		if w.runningOn(task) == "" || w.starts[task] != 1 {
			t.Errorf("%s was interrupted although another task of its step was unreachable", task)
		}
	}
	w.verify()
}

// Until a new owner has listed a target, it does not know what runs there and must not
// empty or maintain its VM.
func TestNewOwnerMaintainsNoVMWhoseTargetItHasNotListed(t *testing.T) {
	w := newWorldWithTargets(t, 4)
	w.submit(longRunningJob("a", 3, 1))
	w.run(time.Second)
	var vms []string
	for _, f := range w.targets {
		vms = append(vms, f.VM)
		f.reachable = false
	}
	w.takeOver()
	w.startWave(vms, 20*time.Second, 4)
	w.run(500 * time.Millisecond)
	for id, f := range w.targets {
		if f.StartedUnixMS != 1 {
			t.Errorf("%s was maintained before its lists were read", id)
		}
	}
	w.verify()
}

// A list of VMs that was requested before a maintenance order is answered still shows the VM
// as up. The VM must count as down all the same, or the wave orders one VM too many.
func TestPendingMaintenanceOrderCountsAgainstTheLimit(t *testing.T) {
	w := newWorldWithTargets(t, 4)
	var vms []string
	for _, f := range w.targets {
		vms = append(vms, f.VM)
	}
	w.startWave(vms, 20*time.Second, 1)
	orders := 0
	for range 20 {
		w.now += worldStep
		w.listVMs()
		w.engine.Tick(w.now, w.wall())
		for _, o := range w.engine.Orders() {
			if o.Kind == orchestrator.KindMaintenance {
				orders++
			}
		}
	}
	if orders != 1 {
		t.Errorf("%d maintenance orders are pending, want 1", orders)
	}
}

func TestWaveMaintainsEveryVMOnceAndKeepsItsLimit(t *testing.T) {
	w := newWorldWithTargets(t, 6)
	w.submit(longRunningJob("a", 3, 1))
	w.run(time.Second)
	started := map[string]int64{}
	var vms []string
	for id, f := range w.targets {
		vms = append(vms, f.VM)
		started[id] = f.StartedUnixMS
	}
	w.startWave(vms, 20*time.Second, 2)
	complete := false
	w.runUntil(20*time.Second, func() bool {
		for _, s := range w.engine.TakeWaves() {
			complete = complete || s.Complete
		}
		return complete
	})
	if !complete {
		t.Error("the wave is not complete after its duration of 20 s")
	}
	for id, f := range w.targets {
		if f.StartedUnixMS != started[id]+1 {
			t.Errorf("%s was maintained %d times, want once", id, f.StartedUnixMS-started[id])
		}
	}
	w.verify()
}

func TestCancelledJobStopsItsTasksAndStartsNone(t *testing.T) {
	w := newWorldWithTargets(t, 1)
	w.submit(testJob("a", "schools", 1000, 8))
	w.run(200 * time.Millisecond)
	w.cancel("a")
	before := len(w.starts)
	w.run(time.Second)
	if got := len(w.targets["t0"].runs); got != 0 {
		t.Errorf("%d tasks run a second after the cancellation", got)
	}
	if len(w.starts) != before {
		t.Error("tasks started after the cancellation")
	}
	w.verify()
}

func TestUpperLimitHoldsThroughATakeover(t *testing.T) {
	w := newWorldWithTargets(t, 4)
	w.vmListDown = true
	w.submit(testJob("a", "clubs", 3000, 10))
	w.run(500 * time.Millisecond)
	w.targets["t0"].reachable = false
	w.takeOver()
	w.submit(testJob("b", "clubs", 1000, 10))
	w.run(10 * time.Second)
	w.verify()
}

// The free capacity of a pool can add up to more than a task needs although no single target
// has enough of it. The pool must get another VM.
func TestTaskThatFitsNoTargetsFreeCapacityGetsAVM(t *testing.T) {
	conf := testConfiguration()
	conf.Pools["spare"] = orchestrator.Pool{
		Name:  "spare",
		Spare: true,
	}
	w := newWorld(t, conf)
	for i := range 4 {
		w.addTarget(fmt.Sprintf("t%d", i), "desk", cores(8))
	}
	w.addTarget("s0", "spare", cores(8))
	w.takeOver()
	w.run(300 * time.Millisecond)
	filler := longRunningJob("a", 4, 0)
	filler.Steps[0].Needs = cores(5)
	w.submit(filler)
	w.run(500 * time.Millisecond)
	large := testJob("b", "schools", 300, 1)
	large.Steps[0].Needs = cores(4)
	w.submit(large)
	if !w.runUntil(10*time.Second, func() bool { return w.state("b") == jobkeeper.StateComplete }) {
		t.Errorf("state is %s, want complete: a spare VM holds the task", w.state("b"))
	}
	w.verify()
}

// Operators may lower the limit of a team below the size of one task. Such tasks still run,
// one at a time.
func TestTaskLargerThanTheLimitOfItsTeamStillRuns(t *testing.T) {
	for _, limit := range []int64{1000, 3000} {
		conf := testConfiguration()
		conf.Teams["clubs"] = orchestrator.Team{
			Name: "clubs",
			Limit: jobkeeper.Resources{
				CPUMillis: limit,
			},
		}
		w := newWorld(t, conf)
		w.addTarget("t0", "desk", cores(8))
		w.takeOver()
		w.submit(testJob("a", "clubs", 300, 3))
		if !w.runUntil(5*time.Second, func() bool { return w.state("a") == jobkeeper.StateComplete }) {
			t.Errorf("limit %d: state is %s, want complete", limit, w.state("a"))
		}
		w.verify()
	}
}

// A slow target is used if there is no other. Only new tasks can show that it is no longer
// slow; without them it would stay excluded for good.
func TestSlowTargetIsUsedWhenNothingElseIsLeft(t *testing.T) {
	w := newWorldWithTargets(t, 1)
	w.targets["t0"].slowdown = 6
	w.submit(testJob("a", "schools", 400, 1))
	w.run(3 * time.Second)
	w.targets["t0"].slowdown = 1
	w.submit(testJob("b", "schools", 400, 1))
	w.run(time.Second)
	// Job c comes before b in the order and does not accept a slow target yet: a step does so
	// after two seconds.
	w.submit(testJob("c", "schools", 400, 1))
	if !w.runUntil(4*time.Second, func() bool { return w.state("b") == jobkeeper.StateComplete }) {
		t.Errorf("state is %s, want complete", w.state("b"))
	}
	w.verify()
}

// A new owner finds runs of a job that has ended in the meantime. They use room until they
// have ended, even on a target that starts tasks beyond its capacity.
func TestUnexpectedRunsUseRoomUntilTheyEnd(t *testing.T) {
	w := newWorldWithTargets(t, 1)
	w.targets["t0"].ignoresCapacity = true
	w.targets["t0"].stopTime = 200 * time.Millisecond
	w.submit(testJob("a", "schools", 2000, 4))
	w.run(500 * time.Millisecond)
	w.cancelled["a"] = true
	w.submit(testJob("b", "schools", 300, 4))
	w.takeOver()
	if !w.runUntil(3*time.Second, func() bool { return w.state("b") == jobkeeper.StateComplete }) {
		t.Errorf("state is %s, want complete", w.state("b"))
	}
	w.verify()
}

// Guards against starts beyond the capacity of a target that does not check it itself.
func TestTargetThatShrinksGetsNoStartsBeyondItsCapacity(t *testing.T) {
	w := newWorldWithTargets(t, 1)
	f := w.targets["t0"]
	f.ignoresCapacity = true
	f.stopTime = 200 * time.Millisecond
	full := f.Registration
	shrunk := full
	shrunk.Capacity = cores(4)
	for i := range 40 {
		w.submit(testJob(fmt.Sprintf("a%d", i), "schools", 300, 1))
	}
	w.run(500 * time.Millisecond)
	if f.used() == (jobkeeper.Resources{}) {
		t.Fatal("nothing runs before the target shrinks")
	}
	w.engine.Register(shrunk, w.now)
	w.run(400 * time.Millisecond) // what ran before has ended
	for range 100 {
		w.run(10 * time.Millisecond)
		if !f.used().FitsIn(shrunk.Capacity) {
			t.Fatalf("%v: %+v in use of %+v", w.now, f.used(), shrunk.Capacity)
		}
	}
	w.engine.Register(full, w.now)
	if !w.runUntil(time.Second, func() bool { return !f.used().FitsIn(shrunk.Capacity) }) {
		t.Error("the target is not filled again after it has grown")
	}
	w.verify()
}

// A new owner can't reach a target that runs tasks of a cancelled job. They count against the
// limit of the team until their lease has certainly expired.
func TestTasksOfACancelledJobCountAgainstTheLimitThroughATakeover(t *testing.T) {
	w := newWorldWithTargets(t, 2)
	w.takeOver()
	w.submit(testJob("a", "clubs", 60_000, 4)) // the limit of the team
	if !w.runUntil(time.Second, func() bool { return len(w.targets["t0"].runs)+len(w.targets["t1"].runs) == 4 }) {
		t.Fatal("the tasks did not start")
	}
	cut := w.targets["t0"]
	if len(cut.runs) == 0 {
		cut = w.targets["t1"]
	}
	cut.reachable = false
	w.cancel("a")
	w.run(100 * time.Millisecond)
	w.takeOver()
	w.submit(testJob("b", "clubs", 300, 4))
	w.run(20 * time.Second)
	w.verify()
	if got := w.state("b"); got != jobkeeper.StateComplete {
		t.Errorf("state of the later job is %s, want complete", got)
	}
	if !w.documentRemoved["a"] {
		t.Error("the document of the cancelled job is still there")
	}
}

// A VM that is to be maintained runs a long-running task that needs a label. A target without
// the label has room, but the task can't run there, and no VM with the label can come. The task
// is not stopped at once, but the VM must not stay closed until one comes either: the disruption
// budget of the task allows the maintenance.
func TestMaintenanceOfAVMWhoseTaskFitsNowhereElse(t *testing.T) {
	w := newWorldWithTargets(t, 2)
	w.targets["t0"].Labels = []string{"large", "r1"}
	w.targets["t1"].Labels = []string{"small", "r1"}
	w.vmListDown = false
	w.takeOver()
	j := longRunningJob("a", 1, 1)
	j.Steps[0].Label = "large"
	w.submit(j)
	w.run(time.Second)
	if got := w.runningOn("a.0.0.0"); got != "t0" {
		t.Fatalf("the task runs on %q, want t0", got)
	}
	w.startWave([]string{w.targets["t0"].VM}, 10*time.Second, 1)
	w.run(2 * time.Second)
	if n := w.starts["a.0.0.0"]; n != 1 {
		t.Errorf("the task started %d times, want once: no other target has its label", n)
	}
	if !w.runUntil(6*time.Second, func() bool { return w.engine.Stats().Upkeeps == 1 && w.runningOn("a.0.0.0") == "t0" }) {
		t.Error("the VM was not maintained, or its task does not run again")
	}
	w.verify()
}

// Both VMs with a label are to be maintained. One has been emptied of a long-running task, which
// uses up the disruption budget and finds both targets closed, so that neither VM can be emptied
// further. The targets have to open again for work that needs the label.
func TestEvacuationThatCannotEndReopensTheTarget(t *testing.T) {
	w := newWorldWithTargets(t, 3)
	for id, label := range map[string]string{"t0": "large", "t1": "large", "t2": "small"} {
		w.targets[id].Labels = []string{label, "r1"}
	}
	w.vmListDown = false
	w.takeOver()
	lasting := longRunningJob("a", 4, 1)
	lasting.Steps[0].Label = "large"
	lasting.Steps[0].PerTarget = 2
	w.submit(lasting)
	w.run(time.Second)
	w.startWave([]string{w.targets["t0"].VM, w.targets["t1"].VM}, 20*time.Second, 2)
	w.run(5 * time.Second)
	j := testJob("b", "schools", 300, 2)
	j.Steps[0].Label = "large"
	w.submit(j)
	if !w.runUntil(8*time.Second, func() bool { return w.state("b") == jobkeeper.StateComplete }) {
		t.Errorf("state of the job that needs the label is %s, want complete", w.state("b"))
	}
	w.verify()
}

// Guards against steps that wait for the adviser without asking it.
func TestAdviserIsAskedAboutTargetsThatItHasNotApproved(t *testing.T) {
	conf := testConfiguration()
	queue := conf.Queues["quotes"]
	queue.AdviceRequired = true
	conf.Queues["quotes"] = queue
	w := newWorld(t, conf)
	w.addTarget("t0", "desk", cores(8))
	w.addTarget("t1", "desk", cores(8))
	w.takeOver()
	w.run(500 * time.Millisecond)
	w.submit(testJob("j1", "schools", 300, 1))
	if !w.runUntil(5*time.Second, func() bool {
		for _, q := range w.engine.AdviceRequests() {
			if len(q.Targets) != 2 {
				t.Errorf("asked about the targets %v, want both", q.Targets)
			}
			w.advise(q, map[string]string{"t1": "ticket"}, time.Minute)
		}
		if on := w.runningOn("j1.0.0.0"); on != "" && on != "t1" {
			t.Errorf("the task runs on %s, which was not approved", on)
		}
		return w.state("j1") == jobkeeper.StateComplete
	}) {
		t.Errorf("the job is %s", w.state("j1"))
	}
	w.verify()
}
