package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// maxBatch bounds the transitions of one commit.
	maxBatch = 1024
	// sweepInterval is how often an owner drops expired records and verifies that it
	// still owns the shard. Without this check an owner with nothing to commit would
	// never see the jobs that another owner accepted before it was lost. At 64 shards
	// it costs the installation 13 reads/s.
	sweepInterval = 5 * time.Second
)

// ShardConfig configures a Shard. Store, Owner and Limiter are required.
type ShardConfig struct {
	Store       storer.Store
	Shard       int
	Owner       string // incarnation of the entry daemon
	Limiter     Limiter
	Now         func() time.Time // default time.Now
	CallTimeout time.Duration    // of one call to the store; default 2 s
	RetryDelay  time.Duration    // between calls after a failure; default 100 ms
	MinSweepAge time.Duration    // minimum age of identities whose unreferenced keys are deleted; default 15 min
}

func (c ShardConfig) withDefaults() ShardConfig {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = 2 * time.Second
	}
	if c.RetryDelay <= 0 {
		c.RetryDelay = 100 * time.Millisecond
	}
	if c.MinSweepAge <= 0 {
		c.MinSweepAge = defaultSweepAge
	}
	return c
}

// Shard is one owner's view of a shard document. Transitions that wait at the same time
// are written in one commit.
type Shard struct {
	cfg         ShardConfig
	codec       *codec
	termID      string
	nameCounter atomic.Uint64 // makes the names of keys and sessions unique within the term

	ctx    context.Context // ends when the shard is no longer owned here
	cancel context.CancelFunc
	wake   chan struct{}
	idle   chan struct{} // closed when the committer has returned

	mu          sync.Mutex
	doc         *Document // as committed; never changed in place
	version     storer.Version
	starts      []*change // all transitions but cancellations
	cancels     []*change
	closed      error
	changed     chan struct{} // closed and replaced at each commit
	garbage     []string
	expiredKeys map[string]bool // keys of expired records
	deletedKeys map[string]bool // those of them that are deleted
}

// change is one transition that waits for a commit.
type change struct {
	ctx   context.Context
	apply func(d *Document, now time.Time) error
	err   error
	done  chan error
}

// OpenShard takes the shard over: it reads the document and writes it back with the new
// owner and a new term. From then on the writes of former owners fail.
func OpenShard(ctx context.Context, cfg ShardConfig) (*Shard, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	shardCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &Shard{
		cfg:         cfg.withDefaults(),
		codec:       c,
		termID:      uuid.NewString(),
		ctx:         shardCtx,
		cancel:      cancel,
		wake:        make(chan struct{}, 1),
		idle:        make(chan struct{}),
		changed:     make(chan struct{}),
		expiredKeys: map[string]bool{},
		deletedKeys: map[string]bool{},
	}
	if err := s.takeOver(ctx); err != nil {
		cancel()
		return nil, err
	}
	go s.run()
	return s, nil
}

func (s *Shard) takeOver(ctx context.Context) error {
	item, err := s.cfg.Store.Get(ctx, ShardKey(s.cfg.Shard))
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	doc := NewDocument()
	if item.Version != 0 {
		if doc, err = s.codec.decode(item.Value); err != nil {
			return err
		}
	}
	doc.TakeOver(s.cfg.Owner, s.termID)
	if err := s.cfg.Limiter.Wait(ctx); err != nil {
		return Error.Wrap(err)
	}
	version, err := s.swap(ctx, doc, item.Version)
	if err != nil {
		return err
	}
	s.doc = doc
	s.version = version
	return nil
}

// Done is closed when the shard is no longer owned here.
func (s *Shard) Done() <-chan struct{} { return s.ctx.Done() }

// Close hands the shard over. A running commit is finished; all other waiting
// transitions fail with ErrNotOwner and have no effect.
func (s *Shard) Close(ctx context.Context) error {
	s.refuseChanges(ErrNotOwner)
	s.signal()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		s.cancel()
		<-s.idle
		return Error.Wrap(ctx.Err())
	}
}

func (s *Shard) closeWithin(limit time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	_ = s.Close(ctx)
}

// Change submits a transition and waits for its commit. apply must change
// the document only if it returns nil. The error of a commit is a
// *CommitError that tells whether the transition took effect.
func (s *Shard) Change(ctx context.Context, apply func(d *Document, now time.Time) error) error {
	return s.submit(ctx, &s.starts, apply)
}

// Cancel submits a cancellation. Cancellations have a queue of their own, so that they
// fill at most half of a commit while other transitions wait.
func (s *Shard) Cancel(ctx context.Context, id uuid.UUID, team string) error {
	return s.submit(ctx, &s.cancels, func(d *Document, now time.Time) error { return d.Cancel(id, team, now) })
}

// Record returns the committed record.
func (s *Shard) Record(id uuid.UUID) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.doc.Records[id]
	return r, ok
}

// Records returns all committed records in the order of their identities.
func (s *Shard) Records() []Record {
	s.mu.Lock()
	doc := s.doc
	s.mu.Unlock()
	records := make([]Record, 0, len(doc.Records))
	for _, r := range doc.Records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.ID[:], b.ID[:]) })
	return records
}

// Wait returns the record once it is final, or its last state when ctx ends.
func (s *Shard) Wait(ctx context.Context, id uuid.UUID) (Record, error) {
	for {
		s.mu.Lock()
		r, ok := s.doc.Records[id]
		changed := s.changed
		s.mu.Unlock()
		if !ok {
			return Record{}, Error.Wrap(ErrNotFound)
		}
		if r.State.Final() {
			return r, nil
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return r, Error.Wrap(ErrNotOwner)
		case <-ctx.Done():
			return r, Error.Wrap(ctx.Err())
		}
	}
}

// Verify returns ErrOwnershipLost if another owner has taken the shard since the last commit.
func (s *Shard) Verify(ctx context.Context) error {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	item, err := s.cfg.Store.Get(ctx, ShardKey(s.cfg.Shard))
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	if item.Version == version {
		return nil
	}
	doc, err := s.codec.decode(item.Value)
	if err != nil {
		return err
	}
	if doc.Commit.Term != s.termID {
		return Error.Wrap(ErrOwnershipLost)
	}
	return nil
}

func (s *Shard) submit(ctx context.Context, queue *[]*change, apply func(d *Document, now time.Time) error) error {
	c := &change{
		ctx:   ctx,
		apply: apply,
		done:  make(chan error, 1),
	}
	s.mu.Lock()
	if s.closed != nil {
		err := s.closed
		s.mu.Unlock()
		return notApplied(err)
	}
	*queue = append(*queue, c)
	s.mu.Unlock()
	s.signal()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return s.abandon(c)
	}
}

// abandon ends the wait of a caller whose context has ended. A transition that is
// already part of a commit may still take effect.
func (s *Shard) abandon(c *change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range []*[]*change{&s.starts, &s.cancels} {
		if i := slices.Index(*queue, c); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			return notApplied(c.ctx.Err())
		}
	}
	select {
	case err := <-c.done:
		return err
	default:
	}
	return &CommitError{
		Effect: EffectUnknown,
		Err:    c.ctx.Err(),
	}
}

func (s *Shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refuseChanges rejects further transitions and those that are not part of a commit yet.
func (s *Shard) refuseChanges(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = reason
	}
	for _, c := range append(s.starts, s.cancels...) {
		c.done <- notApplied(reason)
	}
	s.starts, s.cancels = nil, nil
}

func notApplied(err error) error {
	return &CommitError{
		Effect: EffectNone,
		Err:    err,
	}
}

// isDefinite reports whether a write that failed with err certainly did not take effect.
func isDefinite(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrTooLarge) || errors.Is(err, storer.ErrLeaseNotFound)
}
