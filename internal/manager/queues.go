package manager

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// queueReport is what the owner tells the other daemons of the queues.
type queueReport struct {
	Queues []orchestrator.QueueState `cbor:"1,keyasint"`
}

// queueBoard holds the newest report.
type queueBoard struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]orchestrator.QueueState
	at     time.Duration
}

func newQueueBoard(cfg Config) *queueBoard {
	return &queueBoard{
		cfg:    cfg,
		states: map[string]orchestrator.QueueState{},
	}
}

// apply takes a change of the report.
func (b *queueBoard) apply(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Deleted {
			continue
		}
		var report queueReport
		if err := cbor.Unmarshal(event.Item.Value, &report); err != nil {
			b.cfg.Logger.Warn("state of the queues not readable", "error", err)
			continue
		}
		b.take(report)
	}
}

func (b *queueBoard) take(report queueReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = b.cfg.Clock()
	clear(b.states)
	for _, state := range report.Queues {
		b.states[state.Queue] = state
	}
}

// state returns what is known of a queue and how old it is.
func (b *queueBoard) state(queue string) (orchestrator.QueueState, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.states[queue], b.cfg.Clock() - b.at
}
