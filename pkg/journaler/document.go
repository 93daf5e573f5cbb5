package journaler

import (
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// DocumentVersion is the version of the document format that this release writes.
	DocumentVersion = 1
	// MaxDocumentBytes bounds an encoded document. It is below the 1 MB limit of a value, which
	// leaves room for the header of the document.
	MaxDocumentBytes = 960 << 10
	// MaxInlineBytes is the largest body or result that is kept inside a record.
	MaxInlineBytes = 1 << 10
	// MaxBlobBytes is the largest body or result that the journal keeps.
	MaxBlobBytes = 512 << 10
	// maxTakeovers bounds Document.Takeovers. If more takeovers than this follow a write
	// whose answer was lost, the outcome of the write is reported as unknown.
	maxTakeovers = 16

	maxNameBytes = 128  // team, queue, method, target, boot, session, task, content type, verdict
	maxPathBytes = 2048 // path and query

	headerBytes = 8 << 10
	// recordBytes covers the keys, lengths, numbers and identity of one encoded record.
	recordBytes = 160
	// openBytes is reserved in each open record for task, target, boot, session,
	// result reference and verdict, so that a record that was accepted can always end.
	openBytes = 7 * maxNameBytes
)

// State is the state of a record.
type State string

// The states of a record. All but accepted and started are final.
const (
	StateAccepted  State = "accepted"
	StateStarted   State = "started"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateUnknown   State = "unknown"
)

// Final reports whether a record in this state no longer changes.
func (s State) Final() bool { return s != StateAccepted && s != StateStarted }

func (s State) valid() bool {
	switch s {
	case StateAccepted, StateStarted, StateDone, StateFailed, StateCancelled, StateUnknown:
		return true
	}
	return false
}

// Verdict is the machine-readable reason of a failed record.
type Verdict string

// The verdicts that this package sets.
const (
	VerdictDeadlineExceeded  Verdict = "deadline_exceeded"
	VerdictAttemptsExhausted Verdict = "attempts_exhausted"
	VerdictResultTooLarge    Verdict = "result_too_large"
	VerdictCannotRun         Verdict = "cannot_run"
	VerdictBodyLost          Verdict = "body_lost"
	// VerdictCallerLost ends a synchronous request that had not run when its caller or the
	// owner of its shard was lost.
	VerdictCallerLost Verdict = "caller_lost"
)

// Blob is a body or a result: inline, at its own key, or not kept.
type Blob struct {
	Inline []byte
	Key    string
	Size   int
	Digest uint64 // xxhash of the content
}

// Request is the part of a record that its submission fixes.
type Request struct {
	Queue       string `cbor:"10,keyasint"`
	Team        string `cbor:"11,keyasint,omitempty"`
	Method      string `cbor:"12,keyasint"`
	Path        string `cbor:"13,keyasint"`
	ContentType string `cbor:"14,keyasint,omitempty"`
	Deferrable  bool   `cbor:"15,keyasint,omitempty"`
	Idempotent  bool   `cbor:"16,keyasint,omitempty"`
	DeadlineMS  int64  `cbor:"17,keyasint"` // Unix time in milliseconds
}

// Attempt identifies the task of a record's current attempt: its target, the boot id of
// the worker and the session under which it was started.
type Attempt struct {
	Task    string `cbor:"30,keyasint,omitempty"`
	Target  string `cbor:"31,keyasint,omitempty"`
	BootID  string `cbor:"32,keyasint,omitempty"`
	Session string `cbor:"33,keyasint,omitempty"`
}

// Result is the answer of the application.
type Result struct {
	Status int    `cbor:"40,keyasint,omitempty"`
	Type   string `cbor:"41,keyasint,omitempty"` // content type
	Kept   bool   `cbor:"42,keyasint,omitempty"` // false: larger than MaxBlobBytes
	Inline []byte `cbor:"43,keyasint,omitempty"`
	Key    string `cbor:"44,keyasint,omitempty"`
	Size   int    `cbor:"45,keyasint,omitempty"`
	Digest uint64 `cbor:"46,keyasint,omitempty"`
}

// Record is the durable record of one request. Its encoding is flat, so that all fields
// added by the next release are kept in Extra.
type Record struct {
	ID       uuid.UUID `cbor:"1,keyasint"`
	State    State     `cbor:"2,keyasint"`
	Starts   int       `cbor:"3,keyasint,omitempty"` // attempts so far, including those proved not to have run
	Failures int       `cbor:"4,keyasint,omitempty"` // attempts that ran or may have run without a result
	EndedMS  int64     `cbor:"5,keyasint,omitempty"` // Unix time in milliseconds
	Verdict  Verdict   `cbor:"6,keyasint,omitempty"`
	// Ran is set if the request of a final record may have run. If it is not set, the request
	// of a final record certainly did not run.
	Ran        bool   `cbor:"7,keyasint,omitempty"`
	BodyInline []byte `cbor:"20,keyasint,omitempty"`
	BodyKey    string `cbor:"21,keyasint,omitempty"`
	BodySize   int    `cbor:"22,keyasint,omitempty"`
	BodyDigest uint64 `cbor:"23,keyasint,omitempty"`
	Request
	Attempt
	Result
	// Extra holds the fields of a newer release. They are written back unchanged.
	Extra map[uint64]cbor.RawMessage `cbor:"-"`
}

// Commit names one write of a shard document.
type Commit struct {
	Term string `cbor:"1,keyasint"` // unique for each takeover
	Seq  uint64 `cbor:"2,keyasint"` // counts the commits of the term
}

// Document holds the records of one shard. Its transitions change only the document and
// take the time as an argument.
type Document struct {
	Version   uint     `cbor:"1,keyasint"`
	Owner     string   `cbor:"2,keyasint"`
	Commit    Commit   `cbor:"3,keyasint"`
	Takeovers []Commit `cbor:"4,keyasint,omitempty"` // last commits of former owners, newest first
	Records   map[uuid.UUID]Record
	Extra     map[uint64]cbor.RawMessage `cbor:"-"`
	used      int                        // sum of Record.maxEncodedBytes of all records, in bytes
}

// NewDocument returns an empty document.
func NewDocument() *Document {
	return &Document{
		Version: DocumentVersion,
		Records: map[uuid.UUID]Record{},
	}
}

// Clone returns a copy whose transitions do not change d.
func (d *Document) Clone() *Document {
	c := *d
	c.Records = maps.Clone(d.Records)
	return &c
}

// MaxEncodedBytes returns an upper bound of the encoded size in bytes, including the
// room reserved for the end of open records.
func (d *Document) MaxEncodedBytes() int { return headerBytes + d.extraBytes() + d.used }

func (d *Document) extraBytes() int { return extraBytes(d.Extra) }

// TakeOver sets the owner and begins a new term.
func (d *Document) TakeOver(owner, term string) {
	if d.Commit.Term != "" {
		d.Takeovers = append([]Commit{d.Commit}, d.Takeovers...)
	}
	if len(d.Takeovers) > maxTakeovers {
		d.Takeovers = d.Takeovers[:maxTakeovers]
	}
	d.Owner = owner
	d.Commit = Commit{
		Term: term,
		Seq:  1,
	}
}

// EffectOfCommit returns EffectApplied if the document includes the commit, EffectNone if it
// does not, and EffectUnknown if too many takeovers have followed to tell.
func (d *Document) EffectOfCommit(c Commit) Effect {
	for _, last := range append([]Commit{d.Commit}, d.Takeovers...) {
		if last.Term != c.Term {
			continue
		}
		if last.Seq >= c.Seq {
			return EffectApplied
		}
		return EffectNone
	}
	// A term that is not listed never committed, unless the list has overflowed.
	if len(d.Takeovers) < maxTakeovers {
		return EffectNone
	}
	return EffectUnknown
}

func (d *Document) put(r Record) {
	if old, ok := d.Records[r.ID]; ok {
		d.used -= old.maxEncodedBytes()
	}
	d.used += r.maxEncodedBytes()
	d.Records[r.ID] = r
}

func (d *Document) remove(id uuid.UUID) {
	d.used -= d.Records[id].maxEncodedBytes()
	delete(d.Records, id)
}

func (r Record) maxEncodedBytes() int {
	n := recordBytes + extraBytes(r.Extra) + len(r.Queue) + len(r.Team) + len(r.Method) + len(r.Path) +
		len(r.ContentType) + len(r.BodyInline) + len(r.BodyKey) + len(r.Inline)
	if !r.State.Final() {
		return n + openBytes
	}
	return n + len(r.Task) + len(r.Target) + len(r.BootID) + len(r.Session) + len(r.Type) + len(r.Key) + len(r.Verdict)
}

// keys returns the keys of the body and the result that are stored outside the record.
func (r Record) keys() []string {
	var keys []string
	for _, key := range []string{r.BodyKey, r.Key} {
		if key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

func extraBytes(extra map[uint64]cbor.RawMessage) int {
	n := 0
	for _, raw := range extra {
		n += 9 + len(raw)
	}
	return n
}

// ShardKey returns the key of a shard document.
func ShardKey(shard int) string { return fmt.Sprintf("journal/%02d", shard) }

// Compile-time check that a full document fits into a value.
var _ [storer.MaxValueBytes - MaxDocumentBytes]struct{}
