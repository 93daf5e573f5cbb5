package manager_test

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// testSchema decodes a configuration that tests write as JSON.
type testSchema struct{}

type testConfig struct {
	Version int64
	Keys    map[string]string // team by key
	Routes  []manager.Route   // empty for one to the queue quotes
}

func (testSchema) OperatorPrefix() string     { return "operators/" }
func (testSchema) ConfigurationKey() string   { return "operators/config" }
func (testSchema) TargetPrefix() string       { return "targets/" }
func (testSchema) TargetID(key string) string { return strings.TrimPrefix(key, "targets/") }

// Wave decodes waves that tests write as JSON.
func (testSchema) Wave(item storer.Item) (orchestrator.Wave, bool, error) {
	if !strings.HasPrefix(item.Key, "operators/wave/") {
		return orchestrator.Wave{}, false, nil
	}
	var w orchestrator.Wave
	err := json.Unmarshal(item.Value, &w)
	return w, err == nil, err
}

// Evacuation takes the rest of the key as the zone.
func (testSchema) Evacuation(item storer.Item) (string, bool, error) {
	zone, ok := strings.CutPrefix(item.Key, "operators/evacuate/")
	if ok && zone == "" {
		return "", false, errors.New("no zone")
	}
	return zone, ok, nil
}

func (testSchema) WaveStatus(state orchestrator.WaveState) (storer.Put, error) {
	return storer.Put{
		Key:   fmt.Sprintf("status/wave/%d", state.Number),
		Value: []byte(strconv.FormatBool(state.Complete)),
	}, nil
}

func (testSchema) Configuration(data []byte) (*manager.Configuration, error) {
	var c testConfig
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	if len(c.Routes) == 0 {
		c.Routes = []manager.Route{quotesRoute()}
	}
	conf := &manager.Configuration{
		Version: c.Version,
		Routes:  c.Routes,
		Keys:    map[[sha256.Size]byte]string{},
		Engine: orchestrator.Configuration{
			Queues: map[string]orchestrator.Queue{},
			Pools: map[string]orchestrator.Pool{
				"desk": {
					Name: "desk",
				},
			},
		},
	}
	for _, r := range c.Routes {
		conf.Engine.Queues[r.Queue] = orchestrator.Queue{
			Name:          r.Queue,
			Pool:          "desk",
			MaxAttempts:   4,
			StretchFactor: 1.6,
			TargetLatency: 600 * time.Millisecond,
		}
	}
	for key, team := range c.Keys {
		conf.Keys[sha256.Sum256([]byte(key))] = team
	}
	return conf, nil
}

// quotesRoute returns the route that call uses.
func quotesRoute() manager.Route {
	return manager.Route{
		Host:   "desk.example",
		Prefix: "/quotes/",
		Queue:  "quotes",
	}
}

func (s testSchema) Registration(item storer.Item) (orchestrator.Registration, error) {
	return orchestrator.Registration{
		Endpoint: orchestrator.Endpoint{
			ID:      s.TargetID(item.Key),
			Address: "a:1",
		},
		Pool: "desk",
		Zone: string(item.Value),
		Capacity: jobkeeper.Resources{
			CPUMillis: 8000,
			MemoryMB:  8000,
		},
	}, nil
}
