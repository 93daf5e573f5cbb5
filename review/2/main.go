// Command 2 shows that the jobs of a service no longer start when the only worker is lost that
// may run two other jobs of the service.
package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	machines = 8
	// finishTime is the bound finish_s, and idleTime how long a job may have nothing running
	// after that while there is room for it.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// calmTime is longer than the entry of a lost worker lasts: three heartbeats.
	calmTime = 8 * time.Second
	// slack is more than the stand-ins need for an answer.
	slack = 300 * time.Millisecond
	jobs  = 9
)

func main() { standin.Main(run) }

func run(in *standin.Installation) ([]string, error) {
	in.Store.Configure(in.Record, 1, []standin.Route{
		{
			Name:    "plans",
			Prefix:  "/plans/",
			Service: "desk",
			Advised: true,
		},
		{
			Name:    "quotes",
			Prefix:  "/quotes/",
			Service: "desk",
		},
	}, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
	for i := range machines {
		in.Cloud.Add(fmt.Sprintf("m-%d", i+1), "desk", 16000, "a", fmt.Sprintf("r%d", i/4+1))
	}
	if err := in.StartDaemons(3); err != nil {
		return nil, err
	}
	if _, err := in.AwaitOwner(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	client := &standin.Client{
		Record:   in.Record,
		Key:      "key-1",
		Host:     standin.Host,
		Deadline: 3 * time.Second,
	}
	allowed := in.Cloud.Workers()[0].ID
	if err := plan(in, client, "00000000000000a1", allowed, 2000, 64); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if standin.Trouble() {
		in.Cloud.Lose("m-1")
	}
	time.Sleep(calmTime)
	if err := plan(in, client, "00000000000000a2", allowed, 1000, 256); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	accepted := map[string]time.Duration{}
	for i := range jobs {
		id := fmt.Sprintf("00000000000000b%d", i)
		job := standin.Job(3, 500, 2000)
		standin.Step(job)["MemMb"] = 512
		if a := client.Call(in.Daemons[i%3], "POST", "/quotes/", id, job); a.Status == http.StatusOK {
			accepted[id] = a.At
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(finishTime + idleTime)
	return idle(in, client, accepted), nil
}

// plan hands in a job of tasks that last, which only the given worker may run.
func plan(in *standin.Installation, client *standin.Client, id, worker string, cpu int64, memory int) error {
	in.Adviser.Allow(id, worker)
	job := standin.Lasting(2, cpu)
	standin.Step(job)["MemMb"] = memory
	if a := client.Call(in.Daemons[0], "POST", "/plans/", id, job); a.Status != http.StatusOK {
		return fmt.Errorf("job %s was answered %d", id, a.Status)
	}
	return nil
}

// idle returns the accepted jobs of which nothing has run for idleTime.
func idle(in *standin.Installation, client *standin.Client, accepted map[string]time.Duration) []string {
	free := 0
	began := map[string]time.Duration{}
	for _, w := range in.Cloud.Workers() {
		if w.Idle() {
			free++
		}
		for _, r := range w.Runs() {
			job, _, _ := strings.Cut(r.Task, ".")
			if at, ok := began[job]; !ok || r.Began < at {
				began[job] = r.Began
			}
		}
	}
	var findings []string
	for id, at := range accepted {
		a := client.Call(in.Daemons[0], "GET", "/quotes/", id, nil)
		first, ok := began[id]
		if !ok {
			first = in.Record.Now()
		}
		if first-at > idleTime+slack {
			findings = append(findings, fmt.Sprintf("LOST: job %s was accepted at %.3f, nothing of it has run for %v (began: %v); %d of %d workers are up and idle now; state: %s",
				id, at.Seconds(), first-at, ok, free, machines, a.Body))
		}
	}
	sort.Strings(findings)
	return findings
}
