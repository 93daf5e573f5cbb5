// Command 5 shows that a job fails at the first failed run of a task, instead of MaxAttempts,
// while its route is missing from the configuration.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

// goneTime is how long the configuration lacks the route.
const goneTime = 4 * time.Second

func main() { standin.Main(run) }

func configure(in *standin.Installation, version int, routes ...string) {
	var r []standin.Route
	for _, name := range routes {
		r = append(r, standin.Route{
			Name:    name,
			Prefix:  "/" + name + "/",
			Service: "desk",
		})
	}
	in.Store.Configure(in.Record, version, r, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
}

func run(in *standin.Installation) ([]string, error) {
	configure(in, 1, "quotes", "ledger")
	for i := range 4 {
		in.Cloud.Add(fmt.Sprintf("m-%d", i+1), "desk", 16000, "a", fmt.Sprintf("r%d", i/2+1))
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
	// The first run of each task fails after 2 s, the second one is done after 2 s.
	const id = "00000000000000c1"
	job := standin.Job(2, 2000, 1000)
	job["Spec"] = standin.FailFirst(job["Spec"].(string), 1)
	if a := client.Call(in.Daemons[0], "POST", "/ledger/", id, job); a.Status != http.StatusOK {
		return nil, fmt.Errorf("job %s was answered %d", id, a.Status)
	}
	time.Sleep(time.Second)
	if standin.Trouble() {
		configure(in, 3, "quotes")
	}
	time.Sleep(goneTime)
	if standin.Trouble() {
		configure(in, 4, "quotes", "ledger")
	}
	time.Sleep(10 * time.Second)
	a := client.Call(in.Daemons[1], "GET", "/ledger/", id, nil)
	failures := map[string]int{}
	most := 0
	for _, w := range in.Cloud.Workers() {
		for _, r := range w.Runs() {
			if r.How == "failed" {
				failures[r.Task]++
				most = max(most, failures[r.Task])
			}
		}
	}
	if strings.Contains(a.Body, "failed") && most < standin.MaxAttempts {
		return []string{fmt.Sprintf("LOST: job %s is shown as %s at %.3f, its tasks have failed %d time(s) of %d", id, a.Body, a.At.Seconds(), most, standin.MaxAttempts)}, nil
	}
	return nil, nil
}
