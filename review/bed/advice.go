package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	adviceDecision = 50 * time.Millisecond
	advicePeriod   = 15 * time.Millisecond
	adviceValidity = 10 * time.Second
	// maxWaitingAdvice is the number of waiting calls beyond which the service refuses.
	maxWaitingAdvice = 32
)

// adviser approves all workers. It handles one call at a time, in turn: all daemons of a play run
// on one machine.
type adviser struct {
	record *record
	turn   sync.Mutex // sync.Mutex is fair to those that wait for longer than a millisecond

	mu       sync.Mutex
	waiting  int
	answered int
}

func newAdviser(r *record) *adviser {
	return &adviser{
		record: r,
	}
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaitingAdvice {
		a.mu.Unlock()
		a.record.add("advice for %s: 429", body.Step)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	time.Sleep(adviceDecision + time.Duration(len(body.Workers))*advicePeriod)
	a.turn.Unlock()
	a.mu.Lock()
	a.waiting--
	a.answered++
	a.mu.Unlock()
	left := r.Context().Err() != nil
	a.record.add("advice for %s on %d workers answered, caller had left: %v", body.Step, len(body.Workers), left)
	rows := [][]string{}
	for _, id := range body.Workers {
		rows = append(rows, []string{id, "ticket-" + id})
	}
	answer(w, http.StatusOK, map[string]any{"Approved": rows, "ValidityMs": adviceValidity.Milliseconds()})
}
