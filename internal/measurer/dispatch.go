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

func workerCapacity() placer.Room {
	return placer.Room{
		Resources: runner.Resources{
			Slots:     workerSlots,
			CPUMillis: workerCPUMillis,
			MemoryMB:  workerMemoryMB,
		},
		Connections: workerConnections,
	}
}

// submit enqueues a new request at the entry daemon of its availability zone.
func (sim *simulation) submit(a arrival) {
	sim.result.Requests++
	t := &task{
		arrival: a,
		daemon:  sim.daemons[a.zone],
		need: placer.Need{
			Room: placer.Room{
				Resources:   a.declared,
				Connections: 1,
			},
		},
	}
	t.daemon.retrier.FirstAttempt(sim.clock(), t.key())
	sim.enqueue(t)
	sim.dispatch(t.pool())
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

func (sim *simulation) enqueue(t *task) {
	_, err := t.pool().scheduler.Enqueue(sim.clock(), scheduler.Request[*task]{
		Team:      teams()[t.arrival.team].name,
		Class:     kinds()[t.arrival.kind].class,
		Resources: t.arrival.declared,
		Deadline:  t.deadline(),
		Value:     t,
	})
	switch {
	case errors.Is(err, scheduler.ErrDeadlinePassed):
		sim.result.Expired++
	case err != nil:
		sim.result.Refused++
	}
}

// dispatch starts queued requests of a pool while a target has room, as far as the daemon knows.
func (sim *simulation) dispatch(p *pool) {
	fits := func(r *scheduler.Request[*task]) bool { return p.placer.Fits(&r.Value.need) }
	for r, ok := p.scheduler.Next(sim.clock(), fits); ok; r, ok = p.scheduler.Next(sim.clock(), fits) {
		if sim.start(p, r.Value) {
			continue
		}
		p.scheduler.Finish(r.Team, r.Resources)
		sim.enqueue(r.Value) // every target refused; the next reports show what is free
		return
	}
}

// hold keeps a target free for the most overdue request if no target has room for it. It
// starts no hold while a peer reports one for the service.
func (sim *simulation) hold(p *pool, peerHolds bool) {
	r, ok := p.scheduler.Overdue(sim.clock())
	if p.held != nil && (!ok || r.Value != p.held) {
		p.held.need.MayUseHeld = false
		p.held = nil
		p.heldTarget = ""
		p.placer.ReleaseHold()
	}
	if !ok || p.held != nil || peerHolds || p.placer.Fits(&r.Value.need) {
		return
	}
	if target, ok := p.placer.Hold(&r.Value.need); ok {
		p.held = r.Value
		p.heldTarget = target
		p.held.need.MayUseHeld = true
	}
}

// start places a task and reports whether a target accepted it.
func (sim *simulation) start(p *pool, t *task) bool {
	t.need.Avoid = t.need.Avoid[:0]
	for {
		reservation, ok := p.placer.Place(sim.rng, &t.need)
		if !ok {
			return false
		}
		wk := sim.workers[reservation.Target]
		if wk.live && wk.used.Slots+t.need.Slots > workerSlots {
			p.placer.Release(reservation)
			p.placer.RecordUsage(wk.name, workerCapacity()) // treat a worker that refused as full until its next report
			t.need.Avoid = append(t.need.Avoid, wk.name)
			continue
		}
		t.reservation = reservation
		sim.begin(t, wk)
		return true
	}
}

func (sim *simulation) begin(t *task, wk *worker) {
	if !t.started {
		t.started = true
		s := Stream{
			Team:  teams()[t.arrival.team].name,
			Class: string(kinds()[t.arrival.kind].class),
		}
		sim.result.Waits[s] = append(sim.result.Waits[s], sim.now-t.arrival.at)
	}
	t.worker = wk
	t.epoch = wk.epoch
	if !wk.live {
		sim.queue.add(sim.now+silenceTimeout, func() { sim.fail(t) })
		return
	}
	wk.tasks = append(wk.tasks, t)
	wk.used.Slots += t.need.Slots
	wk.used.Connections += t.need.Connections
	wk.used.CPUMillis += t.need.CPUMillis
	wk.used.MemoryMB += t.need.MemoryMB
	attempt := t.attempt
	sim.queue.add(sim.now+t.arrival.duration, func() { sim.end(t, attempt) })
}

// end completes an attempt unless the worker has lost it.
func (sim *simulation) end(t *task, attempt int) {
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
	sim.release(t)
	p.ejector.Record(sim.clock(), wk.name, true)
	sim.dispatch(p)
}

func (sim *simulation) release(t *task) {
	t.pool().scheduler.Finish(teams()[t.arrival.team].name, t.arrival.declared)
	t.pool().placer.Release(t.reservation)
}

// loseTasks ends all tasks of a worker. Their entry daemons notice after silenceTimeout.
func (sim *simulation) loseTasks(wk *worker) {
	wk.epoch++
	for _, t := range wk.tasks {
		sim.queue.add(sim.now+silenceTimeout, func() { sim.fail(t) })
	}
	wk.tasks = nil
	wk.used = placer.Room{}
}

// fail records a lost attempt and retries it within the retry budget.
func (sim *simulation) fail(t *task) {
	p := t.pool()
	sim.release(t)
	if p.ejector.Record(sim.clock(), t.worker.name, false) {
		p.placer.SetUsable(t.worker.name, false)
	}
	t.attempt++
	start, err := t.daemon.retrier.Retry(sim.clock(), t.key(), t.attempt, t.deadline(), sim.rng)
	if err != nil {
		sim.result.Lost++
		return
	}
	sim.result.Retried++
	sim.queue.add(start.Sub(at(0)), func() {
		sim.enqueue(t)
		sim.dispatch(p)
	})
}
