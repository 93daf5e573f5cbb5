package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/runner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Config configures a Journal. Store, Entry, Limiter, Targets and Dispatcher are required.
type Config struct {
	Store      storer.Store
	Entry      string // name of this entry daemon among the members
	Limiter    Limiter
	Targets    func(name string) (runner.Target, error) // returns the target that a record names
	Dispatcher Dispatcher
	// MayRun reports whether this entry daemon may start and renew work of a team now;
	// it must not block. Default: always.
	MayRun func(team string) bool
	Now    func() time.Time // default time.Now
	Logger hclog.Logger     // default: none

	CallTimeout     time.Duration // of one call to the store or of one short call to a target; default 2 s
	RetryDelay      time.Duration // after a failed call; default 100 ms
	PlaceTimeout    time.Duration // of one call of the dispatcher; default 5 s
	PlaceRetryDelay time.Duration // until a job that found no target is tried again; default 1 s
	RecoveryTimeout time.Duration // how long an unreachable target is asked for an outcome; default 60 s
	SessionTTL      time.Duration // default 10 s
	RenewInterval   time.Duration // default 3 s
	MinSweepAge     time.Duration // minimum age of identities whose unreferenced keys are deleted; default 15 min
	MaxAttempts     int           // default 4
	MaxRunning      int           // jobs that are placed or run at once; default 256
	MaxRecovering   int           // targets that are examined at once, and tasks that are stopped at once; default 16
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MayRun == nil {
		c.MayRun = func(string) bool { return true }
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.CallTimeout, 2 * time.Second},
		{&c.RetryDelay, 100 * time.Millisecond},
		{&c.PlaceTimeout, 5 * time.Second},
		{&c.PlaceRetryDelay, time.Second},
		{&c.RecoveryTimeout, 60 * time.Second},
		{&c.SessionTTL, 10 * time.Second},
		{&c.RenewInterval, 3 * time.Second},
		{&c.MinSweepAge, defaultSweepAge},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	for _, n := range []struct {
		value    *int
		fallback int
	}{
		{&c.MaxAttempts, 4},
		{&c.MaxRunning, 256},
		{&c.MaxRecovering, 16},
	} {
		if *n.value <= 0 {
			*n.value = n.fallback
		}
	}
	return c
}

// Journal owns the shards that are assigned to this daemon among the live members.
type Journal struct {
	cfg        Config
	running    chan struct{} // bounds the jobs that are placed or run
	recovering chan struct{} // bounds the targets that are examined
	stopping   chan struct{} // bounds the calls that stop cancelled tasks

	mu      sync.Mutex
	members []string
	closed  bool
	holders map[int]*holder
	wg      sync.WaitGroup
}

// New returns a journal that owns no shard yet.
func New(cfg Config) *Journal {
	cfg = cfg.withDefaults()
	return &Journal{
		cfg:        cfg,
		running:    make(chan struct{}, cfg.MaxRunning),
		recovering: make(chan struct{}, cfg.MaxRecovering),
		stopping:   make(chan struct{}, cfg.MaxRecovering),
		holders:    map[int]*holder{},
	}
}

// SetMembers sets the live members. Shards that are now owned here are taken
// over in the background; shards that are owned elsewhere are handed over
// before SetMembers returns, as long as ctx allows.
func (j *Journal) SetMembers(ctx context.Context, members []string) {
	j.mu.Lock()
	j.members = slices.Clone(members)
	var released []*holder
	for shard := range Shards {
		h := j.holders[shard]
		owned := !j.closed && OwnerOf(shard, members) == j.cfg.Entry
		switch {
		case owned && h == nil:
			h = newHolder(ctx, j, shard)
			j.holders[shard] = h
			j.wg.Go(h.hold)
		case !owned && h != nil:
			delete(j.holders, shard)
			released = append(released, h)
		}
	}
	j.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range released {
		wg.Go(func() { h.release(ctx) })
	}
	wg.Wait()
}

// Close hands all shards over and waits for the work of this journal to stop.
func (j *Journal) Close(ctx context.Context) {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.SetMembers(ctx, nil)
	j.wg.Wait()
}

// Owner returns the member that owns the shard of an identity, or "".
func (j *Journal) Owner(id uuid.UUID) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return OwnerOf(ShardOf(id), j.members)
}

// Owned returns the shards that have been taken over here.
func (j *Journal) Owned() []int {
	j.mu.Lock()
	defer j.mu.Unlock()
	var owned []int
	for shard, h := range j.holders {
		if h.current() != nil {
			owned = append(owned, shard)
		}
	}
	slices.Sort(owned)
	return owned
}

// Submission is a request for the journal.
type Submission struct {
	ID      uuid.UUID
	Request Request
	Body    []byte // at most MaxBlobBytes
	// Attempt is the first attempt of a synchronous request. It is recorded in the same
	// commit, so that the caller of a new request may start the task at once. If it is
	// nil, the caller records the attempt with Start.
	Attempt *Attempt
}

// SubmitResult is what the journal knows of an identity.
type SubmitResult struct {
	Record Record
	// Created means that this call created the record. The caller runs a new
	// request that is not deferrable and then calls Detach; the journal itself
	// runs jobs.
	Created bool
}

// Submit accepts a request or, when it is repeated, returns its record. An
// error whose effect is EffectNone proves that this call caused no run. After
// ErrIdentityExpired an earlier call may have caused one.
func (j *Journal) Submit(ctx context.Context, sub Submission) (SubmitResult, error) {
	if len(sub.Body) > MaxBlobBytes {
		return SubmitResult{}, Error.Wrap(ErrBodyTooLarge)
	}
	t, err := j.termOf(sub.ID)
	if err != nil {
		return SubmitResult{}, err
	}
	if r, ok := t.shard.Record(sub.ID); ok {
		return repeatedResult(r, sub)
	}
	if err := CheckNew(sub.ID, j.cfg.Now()); err != nil {
		return SubmitResult{}, err
	}
	return t.accept(ctx, sub)
}

// Lookup returns the record of an identity, or ErrWrongTeam if it belongs to another team.
// It returns ErrNotFound only after it has verified that the shard is still owned here.
func (j *Journal) Lookup(ctx context.Context, id uuid.UUID, team string) (Record, error) {
	t, err := j.termOf(id)
	if err != nil {
		return Record{}, err
	}
	r, ok := t.shard.Record(id)
	if !ok {
		if err := t.shard.Verify(ctx); err != nil {
			return Record{}, err
		}
		return Record{}, Error.Wrap(ErrNotFound)
	}
	if r.Team != team {
		return Record{}, Error.Wrap(ErrWrongTeam)
	}
	return r, nil
}

// Wait returns the record once it is final. When ctx ends first it returns the
// last state together with the error. ErrWithdrawn proves that the request did not run.
func (j *Journal) Wait(ctx context.Context, id uuid.UUID, team string) (Record, error) {
	if r, err := j.Lookup(ctx, id, team); err != nil || r.State.Final() {
		return r, err
	}
	t, err := j.termOf(id)
	if err != nil {
		return Record{}, err
	}
	r, err := t.shard.Wait(ctx, id)
	if errors.Is(err, ErrNotFound) { // it was open before, and open records do not expire
		return Record{}, Error.Wrap(ErrWithdrawn)
	}
	return r, err
}

// Data returns the kept result of a record in state done, or ErrResultNotKept.
func (j *Journal) Data(ctx context.Context, r Record) ([]byte, error) {
	t, err := j.termOf(r.ID)
	if err != nil {
		return nil, err
	}
	if r.State != StateDone || !r.Kept {
		return nil, Error.Wrap(ErrResultNotKept)
	}
	return t.shard.getBlob(ctx, Blob{
		Inline: r.Inline,
		Key:    r.Key,
		Size:   r.Size,
		Digest: r.Digest,
	})
}

// Cancel cancels an open record and returns its state. A record that has ended is left as it is.
func (j *Journal) Cancel(ctx context.Context, id uuid.UUID, team string) (Record, error) {
	t, err := j.termOf(id)
	if err != nil {
		return Record{}, err
	}
	err = t.shard.Cancel(ctx, id, team)
	var illegal *StateError
	if err != nil && !errors.As(err, &illegal) {
		return Record{}, err
	}
	return j.Lookup(ctx, id, team)
}

// Detach tells the journal that the caller of a new synchronous request no longer
// runs it. The journal then ends a record that is still open: an accepted one as not
// run, a started one by recovery. Detach must be called once for each such request.
//
// If the task may still run, release returns the allowance under which it was started,
// as Placement.Release does; otherwise release is nil.
func (j *Journal) Detach(id uuid.UUID, release func(ended bool)) {
	t, err := j.termOf(id)
	if err == nil {
		t.detach(id, release)
	} else if release != nil {
		release(false) // the next owner of the shard ends the record
	}
}

// Start records an attempt of a synchronous request. The caller may start the task only
// after Start has returned nil.
func (j *Journal) Start(ctx context.Context, id uuid.UUID, a Attempt) error {
	return j.change(ctx, id, func(d *Document, _ time.Time) error { return d.Start(id, a) })
}

// NotRun removes an attempt after the worker has proved that its task did not run.
func (j *Journal) NotRun(ctx context.Context, id uuid.UUID, task string) error {
	return j.change(ctx, id, func(d *Document, _ time.Time) error { return d.NotRun(id, task) })
}

// Withdraw removes the record of a synchronous request that is refused as not run.
// Its caller may repeat it with the same identity.
func (j *Journal) Withdraw(ctx context.Context, id uuid.UUID) error {
	return j.change(ctx, id, func(d *Document, _ time.Time) error { return d.Withdraw(id) })
}

// MarkUnknown ends a synchronous request whose outcome cannot be determined.
func (j *Journal) MarkUnknown(ctx context.Context, id uuid.UUID, task string) error {
	return j.change(ctx, id, func(d *Document, now time.Time) error { return d.MarkUnknown(id, task, now) })
}

// Finish records the answer to a synchronous request. Data above MaxBlobBytes is not kept.
func (j *Journal) Finish(ctx context.Context, id uuid.UUID, task string, answer ApplicationAnswer) error {
	t, err := j.termOf(id)
	if err != nil {
		return err
	}
	return t.finish(ctx, id, task, answer)
}

func (j *Journal) change(ctx context.Context, id uuid.UUID, apply func(d *Document, now time.Time) error) error {
	t, err := j.termOf(id)
	if err != nil {
		return err
	}
	return t.shard.Change(ctx, apply)
}

// termOf returns the current term of the identity's shard.
func (j *Journal) termOf(id uuid.UUID) (*term, error) {
	j.mu.Lock()
	h := j.holders[ShardOf(id)]
	j.mu.Unlock()
	if h != nil {
		if t := h.current(); t != nil {
			return t, nil
		}
	}
	return nil, notApplied(fmt.Errorf("%w: shard %d", ErrNotOwner, ShardOf(id)))
}

// repeatedResult returns the record of a repeated request, or an error if the identity was
// used for another request.
func repeatedResult(r Record, sub Submission) (SubmitResult, error) {
	if r.Team != sub.Request.Team {
		return SubmitResult{}, Error.Wrap(ErrWrongTeam)
	}
	// A repeat may carry another deadline.
	first, second := r.Request, sub.Request
	first.DeadlineMS, second.DeadlineMS = 0, 0
	if first != second || r.BodySize != len(sub.Body) || r.BodyDigest != inlineBlob(sub.Body).Digest {
		return SubmitResult{}, Error.Wrap(ErrIdentityReused)
	}
	return SubmitResult{
		Record: r,
	}, nil
}
