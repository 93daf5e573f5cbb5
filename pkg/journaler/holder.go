package journaler

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// retakeDelay is the wait before a shard that was lost is taken again. Two
// members that disagree on the live members would otherwise take it from each
// other at the rate limit.
const retakeDelay = time.Second

// holder keeps one shard owned while this journal is its owner.
type holder struct {
	j      *Journal
	number int
	ctx    context.Context
	cancel context.CancelFunc
	gone   chan struct{}

	mu     sync.Mutex
	tenure *tenure
}

func newHolder(ctx context.Context, j *Journal, shard int) *holder {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &holder{
		j:      j,
		number: shard,
		ctx:    life,
		cancel: cancel,
		gone:   make(chan struct{}),
	}
}

// hold takes the shard over, and again when it was lost, until release.
func (h *holder) hold() {
	defer close(h.gone)
	for h.ctx.Err() == nil {
		s, err := OpenShard(h.ctx, ShardConfig{
			Store:       h.j.cfg.Store,
			Shard:       h.number,
			Owner:       h.j.cfg.Entry,
			Limiter:     h.j.cfg.Limiter,
			Now:         h.j.cfg.Now,
			CallTimeout: h.j.cfg.CallTimeout,
			RetryDelay:  h.j.cfg.RetryDelay,
			SweepAge:    h.j.cfg.SweepAge,
		})
		if err == nil {
			h.serve(s)
		} else {
			h.j.cfg.Logger.Warn("takeover failed", "shard", h.number, "error", err)
		}
		_ = sleep(h.ctx, retakeDelay)
	}
}

func (h *holder) serve(s *Shard) {
	// A release during the takeover finds no tenure yet, so that the shard itself follows the holder.
	stop := context.AfterFunc(h.ctx, func() { s.closeWithin(h.j.cfg.CallTimeout) })
	defer stop()
	t := newTenure(h.j, s)
	h.set(t)
	t.loop()
	h.set(nil)
	t.wg.Wait()
	t.close()
}

func (h *holder) set(t *tenure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenure = t
}

func (h *holder) current() *tenure {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenure
}

// release hands the shard over.
func (h *holder) release(ctx context.Context) {
	h.cancel()
	select {
	case <-h.gone:
	case <-ctx.Done():
	}
}

// tenure is the time between a takeover and the loss of a shard. It finds work
// for every open record: jobs are run, started records without a runner are recovered.
type tenure struct {
	j     *Journal
	shard *Shard
	wg    sync.WaitGroup

	mu        sync.Mutex
	active    map[uuid.UUID]context.CancelFunc // records with a runner
	online    map[uuid.UUID]int                // above zero: the caller is on the line here
	notBefore map[uuid.UUID]time.Time          // jobs that wait for another try
	detached  map[uuid.UUID]func(ended bool)   // allowances of started records without a runner; nil after close
}

func newTenure(j *Journal, s *Shard) *tenure {
	return &tenure{
		j:         j,
		shard:     s,
		active:    map[uuid.UUID]context.CancelFunc{},
		online:    map[uuid.UUID]int{},
		notBefore: map[uuid.UUID]time.Time{},
		detached:  map[uuid.UUID]func(ended bool){},
	}
}

// detach takes over a record whose caller no longer runs it.
func (t *tenure) detach(id uuid.UUID, release func(ended bool)) {
	r, ok := t.shard.Record(id)
	t.mu.Lock()
	delete(t.online, id)
	if release != nil && t.detached != nil && ok && !r.State.Final() {
		t.detached[id] = release
		release = nil
	}
	t.mu.Unlock()
	if release != nil {
		release(false)
	}
}

// takeDetached returns the allowance that came with detach, or nil.
func (t *tenure) takeDetached(id uuid.UUID) func(ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	release := t.detached[id]
	delete(t.detached, id)
	return release
}

// close releases the allowances that nothing has taken over.
func (t *tenure) close() {
	t.mu.Lock()
	rest := t.detached
	t.detached = nil
	t.mu.Unlock()
	for _, release := range rest {
		release(false)
	}
}

func (t *tenure) loop() {
	tick := time.NewTicker(t.j.cfg.PlaceDelay)
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

// scan gives each open record without a runner the work that it needs, oldest first.
func (t *tenure) scan(ctx context.Context, now time.Time) {
	for _, r := range t.shard.Records() {
		if r.State.Final() {
			t.forget(r.ID)
			continue
		}
		t.mu.Lock()
		_, busy := t.active[r.ID]
		online := t.online[r.ID] > 0
		waiting := now.Before(t.notBefore[r.ID])
		t.mu.Unlock()
		overdue := now.UnixMilli() >= r.DeadlineMS
		// A caller on the line has RecoveryTimeout to record how its request ended.
		settling := now.Add(-t.j.cfg.RecoveryTimeout).UnixMilli() < r.DeadlineMS
		switch {
		case busy, online && settling:
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

// forget stops the runner of a record that has ended.
func (t *tenure) forget(id uuid.UUID) {
	if release := t.takeDetached(id); release != nil {
		release(false)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, ok := t.active[id]; ok {
		cancel()
	}
	delete(t.online, id)
	delete(t.notBefore, id)
}

// spawn runs work for a record. With a full slots channel it does nothing; a later scan tries again.
func (t *tenure) spawn(life context.Context, r Record, slots chan struct{}, work func(ctx context.Context, r Record, held *allowance)) {
	if slots != nil {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
	}
	ctx, cancel := context.WithCancel(life)
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
		held.end(t.stopCancelled(life, r.ID))
		t.mu.Lock()
		delete(t.active, r.ID)
		t.mu.Unlock()
	})
}

// stopCancelled ends the task of a record that was cancelled while it ran, and
// reports whether the task was stopped. It has slots of its own: a wave of
// cancellations at a silent target would otherwise hold the slots of new jobs.
func (t *tenure) stopCancelled(ctx context.Context, id uuid.UUID) bool {
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

// delay keeps a job from being tried again at once.
func (t *tenure) delay(id uuid.UUID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notBefore[id] = t.j.cfg.Now().Add(t.j.cfg.PlaceDelay)
}

// accept stores the body and the record of a new request, with its attempt if it has one.
func (t *tenure) accept(ctx context.Context, sub Submission) (Outcome, error) {
	body := inlineBlob(sub.Body)
	body.Inline = nil
	if sub.Request.Deferrable {
		var err error
		if body, err = t.shard.putBlob(ctx, bodyPrefix, sub.ID, sub.Body, false); err != nil {
			return Outcome{}, err
		}
	}
	// The caller on the line holds the body, so only its digest is recorded.
	var r Record
	marked := false
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
			// The mark precedes the commit: a scan would take the record for one without a caller.
			t.setOnline(sub.ID, 1)
			marked = true
		}
		return nil
	})
	if err == nil {
		return Outcome{
			Record: r,
			Fresh:  true,
		}, nil
	}
	if EffectOf(err) == EffectNone {
		if marked {
			t.setOnline(sub.ID, -1)
		}
		t.shard.discard(body.Key)
		if r.State != "" && isExists(err) {
			return repeat(r, sub)
		}
	} else {
		// The record may exist, but the caller of a failed submission does not run it.
		t.detach(sub.ID, nil)
	}
	return Outcome{}, err
}

// setOnline counts, because a failed commit of one caller must not hide the next one.
func (t *tenure) setOnline(id uuid.UUID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.online[id] += n
	if t.online[id] == 0 {
		delete(t.online, id)
	}
}
