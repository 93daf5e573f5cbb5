// Command gang shows that jobs wait beside idle workers for as long as one task takes, because
// room is kept for a gang.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	workers = 8
	jobs    = 6
	// finishTime is finish_s.
	finishTime = 14 * time.Second
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
	ms := 1500
	if standin.Trouble() {
		ms = 60_000
	}
	long := standin.Job(1, ms, 2000)
	standin.Step(long)["EstimateMs"] = 1500
	if a := client.Call(in.Daemons[0], "POST", "/quotes/", id(100), long); a.Status != 200 {
		return nil, fmt.Errorf("not accepted: %+v", a)
	}
	time.Sleep(500 * time.Millisecond)
	gang := standin.Job(8, 1000, 15000)
	standin.Step(gang)["Gang"] = true
	if a := client.Call(in.Daemons[0], "POST", "/quotes/", id(101), gang); a.Status != 200 {
		return nil, fmt.Errorf("not accepted: %+v", a)
	}
	time.Sleep(6 * time.Second)
	for n := range jobs {
		if a := client.Call(in.Daemons[n%len(in.Daemons)], "POST", "/quotes/", id(n), standin.Job(1, 1000, 15000)); a.Status != 200 {
			return nil, fmt.Errorf("job %s was not accepted: %+v", id(n), a)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime + 4*time.Second)
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
			findings = append(findings, fmt.Sprintf("LOST: no task of job %s has begun; state: %d %s", id(n), a.Status, a.Body))
		}
	}
	return findings, nil
}

func id(n int) string { return fmt.Sprintf("%016x", n+1) }
