package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as clients hand it in.
type step struct {
	Count        int
	Cpu          int64   `json:",omitempty"` //nolint:revive // name of the platform
	MemMb        int64   `json:",omitempty"`
	EstimateMs   float64 `json:",omitempty"`
	After        []int   `json:",omitempty"`
	Requirements string  `json:",omitempty"`
	AntiAffinity int     `json:",omitempty"`
	LongRunning  bool    `json:",omitempty"`
	Image        string  `json:",omitempty"`
	TargetMs     float64 `json:",omitempty"`
	FillCount    bool    `json:",omitempty"`
}

func (s *step) work() time.Duration { return time.Duration(s.EstimateMs * float64(time.Millisecond)) }

// job is a job as clients hand it in.
type job struct {
	Spec        string
	Steps       []step
	FirstRunMs  int64 `json:",omitempty"`
	RepeatCount int   `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
}

// stepOf returns the step of a task, or nil.
func (r *rig) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	number, err := strconv.Atoi(parts[2])
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[parts[0]]
	if err != nil || j == nil || number >= len(j.Steps) {
		return nil
	}
	return &j.Steps[number]
}

// callTimeout is how long clients wait for an answer.
const callTimeout = 3 * time.Second

var client = &http.Client{
	Timeout: callTimeout,
}

// call makes one call to an entry daemon; status 0 means that no answer came.
func (r *rig) call(d *daemon, method, id string, body any) (status int, data []byte) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			fail("%v", err)
		}
		reader = bytes.NewReader(text)
	}
	q, err := http.NewRequest(method, "http://"+d.callers+"/fete/"+id, reader)
	if err != nil {
		fail("%v", err)
	}
	q.Host = host
	q.Header.Set("Comfreyford-Credential", tenantKey)
	q.Header.Set("Comfreyford-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	q.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	data, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// submit hands a job in, again at another daemon if there is no answer, and returns its ID and the
// time of the acknowledgement.
func (r *rig) submit(name string, j *job) (id string, acknowledged time.Time) {
	id, acknowledged = r.trySubmit(name, j, 8)
	if acknowledged.IsZero() {
		fail("job %s was not accepted", name)
	}
	return id, acknowledged
}

// trySubmit hands a job in at most so many times. The time is zero if it was not accepted.
func (r *rig) trySubmit(name string, j *job, attempts int) (id string, acknowledged time.Time) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	r.mu.Lock()
	r.jobs[id] = j
	r.mu.Unlock()
	for attempt := range attempts {
		d := r.daemons[attempt%len(r.daemons)]
		status, _ := r.call(d, http.MethodPost, id, j)
		r.record("client: POST of %s, job %s, at %s: %d", name, id, d.name, status)
		if status/100 == 2 {
			return id, time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, time.Time{}
}

// state returns the state of a job, by the first daemon that answers.
func (r *rig) state(id string) string {
	for _, d := range r.daemons {
		status, data := r.call(d, http.MethodGet, id, nil)
		var body struct {
			State string
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(data, &body) == nil:
			return body.State
		case status == http.StatusGone:
			return "gone"
		}
	}
	return "no answer"
}

// pending returns the number of jobs that a daemon gives as pending; -1 without an answer.
func (r *rig) pending(d *daemon) int {
	status, data := r.call(d, http.MethodGet, "", nil)
	var body struct {
		Pending int
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return -1
	}
	return body.Pending
}

// await polls the state of a job until it is one of those wanted, or the time is over.
func (r *rig) await(id string, limit time.Duration, wanted ...string) string {
	deadline := time.Now().Add(limit)
	last := ""
	for {
		state := r.state(id)
		if state != last {
			r.record("client: GET of job %s: %s", id, state)
			last = state
		}
		for _, w := range wanted {
			if state == w {
				return state
			}
		}
		if time.Now().After(deadline) {
			return state
		}
		time.Sleep(200 * time.Millisecond)
	}
}
