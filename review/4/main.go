// Command 4 shows that a job runs whose cancelling was answered, if the write that accepted it
// gets no answer from the store and is carried out later.
package main

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/review/standin"
)

const (
	// lostFor is how long the store loses answers. It loses each lostEvery-th write.
	lostFor   = time.Second
	lostEvery = 3
	// minLate and maxLate bound the time after which a lost write is carried out.
	minLate = time.Second
	maxLate = 6 * time.Second
	// cancelTime and contactTime are the bounds cancel_ms and ContactMs.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second

	jobs     = 40
	jobPause = 40 * time.Millisecond
	// deadline is how long the clients wait for an answer.
	deadline = time.Second
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
	for i := range 4 {
		in.Cloud.Add(fmt.Sprintf("m-%d", i+1), "desk", 16000, "a", fmt.Sprintf("r%d", i/2+1))
	}
	if err := in.StartDaemons(3); err != nil {
		return nil, err
	}
	if _, err := in.AwaitOwner(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var calmFrom time.Duration // the store has been without disruption since
	if standin.Trouble() {
		loseWrites(in)
	}
	var mu sync.Mutex
	cancelled := map[string]time.Duration{} // when the cancelling of a job was answered
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			if at, ok := submitOrWithdraw(in, id, i); ok {
				mu.Lock()
				defer mu.Unlock()
				cancelled[id] = at
			}
		})
		if (time.Duration(i+1)*jobPause) >= lostFor && calmFrom == 0 {
			in.Store.LoseAnswers(nil)
			calmFrom = in.Record.Now()
			in.Record.Add("store: no more answers are lost")
		}
		time.Sleep(jobPause)
	}
	clients.Wait()
	time.Sleep(12 * time.Second)
	return startedAfterCancel(in, cancelled, calmFrom), nil
}

// loseWrites makes the store lose the answers to a share of the writes, which it carries out
// seconds later.
func loseWrites(in *standin.Installation) {
	r := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	var mu sync.Mutex
	writes := 0
	in.Store.LoseAnswers(func(t standin.Transaction) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if writes++; writes%lostEvery != 0 {
			return 0, false
		}
		after := minLate + time.Duration(r.Int64N(int64(maxLate-minLate)))
		var keys []string
		for _, put := range t.Puts {
			keys = append(keys, put.Key)
		}
		in.Record.Add("store: no answer to a write of %v, carried out in %v", keys, after)
		return after, true
	})
	in.Record.Add("store: the answer to each %d. write is lost from now on", lostEvery)
}

// submitOrWithdraw hands a job in. If it is not told whether the job was accepted, it cancels
// the job at another daemon, and returns when that was answered.
func submitOrWithdraw(in *standin.Installation, id string, i int) (time.Duration, bool) {
	client := &standin.Client{
		Record:   in.Record,
		Key:      "key-1",
		Host:     standin.Host,
		Deadline: deadline,
	}
	a := client.Call(in.Daemons[i%3], "POST", "/quotes/", id, standin.Job(2, 500, 1000))
	if a.Status != 0 && a.Status != http.StatusBadGateway && a.Status != http.StatusGatewayTimeout {
		return 0, false
	}
	for n := 1; n <= 5; n++ {
		a = client.Call(in.Daemons[(i+n)%3], "DELETE", "/quotes/", id, nil)
		if a.Status/100 == 2 || a.Status == http.StatusGone {
			return a.At, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}

// startedAfterCancel returns the tasks that started later than cancelTime after the cancelling of
// their job was answered, when the store had been without disruption for contactTime.
func startedAfterCancel(in *standin.Installation, cancelled map[string]time.Duration, calmFrom time.Duration) []string {
	var findings []string
	for _, w := range in.Cloud.Workers() {
		for _, r := range w.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			if _, err := hex.DecodeString(id); err != nil {
				continue
			}
			at, ok := cancelled[id]
			if ok && r.Began > at+cancelTime && r.Began > calmFrom+contactTime {
				findings = append(findings, fmt.Sprintf("UNASKED: cancelling answered at %.3f, %.3f s before: %s", at.Seconds(), (r.Began-at).Seconds(), r))
			}
		}
	}
	return findings
}
