package main

import (
	"fmt"
	"syscall"
	"time"
)

// step returns a step of a job.
func step(count int, cpu, estimateMS int64) map[string]any {
	return map[string]any{
		"Count":      count,
		"Cpu":        cpu,
		"MemMb":      1024,
		"EstimateMs": estimateMS,
	}
}

func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{
		"Spec":  spec,
		"Steps": steps,
	}
}

func services(names ...string) []map[string]any {
	var list []map[string]any
	for i, name := range names {
		list = append(list, map[string]any{
			"Name":             name,
			"EnforcesCapacity": true,
			"Standby":          i > 0,
		})
	}
	return list
}

const (
	// flapTime and flapPeriod are the largest length and the period of srv_flap in the site files.
	flapTime   = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
)

// playFlap lets one worker of ten go down and up by turns while it is the only one with room. The
// job that runs there is sound; it may be late, but not shown as failed.
func playFlap(b *bed) (broken bool, err error) {
	b.configure(1, []map[string]any{route("q1", "/desk/", "desk")}, services("desk"))
	b.addMachines("desk", 10)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	const filler, sound = "/desk/00000000000000f1", "/desk/00000000000000a1"
	if err := b.submit(filler, job("cpu=30000 ms=60000", step(9, 30_000, 60_000))); err != nil {
		return false, err
	}
	if !await(15*time.Second, func() bool { return b.running("00000000000000f1") == 9 }) {
		return false, fmt.Errorf("the pool is not full")
	}
	if err := b.submit(sound, job("cpu=8000 ms=6000", step(1, 8000, 6000))); err != nil {
		return false, err
	}
	if !await(15*time.Second, func() bool { return b.running("00000000000000a1") == 1 }) {
		return false, fmt.Errorf("the job does not run")
	}
	time.Sleep(time.Second)
	if b.trouble {
		b.flap(b.machineOf("00000000000000a1"))
	}
	for i := range 80 {
		switch b.state(b.daemons[i%len(b.daemons)], sound) {
		case "failed":
			return true, nil
		case "complete":
			return false, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false, fmt.Errorf("the job did not end")
}

// machineOf returns a machine on which a job runs.
func (b *bed) machineOf(id string) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.machines {
		if m.worker != nil && m.worker.has(id) {
			return m
		}
	}
	return nil
}

// flap takes a worker down and up by turns for flapTime.
func (b *bed) flap(m *machine) {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		b.crash(m)
		time.Sleep(flapPeriod / 2)
		b.revive(m)
		time.Sleep(flapPeriod / 2)
	}
}

// adviceJobs is the number of jobs that come at once: fewer than the calls that may wait.
const adviceJobs = 15

// playAdvice hands in jobs of a queue that needs advice. The service for advice needs half a second
// for each, so that all of them can have their advice after 7 s.
func playAdvice(b *bed) (broken bool, err error) {
	b.configure(1, []map[string]any{advisedRoute("q1", "/desk/", "desk")}, services("desk"))
	b.addMachines("desk", 12)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var paths []string
	for i := range adviceJobs {
		path := fmt.Sprintf("/desk/%016x", i+1)
		paths = append(paths, path)
		if err := b.submit(path, job("cpu=2000 ms=1000 ticket=1", step(1, 2000, 1000))); err != nil {
			return false, err
		}
		if !b.trouble {
			time.Sleep(600 * time.Millisecond)
		}
	}
	time.Sleep(45 * time.Second)
	waiting := 0
	for _, path := range paths {
		if state := b.state(b.daemons[0], path); state != "complete" {
			waiting++
		}
	}
	b.record.add("%d of %d jobs are not complete 45 s after the last one, the workers run nothing", waiting, adviceJobs)
	return waiting > 0, nil
}

// advisedRoute returns a route to a queue that needs advice.
func advisedRoute(name, prefix, service string) map[string]any {
	r := route(name, prefix, service)
	r["Recommendation"] = map[string]any{
		"DecisionMs": adviceDecision.Milliseconds(),
		"PeriodMs":   advicePeriod.Milliseconds(),
		"ValidityMs": adviceValidity.Milliseconds(),
	}
	return r
}

// playSettings moves the service for advice to another address, which the settings files name. The
// owner is told that its file has changed.
func playSettings(b *bed) (broken bool, err error) {
	b.configure(1, []map[string]any{advisedRoute("q1", "/desk/", "desk")}, services("desk"))
	b.addMachines("desk", 12)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.adviceAddress, _ = serve(b.advice)
		for _, d := range b.daemons {
			if err := b.writeSettings(d); err != nil {
				return false, err
			}
		}
		owner := b.owner()
		if owner == nil {
			return false, fmt.Errorf("no owner")
		}
		b.signal(owner, syscall.SIGHUP)
		time.Sleep(3 * time.Second)
		_ = b.adviceServer.Close()
		b.record.add("the service for advice has left its first address")
	}
	const path = "/desk/00000000000000a1"
	if err := b.submit(path, job("cpu=2000 ms=1000 ticket=1", step(1, 2000, 1000))); err != nil {
		return false, err
	}
	complete := await(30*time.Second, func() bool {
		time.Sleep(time.Second)
		return b.state(b.daemons[0], path) == "complete"
	})
	return !complete, nil
}

// handoverLease is LeaseMs of the settings.
const handoverLease = 3 * time.Second

// playHandover stops the owner right after it has moved a machine, cuts the watches that wait, and
// asks for the upkeep of the machine.
func playHandover(b *bed) (broken bool, err error) {
	b.configure(1, []map[string]any{route("q1", "/desk/", "desk")}, services("desk", "misc"))
	b.addMachines("desk", 4)
	b.addMachines("misc", 4)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // the first owner waits before it orders machines
	for len(b.ordered) > 0 {
		<-b.ordered
	}
	if err := b.submit("/desk/00000000000000a1", job("cpu=30000 ms=700", step(7, 30_000, 700))); err != nil {
		return false, err
	}
	var order vmOrder
	select {
	case order = <-b.ordered:
	case <-time.After(20 * time.Second):
		return false, fmt.Errorf("no machine was moved")
	}
	owner := b.owner()
	if owner == nil {
		return false, fmt.Errorf("no owner")
	}
	if b.trouble {
		b.store.cutWatches()
		b.record.add("waiting watches cut")
		b.signal(owner, syscall.SIGTERM)
	}
	b.record.add("upkeep of %s asked for", order.machine)
	b.store.put("op/wave/1", map[string]any{"Wave": 1, "Machines": []string{order.machine}, "DurationS": 20, "MaxCount": 1})
	time.Sleep(20 * time.Second)
	return b.holdersTookTurns(), nil
}

// holdersTookTurns reports whether two holders gave orders for one machine within LeaseMs.
func (b *bed) holdersTookTurns() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := map[string]vmOrder{}
	found := false
	for _, o := range b.orders {
		before, ok := last[o.machine]
		if ok && before.holder != o.holder {
			apart := o.at.Sub(before.at)
			b.record.add("%s: %s by %s, then %s by %s after %d ms", o.machine, before.what, before.holder, o.what, o.holder, apart.Milliseconds())
			found = found || apart < handoverLease
		}
		last[o.machine] = o
	}
	return found
}
