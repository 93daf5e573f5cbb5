// Command 5 shows what becomes of accepted jobs when the configuration removes their routes or
// makes them public: they fail at the first failed run of a task, are answered 410, and run on
// after that answer to their cancelling.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	// applyTime, visibleTime, cancelTime and killTime are the bounds ConfigApplyMs, visible_ms,
	// cancel_ms and KillMs.
	applyTime   = 2 * time.Second
	visibleTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	killTime    = 200 * time.Millisecond
	// slack is the time of the stand-ins between two events that the bounds compare.
	slack = 500 * time.Millisecond
	// goneTime is how long the configuration lacks the route of the first job.
	goneTime = 4 * time.Second
)

// job is a job with its route.
type job struct {
	what, prefix, id string
}

var (
	removed  = job{"route removed and added again", "/quotes/", "00000000000000c1"}
	replaced = job{"route replaced by one with another name", "/season/", "00000000000000a1"}
	public   = job{"route made public", "/ledger/", "00000000000000b1"}
)

func main() { standin.Main(run) }

func run(in *standin.Installation) ([]string, error) {
	quotes := standin.Route{Name: "quotes", Prefix: removed.prefix, Service: "desk"}
	season := standin.Route{Name: "season", Prefix: replaced.prefix, Service: "desk"}
	ledger := standin.Route{Name: "ledger", Prefix: public.prefix, Service: "desk"}
	configure(in, 1, quotes, season, ledger)
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
	failing := standin.Job(2, 2000, 1000)
	failing["Spec"] = standin.FailFirst(failing["Spec"].(string), 1)
	for _, submission := range []struct {
		job
		document map[string]any
	}{{replaced, standin.Lasting(3, 1000)}, {public, standin.Lasting(3, 1000)}, {removed, failing}} {
		if a := client.Call(in.Daemons[0], "POST", submission.prefix, submission.id, submission.document); a.Status != http.StatusOK {
			return nil, fmt.Errorf("job %s was answered %d", submission.id, a.Status)
		}
	}
	time.Sleep(time.Second)
	if standin.Trouble() {
		configure(in, 3, season, ledger)
	}
	time.Sleep(goneTime)
	if standin.Trouble() {
		season.Name = "season-plan"
		ledger.Public = true
		configure(in, 4, quotes, season, ledger)
	}
	time.Sleep(max(visibleTime, applyTime) + slack)
	var findings []string
	for _, j := range []job{replaced, public} {
		found, err := askAndCancel(in, client, j)
		if err != nil {
			return findings, err
		}
		findings = append(findings, found...)
	}
	return append(findings, failedTooSoon(in, client, removed)...), nil
}

func configure(in *standin.Installation, version int, routes ...standin.Route) {
	in.Store.Configure(in.Record, version, routes, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
}

// askAndCancel returns what is wrong with the answers to a GET and a DELETE for a job that runs.
func askAndCancel(in *standin.Installation, client *standin.Client, j job) ([]string, error) {
	var findings []string
	if a := client.Call(in.Daemons[1], "GET", j.prefix, j.id, nil); a.Status == http.StatusGone {
		findings = append(findings, fmt.Sprintf("LOST: %s: GET for job %s, which nobody has cancelled, was answered 410 at %.3f", j.what, j.id, a.At.Seconds()))
	}
	cancel := client.Call(in.Daemons[2], "DELETE", j.prefix, j.id, nil)
	if cancel.Status/100 != 2 && cancel.Status != http.StatusGone {
		return findings, fmt.Errorf("the cancelling of %s was answered %d", j.id, cancel.Status)
	}
	time.Sleep(cancelTime + killTime + slack)
	for _, w := range in.Cloud.Workers() {
		for _, r := range w.Runs() {
			if strings.HasPrefix(r.Task, j.id) && r.Ended == 0 {
				findings = append(findings, fmt.Sprintf("UNASKED: %s: cancelling answered %d at %.3f, at %.3f: %s", j.what, cancel.Status, cancel.At.Seconds(), in.Record.Now().Seconds(), r))
			}
		}
	}
	return findings, nil
}

// failedTooSoon returns a finding if a job is shown as failed although none of its tasks has
// failed MaxAttempts times.
func failedTooSoon(in *standin.Installation, client *standin.Client, j job) []string {
	a := client.Call(in.Daemons[1], "GET", j.prefix, j.id, nil)
	failures := map[string]int{}
	most := 0
	for _, w := range in.Cloud.Workers() {
		for _, r := range w.Runs() {
			if strings.HasPrefix(r.Task, j.id) && r.How == "failed" {
				failures[r.Task]++
				most = max(most, failures[r.Task])
			}
		}
	}
	if !strings.Contains(a.Body, "failed") || most >= standin.MaxAttempts {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %s: job %s is shown as %s at %.3f, its tasks have failed %d time(s) of %d", j.what, j.id, a.Body, a.At.Seconds(), most, standin.MaxAttempts)}
}
