package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/ejector"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

// pool queues the requests for the targets of one pool and grants them slots. The
// decisions are those of scheduler, placer and ejector; pool adds the lock.
type pool struct {
	d    *Dispatcher
	name string

	mu       sync.Mutex
	sched    *scheduler.Scheduler[*waiter]
	placer   *placer.Placer
	ejector  *ejector.Ejector
	rng      *rand.Rand
	members  map[string]*member
	waiting  int // queued requests
	pressing int // slots of queued urgent and interactive requests

	held     *waiter         // the request for which a target is held free
	target   string          // the held target
	peerHold Hold            // a target that a peer holds free
	tasks    map[*grant]bool // deferrable tasks that run or are checkpointed
	calling  bool            // a checkpoint is under way
}

// member is a target with what is known of its size and use.
type member struct {
	target *target
	total  runner.Resources // zero until the worker reported
	tasks  int              // that the worker reported as running, of all entry daemons
	asOf   time.Time        // of that report; its figures lag
	grants int
	idle   chan struct{} // closed when the last grant ends after removal; nil before
}

// waiter is a queued request.
type waiter struct {
	team    string
	class   configurer.Class
	slots   int
	need    placer.Need
	granted chan *grant // receives nil when the chosen target is gone again
}

// grant is the right to start one attempt at a target. It ends with release.
type grant struct {
	pool      *pool
	member    *member
	target    *target
	team      string
	resources runner.Resources
	placement placer.Placement
	need      placer.Need
	deadline  time.Time
	pausable
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
	}
}

// errCanceled means that the caller stopped waiting before a slot was free.
var errCanceled = errors.New("request canceled")

// acquire waits for a slot. After an error nothing was started.
func (p *pool) acquire(ctx context.Context, team string, class configurer.Class, need placer.Need, deadline time.Time) (*grant, error) {
	w := &waiter{
		team:    team,
		class:   class,
		slots:   need.Slots,
		need:    need,
		granted: make(chan *grant, 1),
	}
	ticket, err := p.enqueue(w, class, deadline)
	if err != nil {
		return nil, err
	}
	// Most requests find a free slot and need no timer.
	select {
	case g := <-w.granted:
		return accepted(g)
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return accepted(g)
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

func accepted(g *grant) (*grant, error) {
	if g == nil {
		return nil, Error.Wrap(ErrUnknownTarget)
	}
	return g, nil
}

func (p *pool) enqueue(w *waiter, class configurer.Class, deadline time.Time) (scheduler.Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	ticket, err := p.sched.Enqueue(now, scheduler.Request[*waiter]{
		Team:      w.team,
		Class:     class,
		Resources: w.need.Resources,
		Deadline:  deadline,
		Value:     w,
	})
	if err != nil {
		return ticket, err
	}
	p.waiting++
	if class != configurer.ClassDeferrable {
		p.pressing += w.slots
	}
	p.d.addQueued(w.team, w.slots)
	p.pump(now)
	if p.waiting > 0 {
		p.d.wait()
	}
	return ticket, nil
}

// cancel removes a queued request; false when a slot was granted.
func (p *pool) cancel(ticket scheduler.Ticket, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.sched.Cancel(ticket); !ok {
		// Expire may have dropped it; then no grant comes either.
		select {
		case g := <-w.granted:
			w.granted <- g
			return false
		default:
			return true
		}
	}
	p.dequeued(w)
	return true
}

func (p *pool) dequeued(w *waiter) {
	p.waiting--
	if w.class != configurer.ClassDeferrable {
		p.pressing -= w.slots
	}
	p.d.addQueued(w.team, -w.slots)
}

// pump grants slots while requests and room are left. The lock is held.
func (p *pool) pump(now time.Time) {
	p.sched.Expire(now, func(r scheduler.Request[*waiter]) { p.dequeued(r.Value) })
	p.resume(now, maxPause)
	for p.waiting > 0 && p.grantNext(now) {
	}
	p.resume(now, 0)
}

// grantNext grants a slot to the request that the scheduler chooses. Allowance is
// acquired for every candidate, so that the choice can't fail afterwards, and
// given back for those that were not chosen.
func (p *pool) grantNext(now time.Time) bool {
	var acquired []*waiter
	r, ok := p.sched.Next(now, func(r *scheduler.Request[*waiter]) bool {
		w := r.Value
		if !p.placer.Fits(&w.need) {
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
	p.dequeued(w)
	placement, placed := p.placer.Place(p.rng, &w.need)
	m := p.members[placement.Target]
	if !placed || m == nil { // Fits has just said otherwise
		p.sched.Finish(w.team, w.need.Resources)
		p.d.releaseAllowance(w.team, w.slots, true)
		w.granted <- nil
		return false
	}
	m.grants++
	w.granted <- &grant{
		pool:      p,
		member:    m,
		target:    m.target,
		team:      w.team,
		resources: w.need.Resources,
		placement: placement,
		need:      w.need,
		deadline:  r.Deadline,
	}
	return true
}

// releaseAllowance gives allowance back. ended tells whether the task certainly runs
// no more; otherwise the allowance stays taken until the session must have ended,
// because the task may run on until then.
func (d *Dispatcher) releaseAllowance(team string, slots int, ended bool) {
	switch {
	case team == "":
	case ended:
		d.cfg.Holder.Release(team, slots)
	default:
		time.AfterFunc(sessionEnd, func() { d.cfg.Holder.Release(team, slots) })
	}
}

// release ends the attempt; ended is that of releaseAllowance.
func (g *grant) release(ended bool) {
	p := g.pool
	p.mu.Lock()
	p.forget(g)
	g.member.grants--
	if g.member.grants == 0 && g.member.idle != nil {
		close(g.member.idle)
	}
	p.d.releaseAllowance(g.team, g.resources.Slots, ended)
	p.pump(time.Now())
	p.mu.Unlock()
}

// sessionEnd is the time after which a session that is no longer renewed has ended
// at its worker, with one more renewal under way and 1% drift.
const sessionEnd = 2*runner.DefaultSessionTTL + runner.DefaultSessionTTL/50

// record takes the result of an attempt and ejects a failing target.
func (p *pool) record(t *target, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.ejector.Record(now, t.vm.Name, ok) {
		p.d.cfg.Logger.Warn("target ejected", "vm", t.vm.Name, "pool", p.name)
		p.refresh(now)
	}
}

// update takes over a target's state.
func (p *pool) update(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[t.vm.Name]
	if m == nil || m.target != t {
		m = &member{target: t}
		p.members[t.vm.Name] = m
	}
	p.put(m, time.Now())
	p.pump(time.Now())
}

// report takes over a worker's usage.
func (p *pool) report(t *target, usage runner.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[t.vm.Name]
	if m == nil || m.target != t {
		return
	}
	m.tasks = usage.Running
	m.asOf = time.Now().Add(-time.Duration(usage.AgeMS) * time.Millisecond)
	if m.total != usage.Total {
		m.total = usage.Total
		p.put(m, time.Now())
		p.capacity()
	}
	p.placer.Report(t.vm.Name, placer.Room{Resources: usage.Used})
	p.pump(time.Now())
}

func (p *pool) put(m *member, now time.Time) {
	p.placer.Put(m.target.description(m.total, p.usable(m, now)))
	p.capacity()
}

func (p *pool) usable(m *member, now time.Time) bool {
	name := m.target.vm.Name
	return m.target.usable() && m.total.Slots > 0 && !p.ejector.Ejected(now, name) && !p.leaves(name)
}

func (p *pool) capacity() {
	all, largest := p.placer.Capacity()
	p.sched.SetCapacity(all, largest)
}

// refresh applies ejections that began or ended.
func (p *pool) refresh(now time.Time) {
	for name, m := range p.members {
		p.placer.SetUsable(name, p.usable(m, now))
	}
	p.capacity()
}

// remove takes a target out of the pool. What runs on it goes on until the
// returned channel is closed.
func (p *pool) remove(t *target) <-chan struct{} {
	idle := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[t.vm.Name]
	if m == nil || m.target != t {
		close(idle)
		return idle
	}
	p.placer.Remove(t.vm.Name)
	delete(p.members, t.vm.Name)
	m.idle = idle
	if m.grants == 0 {
		close(idle)
	}
	return idle
}

// recount tells the ejector which targets the pool has.
func (p *pool) recount() {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	p.ejector.SetTargets(time.Now(), names)
}

// tick grants slots to requests that waited for allowance, an ended ejection or lower load.
// It tells whether something waits still, so that the next tick should come soon.
func (p *pool) tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	p.hold(now)
	if p.waiting > 0 || len(p.tasks) > 0 {
		p.pump(now)
	}
	p.checkpoint(now)
	return p.waiting > 0
}
