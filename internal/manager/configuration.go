package manager

import (
	"crypto/sha256"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Route selects a queue by the host and the beginning of the path of a request.
type Route struct {
	Host   string
	Prefix string
	Queue  string
	Open   bool // needs no key
}

// Configuration is what the operators configured.
type Configuration struct {
	Version      int64
	Routes       []Route
	Keys         map[[sha256.Size]byte]string // team by the hash of its key
	Engine       orchestrator.Configuration
	MaxBodyBytes int64
	// HeaderTimeout and IdleTimeout bound connections of callers; zero means the default.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Ignored describes the entries that are left out because they say too little.
	Ignored []string
}

// Route returns the route with the longest prefix that the path begins with.
func (c *Configuration) Route(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Team returns the team that holds the key.
func (c *Configuration) Team(key string) (string, bool) {
	team, ok := c.Keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// held is a configuration with the revision of the store at which it was written.
type held struct {
	*Configuration
	revision storer.Version
}

// settings holds the newest configuration and the waves.
type settings struct {
	cfg     Config
	mu      sync.Mutex
	held    *held
	waves   map[string]orchestrator.Wave // by key
	changed chan struct{}                // closed and replaced at each change
}

func newSettings(cfg Config) *settings {
	return &settings{
		cfg:     cfg,
		waves:   map[string]orchestrator.Wave{},
		changed: make(chan struct{}),
	}
}

// current returns the newest configuration, or nil before the first one.
func (s *settings) current() *held {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// state returns the configuration, the waves and a channel that closes at the next change.
func (s *settings) state() (*held, map[string]orchestrator.Wave, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, maps.Clone(s.waves), s.changed
}

// apply takes changes under the operators' prefix.
func (s *settings) apply(events []storer.Event, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if full {
		clear(s.waves)
	}
	for _, event := range events {
		if event.Item.Key == s.cfg.Directory.ConfigurationKey() {
			if !event.Deleted {
				s.take(event.Item)
			}
			continue
		}
		s.applyWave(event)
	}
	s.notify()
}

func (s *settings) applyWave(event storer.Event) {
	if event.Deleted {
		delete(s.waves, event.Item.Key)
		return
	}
	wave, ok, err := s.cfg.Directory.Wave(event.Item)
	switch {
	case err != nil:
		s.cfg.Logger.Warn("wave not readable", "key", event.Item.Key, "error", err)
	case ok:
		s.waves[event.Item.Key] = wave
	}
}

// refresh takes an item of the configuration that another call returned.
func (s *settings) refresh(item storer.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(item)
	s.notify()
}

// take replaces the configuration by a newer one. The caller holds the lock.
func (s *settings) take(item storer.Item) {
	if item.Version == 0 || s.held != nil && item.Version <= s.held.revision {
		return
	}
	c, err := s.cfg.Directory.Configuration(item.Value)
	if err != nil {
		s.cfg.Logger.Error("configuration not readable, the earlier one stays", "revision", uint64(item.Version), "error", err)
		return
	}
	s.held = &held{
		Configuration: c,
		revision:      item.Version,
	}
	s.cfg.Logger.Info("configuration in force", "version", c.Version, "revision", uint64(item.Version),
		"routes", len(c.Routes), "teams", len(c.Engine.Teams), "keys", len(c.Keys), "pools", len(c.Engine.Pools))
	if len(c.Ignored) > 0 {
		s.cfg.Logger.Warn("entries of the configuration ignored", "version", c.Version, "entries", c.Ignored)
	}
}

func (s *settings) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
