// Package journaler keeps the durable record of deferrable work and of
// non-idempotent requests. A job is a deferrable request: the journal runs it.
// A synchronous request is run by its caller, who waits for the answer.
//
// Records live in shard documents that are changed by compare-and-swap only.
// Two owners of one shard are harmless: the write of the owner that read the
// older version fails. A non-idempotent request is started only after its
// record says so, and a record that says so is never started a second time
// unless the worker has proved that the task did not run.
package journaler

import (
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("journaler")

var (
	// ErrNotFound means that the shard has no record of the identity.
	ErrNotFound = errors.New("no record of the identity")
	// ErrWithdrawn means that the record was removed because its request was refused as not run.
	ErrWithdrawn = errors.New("request withdrawn")
	// ErrIdentityExists means that the shard already has a record of the identity.
	ErrIdentityExists = errors.New("a record of the identity already exists")
	// ErrTransitionNotAllowed means that the record's state does not allow the transition.
	ErrTransitionNotAllowed = errors.New("transition not allowed")
	// ErrWrongTask means that the transition names an attempt that is not the current one.
	ErrWrongTask = errors.New("the task is not the current attempt")
	// ErrShardFull means that the shard document has no room; nothing was run.
	ErrShardFull = errors.New("the shard document is full")
	// ErrFieldTooLong means that a field exceeds its bound; nothing was run.
	ErrFieldTooLong = errors.New("field too long")
	// ErrBodyTooLarge means that a request body exceeds MaxBlobBytes; nothing was run.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrUnsupportedVersion means that the document has a version or a record state that this
	// release does not support.
	ErrUnsupportedVersion = errors.New("unsupported document version")
	// ErrCorrupt means that a stored document, body or result is damaged or missing.
	ErrCorrupt = errors.New("journal data is damaged or missing")
	// ErrOwnershipLost means that another owner has taken the shard.
	ErrOwnershipLost = errors.New("the shard was taken over by another owner")
	// ErrNotOwner means that this daemon does not own the shard, or has handed it over.
	ErrNotOwner = errors.New("this daemon does not own the shard")
	// ErrUnavailable means that a call to the key-value service failed.
	ErrUnavailable = errors.New("the journal's store is unavailable")
	// ErrBadIdentity means that the identity is not a UUIDv7 or lies in the future;
	// nothing was run.
	ErrBadIdentity = errors.New("the identity is not a UUIDv7 or lies in the future")
	// ErrIdentityExpired means that the identity is too old to tell whether it has run.
	ErrIdentityExpired = errors.New("identity expired")
	// ErrIdentityReused means that the identity belongs to another request; this one was not run.
	ErrIdentityReused = errors.New("identity used for another request")
	// ErrWrongTeam means that the record belongs to another team.
	ErrWrongTeam = errors.New("the record belongs to another team")
	// ErrResultNotKept means that the journal keeps no result for the record.
	ErrResultNotKept = errors.New("no result is kept for the record")
	// ErrCannotRun is returned by a Dispatcher for a job that no target can ever run.
	ErrCannotRun = errors.New("no target can ever run the job")
)

// Effect tells whether a transition took effect.
type Effect string

// The values of Effect.
const (
	EffectNone    Effect = "not_applied"
	EffectApplied Effect = "applied"
	EffectUnknown Effect = "unknown"
)

// CommitError is the error of a transition whose commit was not confirmed. Effect
// tells whether the transition took effect all the same.
type CommitError struct {
	Effect Effect
	Err    error
}

// Error implements error.
func (e *CommitError) Error() string {
	return fmt.Sprintf("journaler: commit %s: %v", e.Effect, e.Err)
}

// Unwrap returns Err.
func (e *CommitError) Unwrap() error { return e.Err }

// CommitEffect returns the effect that an error of a transition states. An error that is
// not a CommitError comes from the transition rules, so nothing was written.
func CommitEffect(err error) Effect {
	if err == nil {
		return EffectApplied
	}
	var c *CommitError
	if errors.As(err, &c) {
		return c.Effect
	}
	return EffectNone
}

// StateError reports a transition that the state of the record does not allow.
type StateError struct {
	Identity   uuid.UUID
	Transition string
	State      State
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("journaler: %s of %s in state %s: %v", e.Transition, e.Identity, e.State, ErrTransitionNotAllowed)
}

// Unwrap returns ErrTransitionNotAllowed.
func (e *StateError) Unwrap() error { return ErrTransitionNotAllowed }
