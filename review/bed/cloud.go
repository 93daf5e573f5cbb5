package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	migrateTime  = 1500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	machineCPU   = 32_000
	workersARack = 4
)

// machine is a machine of the platform. Its fields are guarded by the lock of the bed.
type machine struct {
	name   string
	pool   string
	zone   string
	rack   string
	cpu    int64
	state  string // up, moving, upkeep or down
	worker *worker
	upkept map[int]bool // waves of which it had its upkeep
}

func (m *machine) labels() []string { return []string{"a", m.rack} }

// addMachines adds machines, each with a worker.
func (b *bed) addMachines(n int) []*machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []*machine
	for range n {
		i := len(b.machines)
		m := &machine{
			name:   fmt.Sprintf("m-%02d", i),
			pool:   service,
			zone:   zones[i%len(zones)],
			rack:   fmt.Sprintf("r-%d", i/workersARack),
			cpu:    machineCPU,
			state:  "up",
			upkept: map[int]bool{},
		}
		m.worker = b.newWorker(m)
		b.machines = append(b.machines, m)
		added = append(added, m)
	}
	return added
}

// crash takes the worker of a machine down, and revive starts it again.
func (b *bed) crash(m *machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.state != "up" {
		return
	}
	m.state = "down"
	m.worker.crash()
	m.worker = nil
}

func (b *bed) revive(m *machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.state != "down" {
		return
	}
	m.state = "up"
	m.worker = b.newWorker(m)
}

// isUp reports whether a worker with the ID runs on a machine.
func (b *bed) isUp(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.machines {
		if m.worker != nil && m.worker.id == id {
			return true
		}
	}
	return false
}

// restart ends the worker of a machine and starts it again under its ID, at its address.
func (b *bed) restart(m *machine, down, lateEntry time.Duration) {
	b.mu.Lock()
	old := m.worker
	b.mu.Unlock()
	b.crash(m)
	time.Sleep(down)
	b.mu.Lock()
	defer b.mu.Unlock()
	m.state = "up"
	m.worker = b.startWorker(m, old.id, old.address, lateEntry)
}

func (b *bed) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", b.listMachines)
	mux.HandleFunc("POST /v1/machine-move", b.orderMachine("move"))
	mux.HandleFunc("POST /v1/machine-upkeep", b.orderMachine("upkeep"))
	return mux
}

func (b *bed) listMachines(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	rows := []map[string]any{}
	for _, m := range b.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"HostMachine": m.name,
			"Pool":        m.pool,
			"State":       m.state,
			"Zone":        m.zone,
			"Labels":      m.labels(),
			"Capacity":    map[string]int64{"Cpu": m.cpu, "MemMb": 65536, "Gpu": 0},
			"Id":          id,
		})
	}
	b.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

func (b *bed) orderMachine(what string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			HostMachine string
			Pool        string
			Wave        int
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		b.mu.Lock()
		status, reason := b.carryOut(what, body.HostMachine, body.Pool, body.Wave)
		b.mu.Unlock()
		b.record.add("%s of %s, pool %q, wave %d, by %s with fencing token %s: %d %s", what, body.HostMachine, body.Pool, body.Wave,
			r.Header.Get("Comfreyford-Duty-Holder"), r.Header.Get("Comfreyford-Fencing-Token"), status, reason)
		answer(w, status, map[string]string{"Reason": reason})
	}
}

// carryOut moves or maintains a machine. The caller holds the lock.
func (b *bed) carryOut(what, name, pool string, wave int) (status int, reason string) {
	var m *machine
	for _, other := range b.machines {
		if other.name == name {
			m = other
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case what == "move" && m.pool == pool, what == "upkeep" && m.upkept[wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.worker.crash()
	m.worker = nil
	length := migrateTime
	if what == "move" {
		m.state, m.pool = "moving", pool
	} else {
		m.state, length = "upkeep", upkeepTime
		m.upkept[wave] = true
	}
	time.AfterFunc(length, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		m.state = "up"
		m.worker = b.newWorker(m)
	})
	return http.StatusOK, ""
}
