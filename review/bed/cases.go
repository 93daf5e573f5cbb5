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

const (
	// flapTime and flapPeriod are the largest length and the period of srv_flap in the site files.
	flapTime   = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
)

// playFlap lets one worker of ten go down and up by turns while it is the only one with room. The
// job that runs there is sound; it may be late, but not shown as failed.
func playFlap(b *bed) (broken bool, err error) {
	b.configure(plainRoute())
	b.addMachines(10)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	const filler, sound = prefix + "00000000000000f1", prefix + "00000000000000a1"
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
	b.configure(advisedRoute())
	b.addMachines(12)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var paths []string
	for i := range adviceJobs {
		path := fmt.Sprintf("%s%016x", prefix, i+1)
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
func advisedRoute() map[string]any {
	r := plainRoute()
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
	b.configure(advisedRoute())
	b.addMachines(12)
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
	const path = prefix + "00000000000000a1"
	if err := b.submit(path, job("cpu=2000 ms=1000 ticket=1", step(1, 2000, 1000))); err != nil {
		return false, err
	}
	complete := await(30*time.Second, func() bool {
		time.Sleep(time.Second)
		return b.state(b.daemons[0], path) == "complete"
	})
	return !complete, nil
}

const (
	// rebornDown and rebornUp are how long the worker is down, twice, and up in between.
	rebornDown = 100 * time.Millisecond
	rebornUp   = 100 * time.Millisecond
	// lateEntry is how late the store carries out the heartbeat of the short life. It may take 1 to
	// 6 s.
	lateEntry = 5 * time.Second
)

// playReborn restarts one worker of nine twice under its ID. The store carries the only heartbeat
// of the life in between out late, when the present life runs tasks.
func playReborn(b *bed) (broken bool, err error) {
	b.configure(plainRoute())
	machines := b.addMachines(2*workersARack + 1)
	last := machines[len(machines)-1] // alone in its rack
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.restart(last, rebornDown, lateEntry)
		time.Sleep(rebornUp)
		b.restart(last, rebornDown, 0)
	}
	time.Sleep(time.Second)
	s := step(6, 2000, 9000)
	s["Affinity"] = last.rack
	const path = prefix + "00000000000000a1"
	if err := b.submit(path, job("cpu=2000 ms=9000", s)); err != nil {
		return false, err
	}
	twice := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		twice = max(twice, b.runningTwice())
	}
	if state := b.state(b.daemons[0], path); state != "complete" && twice == 0 {
		return false, fmt.Errorf("the job is %q", state)
	}
	b.record.add("%d tasks ran twice at a time", twice)
	return twice > 0, nil
}

// runningTwice returns how many tasks have two runs at the same time, on workers that are up.
func (b *bed) runningTwice() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := map[string]int{}
	for _, m := range b.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		for _, r := range m.worker.runs {
			runs[r.task]++
		}
		m.worker.mu.Unlock()
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}
