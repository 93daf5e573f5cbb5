package journaler

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// retakeDelay is the wait before a lost shard is taken over again. Two
// members that disagree on the live members would otherwise take it from each
// other at the rate limit.
const retakeDelay = time.Second

// holder takes over one shard, and again after each loss, while it is assigned to this journal.
type holder struct {
	j       *Journal
	number  int
	ctx     context.Context
	cancel  context.CancelFunc
	stopped chan struct{}

	mu   sync.Mutex
	term *term
}

func newHolder(ctx context.Context, j *Journal, shard int) *holder {
	holderCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &holder{
		j:       j,
		number:  shard,
		ctx:     holderCtx,
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
}

// hold takes the shard over, and again after each loss, until release is called.
func (h *holder) hold() {
	defer close(h.stopped)
	for h.ctx.Err() == nil {
		s, err := OpenShard(h.ctx, ShardConfig{
			Store:       h.j.cfg.Store,
			Shard:       h.number,
			Owner:       h.j.cfg.Entry,
			Limiter:     h.j.cfg.Limiter,
			Now:         h.j.cfg.Now,
			CallTimeout: h.j.cfg.CallTimeout,
			RetryDelay:  h.j.cfg.RetryDelay,
			MinSweepAge: h.j.cfg.MinSweepAge,
		})
		if err == nil {
			h.serve(s)
		} else {
			h.j.cfg.Logger.Warn("shard takeover failed", "shard", h.number, "error", err)
		}
		_ = sleep(h.ctx, retakeDelay)
	}
}

func (h *holder) serve(s *Shard) {
	// release only cancels the context, also during the takeover, so the shard is closed
	// when the context ends.
	stop := context.AfterFunc(h.ctx, func() { s.closeWithin(h.j.cfg.CallTimeout) })
	defer stop()
	t := newTerm(h.j, s)
	h.set(t)
	t.loop()
	h.set(nil)
	t.wg.Wait()
	t.close()
}

func (h *holder) set(t *term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = t
}

func (h *holder) current() *term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

// release hands the shard over and waits for it until ctx ends.
func (h *holder) release(ctx context.Context) {
	h.cancel()
	select {
	case <-h.stopped:
	case <-ctx.Done():
	}
}

// term is the ownership of a shard from its takeover until its loss. It runs the accepted
// jobs and recovers the started records on which nothing works here.
type term struct {
	j     *Journal
	shard *Shard
	wg    sync.WaitGroup

	mu        sync.Mutex
	active    map[uuid.UUID]context.CancelFunc // records on which a goroutine works
	callers   map[uuid.UUID]int                // callers here that run the synchronous request
	notBefore map[uuid.UUID]time.Time          // times of the next tries of jobs
	detached  map[uuid.UUID]func(ended bool)   // release functions passed to detach; nil after close
}

func newTerm(j *Journal, s *Shard) *term {
	return &term{
		j:         j,
		shard:     s,
		active:    map[uuid.UUID]context.CancelFunc{},
		callers:   map[uuid.UUID]int{},
		notBefore: map[uuid.UUID]time.Time{},
		detached:  map[uuid.UUID]func(ended bool){},
	}
}

// detach takes over a record whose caller no longer runs it.
func (t *term) detach(id uuid.UUID, release func(ended bool)) {
	r, ok := t.shard.Record(id)
	t.mu.Lock()
	delete(t.callers, id)
	if release != nil && t.detached != nil && ok && !r.State.Final() {
		t.detached[id] = release
		release = nil
	}
	t.mu.Unlock()
	if release != nil {
		release(false)
	}
}

// takeDetached removes and returns the release function that was passed to detach, or nil.
func (t *term) takeDetached(id uuid.UUID) func(ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	release := t.detached[id]
	delete(t.detached, id)
	return release
}

// close releases the allowances that nothing has taken over.
func (t *term) close() {
	t.mu.Lock()
	remaining := t.detached
	t.detached = nil
	t.mu.Unlock()
	for _, release := range remaining {
		release(false)
	}
}

func (t *term) loop() {
	tick := time.NewTicker(t.j.cfg.PlaceRetryDelay)
	defer tick.Stop()
	for {
		t.shard.mu.Lock()
		changed := t.shard.changed
		t.shard.mu.Unlock()
		t.scan(t.shard.ctx, t.j.cfg.Now())
		select {
		case <-changed:
		case <-tick.C:
		case <-t.shard.Done():
			return
		}
	}
}

// scan starts the work that is due for open records, oldest first.
func (t *term) scan(ctx context.Context, now time.Time) {
	for _, r := range t.shard.Records() {
		if r.State.Final() {
			t.cleanUp(r.ID)
			continue
		}
		t.mu.Lock()
		_, hasRunner := t.active[r.ID]
		hasCaller := t.callers[r.ID] > 0
		waiting := now.Before(t.notBefore[r.ID])
		t.mu.Unlock()
		overdue := now.UnixMilli() >= r.DeadlineMS
		// After the deadline the caller of a synchronous request has RecoveryTimeout to record
		// how it ended.
		withinGrace := now.Add(-t.j.cfg.RecoveryTimeout).UnixMilli() < r.DeadlineMS
		switch {
		case hasRunner, hasCaller && withinGrace:
		case r.State == StateStarted:
			t.spawn(ctx, r, nil, t.recover)
		case overdue:
			t.spawn(ctx, r, nil, t.failWith(VerdictDeadlineExceeded))
		case !r.Deferrable:
			t.spawn(ctx, r, nil, t.failWith(VerdictCallerLost))
		case !waiting:
			t.spawn(ctx, r, t.j.running, t.run)
		}
	}
}

// cleanUp stops the work on a record that has ended and releases its allowance.
func (t *term) cleanUp(id uuid.UUID) {
	if release := t.takeDetached(id); release != nil {
		release(false)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, ok := t.active[id]; ok {
		cancel()
	}
	delete(t.callers, id)
	delete(t.notBefore, id)
}

// spawn runs work for a record in a goroutine. If slots is full it does nothing, and a
// later scan tries again.
func (t *term) spawn(parent context.Context, r Record, slots chan struct{}, work func(ctx context.Context, r Record, held *allowance)) {
	if slots != nil {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
	}
	ctx, cancel := context.WithCancel(parent)
	t.mu.Lock()
	t.active[r.ID] = cancel
	t.mu.Unlock()
	held := &allowance{}
	if release := t.takeDetached(r.ID); release != nil {
		held.take(release)
	}
	t.wg.Go(func() {
		work(ctx, r, held)
		cancel()
		if slots != nil {
			<-slots
		}
		held.end(t.stopCancelled(parent, r.ID))
		t.mu.Lock()
		delete(t.active, r.ID)
		t.mu.Unlock()
	})
}

// stopCancelled ends the task of a record that was cancelled while it ran, and
// reports whether the task was stopped. It has slots of its own, because many
// cancellations at an unresponsive target would otherwise occupy the slots of new jobs.
func (t *term) stopCancelled(ctx context.Context, id uuid.UUID) bool {
	r, ok := t.shard.Record(id)
	if !ok || r.State != StateCancelled || r.Task == "" {
		return false
	}
	target, err := t.j.cfg.Targets(r.Target)
	if err != nil {
		return false
	}
	select {
	case t.j.stopping <- struct{}{}:
		defer func() { <-t.j.stopping }()
	case <-ctx.Done():
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, t.j.cfg.CallTimeout)
	defer cancel()
	if err := target.Stop(ctx, r.Task); err != nil {
		t.j.cfg.Logger.Warn("stop of cancelled task failed", "task", r.Task, "error", err)
		return false
	}
	return true
}

// delay postpones the next try of a job by PlaceRetryDelay.
func (t *term) delay(id uuid.UUID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notBefore[id] = t.j.cfg.Now().Add(t.j.cfg.PlaceRetryDelay)
}

// accept stores the body and the record of a new request, with its attempt if it has one.
func (t *term) accept(ctx context.Context, sub Submission) (SubmitResult, error) {
	body := inlineBlob(sub.Body)
	body.Inline = nil
	if sub.Request.Deferrable {
		var err error
		if body, err = t.shard.putBlob(ctx, bodyPrefix, sub.ID, sub.Body, false); err != nil {
			return SubmitResult{}, err
		}
	}
	// The caller of a synchronous request holds the body, so only its size and digest
	// are recorded.
	var r Record
	counted := false
	err := t.shard.Change(ctx, func(d *Document, _ time.Time) error {
		if err := d.Accept(sub.ID, sub.Request, body); err != nil {
			r = d.Records[sub.ID]
			return err
		}
		if sub.Attempt != nil {
			if err := d.Start(sub.ID, *sub.Attempt); err != nil {
				d.remove(sub.ID)
				return err
			}
		}
		r = d.Records[sub.ID]
		if !sub.Request.Deferrable {
			// The caller is counted before the commit; otherwise a scan could see the record
			// without a caller and end it.
			t.addCallers(sub.ID, 1)
			counted = true
		}
		return nil
	})
	if err == nil {
		return SubmitResult{
			Record:  r,
			Created: true,
		}, nil
	}
	if CommitEffect(err) == EffectNone {
		if counted {
			t.addCallers(sub.ID, -1)
		}
		t.shard.discard(body.Key)
		if r.State != "" && isDuplicate(err) {
			return repeatedResult(r, sub)
		}
	} else {
		// The record may exist, but the caller of a failed submission does not run it.
		t.detach(sub.ID, nil)
	}
	return SubmitResult{}, err
}

// addCallers adds n to the number of callers. A flag would not do, because a failed commit of
// one caller must not hide another caller.
func (t *term) addCallers(id uuid.UUID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers[id] += n
	if t.callers[id] == 0 {
		delete(t.callers, id)
	}
}
