package orchestrator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// newZonedWorld returns a world with two targets of eight cores in each of the zones a and b, and
// the given number of spare VMs in each.
func newZonedWorld(t testing.TB, spares int) *world {
	t.Helper()
	w := newWorld(t, testConfiguration())
	w.conf.Pools["spare"] = orchestrator.Pool{
		Name:  "spare",
		Spare: true,
	}
	w.moveTime = 1500 * time.Millisecond
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			w.addTarget(fmt.Sprintf("%s%d", zone, i), "desk", cores(8)).Zone = zone
		}
		for i := range spares {
			w.addTarget(fmt.Sprintf("s%s%d", zone, i), "spare", cores(8)).Zone = zone
		}
	}
	w.takeOver()
	w.run(time.Second)
	return w
}

// runs returns the number of runs on the targets of a zone.
func (w *world) runs(zone string) int {
	n := 0
	for _, f := range w.targets {
		if f.Zone == zone {
			n += len(f.runs)
		}
	}
	return n
}

// inPool returns the number of VMs of a zone that are in a pool.
func (w *world) inPool(pool, zone string) int {
	n := 0
	for _, f := range w.targets {
		if f.Pool == pool && f.Zone == zone {
			n++
		}
	}
	return n
}

// Guards against each way in which a task could start in an evacuated zone; the world checks every
// start. The zone is taken back in the end, and then has to be used again.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	tests := []struct {
		name     string
		job      *jobkeeper.Job
		progress *jobkeeper.Progress
		lasts    bool
	}{
		{
			name: "tasks that end",
			job:  testJob("j", "schools", 500, 30, 4),
		},
		{
			name: "gang",
			job:  gangJob("j", "schools", 500, 8),
		},
		{
			name:  "long-running tasks",
			job:   longRunningJob("j", 2, 1),
			lasts: true,
		},
		{
			name: "trial after a crash",
			job:  testJob("j", "schools", 500, 2),
			progress: &jobkeeper.Progress{
				State: jobkeeper.StateRunning,
				Tasks: []jobkeeper.TaskRecord{{
					CrashedRuns: []uint64{1},
				}},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newZonedWorld(t, 0)
			w.evacuate("a") // whose targets come first otherwise
			if tt.progress != nil {
				w.stored["j"] = tt.progress
			}
			w.submit(tt.job)
			if tt.lasts {
				w.run(2 * time.Second)
				if n := w.runs("b"); n != 2 {
					t.Errorf("%d tasks run in the other zone, want 2", n)
				}
			} else if !w.runUntil(20*time.Second, func() bool { return w.state("j") == jobkeeper.StateComplete }) {
				t.Errorf("the job is %s, want complete in the other zone", w.state("j"))
			}
			w.evacuate()
			w.submit(testJob("k", "schools", 500, 16))
			if !w.runUntil(time.Second, func() bool { return w.runs("a") > 0 }) {
				t.Error("nothing starts in the zone after it was taken back")
			}
			w.verify()
		})
	}
}

// Guards against a start that was decided before the evacuation was known and waits to be sent.
func TestStartThatWaitsToBeSentIsDroppedByAnEvacuation(t *testing.T) {
	w := newZonedWorld(t, 0)
	w.submit(testJob("j", "schools", 500, 16))
	w.engine.Tick(w.now, w.wall())
	orders := w.engine.Orders()
	w.evacuate("b")
	wanted := map[string]int{}
	for _, o := range orders {
		if w.engine.Wanted(&o, w.now) {
			wanted[w.targets[o.Target.ID].Zone]++
		}
	}
	if len(orders) != 16 || wanted["a"] == 0 || wanted["b"] != 0 {
		t.Errorf("of %d starts, these are to be sent: %v; want all of zone a and none of zone b", len(orders), wanted)
	}
}

// Guards against a new owner that starts tasks before it knows of evacuations, and one that gives
// up what runs in the zone.
func TestNewOwnerStartsNothingInAnEvacuatedZone(t *testing.T) {
	w := newZonedWorld(t, 0)
	w.submit(testJob("j", "schools", 3000, 16))
	w.run(500 * time.Millisecond)
	w.evacuate("b")
	w.takeOver()
	w.submit(testJob("k", "schools", 500, 16))
	if !w.runUntil(20*time.Second, func() bool {
		return w.state("j") == jobkeeper.StateComplete && w.state("k") == jobkeeper.StateComplete
	}) {
		t.Errorf("the jobs are %s and %s, want both complete", w.state("j"), w.state("k"))
	}
	for i := range 16 {
		if task := taskOf("j", i).String(); w.starts[task] != 1 {
			t.Errorf("%s started %d times, want once: a task that ends stays where it runs", task, w.starts[task])
		}
	}
	w.verify()
}

// Guards against requests to the adviser about targets that can't be used.
func TestAdviserIsNotAskedAboutEvacuatedTargets(t *testing.T) {
	w := newZonedWorld(t, 0)
	queue := w.conf.Queues["quotes"]
	queue.AdviceRequired = true
	w.conf.Queues["quotes"] = queue
	w.engine.Configure(w.conf)
	w.evacuate("b")
	w.submit(testJob("j", "schools", 300, 1))
	w.run(500 * time.Millisecond)
	requests := w.engine.AdviceRequests()
	if len(requests) != 1 || !slices.Equal(requests[0].Targets, []string{"a0", "a1"}) {
		t.Errorf("requests are %+v, want one about a0 and a1", requests)
	}
}

// The load: a pool loses half of its capacity to an evacuation while it has work for all of it.
// VMs of the other zone have to replace it, and spare VMs of the evacuated zone must not be moved.
func TestVMsOfOtherZonesReplaceEvacuatedCapacity(t *testing.T) {
	w := newZonedWorld(t, 6)
	w.submit(testJob("j", "schools", 4000, 16))
	w.run(200 * time.Millisecond)
	before := w.inPool("desk", "b")
	w.evacuate("b")
	w.submit(testJob("k", "schools", 1000, 16))
	if !w.runUntil(4*time.Second, func() bool { return w.inPool("desk", "a") >= 4 && w.state("k") == jobkeeper.StateComplete }) {
		t.Errorf("%d VMs of the other zone in the pool, job is %s; want 4 and complete", w.inPool("desk", "a"), w.state("k"))
	}
	if after := w.inPool("desk", "b"); after > before {
		t.Errorf("VMs of the evacuated zone in the pool rose from %d to %d", before, after)
	}
	w.verify()
}

// Guards against VMs of an evacuated zone that a pool keeps, idle, for as long as the evacuation
// lasts, and against moves for a short one.
func TestIdleVMsOfAnEvacuatedZoneAreParked(t *testing.T) {
	w := newZonedWorld(t, 0)
	w.evacuate("b")
	w.run(4 * time.Second)
	if n := w.inPool("desk", "b"); n != 2 {
		t.Errorf("%d VMs left in the pool after 4 s, want both", n)
	}
	if !w.runUntil(6*time.Second, func() bool { return w.inPool("desk", "b") == 0 }) {
		t.Errorf("%d idle VMs of the evacuated zone are left in the pool", w.inPool("desk", "b"))
	}
	w.verify()
}

// Long-running tasks leave an evacuated zone as fast as their disruption budget allows; without
// one they leave one by one, and without room elsewhere they stay.
func TestLongRunningTasksLeaveAnEvacuatedZoneWithinTheirBudget(t *testing.T) {
	tests := []struct {
		name    string
		budget  int // zero for none
		tasks   int
		needs   int64 // cores
		most    int   // tasks that may be away at once
		staying int   // tasks that stay in the zone
	}{
		{
			name:   "budget of one",
			budget: 1,
			tasks:  4,
			needs:  2,
			most:   1,
		},
		{
			name:   "budget of two",
			budget: 2,
			tasks:  8,
			needs:  2,
			most:   2,
		},
		{
			name:  "no budget",
			tasks: 4,
			needs: 2,
			most:  1,
		},
		{
			name:    "no room elsewhere",
			budget:  1,
			tasks:   4,
			needs:   8,
			staying: 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newZonedWorld(t, 0)
			j := longRunningJob("j", tt.tasks, tt.budget)
			j.Steps[0].PerTarget = (tt.tasks + 3) / 4
			j.Steps[0].Needs = cores(tt.needs)
			w.submit(j)
			w.run(3 * time.Second)
			if w.runs("b") == 0 {
				t.Fatal("no task runs in the zone before its evacuation")
			}
			if tt.staying == 0 {
				j.Steps[0].PerTarget = 0
			}
			w.evacuate("b")
			most := 0
			w.runUntil(30*time.Second, func() bool {
				most = max(most, tt.tasks-w.runs("a")-w.runs("b"))
				return w.runs("b") == 0 && w.runs("a") == tt.tasks
			})
			if w.runs("b") != tt.staying || w.runs("a")+w.runs("b") != tt.tasks {
				t.Errorf("%d tasks run in the zone and %d elsewhere, want %d and the other of %d", w.runs("b"), w.runs("a"), tt.staying, tt.tasks)
			}
			if most > tt.most {
				t.Errorf("%d tasks were away at once, want at most %d", most, tt.most)
			}
			w.verify()
		})
	}
}

// Guards against a wave that takes VMs in use while idle ones of an evacuated zone wait for theirs,
// and against one that waits for the end of the evacuation.
func TestWaveMaintainsVMsOfAnEvacuatedZoneFirst(t *testing.T) {
	w := newZonedWorld(t, 0)
	var order []string
	w.evacuate("b")
	w.startWave([]string{"vm-a0", "vm-a1", "vm-b0", "vm-b1"}, 30*time.Second, 1)
	w.runUntil(20*time.Second, func() bool {
		for _, id := range sortedKeys(w.targets) {
			if f := w.targets[id]; f.moveEndsAt > w.now && !slices.Contains(order, id) {
				order = append(order, id)
			}
		}
		return len(order) == 4
	})
	if len(order) != 4 || !slices.Equal(order[:2], []string{"b0", "b1"}) {
		t.Errorf("VMs are maintained in the order %v, want those of zone b first", order)
	}
	w.verify()
}

// The load: a zone is taken back whose targets are slow for some more seconds. They take what has
// no room on warm ones, the least cold first.
func TestColdTargetsTakeLoadAfterWarmOnes(t *testing.T) {
	w := newZonedWorld(t, 0)
	w.evacuate("b")
	for id, cold := range map[string]time.Duration{
		"b0": 8 * time.Second,
		"b1": 3 * time.Second,
	} {
		f := w.targets[id]
		f.ColdFor = cold
		w.engine.Register(f.Registration, w.now)
	}
	w.run(100 * time.Millisecond)
	w.evacuate()
	tests := []struct {
		tasks int
		want  map[string]int // runs by target
	}{
		{
			tasks: 8,
			want:  map[string]int{"a0": 4, "a1": 4},
		},
		{
			tasks: 4,
			want:  map[string]int{"a0": 4, "a1": 4, "b1": 4},
		},
		{
			tasks: 4,
			want:  map[string]int{"a0": 4, "a1": 4, "b0": 4, "b1": 4},
		},
	}
	for i, tt := range tests {
		w.submit(testJob(fmt.Sprintf("j%d", i), "schools", 5000, tt.tasks))
		w.run(200 * time.Millisecond)
		for id, f := range w.targets {
			if len(f.runs) != tt.want[id] {
				t.Errorf("after job %d, %d tasks run on %s, want %d", i, len(f.runs), id, tt.want[id])
			}
		}
	}
	w.verify()
}

// Guards against jobs that wait for the end of an evacuation in a cell that can start nothing.
func TestJobsOfAnEvacuatedCellMayLeaveAtOnce(t *testing.T) {
	w := newZonedWorld(t, 0)
	w.evacuate("a", "b")
	w.submit(testJob("j", "schools", 500, 2))
	w.run(100 * time.Millisecond)
	if found := w.engine.TransferCandidates(8, w.now); len(found) != 1 || !found[0].Stranded {
		t.Errorf("candidates are %+v, want the stranded job", found)
	}
	w.evacuate("a")
	w.submit(testJob("k", "schools", 500, 40))
	w.run(100 * time.Millisecond)
	if found := w.engine.TransferCandidates(8, w.now); len(found) != 0 {
		t.Errorf("candidates are %+v, want none: a zone is open", found)
	}
	w.verify()
}
