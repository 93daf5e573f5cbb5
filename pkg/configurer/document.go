package configurer

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// Class determines how long the work of a queue may wait.
type Class string

// The classes of work, most urgent first.
const (
	ClassUrgent      Class = "urgent"      // is to start within 2.3 s
	ClassInteractive Class = "interactive" // a caller waits for the answer
	ClassDeferrable  Class = "deferrable"  // may wait but must finish
)

// Duration is a time span that documents contain as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.New("want a duration such as \"1.5s\", got %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Team is the document teams/<team>.
type Team struct {
	Weight int   `toml:"weight"` // share when a pool is full, relative to other teams
	Limit  int   `toml:"limit"`  // maximum number of running slots across the whole fleet
	Keys   []Key `toml:"keys"`
}

// Key is one credential of a team. Only the hash of the secret is kept.
type Key struct {
	ID        string `toml:"id"`
	SHA256    string `toml:"sha256"` // hexadecimal SHA-256 of the secret
	Withdrawn bool   `toml:"withdrawn"`
}

// Pool is the document pools/<pool>.
type Pool struct {
	Region         string `toml:"region"`
	Spare          bool   `toml:"spare"`           // VMs of this pool serve other pools when these need them
	MaxUnavailable int    `toml:"max_unavailable"` // availability budget: VMs that may be down at a time, planned and failed together
	MinVMs         int    `toml:"min_vms"`         // the rebalancer leaves at least this many VMs in the pool
}

// Queue is the document queues/<queue>.
type Queue struct {
	Pool      string           `toml:"pool"`
	Open      bool             `toml:"open"` // requests need no key and count towards no team limit
	Class     Class            `toml:"class"`
	Resources runner.Resources `toml:"resources"` // resources that one request needs
}

// WaveState is the state that operators request for a maintenance wave.
type WaveState string

// The states that operators set.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveAborted WaveState = "aborted"
)

// Wave is the document waves/<wave>.
type Wave struct {
	Pool         string    `toml:"pool"`
	State        WaveState `toml:"state"`
	FailureLimit int       `toml:"failure_limit"` // the wave stops once this many VMs have failed to return
}

// Policy is the document named policy.
type Policy struct {
	WeightBufferCost float64  `toml:"weight_buffer_cost"`
	WeightMoves      float64  `toml:"weight_moves"`
	WeightShare      float64  `toml:"weight_share"`
	WeightRollOut    float64  `toml:"weight_roll_out"`
	MoveDelay        Duration `toml:"move_delay"`
	ReturnDelay      Duration `toml:"return_delay"`
}

// Tree is one revision of the whole configuration. It is immutable.
type Tree struct {
	Revision uint64
	Teams    map[string]Team
	Pools    map[string]Pool
	Queues   map[string]Queue
	Waves    map[string]Wave
	Policy   Policy
}
