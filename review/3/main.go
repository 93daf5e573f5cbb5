// Command 3 shows that workers get no work any more if the platform says of the upkeep of their
// machine that it is already done.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	machines = 6
	// silentFor is how long the service for machines carries out calls without an answer.
	silentFor = 2 * time.Second
	// finishTime is the bound finish_s, and idleTime how long a job may have nothing running
	// after that while there is room for it.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// calmTime is longer than the time without disruption before that.
	calmTime = 5 * time.Second
	// kind is the label that the tasks require. Two machines have it.
	kind = "b"
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
	var names []string
	for i := range machines {
		label := "a"
		if i < 2 {
			label = kind
		}
		m := in.Cloud.Add(fmt.Sprintf("m-%d", i+1), "desk", 16000, label, fmt.Sprintf("r%d", i/2+1))
		names = append(names, m.Name)
	}
	if err := in.StartDaemons(3); err != nil {
		return nil, err
	}
	if _, err := in.AwaitOwner(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	in.Cloud.AskForWave(1, 40, 2, names...)
	if standin.Trouble() {
		in.Record.Add("cloud: no answers from now on")
		in.Cloud.Silence(true)
		time.Sleep(silentFor)
		in.Cloud.Silence(false)
		in.Record.Add("cloud: answers again")
	}
	if !awaitWave(in, 60*time.Second) {
		in.Record.Add("the wave is not complete")
	}
	time.Sleep(calmTime) // the last machine is back after 2 s
	client := &standin.Client{
		Record:   in.Record,
		Key:      "key-1",
		Host:     standin.Host,
		Deadline: 3 * time.Second,
	}
	const id = "00000000000000a1"
	job := standin.Job(4, 500, 1000)
	standin.Step(job)["Requirements"] = kind
	a := client.Call(in.Daemons[0], "POST", "/quotes/", id, job)
	if a.Status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", a.Status)
	}
	time.Sleep(finishTime + idleTime)
	state := client.Call(in.Daemons[1], "GET", "/quotes/", id, nil)
	var free []string
	for _, w := range in.Cloud.Workers() {
		if len(w.Runs()) > 0 {
			return nil, nil
		}
		if w.Labels[0] == kind {
			free = append(free, w.ID)
		}
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted at %.3f, and nothing of it has run for %v; of the workers with its label, %v are up and idle; state: %s",
		id, a.At.Seconds(), finishTime+idleTime, free, state.Body)}, nil
}

// awaitWave waits until the wave is said to be complete.
func awaitWave(in *standin.Installation, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if string(in.Store.Value("status/wave/1")) == `{"State":"complete"}` {
			in.Record.Add("the wave is said to be complete")
			return true
		}
	}
	return false
}
