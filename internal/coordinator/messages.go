package coordinator

import (
	"time"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// The kinds of messages between entry daemons.
const (
	kindPollConfig        messenger.Kind = "poll_config"
	kindReport            messenger.Kind = "report"
	kindRequestPromise    messenger.Kind = "request_promise"
	kindConfirmMember     messenger.Kind = "confirm_member"
	kindTransferAllowance messenger.Kind = "transfer_allowance"
	kindForward           messenger.Kind = "forward"
	kindForwardJob        messenger.Kind = "forward_job"
)

// pollRequest asks a peer for the documents that are newer than a revision.
type pollRequest struct {
	Revision uint64 `cbor:"revision"`
}

// pollAnswer carries the changes that the sender of the poll does not have yet.
type pollAnswer struct {
	Delta configurer.Delta `cbor:"delta"`
}

// report tells peers that the sender is live and what has changed since its last report.
type report struct {
	Entry       string        `cbor:"entry"`
	Incarnation uint64        `cbor:"incarnation"`
	Revision    uint64        `cbor:"revision"`
	Address     string        `cbor:"address"`
	Zone        string        `cbor:"availability_zone"`
	Teams       []teamReport  `cbor:"teams,omitempty"`
	Usage       []usageReport `cbor:"usage,omitempty"`
	Pools       []poolReport  `cbor:"pools,omitempty"`
}

// teamReport is the allowance of a team that peers may use.
type teamReport struct {
	Team  string `cbor:"team"`
	Spare int    `cbor:"spare"`
}

// usageReport is the resources that the sender uses for a team in a pool.
type usageReport struct {
	Pool string           `cbor:"pool"`
	Team string           `cbor:"team"`
	Used runner.Resources `cbor:"used"`
}

// poolReport is the slots of urgent and interactive requests that the sender queues for a
// pool, and the target that it holds free there.
type poolReport struct {
	Pool        string `cbor:"pool"`
	QueuedSlots int    `cbor:"queued_slots"`
	HeldTarget  string `cbor:"held_target,omitempty"`
}

// reportAnswer has no content yet; a later release may add fields.
type reportAnswer struct{}

// forwardRequest is a caller's request that is forwarded to another entry daemon. The body
// follows it on the stream.
type forwardRequest struct {
	Queue       string        `cbor:"queue"`
	Method      string        `cbor:"method"`
	Path        string        `cbor:"path"`
	ContentType string        `cbor:"content_type,omitempty"`
	Identity    string        `cbor:"identity,omitempty"`
	Team        string        `cbor:"team,omitempty"`
	KeyID       string        `cbor:"key_id,omitempty"`
	Timeout     time.Duration `cbor:"timeout"` // until the deadline; a duration because clocks differ
	Hops        int           `cbor:"hops"`
}

// forwardJobRequest is a job request that is forwarded to the owner of its shard.
type forwardJobRequest struct {
	Action   dispatcher.JobAction `cbor:"action"`
	Identity string               `cbor:"identity"`
	Team     string               `cbor:"team,omitempty"`
	Hops     int                  `cbor:"hops"`
}

// forwardAnswer precedes the body of the answer.
type forwardAnswer struct {
	Outcome     dispatcher.Outcome `cbor:"outcome"`
	Reason      dispatcher.Reason  `cbor:"reason,omitempty"`
	Detail      string             `cbor:"detail,omitempty"`
	Status      int                `cbor:"status"`
	ContentType string             `cbor:"content_type,omitempty"`
	RetryAfter  time.Duration      `cbor:"retry_after,omitempty"`
	Body        bool               `cbor:"body"`
}
