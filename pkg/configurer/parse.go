package configurer

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Kinds of documents, which are the first part of their path.
const (
	KindTeams  = "teams"
	KindPools  = "pools"
	KindQueues = "queues"
	KindWaves  = "waves"
	KindPolicy = "policy"
)

// MaxLimitSlots is the greatest limit that a team may have, in slots.
const MaxLimitSlots = 100_000

const wantPath = `"policy" or "teams/<name>", "pools/<name>", "queues/<name>", "waves/<name>" with a name of 1 to 63 of a-z, 0-9, "-" and "_" that starts with a letter or digit`

var typeErrorPattern = regexp.MustCompile(`line (\d+) \(last key "([^"]+)"\): (.*)`)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// SplitPath returns the kind and the name of a document; the policy has no name. It fails
// if no document may have this path.
func SplitPath(path string) (kind, name string, err error) {
	if path == KindPolicy {
		return KindPolicy, "", nil
	}
	kind, name, _ = strings.Cut(path, "/")
	switch kind {
	case KindTeams, KindPools, KindQueues, KindWaves:
		if namePattern.MatchString(name) {
			return kind, name, nil
		}
	}
	return "", "", Error.New("path %q: want %s", path, wantPath)
}

// DefaultPolicy returns the values of the keys that the policy document leaves out, or of
// all keys if there is no such document.
func DefaultPolicy() Policy {
	return Policy{
		WeightBufferCost: 1,
		WeightMoves:      1,
		WeightShare:      1,
		WeightRollOut:    1,
		MoveDelay:        Duration(5 * time.Second),
		ReturnDelay:      Duration(60 * time.Second),
	}
}

// CheckDocument validates one document, but not its references to others. The error wraps
// ErrInvalid.
func CheckDocument(path, text string) error {
	_, problems := parseDocument(path, text, true)
	return invalid(problems)
}

// parseDocument returns a Team, Pool, Queue, Wave or Policy. If strict is false, it accepts
// unknown keys, so that this release can read documents written by the next one.
func parseDocument(path, text string, strict bool) (any, []Problem) {
	kind, _, err := SplitPath(path)
	if err != nil {
		return nil, []Problem{{
			Path: path,
			Got:  fmt.Sprintf("unknown path %q", path),
			Want: wantPath,
		}}
	}
	if len(text) > MaxDocumentBytes {
		return nil, []Problem{{
			Path: path,
			Got:  fmt.Sprintf("got %d bytes", len(text)),
			Want: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}}
	}
	c := &checker{
		path:   path,
		strict: strict,
	}
	switch kind {
	case KindTeams:
		return c.team(text), c.problems
	case KindPools:
		return c.pool(text), c.problems
	case KindQueues:
		return c.queue(text), c.problems
	case KindWaves:
		return c.wave(text), c.problems
	default:
		return c.policy(text), c.problems
	}
}

// checker collects the problems of one document.
type checker struct {
	path     string
	strict   bool
	meta     toml.MetaData
	problems []Problem
}

func (c *checker) add(key, got, want string) {
	c.problems = append(c.problems, Problem{
		Path: c.path,
		Key:  key,
		Got:  got,
		Want: want,
	})
}

// decode parses text into v. It returns false if v cannot be used.
func (c *checker) decode(text string, v any) bool {
	meta, err := toml.Decode(text, v)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			c.add(parse.LastKey, fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message), "TOML with the documented type")
			return false
		}
		// For a value of a wrong type, only the text of the error has the line and the key.
		if m := typeErrorPattern.FindStringSubmatch(err.Error()); m != nil {
			c.add(m[2], "line "+m[1]+": "+m[3], "the documented type")
			return false
		}
		c.add("", err.Error(), "TOML with the documented types")
		return false
	}
	c.meta = meta
	if !c.strict {
		return true
	}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "unknown key", "a documented key")
	}
	for _, key := range meta.Keys() {
		// The decoder ignores case when it matches keys to fields.
		if s := key.String(); s != strings.ToLower(s) {
			c.add(s, "unknown key", "a key in lower case")
		}
	}
	return true
}

func (c *checker) required(keys ...string) {
	for _, key := range keys {
		if !c.meta.IsDefined(key) {
			c.add(key, "missing", "a value")
		}
	}
}

func (c *checker) inRange(key string, n, low, high int64) {
	if c.meta.IsDefined(strings.Split(key, ".")...) && (n < low || n > high) {
		c.add(key, fmt.Sprintf("got %d", n), fmt.Sprintf("an integer from %d to %d", low, high))
	}
}

func (c *checker) name(key, name string) {
	if c.meta.IsDefined(key) && !namePattern.MatchString(name) {
		c.add(key, fmt.Sprintf("got %q", name), "a name of 1 to 63 of a-z, 0-9, \"-\" and \"_\"")
	}
}

func (c *checker) team(text string) Team {
	var t Team
	if !c.decode(text, &t) {
		return t
	}
	// A missing limit must not be read as 0, which would stop all work of the team.
	c.required("weight", "limit")
	c.inRange("weight", int64(t.Weight), 1, 10_000)
	c.inRange("limit", int64(t.Limit), 0, MaxLimitSlots)
	for i, k := range t.Keys {
		keyPath := fmt.Sprintf("keys[%d]", i)
		if !keyIDPattern.MatchString(k.ID) {
			c.add(keyPath+".id", fmt.Sprintf("got %q", k.ID), "4 to 64 of a-z, 0-9, \"-\" and \"_\"")
		}
		if !hashPattern.MatchString(k.SHA256) {
			// The value is left out of the message: it may be a secret put here by mistake.
			c.add(keyPath+".sha256", fmt.Sprintf("got %d characters", len(k.SHA256)), "64 lower-case hexadecimal digits")
		}
	}
	return t
}

var (
	keyIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{3,63}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func (c *checker) pool(text string) Pool {
	p := Pool{MaxUnavailable: 1}
	if !c.decode(text, &p) {
		return p
	}
	c.required("region")
	c.name("region", p.Region)
	c.inRange("max_unavailable", int64(p.MaxUnavailable), 0, 100_000)
	c.inRange("min_vms", int64(p.MinVMs), 0, 100_000)
	return p
}

func (c *checker) queue(text string) Queue {
	q := Queue{Resources: runner.Resources{Slots: 1}}
	if !c.decode(text, &q) {
		return q
	}
	c.required("pool", "class")
	c.name("pool", q.Pool)
	switch q.Class {
	case ClassUrgent, ClassInteractive, ClassDeferrable:
	default:
		if c.meta.IsDefined("class") {
			c.add("class", fmt.Sprintf("got %q", q.Class), `"urgent", "interactive" or "deferrable"`)
		}
	}
	r := q.Resources
	c.inRange("resources.slots", int64(r.Slots), 1, 1_000)
	c.inRange("resources.cpu_millis", r.CPUMillis, 0, 1_000_000)
	c.inRange("resources.memory_mb", r.MemoryMB, 0, 16<<20)
	c.inRange("resources.accelerators", int64(r.Accelerators), 0, 1_000)
	return q
}

func (c *checker) wave(text string) Wave {
	w := Wave{FailureLimit: 2}
	if !c.decode(text, &w) {
		return w
	}
	c.required("pool", "state")
	c.name("pool", w.Pool)
	switch w.State {
	case WaveRunning, WavePaused, WaveAborted:
	default:
		if c.meta.IsDefined("state") {
			c.add("state", fmt.Sprintf("got %q", w.State), `"running", "paused" or "aborted"`)
		}
	}
	c.inRange("failure_limit", int64(w.FailureLimit), 1, 100_000)
	return w
}

func (c *checker) policy(text string) Policy {
	p := DefaultPolicy()
	if !c.decode(text, &p) {
		return p
	}
	c.weight("weight_buffer_cost", p.WeightBufferCost)
	c.weight("weight_moves", p.WeightMoves)
	c.weight("weight_share", p.WeightShare)
	c.weight("weight_roll_out", p.WeightRollOut)
	c.delay("move_delay", p.MoveDelay)
	c.delay("return_delay", p.ReturnDelay)
	return p
}

func (c *checker) weight(key string, v float64) {
	// The negated comparison also rejects NaN.
	if !(v >= 0 && v <= 1_000) {
		c.add(key, fmt.Sprintf("got %v", v), "a number from 0 to 1000")
	}
}

func (c *checker) delay(key string, d Duration) {
	if c.meta.IsDefined(key) && c.meta.Type(key) != "String" {
		c.add(key, "got "+c.meta.Type(key), `a string such as "1.5s"`)
		return
	}
	if d < 0 || d > Duration(24*time.Hour) {
		c.add(key, "got "+time.Duration(d).String(), "a duration from 0s to 24h")
	}
}
