package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Times of the adviser, as the queues that need it state them.
const (
	DecisionTime = 5 * time.Millisecond
	PeriodTime   = time.Millisecond // for each worker named
	ValidityTime = 3 * time.Second
)

// Adviser is the service that knows which workers may run a step.
type Adviser struct {
	record *Record
	turn   sync.Mutex // it handles one call at a time

	mu      sync.Mutex
	policy  map[string]map[string]bool // workers that may run the steps of a job
	tickets map[string]time.Time       // when a ticket was given
}

// NewAdviser returns an adviser without a policy for any job.
func NewAdviser(record *Record) *Adviser {
	return &Adviser{
		record:  record,
		policy:  map[string]map[string]bool{},
		tickets: map[string]time.Time{},
	}
}

// Allow sets the workers that may run the tasks of a job. It does not change afterwards.
func (a *Adviser) Allow(job string, workers ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy[job] = map[string]bool{}
	for _, w := range workers {
		a.policy[job][w] = true
	}
	a.record.Add("policy: %v may run job %s", workers, job)
}

func ticket(step, worker string) string { return step + "@" + worker }

// accepts reports whether a start with the ticket is valid at a worker. Jobs without a policy
// need none.
func (a *Adviser) accepts(task, worker, given string) bool {
	job, step := split(task)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.policy[job] == nil {
		return true
	}
	at, ok := a.tickets[given]
	return ok && given == ticket(step, worker) && time.Since(at) <= ValidityTime
}

// split returns the job and the step of a task.
func split(task string) (job, step string) {
	end := len(task)
	for i, c := range task {
		if c == '.' && job == "" {
			job = task[:i]
		}
		if c == '.' {
			end = i
		}
	}
	return job, task[:end]
}

// Handler serves the protocol of the adviser.
func (a *Adviser) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step    string
			Workers []string
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.turn.Lock()
		defer a.turn.Unlock()
		time.Sleep(DecisionTime + time.Duration(len(body.Workers))*PeriodTime)
		a.mu.Lock()
		defer a.mu.Unlock()
		job, _ := split(body.Step)
		approved := [][]string{}
		for _, worker := range body.Workers {
			if a.policy[job][worker] {
				a.tickets[ticket(body.Step, worker)] = time.Now()
				approved = append(approved, []string{worker, ticket(body.Step, worker)})
			}
		}
		a.record.Add("adviser: step %s, workers %v, approved %v", body.Step, body.Workers, approved)
		writeJSON(w, http.StatusOK, map[string]any{
			"Approved":   approved,
			"ValidityMs": ValidityTime.Milliseconds(),
		})
	})
	return mux
}

// recommendation is the field of a route whose queue needs advice.
func recommendation() map[string]any {
	return map[string]any{
		"DecisionMs": DecisionTime.Milliseconds(),
		"PeriodMs":   PeriodTime.Milliseconds(),
		"ValidityMs": ValidityTime.Milliseconds(),
	}
}
