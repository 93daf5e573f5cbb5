// Command 4 shows that accepted jobs are answered 410, and run on after that answer to their
// cancelling, when a configuration replaces their route or makes it public.
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
)

func main() { standin.Main(run) }

// cases are a job on a route that is replaced by one of the same host and prefix, and one on a
// route that becomes public.
var cases = []struct{ what, prefix, id string }{
	{"route replaced by one with another name", "/season/", "00000000000000a1"},
	{"route made public", "/ledger/", "00000000000000b1"},
}

func configure(in *standin.Installation, version int, season string, public bool) {
	in.Store.Configure(in.Record, version, []standin.Route{
		{
			Name:    season,
			Prefix:  "/season/",
			Service: "desk",
		},
		{
			Name:    "ledger",
			Prefix:  "/ledger/",
			Service: "desk",
			Public:  public,
		},
	}, []string{"desk"}, []standin.Tenant{{
		Name: "schools",
		Key:  "key-1",
	}})
}

func run(in *standin.Installation) ([]string, error) {
	configure(in, 1, "season", false)
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
	for _, c := range cases {
		if a := client.Call(in.Daemons[0], "POST", c.prefix, c.id, standin.Lasting(3, 1000)); a.Status != http.StatusOK {
			return nil, fmt.Errorf("job %s was answered %d", c.id, a.Status)
		}
	}
	time.Sleep(visibleTime)
	if standin.Trouble() {
		configure(in, 4, "season-plan", true)
	}
	time.Sleep(applyTime + slack)
	var findings []string
	for i, c := range cases {
		if a := client.Call(in.Daemons[1], "GET", c.prefix, c.id, nil); a.Status == http.StatusGone {
			findings = append(findings, fmt.Sprintf("LOST: %s: GET for job %s, which nobody has cancelled, was answered 410 at %.3f", c.what, c.id, a.At.Seconds()))
		}
		a := client.Call(in.Daemons[2], "DELETE", c.prefix, c.id, nil)
		if a.Status/100 != 2 && a.Status != http.StatusGone {
			return findings, fmt.Errorf("the cancelling of %s was answered %d", c.id, a.Status)
		}
		time.Sleep(cancelTime + killTime + slack)
		findings = append(findings, runsOn(in, cases[i].what, c.id, a)...)
	}
	return findings, nil
}

// runsOn returns the tasks of a job that still run too long after its cancelling was answered.
func runsOn(in *standin.Installation, what, id string, cancel standin.Answer) []string {
	var findings []string
	for _, w := range in.Cloud.Workers() {
		for _, r := range w.Runs() {
			if strings.HasPrefix(r.Task, id) && r.Ended == 0 {
				findings = append(findings, fmt.Sprintf("UNASKED: %s: cancelling answered %d at %.3f, at %.3f: %s", what, cancel.Status, cancel.At.Seconds(), in.Record.Now().Seconds(), r))
			}
		}
	}
	return findings
}
