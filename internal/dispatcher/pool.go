package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/correlator"
	"github.com/comfreyford/comfreyford/pkg/ejector"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

// pool queues the requests for the targets of one pool and grants them slots. The packages
// scheduler, placer and ejector decide; pool adds the lock.
type pool struct {
	d    *Dispatcher
	name string

	mu          sync.Mutex
	sched       *scheduler.Scheduler[*waiter]
	placer      *placer.Placer
	ejector     *ejector.Ejector
	rng         *rand.Rand
	members     map[string]*member
	waiting     int // queued requests
	queuedSlots int // slots of queued urgent and interactive requests

	heldFor       *waiter         // the request for which a target is held free
	heldTarget    string          // the held target
	peerHold      Hold            // a target that a peer holds free
	tasks         map[*grant]bool // deferrable tasks that run or are checkpointed
	checkpointing bool            // a checkpoint request is in progress

	suspects suspects
	crashes  crashes
}

// member is a target with its size and use as far as they are known.
type member struct {
	target      *target
	total       runner.Resources // zero until the worker has reported
	tasks       int              // running tasks of all entry daemons, as the worker reported
	measuredAt  time.Time        // when the figures of that report were taken
	grants      int
	lastSuspect time.Time                 // latest start of a suspected request
	crash       *correlator.Crash[string] // the last one; nil if none is known
	drained     chan struct{}             // nil until removal; closed when no grant is left
}

// waiter is a queued request.
type waiter struct {
	team    string
	class   configurer.Class
	slots   int
	need    placer.Need
	suspect bool        // the request has lost an attempt
	granted chan *grant // receives nil if the chosen target was removed meanwhile
}

// grant is the permission to start one attempt at a target. It ends with release.
type grant struct {
	pool        *pool
	member      *member
	target      *target
	team        string
	resources   runner.Resources
	reservation placer.Reservation
	need        placer.Need
	deadline    time.Time
	start       time.Time
	checkpointState
}

func newPool(d *Dispatcher, name string, seed uint64) *pool {
	return &pool{
		d:    d,
		name: name,
		sched: scheduler.New[*waiter](scheduler.Config{
			Deferrable: scheduler.UtilisationThreshold{
				Below:   deferrableThreshold,
				Reserve: deferrableReserve,
			},
			HoldsTargets: true,
		}),
		placer:  placer.New(d.cfg.AvailabilityZone),
		ejector: ejector.New(ejector.Config{}),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		members: map[string]*member{},
		tasks:   map[*grant]bool{},
		suspects: suspects{
			queued:  map[string]int{},
			running: map[*grant]bool{},
		},
		crashes: newCrashes(),
	}
}

// errCanceled means that the caller stopped waiting before a slot was free.
var errCanceled = errors.New("request canceled")

// acquire waits for a slot. After an error nothing was started.
func (p *pool) acquire(ctx context.Context, team string, class configurer.Class, need placer.Need, deadline time.Time) (*grant, error) {
	return p.await(ctx, newWaiter(team, class, need), deadline)
}

func newWaiter(team string, class configurer.Class, need placer.Need) *waiter {
	return &waiter{
		team:    team,
		class:   class,
		slots:   need.Slots,
		need:    need,
		granted: make(chan *grant, 1),
	}
}

func (p *pool) await(ctx context.Context, w *waiter, deadline time.Time) (*grant, error) {
	ticket, err := p.enqueue(w, deadline)
	if err != nil {
		return nil, err
	}
	// Most requests find a free slot and need no timer.
	select {
	case g := <-w.granted:
		return checkGrant(g)
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return checkGrant(g)
	case <-ctx.Done():
		err = errCanceled
	case <-timer.C:
		err = scheduler.ErrDeadlinePassed
	}
	if p.cancel(ticket, w) {
		return nil, Error.Wrap(err)
	}
	if g := <-w.granted; g != nil {
		g.release(true)
	}
	return nil, Error.Wrap(err)
}

func checkGrant(g *grant) (*grant, error) {
	if g == nil {
		return nil, Error.Wrap(ErrUnknownTarget)
	}
	return g, nil
}

func (p *pool) enqueue(w *waiter, deadline time.Time) (scheduler.Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.suspect && p.suspects.queued[w.team] >= maxQueuedSuspects {
		return scheduler.Ticket{}, errSuspectsQueued
	}
	now := time.Now()
	ticket, err := p.sched.Enqueue(now, scheduler.Request[*waiter]{
		Team:      w.team,
		Class:     w.class,
		Resources: w.need.Resources,
		Deadline:  deadline,
		Value:     w,
	})
	if err != nil {
		return ticket, err
	}
	p.waiting++
	if w.suspect {
		p.suspects.queued[w.team]++
	}
	if w.class != configurer.ClassDeferrable {
		p.queuedSlots += w.slots
	}
	p.d.addQueued(w.team, w.slots)
	p.grantWaiting(now)
	if p.waiting > 0 {
		p.d.wakeUp()
	}
	return ticket, nil
}

// cancel removes a queued request. It returns false if a slot was granted.
func (p *pool) cancel(ticket scheduler.Ticket, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.sched.Cancel(ticket); !ok {
		// Expire may have removed the request; then no grant follows.
		select {
		case g := <-w.granted:
			w.granted <- g
			return false
		default:
			return true
		}
	}
	p.countDequeued(w)
	return true
}

func (p *pool) countDequeued(w *waiter) {
	p.waiting--
	if w.suspect {
		p.suspects.dequeue(w.team)
	}
	if w.class != configurer.ClassDeferrable {
		p.queuedSlots -= w.slots
	}
	p.d.addQueued(w.team, -w.slots)
}

// grantWaiting grants slots as long as requests are queued and fit. The lock is held.
func (p *pool) grantWaiting(now time.Time) {
	p.sched.Expire(now, func(r scheduler.Request[*waiter]) { p.countDequeued(r.Value) })
	p.resumeTasks(now, maxPause)
	for p.waiting > 0 && p.grantNext(now) {
	}
	p.resumeTasks(now, 0)
}

// grantNext grants a slot to the request that the scheduler chooses. Allowance is
// acquired for every candidate, so that the choice can't fail afterwards, and
// given back for those that were not chosen.
func (p *pool) grantNext(now time.Time) bool {
	var acquired []*waiter
	r, ok := p.sched.Next(now, func(r *scheduler.Request[*waiter]) bool {
		w := r.Value
		if !p.placer.Fits(p.presentNeed(w, now)) {
			return false
		}
		if w.team != "" && p.d.cfg.Holder.Acquire(w.team, w.slots) != nil {
			return false
		}
		acquired = append(acquired, w)
		return true
	})
	for _, w := range acquired {
		if w.team != "" && (!ok || w != r.Value) {
			p.d.cfg.Holder.Release(w.team, w.slots)
		}
	}
	if !ok {
		return false
	}
	w := r.Value
	p.countDequeued(w)
	reservation, placed := p.placer.Place(p.rng, p.presentNeed(w, now))
	m := p.members[reservation.Target]
	if !placed || m == nil { // not expected, because Fits returned true
		p.sched.Finish(w.team, w.need.Resources)
		p.d.releaseAllowance(w.team, w.slots, true)
		w.granted <- nil
		return false
	}
	m.grants++
	g := &grant{
		pool:        p,
		member:      m,
		target:      m.target,
		team:        w.team,
		resources:   w.need.Resources,
		reservation: reservation,
		need:        w.need,
		deadline:    r.Deadline,
		start:       now,
	}
	if w.suspect {
		p.suspects.running[g] = true
		m.lastSuspect = now
	}
	w.granted <- g
	return true
}

// presentNeed returns the need of the request with the targets that it avoids now. Those that
// failed it before are avoided only while another target is usable. The lock is held.
func (p *pool) presentNeed(w *waiter, now time.Time) *placer.Need {
	if len(w.need.Avoid) == 0 && !w.suspect {
		return &w.need
	}
	need := w.need
	if !p.placer.Fits(&need) && !p.anyUsable(now, need.Avoid) {
		need.Avoid = nil
	}
	if w.suspect {
		need = p.separateNeed(need, now)
	}
	return &need
}

// anyUsable tells whether a target is usable, except those to avoid. The lock is held.
func (p *pool) anyUsable(now time.Time, avoid []string) bool {
	for name, m := range p.members {
		if p.usable(m, now) && !slices.Contains(avoid, name) {
			return true
		}
	}
	return false
}

// releaseAllowance gives allowance back. ended tells whether the task has certainly ended;
// otherwise the allowance stays taken until the session must have ended, because the task may
// run until then.
func (d *Dispatcher) releaseAllowance(team string, slots int, ended bool) {
	switch {
	case team == "":
	case ended:
		d.cfg.Holder.Release(team, slots)
	default:
		time.AfterFunc(sessionEnd, func() { d.cfg.Holder.Release(team, slots) })
	}
}

// release ends the attempt; for ended see releaseAllowance.
func (g *grant) release(ended bool) {
	p := g.pool
	p.mu.Lock()
	p.freeReservation(g)
	delete(p.suspects.running, g)
	g.member.grants--
	if g.member.grants == 0 && g.member.drained != nil {
		close(g.member.drained)
	}
	p.d.releaseAllowance(g.team, g.resources.Slots, ended)
	p.grantWaiting(time.Now())
	p.mu.Unlock()
}

// sessionEnd is the time after which a session that is no longer renewed has certainly ended
// at its worker. It allows for one more renewal in progress and for 1% clock drift.
const sessionEnd = 2*runner.DefaultSessionTTL + runner.DefaultSessionTTL/50

// recordAttemptResult passes the result of an attempt to the ejector, which may eject the
// target.
func (p *pool) recordAttemptResult(t *target, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.ejector.Record(now, t.vm.Name, ok) {
		p.d.cfg.Logger.Warn("target ejected", "vm", t.vm.Name, "pool", p.name)
		p.refresh(now)
	}
}

// updateTarget applies a changed state of a target.
func (p *pool) updateTarget(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[t.vm.Name]
	if m == nil || m.target != t {
		m = &member{target: t}
		p.members[t.vm.Name] = m
	}
	p.putTarget(m, time.Now())
	p.grantWaiting(time.Now())
}

// report applies a worker's usage report.
func (p *pool) report(t *target, usage runner.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[t.vm.Name]
	if m == nil || m.target != t {
		return
	}
	m.tasks = usage.Running
	m.measuredAt = time.Now().Add(-time.Duration(usage.AgeMS) * time.Millisecond)
	if m.total != usage.Total {
		m.total = usage.Total
		p.putTarget(m, time.Now())
		p.updateCapacity()
	}
	p.placer.RecordUsage(t.vm.Name, placer.Room{Resources: usage.Used})
	p.grantWaiting(time.Now())
}

func (p *pool) putTarget(m *member, now time.Time) {
	p.placer.Put(m.target.placerTarget(m.total, p.usable(m, now)))
	p.updateCapacity()
}

func (p *pool) usable(m *member, now time.Time) bool {
	name := m.target.vm.Name
	return m.target.usable() && m.total.Slots > 0 && !p.ejector.Ejected(now, name) && !p.heldByPeer(name)
}

func (p *pool) updateCapacity() {
	all, largest := p.placer.Capacity()
	p.sched.SetCapacity(all, largest)
}

// refresh applies ejections that began or ended.
func (p *pool) refresh(now time.Time) {
	for name, m := range p.members {
		p.placer.SetUsable(name, p.usable(m, now))
	}
	p.updateCapacity()
}

// remove takes a target out of the pool. Its attempts continue; the returned channel is closed
// when the last one has ended.
func (p *pool) remove(t *target) <-chan struct{} {
	drained := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[t.vm.Name]
	if m == nil || m.target != t {
		close(drained)
		return drained
	}
	p.placer.Remove(t.vm.Name)
	delete(p.members, t.vm.Name)
	m.drained = drained
	if m.grants == 0 {
		close(drained)
	}
	return drained
}

// updateEjector tells the ejector which targets the pool has.
func (p *pool) updateEjector() {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	p.ejector.SetTargets(time.Now(), names)
}

// tick grants slots to requests that waited for allowance, the end of an ejection or lower
// utilisation. It returns true if requests are still queued, so that the next tick should come
// soon.
func (p *pool) tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	p.hold(now)
	if p.waiting > 0 || len(p.tasks) > 0 {
		p.grantWaiting(now)
	}
	p.checkpointForDelayed(now)
	return p.waiting > 0
}
