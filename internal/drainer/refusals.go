package drainer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// refusalLogInterval is the time between two lines about refused callers.
const refusalLogInterval = time.Second

// RefusalLog logs refusals: at most one line a second, with the number of those since the last one.
type RefusalLog struct {
	Logger   hclog.Logger
	Listener string

	mu      sync.Mutex
	last    time.Time
	pending bool           // a line is going to be written
	counts  map[string]int // by reason
	latest  Refusal
}

// Add notes a refusal.
func (l *RefusalLog) Add(r Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[r.Reason]++
	l.latest = r
	if l.pending {
		return
	}
	l.pending = true
	time.AfterFunc(max(0, refusalLogInterval-time.Since(l.last)), l.write)
}

func (l *RefusalLog) write() {
	l.mu.Lock()
	counts, latest := l.counts, l.latest
	l.counts, l.pending, l.last = nil, false, time.Now()
	l.mu.Unlock()
	l.Logger.Warn("callers refused for want of room", "listener", l.Listener,
		ReasonConnections, counts[ReasonConnections], ReasonMemory, counts[ReasonMemory], ReasonShed, counts[ReasonShed], ReasonSlow, counts[ReasonSlow],
		"last_origin", latest.Origin, "last_reason", latest.Reason,
		"held_bytes", latest.Usage.Bytes, "held_connections", latest.Usage.Connections)
}
