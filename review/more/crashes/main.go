// Command crashes shows that the tasks of a job that lasts are stopped beyond its MissAllowed because
// other tasks of it were on workers that crashed.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	workers = 8
	job     = "00000000000000aa"
	// crashes of one worker of eight each, one after the other.
	crashes = 80
	downFor = time.Second
	// allowed is the MissAllowed of the step.
	allowed = 1
	// atWorkAfter is longer than the startup of a task and the time that a stop takes.
	atWorkAfter = time.Second
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
		in.Cloud.Add(machine(i), "desk", 32000, "a", fmt.Sprintf("r%d", i/4+1))
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
	plan := standin.Lasting(8, 3200)
	standin.Step(plan)["AntiAffinity"] = 2
	standin.Step(plan)["MissAllowed"] = allowed
	if a := client.Call(in.Daemons[0], "POST", "/plans/", job, plan); a.Status != 200 {
		return nil, fmt.Errorf("the job was not accepted: %+v", a)
	}
	time.Sleep(5 * time.Second)
	state := ""
	for n := range crashes {
		if standin.Trouble() {
			in.Cloud.CrashFor(machine(rand.IntN(workers)), downFor)
		}
		time.Sleep(downFor + 50*time.Millisecond)
		a := client.Call(in.Daemons[n%len(in.Daemons)], "GET", "/plans/", job, nil)
		if state = a.Body; strings.Contains(state, "failed") {
			break
		}
	}
	time.Sleep(time.Second)
	if !strings.Contains(state, "failed") {
		return nil, nil
	}
	var stopped []string
	for _, w := range append(in.Cloud.Workers(), in.Cloud.Past()...) {
		for _, r := range w.Runs() {
			switch {
			case r.How == "failed":
				return nil, nil
			case r.How == "stopped" && r.Ended-r.Began > atWorkAfter:
				stopped = append(stopped, r.String())
			}
		}
	}
	if len(stopped) > allowed {
		return []string{fmt.Sprintf("AVAIL: %d tasks at work were stopped at once, %d may be away: %s", len(stopped), allowed, strings.Join(stopped, "; "))}, nil
	}
	return nil, nil
}

func machine(i int) string { return fmt.Sprintf("m-%d", i+1) }
