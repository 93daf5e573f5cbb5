// Command silence shows that the leases of workers lapse after their connections have gone silent.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	workers = 8
	tasks   = 40
	// allowed is the MissAllowed of the step.
	allowed = 4
	rounds  = 4
	// contactTime is ContactMs.
	contactTime = 3 * time.Second
	job         = "00000000000000aa"
)

func main() { standin.Main(run) }

func run(in *standin.Installation) ([]string, error) {
	in.Store.Configure(in.Record, 1, []standin.Route{{
		Name:    "plans",
		Prefix:  "/plans/",
		Service: "desk",
	}}, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
	for i := range workers {
		in.Cloud.Add(fmt.Sprintf("m-%d", i+1), "desk", 32000, "a", fmt.Sprintf("r%d", i/4+1))
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
	plan := standin.Lasting(tasks, 3200)
	standin.Step(plan)["MissAllowed"] = allowed
	if a := client.Call(in.Daemons[0], "POST", "/plans/", job, plan); a.Status != 200 {
		return nil, fmt.Errorf("the job was not accepted: %+v", a)
	}
	time.Sleep(4 * time.Second)
	for n := range rounds {
		// Short work comes to the workers as well, as on any day.
		for i := range 12 {
			client.Call(in.Daemons[i%len(in.Daemons)], "POST", "/plans/", fmt.Sprintf("%014x%02x", n+1, i), standin.Job(8, 300, 1600))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		if standin.Trouble() {
			for _, w := range in.Cloud.Workers() {
				in.Record.Add("network: %d open connections to %s go silent", w.Silence(), w.ID)
			}
		}
		silent := in.Record.Now()
		time.Sleep(12 * time.Second)
		if f := lapses(in.Cloud.Workers(), silent); len(f) > allowed {
			return []string{fmt.Sprintf("AVAIL: %d tasks at work have ended lapsed, %d may be away: %v", len(f), allowed, f)}, nil
		}
	}
	return nil, nil
}

// lapses returns the runs of the job that lasts whose leases have lapsed since the moment, with
// no disruption near.
func lapses(all []*standin.Worker, since time.Duration) []string {
	var found []string
	for _, w := range all {
		for _, r := range w.Runs() {
			if r.How == "lapsed" && strings.HasPrefix(r.Task, job) && r.Ended > since+contactTime {
				found = append(found, r.String())
			}
		}
	}
	return found
}
