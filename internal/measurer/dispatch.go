package measurer

import (
	"errors"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/retrier"
	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

// whole is everything that a worker has.
func whole() placer.Room {
	return placer.Room{
		Resources: runner.Resources{
			Slots:     workerSlots,
			CPUMillis: workerCPUMillis,
			MemoryMB:  workerMemoryMB,
		},
		Connections: workerConnections,
	}
}

// submit takes a new request at the entry daemon of its availability zone.
func (w *world) submit(a arrival) {
	w.result.Requests++
	t := &task{
		arrival: a,
		daemon:  w.daemons[a.zone],
		need: placer.Need{
			Room: placer.Room{
				Resources:   a.declared,
				Connections: 1,
			},
		},
	}
	t.daemon.retry.FirstAttempt(w.clock(), t.key())
	w.enqueue(t)
	w.dispatch(t.pool())
}

func (t *task) pool() *pool { return t.daemon.pools[t.arrival.service] }

func (t *task) key() retrier.Key {
	return retrier.Key{
		Team: teams()[t.arrival.team].name,
		Pool: services()[t.arrival.service].name,
	}
}

func (t *task) deadline() time.Time {
	return at(t.arrival.at + kinds()[t.arrival.kind].deadline)
}

func (w *world) enqueue(t *task) {
	_, err := t.pool().sched.Enqueue(w.clock(), scheduler.Request[*task]{
		Team:      teams()[t.arrival.team].name,
		Class:     kinds()[t.arrival.kind].class,
		Resources: t.arrival.declared,
		Deadline:  t.deadline(),
		Value:     t,
	})
	switch {
	case errors.Is(err, scheduler.ErrDeadlinePassed):
		w.result.Expired++
	case err != nil:
		w.result.Refused++
	}
}

// dispatch starts requests of a pool while targets have room in the view of the daemon.
func (w *world) dispatch(p *pool) {
	fits := func(r *scheduler.Request[*task]) bool { return p.place.Fits(&r.Value.need) }
	for r, ok := p.sched.Next(w.clock(), fits); ok; r, ok = p.sched.Next(w.clock(), fits) {
		if w.start(p, r.Value) {
			continue
		}
		p.sched.Finish(r.Team, r.Resources)
		w.enqueue(r.Value) // every target refused; reports correct the view
		return
	}
}

// hold keeps a target free for the most overdue request if no target has room for it. One
// daemon at a time holds a target of a service, as far as their reports tell.
func (w *world) hold(p *pool, peerHolds bool) {
	r, ok := p.sched.Overdue(w.clock())
	if p.held != nil && (!ok || r.Value != p.held) {
		p.held.need.Held = false
		p.held = nil
		p.heldTarget = ""
		p.place.Unhold()
	}
	if !ok || p.held != nil || peerHolds || p.place.Fits(&r.Value.need) {
		return
	}
	if target, ok := p.place.Hold(&r.Value.need); ok {
		p.held = r.Value
		p.heldTarget = target
		p.held.need.Held = true
	}
}

// start places a task and tells whether a target took it.
func (w *world) start(p *pool, t *task) bool {
	t.need.Avoid = t.need.Avoid[:0]
	for {
		placement, ok := p.place.Place(w.rng, &t.need)
		if !ok {
			return false
		}
		wk := w.workers[placement.Target]
		if wk.live && wk.used.Slots+t.need.Slots > workerSlots {
			p.place.Release(placement)
			p.place.Report(wk.name, whole()) // it refused, so it is full until its next report
			t.need.Avoid = append(t.need.Avoid, wk.name)
			continue
		}
		t.placement = placement
		w.begin(t, wk)
		return true
	}
}

func (w *world) begin(t *task, wk *worker) {
	if !t.started {
		t.started = true
		s := Stream{
			Team:  teams()[t.arrival.team].name,
			Class: string(kinds()[t.arrival.kind].class),
		}
		w.result.Waits[s] = append(w.result.Waits[s], w.now-t.arrival.at)
	}
	t.worker = wk
	t.epoch = wk.epoch
	if !wk.live {
		w.queue.add(w.now+silence, func() { w.fail(t) })
		return
	}
	wk.tasks = append(wk.tasks, t)
	wk.used.Slots += t.need.Slots
	wk.used.Connections += t.need.Connections
	wk.used.CPUMillis += t.need.CPUMillis
	wk.used.MemoryMB += t.need.MemoryMB
	attempt := t.attempt
	w.queue.add(w.now+t.arrival.run, func() { w.end(t, attempt) })
}

// end finishes an attempt unless its worker has lost it.
func (w *world) end(t *task, attempt int) {
	wk := t.worker
	if t.attempt != attempt || t.epoch != wk.epoch {
		return
	}
	i := slices.Index(wk.tasks, t)
	wk.tasks = slices.Delete(wk.tasks, i, i+1)
	wk.used.Slots -= t.need.Slots
	wk.used.Connections -= t.need.Connections
	wk.used.CPUMillis -= t.need.CPUMillis
	wk.used.MemoryMB -= t.need.MemoryMB
	p := t.pool()
	w.free(t)
	p.eject.Record(w.clock(), wk.name, true)
	w.dispatch(p)
}

func (w *world) free(t *task) {
	t.pool().sched.Finish(teams()[t.arrival.team].name, t.arrival.declared)
	t.pool().place.Release(t.placement)
}

// loseTasks ends all tasks of a worker; their entry daemons notice after the silence.
func (w *world) loseTasks(wk *worker) {
	wk.epoch++
	for _, t := range wk.tasks {
		w.queue.add(w.now+silence, func() { w.fail(t) })
	}
	wk.tasks = nil
	wk.used = placer.Room{}
}

// fail records a lost attempt and repeats it within the retry budget.
func (w *world) fail(t *task) {
	p := t.pool()
	w.free(t)
	if p.eject.Record(w.clock(), t.worker.name, false) {
		p.place.SetUsable(t.worker.name, false)
	}
	t.attempt++
	start, err := t.daemon.retry.Retry(w.clock(), t.key(), t.attempt, t.deadline(), w.rng)
	if err != nil {
		w.result.Lost++
		return
	}
	w.result.Retried++
	w.queue.add(start.Sub(at(0)), func() {
		w.enqueue(t)
		w.dispatch(p)
	})
}
