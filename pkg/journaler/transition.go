package journaler

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// Retention bounds, from section 5.7 of the design.
const (
	IdentityRetention    = 10 * time.Minute // after the end of a request
	minIdentityRetention = 11 * time.Minute // after the time in the identity
)

// Accept adds a record. It returns ErrShardFull if the document could then outgrow
// MaxDocumentBytes, counting the bytes that its open records need to end.
func (d *Document) Accept(id uuid.UUID, req Request, body Blob) error {
	if _, ok := d.Records[id]; ok {
		return Error.Wrap(ErrIdentityExists)
	}
	if err := checkLengths(req.Queue, req.Team, req.Method, req.ContentType, body.Key); err != nil {
		return err
	}
	if len(req.Path) > maxPathBytes || len(body.Inline) > MaxInlineBytes {
		return Error.Wrap(ErrFieldTooLong)
	}
	r := Record{
		ID:         id,
		State:      StateAccepted,
		Request:    req,
		BodyInline: body.Inline,
		BodyKey:    body.Key,
		BodySize:   body.Size,
		BodyDigest: body.Digest,
	}
	if d.MaxEncodedBytes()+r.maxEncodedBytes() > MaxDocumentBytes {
		return Error.Wrap(ErrShardFull)
	}
	d.put(r)
	return nil
}

// Start records that the attempt is about to be started.
func (d *Document) Start(id uuid.UUID, a Attempt) error {
	r, err := d.recordIn(id, "start", StateAccepted)
	if err != nil {
		return err
	}
	if err := checkLengths(a.Task, a.Target, a.BootID, a.Session); err != nil {
		return err
	}
	r.State = StateStarted
	r.Starts++
	r.Attempt = a
	d.put(r)
	return nil
}

// Adopt records that the running task now belongs to another session.
func (d *Document) Adopt(id uuid.UUID, task, session string) error {
	r, err := d.startedRecord(id, "adopt", task)
	if err != nil {
		return err
	}
	if err := checkLengths(session); err != nil {
		return err
	}
	r.Session = session
	d.put(r)
	return nil
}

// NotRun returns a record to accepted after the worker proved that the task did not run.
func (d *Document) NotRun(id uuid.UUID, task string) error {
	r, err := d.startedRecord(id, "not_run", task)
	if err != nil {
		return err
	}
	r.State = StateAccepted
	r.Attempt = Attempt{}
	d.put(r)
	return nil
}

// Withdraw removes an accepted record that has certainly not run, so that its
// identity can be used again.
func (d *Document) Withdraw(id uuid.UUID) error {
	r, err := d.recordIn(id, "withdraw", StateAccepted)
	if err != nil {
		return err
	}
	if r.Failures > 0 {
		return &StateError{
			Identity:   id,
			Transition: "withdraw",
			State:      r.State,
		}
	}
	d.remove(id)
	return nil
}

// Retry returns an idempotent record to accepted although the task may have
// run. After maxAttempts such attempts the record fails instead.
func (d *Document) Retry(id uuid.UUID, task string, maxAttempts int, now time.Time) error {
	r, err := d.startedRecord(id, "retry", task)
	if err != nil {
		return err
	}
	if !r.Idempotent {
		return &StateError{
			Identity:   id,
			Transition: "retry",
			State:      r.State,
		}
	}
	r.Failures++
	if r.Failures >= maxAttempts {
		r.Verdict = VerdictAttemptsExhausted
		d.end(r, StateFailed, now)
		return nil
	}
	r.State = StateAccepted
	r.Attempt = Attempt{}
	d.put(r)
	return nil
}

// Finish records the result. An inline result for which there is no room gives
// ErrShardFull; the same result at its own key always fits.
func (d *Document) Finish(id uuid.UUID, task string, result Result, now time.Time) error {
	r, err := d.startedRecord(id, "finish", task)
	if err != nil {
		return err
	}
	if err := checkLengths(result.Type, result.Key); err != nil {
		return err
	}
	if len(result.Inline) > MaxInlineBytes {
		return Error.Wrap(ErrFieldTooLong)
	}
	if len(result.Inline) > 0 && d.MaxEncodedBytes()+len(result.Inline) > MaxDocumentBytes {
		return Error.Wrap(ErrShardFull)
	}
	r.Result = result
	d.end(r, StateDone, now)
	return nil
}

// Fail ends an open record with a verdict.
func (d *Document) Fail(id uuid.UUID, verdict Verdict, now time.Time) error {
	r, err := d.recordIn(id, "fail", StateAccepted, StateStarted)
	if err != nil {
		return err
	}
	if err := checkLengths(string(verdict)); err != nil {
		return err
	}
	r.Verdict = verdict
	d.end(r, StateFailed, now)
	return nil
}

// Cancel ends an open record on request of its team.
func (d *Document) Cancel(id uuid.UUID, team string, now time.Time) error {
	r, ok := d.Records[id]
	if ok && r.Team != team {
		return Error.Wrap(ErrWrongTeam)
	}
	r, err := d.recordIn(id, "cancel", StateAccepted, StateStarted)
	if err != nil {
		return err
	}
	d.end(r, StateCancelled, now)
	return nil
}

// MarkUnknown ends a started record whose outcome cannot be determined.
func (d *Document) MarkUnknown(id uuid.UUID, task string, now time.Time) error {
	r, err := d.startedRecord(id, "mark_unknown", task)
	if err != nil {
		return err
	}
	d.end(r, StateUnknown, now)
	return nil
}

// Expire drops the final records whose retention has passed. A record whose body or
// result has a key is dropped only once all its keys are in deleted, so that a crash
// in between leaves no unreferenced key. Expire returns the keys that are still to be
// deleted.
func (d *Document) Expire(now time.Time, deleted map[string]bool) []string {
	var pending []string
	for id, r := range d.Records {
		if !r.expired(now) {
			continue
		}
		remaining := r.keys()
		remaining = slices.DeleteFunc(remaining, func(key string) bool { return deleted[key] })
		if len(remaining) == 0 {
			d.remove(id)
		}
		pending = append(pending, remaining...)
	}
	return pending
}

func (r Record) expired(now time.Time) bool {
	return r.State.Final() &&
		now.Sub(time.UnixMilli(r.EndedMS)) >= IdentityRetention &&
		now.Sub(IdentityTime(r.ID)) >= minIdentityRetention
}

func (d *Document) end(r Record, state State, now time.Time) {
	r.Ran = r.State == StateStarted || r.Failures > 0
	r.State = state
	r.EndedMS = now.UnixMilli()
	d.put(r)
}

// recordIn returns the record if it is in one of the states.
func (d *Document) recordIn(id uuid.UUID, transition string, states ...State) (Record, error) {
	r, ok := d.Records[id]
	if !ok {
		return Record{}, Error.Wrap(ErrNotFound)
	}
	for _, s := range states {
		if r.State == s {
			return r, nil
		}
	}
	return Record{}, &StateError{
		Identity:   id,
		Transition: transition,
		State:      r.State,
	}
}

func (d *Document) startedRecord(id uuid.UUID, transition, task string) (Record, error) {
	r, err := d.recordIn(id, transition, StateStarted)
	if err != nil {
		return Record{}, err
	}
	if r.Task != task {
		return Record{}, Error.Wrap(ErrWrongTask)
	}
	return r, nil
}

func checkLengths(fields ...string) error {
	for _, f := range fields {
		if len(f) > maxNameBytes {
			return Error.Wrap(ErrFieldTooLong)
		}
	}
	return nil
}
