package manager

import (
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

const (
	// fullRetryAfter is when callers are told to repeat a job that a full cell can't take.
	fullRetryAfter = 3 * time.Second
	// unreportedPart is the part of Config.WorkBytes that a daemon accepts for a cell between two
	// reports of its owner, or while there is none. All daemons do at the same time.
	unreportedPart = 4
	// heldRounding is the unit to which owners round the memory that they report.
	heldRounding = 256 << 10
)

// capacityControl bounds the accepted work that the owner of a cell has to hold in memory, by its
// reports and by what this daemon has accepted since.
type capacityControl struct {
	cfg  Config
	view *fleetView

	mu       sync.Mutex
	accepted map[string]acceptedWork // by cell
}

// acceptedWork is what this daemon has accepted for a cell since the report that arrived at a time.
type acceptedWork struct {
	reportAt time.Duration
	bytes    int64
}

func newCapacityControl(cfg Config, view *fleetView) *capacityControl {
	return &capacityControl{
		cfg:      cfg,
		view:     view,
		accepted: map[string]acceptedWork{},
	}
}

// full reports whether the owner of a cell could not hold a job beside what it holds.
func (c *capacityControl) full(cell string, job *jobkeeper.Job) bool {
	limit := c.cfg.WorkBytes
	if limit <= 0 {
		return false
	}
	held, since := c.load(cell)
	bytes := orchestrator.HeldForWaitingJob(job)
	return held+since+bytes > limit || since+bytes > max(limit/unreportedPart, bytes)
}

// load returns what the owner of a cell reported last, and what this daemon has accepted since.
func (c *capacityControl) load(cell string) (held, since int64) {
	held, at := c.view.heldBytes(cell)
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.accepted[cell]; w.reportAt == at {
		since = w.bytes
	}
	return held, since
}

// add counts a job that was accepted for a cell.
func (c *capacityControl) add(cell string, job *jobkeeper.Job) {
	_, at := c.view.heldBytes(cell)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.accepted[cell]
	if w.reportAt != at {
		w = acceptedWork{
			reportAt: at,
		}
	}
	w.bytes += orchestrator.HeldForWaitingJob(job)
	c.accepted[cell] = w
}
