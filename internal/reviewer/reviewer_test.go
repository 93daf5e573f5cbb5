package reviewer_test

import (
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/internal/reviewer"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// configuration returns a configuration without findings, changed by the functions.
func configuration(changes ...func(*manager.Configuration)) *manager.Configuration {
	c := &manager.Configuration{
		Version: 7,
		Routes: []manager.Route{{
			Host:   "app.example",
			Prefix: "/quotes/",
			Queue:  "quotes",
		}},
		Keys: map[[sha256.Size]byte]string{sha256.Sum256([]byte("k1")): "schools"},
		Engine: orchestrator.Configuration{
			Queues: map[string]orchestrator.Queue{
				"quotes": {
					Name:          "quotes",
					Pool:          "desk",
					StretchFactor: 1.5,
				},
			},
			Teams: map[string]orchestrator.Team{
				"schools": {
					Name: "schools",
				},
			},
			Pools: map[string]orchestrator.Pool{
				"desk": {
					Name: "desk",
				},
				"spare": {
					Name:  "spare",
					Spare: true,
				},
			},
		},
	}
	for _, change := range changes {
		change(c)
	}
	return c
}

func queue(change func(*orchestrator.Queue)) func(*manager.Configuration) {
	return func(c *manager.Configuration) {
		q := c.Engine.Queues["quotes"]
		change(&q)
		c.Engine.Queues["quotes"] = q
	}
}

// Guards against contradictions that operators learn of from their callers.
func TestFindings(t *testing.T) {
	tests := []struct {
		name   string
		change func(*manager.Configuration)
		want   string // severity and path of the only finding
	}{
		{"none", func(*manager.Configuration) {}, ""},
		{"approvals expire before they arrive", queue(func(q *orchestrator.Queue) {
			q.AdviceRequired, q.AdviceBase, q.AdviceValidity = true, time.Second, time.Second
		}), "error queues/quotes/advice_validity"},
		{"prefix that no request has", func(c *manager.Configuration) { c.Routes[0].Prefix = "quotes/" }, "error routes/app.examplequotes/"},
		{"negative target latency", queue(func(q *orchestrator.Queue) { q.TargetLatency = -1 }), "error queues/quotes/target_latency"},
		{"negative weight", func(c *manager.Configuration) {
			c.Engine.Teams["schools"] = orchestrator.Team{
				Weight: -1,
			}
		}, "error teams/schools/weight"},
		{"queue with two routes", func(c *manager.Configuration) {
			c.Routes = append(c.Routes, manager.Route{
				Host:   "app.example",
				Prefix: "/old/",
				Queue:  "quotes",
			})
		}, "warning queues/quotes"},
		{"no routes", func(c *manager.Configuration) {
			c.Routes = nil
			clear(c.Engine.Queues)
			delete(c.Engine.Pools, "desk")
		}, "error routes"},
		{"no version", func(c *manager.Configuration) { c.Version = 0 }, "error version"},
		{"empty key", func(c *manager.Configuration) { c.Keys[sha256.Sum256(nil)] = "schools" }, "error teams/schools/keys"},
		{"team without a name", func(c *manager.Configuration) {
			c.Engine.Teams[""] = orchestrator.Team{}
			c.Keys[sha256.Sum256([]byte("k2"))] = ""
		}, "error teams/"},
		{"open queues need no keys", func(c *manager.Configuration) {
			c.Routes[0].Open = true
			clear(c.Keys)
		}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, f := range reviewer.Review(reviewer.Input{
				Candidate: configuration(test.change),
			}).Findings {
				got = append(got, string(f.Severity)+" "+f.Path)
			}
			if joined := strings.Join(got, "; "); joined != test.want {
				t.Errorf("findings %q, want %q", joined, test.want)
			}
		})
	}
}

// Guards against requests that the VMs can't fulfil, and against checks that are left out silently.
func TestFindingsOfFleet(t *testing.T) {
	vms := []orchestrator.VM{{
		ID:   "m-1",
		Pool: "desk",
		Zone: "north",
		Capacity: jobkeeper.Resources{
			CPUMillis: 4000,
			MemoryMB:  8192,
		},
	}, {
		ID:   "m-2",
		Pool: "spare",
		Zone: "south",
		Capacity: jobkeeper.Resources{
			CPUMillis: 4000,
			MemoryMB:  8192,
		},
	}}
	limit := func(r jobkeeper.Resources) func(*reviewer.Input) {
		return func(in *reviewer.Input) {
			in.Candidate.Engine.Teams["schools"] = orchestrator.Team{
				Limit: r,
			}
		}
	}
	wave := func(w orchestrator.Wave) func(*reviewer.Input) {
		return func(in *reviewer.Input) { in.Waves = append(in.Waves, w) }
	}
	tests := []struct {
		name   string
		change func(*reviewer.Input)
		want   string // severities and paths of the findings, and the paths that were not checked
	}{
		{"none", func(*reviewer.Input) {}, ""},
		{"VMs unknown", func(in *reviewer.Input) { in.VMs = nil }, "not checked pools; not checked teams"},
		{"VMs unknown to a wave", func(in *reviewer.Input) {
			in.VMs, in.Evacuated = nil, []string{"north"}
			in.Waves = make([]orchestrator.Wave, 1)
		}, "error waves/0/vms; not checked pools; not checked teams; not checked waves; not checked evacuations"},
		{"pool of VMs removed", func(in *reviewer.Input) { delete(in.Candidate.Engine.Pools, "spare") }, "warning pools/spare"},
		{"pool without VMs", func(in *reviewer.Input) { in.VMs = in.VMs[1:] }, "warning pools/desk"},
		{"limit of all VMs", limit(jobkeeper.Resources{
			CPUMillis: 8000,
			MemoryMB:  16384,
		}), ""},
		{"limit beyond all VMs", limit(jobkeeper.Resources{
			CPUMillis: 8001,
			GPUs:      1,
		}), "warning teams/schools/limit/cores; warning teams/schools/limit/gpus"},
		{"capacity unknown", func(in *reviewer.Input) {
			in.VMs = append([]orchestrator.VM{{
				ID:   "m-0",
				Pool: "desk",
				Zone: "north",
			}}, in.VMs...)
		}, "not checked teams"},
		{"wave", wave(orchestrator.Wave{
			VMs:            []string{"m-1", "m-2"},
			MaxUnavailable: 1,
		}), ""},
		{"wave of unknown VMs", wave(orchestrator.Wave{
			Number: 3,
			VMs:    []string{"m-8", "m-9"},
		}), "error waves/3/vms"},
		{"wave of some unknown VMs, all at once", wave(orchestrator.Wave{
			Number:         3,
			VMs:            []string{"m-1", "m-9"},
			MaxUnavailable: 2,
		}), "warning waves/3/max_unavailable; warning waves/3/vms"},
		{"VM twice in a wave", wave(orchestrator.Wave{
			VMs: []string{"m-1", "m-1"},
		}), "warning waves/0/vms"},
		{"waves with one number", func(in *reviewer.Input) {
			in.Waves = []orchestrator.Wave{{
				Number: 1,
				VMs:    []string{"m-1"},
			}, {
				Number: 1,
				VMs:    []string{"m-2"},
			}}
		}, "error waves/1"},
		{"unknown zone evacuated", func(in *reviewer.Input) { in.Evacuated = []string{"east"} }, "error evacuations/east"},
		{"all zones evacuated", func(in *reviewer.Input) { in.Evacuated = []string{"north", "south"} }, "error evacuations"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := reviewer.Input{
				Candidate: configuration(),
				VMs:       vms,
			}
			test.change(&in)
			report := reviewer.Review(in)
			var got []string
			for _, f := range report.Findings {
				got = append(got, string(f.Severity)+" "+f.Path)
			}
			for _, s := range report.NotChecked {
				got = append(got, "not checked "+s.Path)
			}
			if joined := strings.Join(got, "; "); joined != test.want {
				t.Errorf("findings %q, want %q", joined, test.want)
			}
		})
	}
}

// Guards against changes for callers that the comparison does not tell.
func TestChanges(t *testing.T) {
	next := func(c *manager.Configuration) { c.Version = 8 }
	tests := []struct {
		name   string
		change func(*manager.Configuration)
		want   string // the only change
	}{
		{"none", func(*manager.Configuration) {}, ""},
		{"route removed", func(c *manager.Configuration) { c.Routes = nil }, `routes/app.example/quotes/: removed: callers of queue "quotes" get 404`},
		{"queue opened", func(c *manager.Configuration) { c.Routes[0].Open = true }, "routes/app.example/quotes/: callers without a key too are served"},
		{"more urgent", queue(func(q *orchestrator.Queue) { q.Priority = -1 }), "queues/quotes/priority: its jobs go further before others: -1 in place of 0"},
		{"later due", queue(func(q *orchestrator.Queue) { q.TargetLatency = time.Second }), "queues/quotes/objective: its jobs are due after 1.5 times their critical path and 1s, in place of 1.5 times and 0s"},
		{"team removed", func(c *manager.Configuration) {
			clear(c.Engine.Teams)
			clear(c.Keys)
		}, "teams/schools: removed: callers with its 1 keys get 401"},
		{"limit", func(c *manager.Configuration) {
			c.Engine.Teams["schools"] = orchestrator.Team{
				Limit: jobkeeper.Resources{
					CPUMillis: 1500,
					GPUs:      2,
				},
			}
		}, "teams/schools/limit: its tasks may use 1.5 cores, 2 GPUs in place of any amount"},
		{"VMs switched on", func(c *manager.Configuration) {
			c.Engine.Pools["spare"] = orchestrator.Pool{}
		}, "pools/spare: its VMs are switched on"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, c := range reviewer.Review(reviewer.Input{
				Candidate: configuration(next, test.change),
				InForce:   configuration(),
			}).Changes {
				got = append(got, c.Path+": "+c.Message)
			}
			if joined := strings.Join(got, "; "); joined != test.want {
				t.Errorf("changes %q, want %q", joined, test.want)
			}
		})
	}
}
