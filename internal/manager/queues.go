package manager

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// queueReport is the state of the queues that the owner publishes to the other daemons.
type queueReport struct {
	Queues []orchestrator.QueueState `cbor:"1,keyasint"`
}

// queueStates holds the newest report of the owner.
type queueStates struct {
	cfg        Config
	mu         sync.Mutex
	byQueue    map[string]orchestrator.QueueState
	receivedAt time.Duration
}

func newQueueStates(cfg Config) *queueStates {
	return &queueStates{
		cfg:     cfg,
		byQueue: map[string]orchestrator.QueueState{},
	}
}

// apply decodes new reports.
func (q *queueStates) apply(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Deleted {
			continue
		}
		var report queueReport
		if err := cbor.Unmarshal(event.Item.Value, &report); err != nil {
			q.cfg.Logger.Warn("state of the queues not readable", "error", err)
			continue
		}
		q.set(report)
	}
}

func (q *queueStates) set(report queueReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.receivedAt = q.cfg.Clock()
	clear(q.byQueue)
	for _, state := range report.Queues {
		q.byQueue[state.Queue] = state
	}
}

// state returns the reported state of a queue and the time since the report was received.
func (q *queueStates) state(queue string) (orchestrator.QueueState, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byQueue[queue], q.cfg.Clock() - q.receivedAt
}
