// Command advice shows that a job never runs if the workers that the adviser approves are not among
// the first 30 of their service.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	workers = 40
	jobs    = 4
	// finishTime is how long after the last job is handed in the jobs are asked for: finish_s.
	finishTime = 14 * time.Second
)

func main() { standin.Main(run) }

func run(in *standin.Installation) ([]string, error) {
	in.Store.Configure(in.Record, 1, []standin.Route{{
		Name:    "quotes",
		Prefix:  "/quotes/",
		Service: "desk",
		Advised: true,
	}}, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
	for i := range workers {
		in.Cloud.Add(machine(i), "desk", 32000, "a", fmt.Sprintf("r%d", i/12+1))
	}
	if err := in.StartDaemons(3); err != nil {
		return nil, err
	}
	if _, err := in.AwaitOwner(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	approved := []string{worker(4), worker(34), worker(35), worker(36)}
	if standin.Trouble() {
		in.Cloud.Lose(machine(4))
	}
	time.Sleep(5 * time.Second)
	client := &standin.Client{
		Record:   in.Record,
		Key:      "key-1",
		Host:     standin.Host,
		Deadline: 3 * time.Second,
	}
	for n := range jobs {
		in.Adviser.Allow(id(n), approved...)
		if a := client.Call(in.Daemons[n%len(in.Daemons)], "POST", "/quotes/", id(n), standin.Job(6, 1000, 1800)); a.Status != 200 {
			return nil, fmt.Errorf("job %s was not accepted: %+v", id(n), a)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime)
	started := map[string]bool{}
	for _, w := range in.Cloud.Workers() {
		for _, r := range w.Runs() {
			started[strings.Split(r.Task, ".")[0]] = true
		}
	}
	var findings []string
	for n := range jobs {
		a := client.Call(in.Daemons[n%len(in.Daemons)], "GET", "/quotes/", id(n), nil)
		if !started[id(n)] {
			findings = append(findings, fmt.Sprintf("LOST: no task of job %s has begun in %s after the last job came, and the approved workers %v are idle; state: %d %s",
				id(n), finishTime, approved[1:], a.Status, a.Body))
		}
	}
	return findings, nil
}

func machine(i int) string { return fmt.Sprintf("m-%02d", i+1) }

// worker is the ID of the first worker of a machine.
func worker(i int) string { return "i-" + machine(i) + "-1" }

func id(n int) string { return fmt.Sprintf("%016x", n+1) }
