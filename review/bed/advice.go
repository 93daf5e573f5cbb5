package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	adviceDecision = 100 * time.Millisecond
	advicePeriod   = 30 * time.Millisecond
	adviceValidity = 10 * time.Second
	// maxWaitingAdvice is the number of waiting calls beyond which the service refuses.
	maxWaitingAdvice = 32
)

// adviser approves all workers. It handles one call at a time, in turn: all daemons of a play run
// on one machine.
type adviser struct {
	record *record

	mu      sync.Mutex
	waiting int
	last    chan struct{} // closed when the call that came last has been handled
}

func newAdviser(r *record) *adviser {
	last := make(chan struct{})
	close(last)
	return &adviser{
		record: r,
		last:   last,
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
	before, handled := a.last, make(chan struct{})
	a.last = handled
	a.mu.Unlock()
	<-before
	time.Sleep(adviceDecision + time.Duration(len(body.Workers))*advicePeriod)
	close(handled)
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	left := r.Context().Err() != nil
	a.record.add("advice for %s on %d workers answered, caller had left: %v", body.Step, len(body.Workers), left)
	rows := [][]string{}
	for _, id := range body.Workers {
		rows = append(rows, []string{id, "ticket-" + id})
	}
	answer(w, http.StatusOK, map[string]any{"Approved": rows, "ValidityMs": adviceValidity.Milliseconds()})
}
