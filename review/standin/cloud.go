package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Times of the service for machines, those of the site craie-ops.
const (
	MigrateTime     = 1500 * time.Millisecond
	MaintenanceTime = 2000 * time.Millisecond
)

// Machine is a machine of the platform with the worker that runs on it.
type Machine struct {
	Name   string
	Pool   string
	State  string
	CPU    int64
	Labels []string
	Worker *Worker // nil while it has none
	waves  map[int]bool
	lives  int
}

// MachineOrder is an order for a machine that the platform has carried out.
type MachineOrder struct {
	Machine string
	Kind    string // move or upkeep
	Holder  string
	Fence   string
	At      time.Duration
}

// Cloud is the platform's service for machines.
type Cloud struct {
	record  *Record
	store   *Store
	adviser *Adviser
	ports   func() string

	mu       sync.Mutex
	machines map[string]*Machine
	waves    map[int]map[string]bool // machines of each wave
	orders   []MachineOrder
	silent   bool      // calls get no answer
	past     []*Worker // that crashed
}

// NewCloud returns a service without machines. ports returns free addresses for workers.
func NewCloud(record *Record, store *Store, adviser *Adviser, ports func() string) *Cloud {
	return &Cloud{
		record:   record,
		store:    store,
		adviser:  adviser,
		ports:    ports,
		machines: map[string]*Machine{},
		waves:    map[int]map[string]bool{},
	}
}

// Add adds a machine with a worker.
func (c *Cloud) Add(name, pool string, cpu int64, labels ...string) *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &Machine{
		Name:   name,
		Pool:   pool,
		CPU:    cpu,
		Labels: labels,
		waves:  map[int]bool{},
	}
	c.machines[name] = m
	c.boot(m)
	return m
}

// boot starts a new worker on a machine. The caller holds the lock.
func (c *Cloud) boot(m *Machine) {
	m.lives++
	m.State = "up"
	m.Worker = NewWorker(c.record, c.store, c.adviser, fmt.Sprintf("i-%s-%d", m.Name, m.lives), m.Name, m.Pool, c.ports(), m.CPU, m.Labels...)
	m.Worker.Start()
	m.Worker.Register()
}

// Workers returns all workers that the machines have had, by machine and age.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, m := range c.sorted() {
		if m.Worker != nil {
			workers = append(workers, m.Worker)
		}
	}
	return workers
}

// Machines returns copies of the machines.
func (c *Cloud) Machines() []Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []Machine
	for _, m := range c.sorted() {
		machines = append(machines, *m)
	}
	return machines
}

func (c *Cloud) sorted() []*Machine {
	machines := make([]*Machine, 0, len(c.machines))
	for _, m := range c.machines {
		machines = append(machines, m)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}

// Orders returns the orders that were carried out.
func (c *Cloud) Orders() []MachineOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]MachineOrder(nil), c.orders...)
}

// Silence makes the service carry out calls without an answer, or ends that.
func (c *Cloud) Silence(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// AskForWave requests the upkeep of machines, as the operator does.
func (c *Cloud) AskForWave(number int, durationS float64, maxCount int, machines ...string) {
	c.mu.Lock()
	c.waves[number] = map[string]bool{}
	for _, m := range machines {
		c.waves[number][m] = true
	}
	c.mu.Unlock()
	c.record.Add("operator asks for wave %d: %v, %d at once, in %g s", number, machines, maxCount, durationS)
	c.store.Put(fmt.Sprintf("op/wave/%d", number), map[string]any{
		"Wave":      number,
		"Machines":  machines,
		"DurationS": durationS,
		"MaxCount":  maxCount,
	})
}

// Handler serves the protocol of the service.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	mux.HandleFunc("POST /v1/machine-move", c.order("move"))
	mux.HandleFunc("POST /v1/machine-upkeep", c.order("upkeep"))
	return mux
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	rows := []map[string]any{}
	for _, m := range c.sorted() {
		row := map[string]any{
			"HostMachine": m.Name,
			"Pool":        m.Pool,
			"State":       m.State,
			"Zone":        "north",
			"Labels":      m.Labels,
			"Capacity":    map[string]any{"Cpu": m.CPU, "MemMb": 65536, "Gpu": 0},
		}
		if m.Worker != nil {
			row["Id"] = m.Worker.ID
		}
		rows = append(rows, row)
	}
	silent := c.silent
	c.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"Machines": rows,
	})
}

func (c *Cloud) order(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			HostMachine string
			Pool        string
			Wave        int
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		holder, fence := r.Header.Get("Comfreyford-Duty-Holder"), r.Header.Get("Comfreyford-Fencing-Token")
		c.mu.Lock()
		status, reason := c.carryOut(kind, body.HostMachine, body.Pool, body.Wave)
		c.record.Add("cloud: %s of %s (pool %q, wave %d) by %s, fence %s: %d %s, answered %v", kind, body.HostMachine, body.Pool, body.Wave, holder, fence, status, reason, !c.silent)
		if status == http.StatusOK {
			c.orders = append(c.orders, MachineOrder{
				Machine: body.HostMachine,
				Kind:    kind,
				Holder:  holder,
				Fence:   fence,
				At:      c.record.Now(),
			})
		}
		silent := c.silent
		c.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, status, map[string]any{
			"Reason": reason,
		})
	}
}

// carryOut does what an order asks. The caller holds the lock.
func (c *Cloud) carryOut(kind, machine, pool string, wave int) (status int, reason string) {
	m := c.machines[machine]
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case kind == "move" && m.Pool == pool, kind == "upkeep" && m.waves[wave]:
		return http.StatusOK, "" // already done
	case m.State != "up":
		return http.StatusConflict, "busy"
	case kind == "upkeep" && !c.waves[wave][machine]:
		return http.StatusConflict, "wave"
	}
	old := m.Worker
	m.Worker = nil
	took := MaintenanceTime
	m.State = "upkeep"
	if kind == "move" {
		took = MigrateTime
		m.State = "moving"
		m.Pool = pool
	} else {
		m.waves[wave] = true
	}
	go old.Leave()
	time.AfterFunc(took, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.boot(m)
	})
	return http.StatusOK, ""
}

// Lose takes a machine away for good: its worker crashes, and nothing comes back.
func (c *Cloud) Lose(name string) {
	c.mu.Lock()
	m := c.machines[name]
	worker := m.Worker
	m.Worker = nil
	m.State = "down"
	c.mu.Unlock()
	worker.Crash()
	c.record.Add("machine %s is lost for good", name)
}

// CrashFor crashes the worker of a machine. After d the machine is back with a new worker.
func (c *Cloud) CrashFor(name string, d time.Duration) {
	c.mu.Lock()
	m := c.machines[name]
	worker := m.Worker
	if worker == nil {
		c.mu.Unlock()
		return
	}
	m.Worker = nil
	m.State = "down"
	c.past = append(c.past, worker)
	c.mu.Unlock()
	worker.Crash()
	time.AfterFunc(d, func() {
		worker.Leave()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.boot(m)
	})
}

// Past returns the workers that crashed with CrashFor.
func (c *Cloud) Past() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Worker(nil), c.past...)
}
