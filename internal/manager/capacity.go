package manager

import (
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

const (
	// fullRetryAfter is the shortest time after which callers are told to repeat a job that a full
	// cell can't take.
	fullRetryAfter = 3 * time.Second
	// acceptedPart is the part of the room of a cell that a daemon may use before reports show what
	// it used. All daemons do at the same time.
	acceptedPart = 8
	// acceptedPeriod is the shortest time for which accepted work counts beside the reports: the
	// owner reads new jobs, reports every publishInterval, and reports are read every sharedPause.
	acceptedPeriod = 1500 * time.Millisecond
	// largestPart is the part of the room that one job may need, so that large jobs are refused
	// before small ones.
	largestPart = 64
	// heldRounding is the unit to which owners round the memory that they report.
	heldRounding = 64 << 10
)

// capacityControl bounds the accepted work that the owner of a cell has to hold in memory, by its
// reports and by what this daemon has accepted lately. A team may hold as much as it leaves to the
// others, so that none can starve the others.
type capacityControl struct {
	cfg  Config
	view *fleetView

	mu       sync.Mutex
	accepted map[string]*acceptedWork // by cell
}

// acceptedWork is the work, in bytes, that this daemon has accepted for a cell in a period, and in
// the one before it. A period lasts for acceptedPeriod, and until the next report arrives.
type acceptedWork struct {
	since           time.Duration
	reportAt        time.Duration // when the last report before the period arrived
	current, before int64
}

func newCapacityControl(cfg Config, view *fleetView) *capacityControl {
	return &capacityControl{
		cfg:      cfg,
		view:     view,
		accepted: map[string]*acceptedWork{},
	}
}

// full reports whether the owner of a cell could not hold a job beside what it holds.
func (c *capacityControl) full(cell string, job *jobkeeper.Job) bool {
	if c.cfg.WorkBytes <= 0 {
		return false
	}
	all, ofTeam, at := c.view.heldBytes(cell, job.Team)
	room := c.cfg.WorkBytes - all - ofTeam
	bytes := orchestrator.HeldForWaitingJob(job)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.acceptedFor(cell, at)
	return bytes > room/largestPart || w.current+w.before+bytes > room/acceptedPart
}

// add counts a job that was accepted for a cell.
func (c *capacityControl) add(cell string, job *jobkeeper.Job) {
	_, _, at := c.view.heldBytes(cell, job.Team)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptedFor(cell, at).current += orchestrator.HeldForWaitingJob(job)
}

// acceptedFor returns what was accepted for a cell. The caller holds the lock.
func (c *capacityControl) acceptedFor(cell string, reportAt time.Duration) *acceptedWork {
	now := c.cfg.Clock()
	w := c.accepted[cell]
	if w == nil {
		w = &acceptedWork{
			since:    now,
			reportAt: reportAt,
		}
		c.accepted[cell] = w
	}
	if now-w.since >= acceptedPeriod && reportAt != w.reportAt {
		*w = acceptedWork{
			since:    now,
			reportAt: reportAt,
			before:   w.current,
		}
	}
	return w
}
