// Package reviewer checks an operators' configuration before it is sent: errors, entries that can
// never match, settings that contradict each other or the VMs, and which callers gain or lose what
// against the configuration in force.
//
// It reads what the daemons read: configurations as they decode them.
package reviewer

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// Severity is how serious a finding is.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"   // callers or jobs would be harmed
	SeverityWarning Severity = "warning" // most likely not what is meant
)

// Finding is a problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"`
	Message  string   `json:"message"` // what is wanted, and what is there
}

// Change is a difference in meaning from the configuration in force.
type Change struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Report is the result of a review.
type Report struct {
	Version  int64     `json:"version"`
	InForce  int64     `json:"in_force,omitempty"` // version it is compared with; zero if there is none
	Findings []Finding `json:"findings"`
	// NotChecked are the checks that were not made, as their input is not at hand.
	NotChecked []Skipped `json:"not_checked"`
	Changes    []Change  `json:"changes"`
}

// Skipped is a check that was not made.
type Skipped struct {
	Path    string `json:"path"`
	Message string `json:"message"` // what is wanted, and for what
}

// Input is what a review looks at.
type Input struct {
	Candidate *manager.Configuration
	InForce   *manager.Configuration // nil if there is none to compare with
	VMs       []orchestrator.VM      // empty if they are not known
	Waves     []orchestrator.Wave    // that are not complete
	Evacuated []string               // availability zones
}

// Count returns the number of findings of a severity.
func (r Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Review checks a configuration.
func Review(in Input) Report {
	r := Report{
		Version:    in.Candidate.Version,
		Findings:   []Finding{},
		NotChecked: []Skipped{},
		Changes:    []Change{},
	}
	if in.Candidate.Version <= 0 {
		r.fail("version", "want a number above 0, got %d", in.Candidate.Version)
	}
	r.checkReplaced(in.Candidate)
	r.checkRoutes(in.Candidate)
	r.checkQueues(in.Candidate)
	r.checkTeams(in.Candidate)
	r.checkPools(in.Candidate)
	r.checkWaves(in.Waves)
	r.checkFleet(in)
	if in.InForce != nil {
		r.InForce = in.InForce.Version
		if in.Candidate.Version > 0 && in.Candidate.Version <= in.InForce.Version {
			r.fail("version", "want more than %d, which is in force; got %d", in.InForce.Version, in.Candidate.Version)
		}
		r.compareRoutes(in.InForce, in.Candidate)
		r.compareQueues(in.InForce, in.Candidate)
		r.compareTeams(in.InForce, in.Candidate)
		r.comparePools(in.InForce, in.Candidate)
		r.compareLimits(in.InForce, in.Candidate)
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Path, b.Path))
	})
	return r
}

func (r *Report) fail(path, format string, args ...any) { r.add(SeverityError, path, format, args...) }

func (r *Report) warn(path, format string, args ...any) {
	r.add(SeverityWarning, path, format, args...)
}

func (r *Report) add(s Severity, path, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{
		Severity: s,
		Path:     path,
		Message:  fmt.Sprintf(format, args...),
	})
}

func (r *Report) change(path, format string, args ...any) {
	r.Changes = append(r.Changes, Change{
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

func (r *Report) skip(path, format string, args ...any) {
	r.NotChecked = append(r.NotChecked, Skipped{
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// checkReplaced checks the entries of which the daemons use only the last one.
func (r *Report) checkReplaced(c *manager.Configuration) {
	for _, e := range c.Replaced {
		switch e.Kind {
		case manager.EntryTeam:
			r.fail("teams/"+e.Name, "want one entry for each team; the limit and weight of the last one hold, with the keys of all")
		case manager.EntryPool:
			r.fail("pools/"+e.Name, "want one entry for each pool; the last one holds")
		case manager.EntryKey:
			r.fail("teams/"+e.Name+"/keys", "want keys of one team each; callers with the key of SHA-256 %s act for team %q", shortKey(e.KeyHash), e.Team)
		}
	}
	if team, ok := c.Team(""); ok {
		r.fail("teams/"+team+"/keys", "want no empty key; callers without a key act for the team")
	}
}

func routePath(route manager.Route) string { return "routes/" + route.Host + route.Prefix }

func (r *Report) checkRoutes(c *manager.Configuration) {
	if len(c.Routes) == 0 {
		r.fail("routes", "want a route, got none; all callers get 404")
	}
	for _, ignored := range c.Ignored {
		r.fail("routes", "the daemons skip an incomplete entry: %s", ignored)
	}
	queues := map[string]bool{}
	for i, route := range c.Routes {
		switch {
		case route.Host == "":
			r.fail(routePath(route), "want a host; queue %q can never be reached", route.Queue)
		case !strings.HasPrefix(route.Prefix, "/"):
			r.fail(routePath(route), "want a prefix that begins with /, got %q; no request matches", route.Prefix)
		}
		for _, earlier := range c.Routes[:i] {
			if earlier.Host == route.Host && earlier.Prefix == route.Prefix {
				r.fail(routePath(route), "queue %q can never be reached here: the route to queue %q comes first", route.Queue, earlier.Queue)
				break
			}
		}
		if queues[route.Queue] {
			r.warn("queues/"+route.Queue, "want one entry for each queue; the settings of the last one hold for all its routes")
		}
		queues[route.Queue] = true
	}
}

func (r *Report) checkQueues(c *manager.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(c.Engine.Queues)) {
		q := c.Engine.Queues[name]
		path := "queues/" + name
		pool, known := c.Engine.Pools[q.Pool]
		switch {
		case !known:
			r.fail(path+"/pool", "want a pool that exists, got %q; its jobs never start", q.Pool)
		case pool.Spare:
			r.fail(path+"/pool", "want a pool whose VMs are on, got the spare pool %q; its jobs never start", q.Pool)
		}
		if q.MaxAttempts < 0 {
			r.fail(path+"/max_attempts", "want at least 0, got %d", q.MaxAttempts)
		}
		if q.TargetLatency < 0 {
			r.fail(path+"/target_latency", "want at least 0, got %v", q.TargetLatency)
		}
		if q.StretchFactor < 1 {
			r.warn(path+"/stretch_factor", "want at least 1, got %g: jobs would be due before their work can end; 1 is used", q.StretchFactor)
		}
		if once := q.AdviceBase + q.AdvicePerTarget; q.AdviceRequired && q.AdviceValidity <= once {
			r.fail(path+"/advice_validity", "want more than %v, which the adviser takes for one target; got %v: approvals expire before they arrive", once, q.AdviceValidity)
		}
	}
}

func (r *Report) checkTeams(c *manager.Configuration) {
	keys := keysByTeam(c)
	closed := slices.ContainsFunc(c.Routes, func(route manager.Route) bool { return !route.Open })
	for _, name := range slices.Sorted(maps.Keys(c.Engine.Teams)) {
		t := c.Engine.Teams[name]
		path := "teams/" + name
		if name == "" {
			r.fail(path, "want a name")
		}
		if t.Weight < 0 {
			r.fail(path+"/weight", "want at least 0, got %g", t.Weight)
		}
		if t.Limit.CPUMillis < 0 || t.Limit.MemoryMB < 0 || t.Limit.GPUs < 0 {
			r.fail(path+"/limit", "want amounts of at least 0, got %s", amounts(t.Limit))
		}
		if len(keys[name]) == 0 && closed {
			r.warn(path+"/keys", "want a key; the team can use open queues only")
		}
	}
}

// usedPools returns the pools that have a queue.
func usedPools(c *manager.Configuration) map[string]bool {
	used := map[string]bool{}
	for _, q := range c.Engine.Queues {
		used[q.Pool] = true
	}
	return used
}

func (r *Report) checkPools(c *manager.Configuration) {
	used := usedPools(c)
	for _, name := range slices.Sorted(maps.Keys(c.Engine.Pools)) {
		if !used[name] && !c.Engine.Pools[name].Spare {
			r.warn("pools/"+name, "want a queue that uses it; its VMs do nothing")
		}
	}
}

func (r *Report) compareRoutes(before, after *manager.Configuration) {
	for _, route := range after.Routes {
		old, had := before.Route(route.Host, route.Prefix)
		switch {
		case !had:
			r.change(routePath(route), "added: requests reach queue %q", route.Queue)
		case old.Queue != route.Queue:
			r.change(routePath(route), "requests reach queue %q in place of %q", route.Queue, old.Queue)
		}
		if had && old.Open != route.Open {
			who := "only callers with a key"
			if route.Open {
				who = "callers without a key too"
			}
			r.change(routePath(route), "%s are served", who)
		}
	}
	for _, route := range before.Routes {
		if slices.ContainsFunc(after.Routes, func(x manager.Route) bool { return x.Host == route.Host && x.Prefix == route.Prefix }) {
			continue
		}
		if next, still := after.Route(route.Host, route.Prefix); still {
			r.change(routePath(route), "removed: requests reach queue %q in place of %q", next.Queue, route.Queue)
			continue
		}
		r.change(routePath(route), "removed: callers of queue %q get 404", route.Queue)
	}
}

func (r *Report) compareQueues(before, after *manager.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(after.Engine.Queues)) {
		old, had := before.Engine.Queues[name]
		q := after.Engine.Queues[name]
		if !had {
			continue // its route tells
		}
		path := "queues/" + name
		if old.Pool != q.Pool {
			r.change(path+"/pool", "its jobs run in pool %q in place of %q", q.Pool, old.Pool)
		}
		if old.Priority != q.Priority {
			r.change(path+"/priority", "its jobs go %s others: %d in place of %d", direction(q.Priority < old.Priority, "further before", "further behind"), q.Priority, old.Priority)
		}
		if old.MaxAttempts != q.MaxAttempts {
			r.change(path+"/max_attempts", "its tasks may fail %d times in place of %d", q.MaxAttempts, old.MaxAttempts)
		}
		if old.StretchFactor != q.StretchFactor || old.TargetLatency != q.TargetLatency {
			r.change(path+"/objective", "its jobs are due after %g times their critical path and %v, in place of %g times and %v", q.StretchFactor, q.TargetLatency, old.StretchFactor, old.TargetLatency)
		}
		if old.AdviceRequired != q.AdviceRequired {
			r.change(path+"/advice", "its steps run %s", direction(q.AdviceRequired, "only on targets that the adviser approves", "on any target"))
		}
	}
}

func direction(yes bool, a, b string) string {
	if yes {
		return a
	}
	return b
}

func (r *Report) compareTeams(before, after *manager.Configuration) {
	oldKeys, keys := keysByTeam(before), keysByTeam(after)
	names := maps.Clone(before.Engine.Teams)
	maps.Copy(names, after.Engine.Teams)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, had := before.Engine.Teams[name]
		t, has := after.Engine.Teams[name]
		path := "teams/" + name
		switch {
		case !had:
			r.change(path, "added, with %d keys and a limit of %s", len(keys[name]), amounts(t.Limit))
			continue
		case !has:
			r.change(path, "removed: callers with its %d keys get 401", len(oldKeys[name]))
			continue
		}
		if lost := without(oldKeys[name], keys[name]); len(lost) > 0 {
			r.change(path+"/keys", "callers with %d of its keys no longer act for it (SHA-256 %s)", len(lost), strings.Join(lost, ", "))
		}
		if won := without(keys[name], oldKeys[name]); len(won) > 0 {
			r.change(path+"/keys", "callers with %d further keys act for it (SHA-256 %s)", len(won), strings.Join(won, ", "))
		}
		if old.Limit != t.Limit {
			r.change(path+"/limit", "its tasks may use %s in place of %s", amounts(t.Limit), amounts(old.Limit))
		}
		if old.Weight != t.Weight {
			r.change(path+"/weight", "it is entitled to %g jobs a second in place of %g", t.Weight, old.Weight)
		}
	}
}

func (r *Report) comparePools(before, after *manager.Configuration) {
	names := maps.Clone(before.Engine.Pools)
	maps.Copy(names, after.Engine.Pools)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, had := before.Engine.Pools[name]
		p, has := after.Engine.Pools[name]
		switch {
		case !had:
			r.change("pools/"+name, "added")
		case !has:
			r.change("pools/"+name, "removed: nothing starts on its targets")
		case old.Spare != p.Spare:
			r.change("pools/"+name, "its VMs are switched %s", direction(p.Spare, "off", "on"))
		}
	}
}

func (r *Report) compareLimits(before, after *manager.Configuration) {
	if before.MaxBodyBytes != after.MaxBodyBytes {
		r.change("limits/max_body_bytes", "bodies may have %d bytes in place of %d", after.MaxBodyBytes, before.MaxBodyBytes)
	}
	if before.HeaderTimeout != after.HeaderTimeout || before.IdleTimeout != after.IdleTimeout {
		r.change("limits/timeouts", "headers may take %v and connections idle %v, in place of %v and %v", after.HeaderTimeout, after.IdleTimeout, before.HeaderTimeout, before.IdleTimeout)
	}
}

// shortHash is the number of hexadecimal digits that stand for a key in a report.
const shortHash = 8

// shortKey returns the beginning of the hash of a key.
func shortKey(hash [sha256.Size]byte) string { return fmt.Sprintf("%x", hash)[:shortHash] }

// keysByTeam returns the beginnings of the hashes of each team's keys, sorted.
func keysByTeam(c *manager.Configuration) map[string][]string {
	keys := map[string][]string{}
	for hash, team := range c.Keys {
		keys[team] = append(keys[team], shortKey(hash))
	}
	for team := range keys {
		slices.Sort(keys[team])
	}
	return keys
}

func without(list, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(removed, s) })
}

// amounts describes an upper limit.
func amounts(limit jobkeeper.Resources) string {
	var parts []string
	add := func(amount int64, format string, value any) {
		if amount != 0 {
			parts = append(parts, fmt.Sprintf(format, value))
		}
	}
	add(limit.CPUMillis, "%g cores", float64(limit.CPUMillis)/1000)
	add(limit.MemoryMB, "%d MB", limit.MemoryMB)
	add(limit.GPUs, "%d GPUs", limit.GPUs)
	if len(parts) == 0 {
		return "any amount"
	}
	return strings.Join(parts, ", ")
}
