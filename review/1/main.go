// Command 1 shows that tasks run twice at a time when an idle worker starts again under its ID.
package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	workers  = 8
	restarts = 12
	// downTime is how long a worker that crashes is down.
	downTime = 300 * time.Millisecond
	// jobPause separates two jobs.
	jobPause = 250 * time.Millisecond
)

func main() { standin.Main(run) }

func run(in *standin.Installation) ([]string, error) {
	in.Store.Configure(in.Record, 1, []standin.Route{{
		Name:    "quotes",
		Prefix:  "/quotes/",
		Service: "desk",
	}}, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
	for i := range workers {
		in.Cloud.Add(fmt.Sprintf("m-%d", i+1), "desk", 16000, "a", fmt.Sprintf("r%d", i/2+1))
	}
	if err := in.StartDaemons(3); err != nil {
		return nil, err
	}
	if _, err := in.AwaitOwner(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		submit(in, 60*time.Second)
	}()
	for range restarts {
		time.Sleep(3500 * time.Millisecond)
		if standin.Trouble() {
			restart(in.Cloud.Workers())
		}
	}
	<-done
	time.Sleep(4 * time.Second)
	return overlaps(in.Cloud.Workers()), nil
}

// submit hands jobs in, to the daemons in turn.
func submit(in *standin.Installation, d time.Duration) {
	client := &standin.Client{
		Record:   in.Record,
		Key:      "key-1",
		Host:     standin.Host,
		Deadline: 3 * time.Second,
	}
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		// Large jobs come now and then, so that idle workers get tasks.
		count := 3
		if n%8 == 7 {
			count = 24
		}
		client.Call(in.Daemons[n%len(in.Daemons)], "POST", "/quotes/", fmt.Sprintf("%016x", n+1), standin.Job(count, 800, 2000))
		time.Sleep(jobPause)
	}
}

// restart crashes an idle worker, which starts again under its ID.
func restart(all []*standin.Worker) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, w := range all {
			if w.Idle() {
				w.Crash()
				time.Sleep(downTime)
				w.Start()
				return
			}
		}
	}
}

// overlaps returns the pairs of runs of one task that were at work at the same time.
func overlaps(all []*standin.Worker) []string {
	byTask := map[string][]standin.Run{}
	for _, w := range all {
		for _, r := range w.Runs() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var findings []string
	for _, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Began < runs[j].Began })
		for i := range runs[1:] {
			a, b := runs[i], runs[i+1]
			if a.Ended == 0 || b.Began < a.Ended {
				findings = append(findings, fmt.Sprintf("TWICE: %s, and %s", a, b))
			}
		}
	}
	sort.Strings(findings)
	return findings
}
