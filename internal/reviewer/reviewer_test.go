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
