package standin

// Route is a queue of the configuration.
type Route struct {
	Name    string
	Prefix  string
	Service string
	Public  bool
	Advised bool // its queue has a Recommendation
}

// Tenant is a tenant of the configuration. MaxCPU is in thousandths of a core, 0 for no limit.
type Tenant struct {
	Name   string
	Key    string
	MaxCPU int64
}

// Host is the host of all routes.
const Host = "desk.example"

// MaxAttempts is the number of failed runs of a task after which its job fails.
const MaxAttempts = 4

// Spare is the service that stands by, if a configuration has it.
const Spare = "spare"

// Configure writes a configuration, as the operator does. The workers of all services enforce
// their capacity.
func (s *Store) Configure(record *Record, version int, routes []Route, services []string, tenants []Tenant) {
	var r, v, t []map[string]any
	for _, route := range routes {
		row := map[string]any{
			"Name":            route.Name,
			"Host":            Host,
			"Prefix":          route.Prefix,
			"Service":         route.Service,
			"Public":          route.Public,
			"Priority":        0,
			"MaxAttempts":     MaxAttempts,
			"StretchFactor":   2.0,
			"TargetLatencyMs": 2000,
		}
		if route.Advised {
			row["Recommendation"] = recommendation()
		}
		r = append(r, row)
	}
	for _, name := range services {
		v = append(v, map[string]any{
			"Name":             name,
			"EnforcesCapacity": true,
			"Standby":          name == Spare,
		})
	}
	for _, tenant := range tenants {
		t = append(t, map[string]any{
			"Name":     tenant.Name,
			"ApiKeys":  []string{tenant.Key},
			"Weight":   50,
			"MaxCount": map[string]any{"Cpu": tenant.MaxCPU, "MemMb": 0, "Gpu": 0},
		})
	}
	s.Put("op/config", map[string]any{
		"Version":  version,
		"Routes":   r,
		"Services": v,
		"Limits":   map[string]any{"MaxBodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants":  t,
	})
	record.Add("operator: configuration %d acknowledged, routes %+v", version, routes)
}

// Job returns a job of one step of tasks that each take ms on cpu thousandths of a core.
func Job(count, ms int, cpu int64) map[string]any {
	return map[string]any{
		"Spec": spec(ms, cpu),
		"Steps": []map[string]any{{
			"Count":      count,
			"Cpu":        cpu,
			"MemMb":      64,
			"EstimateMs": ms,
		}},
	}
}

// Lasting returns a job of one step of tasks that last, each on cpu thousandths of a core.
func Lasting(count int, cpu int64) map[string]any {
	job := Job(count, 0, cpu)
	step := Step(job)
	step["EstimateMs"] = 1000
	step["LongRunning"] = true
	return job
}

// Step returns the only step of a job.
func Step(job map[string]any) map[string]any { return job["Steps"].([]map[string]any)[0] }
