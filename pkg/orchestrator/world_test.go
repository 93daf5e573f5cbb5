package orchestrator_test

import (
	"sort"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	worldStep     = 10 * time.Millisecond
	worldLease    = 2 * time.Second
	worldMaxLease = 6 * time.Second
	wallStart     = int64(1_700_000_000_000)
)

// world simulates the targets, the list of VMs and the store of an engine in virtual time,
// and checks what the targets run.
type world struct {
	t               testing.TB
	now             time.Duration
	engine          *orchestrator.Engine
	fence           storer.Version
	conf            orchestrator.Configuration
	jobs            map[string]*jobkeeper.Job
	created         map[string]storer.Version
	stored          map[string]*jobkeeper.Progress
	version         map[string]storer.Version
	documentRemoved map[string]bool
	roster          []string
	targets         map[string]*fakeTarget
	delayed         []delayedOrder
	// gangCheckpoints are the checkpoints from which runs of gangs started.
	gangCheckpoints map[runKey]string
	gangTimeouts    int // runs that ended because other members of their gang did not start
	// cancelled jobs must not start again.
	cancelled map[string]bool
	// evacuated zones must get no starts.
	evacuated map[string]bool
	storeDown bool
	// ignoreInterference is passed to the engine.
	ignoreInterference bool
	observer           orchestrator.Observer // may be nil
	vmListDown         bool                  // the list of VMs can't be read
	clockOffset        time.Duration         // of the clock of the owner's daemon
	vmOrdersLost       bool                  // orders for VMs are neither carried out nor answered
	// vmOrderDelay, vmOrdersKnown and recentVMOrders are passed to the engine of the next owner.
	vmOrderDelay   time.Duration
	vmOrdersKnown  bool
	recentVMOrders []orchestrator.RecentVMOrder
	// vmListInterval is the time between two lists of VMs; a move takes moveTime.
	vmListInterval time.Duration
	moveTime       time.Duration
	startupTime    time.Duration // from the start of a long-running task until it is at full capacity
	moves          int
	crashing       map[string]time.Duration // tasks that crash their targets, and the time from their start
	taskCrashes    int
	// crashesUnder counts the crashes of targets while they ran a task, startsAfterCrashes its
	// starts after the third.
	crashesUnder       map[string]int
	startsAfterCrashes map[string]int
	acknowledged       map[string]bool // tasks whose done end was acknowledged
	failures           []string
	starts             map[string]int
}

type delayedOrder struct {
	at            time.Duration
	order         orchestrator.Order
	startedUnixMS int64 // the life of the target that the order is for; zero for any
}

func newWorld(t testing.TB, conf orchestrator.Configuration) *world {
	w := &world{
		t:                  t,
		now:                time.Second,
		vmListInterval:     200 * time.Millisecond,
		conf:               conf,
		jobs:               map[string]*jobkeeper.Job{},
		created:            map[string]storer.Version{},
		stored:             map[string]*jobkeeper.Progress{},
		version:            map[string]storer.Version{},
		documentRemoved:    map[string]bool{},
		targets:            map[string]*fakeTarget{},
		cancelled:          map[string]bool{},
		acknowledged:       map[string]bool{},
		starts:             map[string]int{},
		crashing:           map[string]time.Duration{},
		crashesUnder:       map[string]int{},
		startsAfterCrashes: map[string]int{},

		gangCheckpoints: map[runKey]string{},
	}
	return w
}

// takeOver replaces the engine by one of a new owner, which knows only what is stored.
func (w *world) takeOver() {
	w.fence += 100
	w.engine = orchestrator.New(w.ownerConfig())
	w.engine.Configure(w.conf)
	w.engine.SetEvacuatedZones(w.evacuated, w.now)
	for _, id := range sortedKeys(w.jobs) {
		w.addJob(id)
	}
	for _, id := range sortedKeys(w.targets) {
		if w.targets[id].registered {
			w.engine.Register(w.targets[id].Registration, w.now)
		}
	}
}

// startWave starts a maintenance wave over the VMs, of which at most maxDown may be down at
// once.
func (w *world) startWave(vms []string, duration time.Duration, maxDown int) {
	w.engine.AddWave(orchestrator.Wave{
		Number:         1,
		VMs:            vms,
		Duration:       duration,
		MaxUnavailable: maxDown,
	}, nil, w.now)
}

func (w *world) addJob(id string) {
	p := w.stored[id]
	if w.documentRemoved[id] {
		w.engine.AddEnded(id, p, w.version[id], w.now)
		return
	}
	w.engine.AddJob(w.jobs[id], w.created[id], p, w.version[id], w.now, w.wall())
	if w.cancelled[id] {
		w.engine.Cancel(id, w.now, w.wall())
	}
}

func (w *world) wall() int64 { return wallStart + (w.now + w.clockOffset).Milliseconds() }

// submit adds a job as accepted now.
func (w *world) submit(j *jobkeeper.Job) {
	j.AcceptedMS = w.wall()
	w.jobs[j.ID] = j
	w.created[j.ID] = w.fence + 1
	if w.engine != nil {
		w.addJob(j.ID)
	}
}

// evacuate replaces the availability zones that are evacuated.
func (w *world) evacuate(zones ...string) {
	w.evacuated = map[string]bool{}
	for _, zone := range zones {
		w.evacuated[zone] = true
	}
	w.engine.SetEvacuatedZones(w.evacuated, w.now)
}

func (w *world) cancel(id string) {
	w.cancelled[id] = true
	w.engine.Cancel(id, w.now, w.wall())
}

// addTarget adds a target on a VM of its own.
func (w *world) addTarget(id, pool string, capacity jobkeeper.Resources) *fakeTarget {
	f := &fakeTarget{
		Registration: orchestrator.Registration{
			Endpoint: orchestrator.Endpoint{
				ID:      id,
				Address: id + ":1",
			},
			Pool:          pool,
			Rack:          "r1",
			Capacity:      capacity,
			StartedUnixMS: 1,
			VM:            "vm-" + id,
		},
		registered: true,
		reachable:  true,
		runs:       map[runKey]*fakeRun{},
		stopped:    map[runKey]bool{},
		state:      orchestrator.VMUp,
	}
	w.targets[id] = f
	if w.engine != nil {
		w.engine.Register(f.Registration, w.now)
	}
	return f
}

// run advances the simulation by the given time.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// runUntil advances the simulation until the condition holds. It returns false if it does
// not within the limit.
func (w *world) runUntil(limit time.Duration, condition func() bool) bool {
	for end := w.now + limit; w.now < end; {
		if condition() {
			return true
		}
		w.step()
	}
	return condition()
}

func (w *world) step() {
	w.now += worldStep
	w.advance()
	w.advanceCrashes()
	w.endCuts()
	w.completeMoves()
	w.deliverDelayed()
	if w.engine == nil {
		return
	}
	if w.now%(50*time.Millisecond) == 0 {
		w.list()
	}
	if w.now%w.vmListInterval == 0 && !w.vmListDown {
		w.listVMs()
	}
	w.engine.Tick(w.now, w.wall())
	for _, o := range w.engine.Orders() {
		w.carryOut(o)
	}
	if w.now%(30*time.Millisecond) == 0 {
		w.record()
	}
	w.check()
}

func (w *world) list() {
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		request, known := w.engine.NextListRequest(id, w.now)
		if !known || request.Skip || f.holdsLists {
			continue
		}
		w.engine.ListRequested(request)
		if !f.reachable || request.Fence < f.fence {
			w.engine.ListFailed(id, w.now)
			continue
		}
		f.fence = request.Fence
		f.extend(request.DeadlineMS, w.now)
		w.acknowledge(f, request.Acknowledged)
		l := orchestrator.Listing{
			Request:       request,
			ClockMS:       w.now.Milliseconds(),
			StartedUnixMS: f.StartedUnixMS,
			Ended:         append([]orchestrator.End(nil), f.ended...),
			SentAt:        w.now,
			ReceivedAt:    w.now + time.Millisecond,
		}
		for _, r := range f.sortedRuns() {
			l.Running = append(l.Running, orchestrator.Run{
				Task:    r.task,
				Run:     r.run,
				Percent: r.percent,

				Measurement: f.latency(r),
			})
		}
		w.engine.HandleListing(l, w.wall())
	}
}

func (f *fakeTarget) extend(deadlineMS int64, now time.Duration) {
	limit := now + worldMaxLease
	f.deadline = max(f.deadline, min(limit, time.Duration(deadlineMS)*time.Millisecond))
}

// acknowledge removes acknowledged ends and records which tasks are done by them.
func (w *world) acknowledge(f *fakeTarget, through uint64) {
	var kept []orchestrator.End
	for _, e := range f.ended {
		if e.Number > through {
			kept = append(kept, e)
			continue
		}
		if e.How == orchestrator.EndDone {
			w.acknowledged[e.Task.String()] = true
		}
	}
	f.ended = kept
}

func (w *world) listVMs() {
	var vms []orchestrator.VM
	for _, id := range sortedKeys(w.targets) {
		f := w.targets[id]
		vm := orchestrator.VM{
			ID:       f.VM,
			Pool:     f.Pool,
			State:    f.state,
			Zone:     f.Zone,
			Labels:   f.Labels,
			Capacity: f.Capacity,
		}
		if !f.crashed && f.state != orchestrator.VMMoving {
			vm.Target = id
		}
		vms = append(vms, vm)
	}
	w.engine.SetVMs(vms, w.now, w.now)
}

// carryOut gives an order to a target or to the VM service and passes the answer to the
// engine.
func (w *world) carryOut(o orchestrator.Order) {
	answer := orchestrator.Answer{
		Order:      o,
		Outcome:    orchestrator.OutcomeUnknown,
		SentAt:     w.now,
		ReceivedAt: w.now + time.Millisecond,
	}
	f := w.targets[o.Target.ID]
	switch {
	case o.Kind == orchestrator.KindMove || o.Kind == orchestrator.KindMaintenance:
		if !w.vmOrdersLost {
			answer.Outcome = w.orderVM(o)
		}
	case f == nil || !f.reachable:
	case f.orderDelay != nil && f.orderDelay(o) > 0:
		w.delayed = append(w.delayed, delayedOrder{
			at:            w.now + f.orderDelay(o),
			order:         o,
			startedUnixMS: f.StartedUnixMS,
		})
	default:
		answer.Outcome = w.orderTarget(f, o)
		answer.ClockMS = w.now.Milliseconds()
		if f.dropsAnswers {
			answer.Outcome = orchestrator.OutcomeUnknown
			answer.ClockMS = 0
		}
	}
	w.engine.HandleAnswer(answer, w.now+time.Millisecond)
}

func (w *world) deliverDelayed() {
	var kept []delayedOrder
	for _, l := range w.delayed {
		if l.at > w.now {
			kept = append(kept, l)
			continue
		}
		if f := w.targets[l.order.Target.ID]; f != nil && !f.crashed && (l.startedUnixMS == 0 || l.startedUnixMS == f.StartedUnixMS) {
			w.orderTarget(f, l.order)
		}
	}
	w.delayed = kept
}

// record writes the engine's changes to the store, unless it is down.
func (w *world) record() {
	b := w.engine.TakeChanges(w.now)
	for _, c := range b.Changes {
		if w.storeDown {
			w.engine.Retry(c)
			continue
		}
		w.version[c.Job]++
		w.stored[c.Job] = c.Progress
		w.documentRemoved[c.Job] = w.documentRemoved[c.Job] || c.RemoveDocument
		w.engine.Recorded(c, w.version[c.Job])
	}
	if w.storeDown {
		return
	}
	if b.Roster != nil {
		w.roster = b.Roster
	}
	w.engine.BatchStored(&b)
}

// advise passes the adviser's answer to a request to the engine.
func (w *world) advise(q orchestrator.AdviceRequest, tickets map[string]string, validity time.Duration) {
	w.engine.HandleAdvice(orchestrator.AdviceAnswer{
		Request:    q,
		Tickets:    tickets,
		Validity:   validity,
		SentAt:     w.now,
		ReceivedAt: w.now,
	})
}

// state returns the recorded state of a job.
func (w *world) state(id string) jobkeeper.State {
	if p := w.stored[id]; p != nil {
		return p.State
	}
	return jobkeeper.StateQueued
}

// runningOn returns the target that runs a task, or "".
func (w *world) runningOn(task string) string {
	for _, id := range sortedKeys(w.targets) {
		for _, r := range w.targets[id].runs {
			if r.task.String() == task {
				return id
			}
		}
	}
	return ""
}

func sortedKeys[K ~string | ~uint64, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
