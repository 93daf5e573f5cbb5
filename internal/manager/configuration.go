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

// Route selects a queue by the host and the path prefix of a request.
type Route struct {
	Host   string
	Prefix string
	Queue  string
	Open   bool // no key is needed
}

// Configuration is the operators' configuration, as far as a daemon needs it.
type Configuration struct {
	Version      int64
	Routes       []Route
	Keys         map[[sha256.Size]byte]string // team by the SHA-256 of its key
	Engine       orchestrator.Configuration
	MaxBodyBytes int64
	// HeaderTimeout and IdleTimeout apply to connections of callers; zero selects the default.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Ignored describes the entries that were skipped because they are incomplete.
	Ignored []string
	// Replaced holds the entries of which only the last one is in force, in their order.
	Replaced []ReplacedEntry
}

// EntryKind is the kind of an entry of a configuration.
type EntryKind string

// The kinds of entries that a later one replaces.
const (
	EntryTeam EntryKind = "team"
	EntryPool EntryKind = "pool"
	EntryKey  EntryKind = "key"
)

// ReplacedEntry is an entry of a configuration that a later one replaces.
type ReplacedEntry struct {
	Kind    EntryKind
	Name    string // of the team or pool; for a key, the team that loses it
	Team    string // for a key, the team that has it
	KeyHash [sha256.Size]byte
}

// Route returns the route of the host with the longest prefix that the path begins with.
func (c *Configuration) Route(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Team returns the team that the key belongs to.
func (c *Configuration) Team(key string) (string, bool) {
	team, ok := c.Keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// storedConfiguration is a configuration with the revision of the store at which it was
// written.
type storedConfiguration struct {
	*Configuration
	revision storer.Version
}

// settings holds the newest configuration, the maintenance waves and the evacuated availability
// zones.
type settings struct {
	cfg    Config
	mu     sync.Mutex
	stored *storedConfiguration
	waves  map[string]orchestrator.Wave // by key
	// evacuated holds the evacuated availability zones by key. The map is replaced at each change.
	evacuated map[string]string
	changed   chan struct{} // closed and replaced at each change
}

func newSettings(cfg Config) *settings {
	return &settings{
		cfg:     cfg,
		waves:   map[string]orchestrator.Wave{},
		changed: make(chan struct{}),
	}
}

// current returns the newest configuration, or nil before the first one.
func (s *settings) current() *storedConfiguration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored
}

// revision returns the revision of the newest configuration, or zero before the first one.
func (s *settings) revision() storer.Version {
	if c := s.current(); c != nil {
		return c.revision
	}
	return 0
}

// state returns the configuration, the waves and a channel that closes at the next change.
func (s *settings) state() (*storedConfiguration, map[string]orchestrator.Wave, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored, maps.Clone(s.waves), s.changed
}

// apply processes changes under the operators' prefix. If full is true, events holds all
// items.
func (s *settings) apply(events []storer.Event, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := map[string]string{}
	if full {
		clear(s.waves)
	} else {
		maps.Copy(evacuated, s.evacuated)
	}
	for _, event := range events {
		if event.Item.Key == s.cfg.Schema.ConfigurationKey() {
			if !event.Deleted {
				s.setConfiguration(event.Item)
			}
			continue
		}
		if s.applyEvacuation(event, evacuated) {
			continue
		}
		s.applyWave(event)
	}
	s.evacuated = evacuated
	s.notify()
}

// applyEvacuation changes the evacuated zones by an event. It returns false if the event is not
// about an evacuation.
func (s *settings) applyEvacuation(event storer.Event, evacuated map[string]string) bool {
	zone, ok, err := s.cfg.Schema.Evacuation(event.Item)
	switch {
	case err != nil:
		s.cfg.Logger.Warn("request to evacuate an availability zone not readable", "key", event.Item.Key, "error", err)
	case ok && event.Deleted:
		delete(evacuated, event.Item.Key)
		s.cfg.Logger.Info("request to evacuate an availability zone withdrawn", "zone", zone)
	case ok:
		evacuated[event.Item.Key] = zone
		s.cfg.Logger.Info("request to evacuate an availability zone", "zone", zone, "revision", uint64(event.Item.Version))
	}
	return ok || err != nil
}

// evacuatedZones returns the availability zones that the operators have evacuated.
func (s *settings) evacuatedZones() map[string]bool {
	s.mu.Lock()
	evacuated := s.evacuated // never changed in place
	s.mu.Unlock()
	zones := make(map[string]bool, len(evacuated))
	for _, zone := range evacuated {
		zones[zone] = true
	}
	return zones
}

func (s *settings) applyWave(event storer.Event) {
	if event.Deleted {
		delete(s.waves, event.Item.Key)
		return
	}
	var wave orchestrator.Wave
	var ok bool
	err := guard(s.cfg.Logger, "wave", event.Item.Key, func() (err error) {
		wave, ok, err = s.cfg.Schema.Wave(event.Item)
		return err
	})
	switch {
	case err != nil:
		s.cfg.Logger.Warn("wave not readable", "key", event.Item.Key, "error", err)
	case ok:
		s.waves[event.Item.Key] = wave
	}
}

// refresh updates the configuration from an item that another call returned.
func (s *settings) refresh(item storer.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setConfiguration(item)
	s.notify()
}

// setConfiguration decodes the item and replaces the configuration if the item is newer. The
// caller holds the lock.
func (s *settings) setConfiguration(item storer.Item) {
	if item.Version == 0 || s.stored != nil && item.Version <= s.stored.revision {
		return
	}
	var c *Configuration
	err := guard(s.cfg.Logger, "configuration", item.Key, func() (err error) {
		c, err = s.cfg.Schema.Configuration(item.Value)
		return err
	})
	if err != nil {
		s.cfg.Logger.Error("configuration not readable, the previous one stays in force", "revision", uint64(item.Version), "error", err)
		return
	}
	s.stored = &storedConfiguration{
		Configuration: c,
		revision:      item.Version,
	}
	s.cfg.Logger.Info("configuration in force", "version", c.Version, "revision", uint64(item.Version),
		"routes", len(c.Routes), "teams", len(c.Engine.Teams), "keys", len(c.Keys), "pools", len(c.Engine.Pools))
	if len(c.Ignored) > 0 {
		s.cfg.Logger.Warn("incomplete entries of the configuration ignored", "version", c.Version, "entries", c.Ignored)
	}
}

func (s *settings) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
