package registrar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Peers sends requests to other members.
type Peers interface {
	// RequestPromise asks a member for a promise.
	RequestPromise(ctx context.Context, to Member, r PromiseRequest) (PromiseAnswer, error)
	// ConfirmMember asks a member to confirm the sender.
	ConfirmMember(ctx context.Context, to Member, r ConfirmRequest) (ConfirmAnswer, error)
}

// Config holds the dependencies and settings of a Registrar.
type Config struct {
	Store  storer.Store
	Peers  Peers
	Self   Member // Incarnation must be random and not zero
	Timing Timing
	// ReadsMembers reports whether Run is to read the member list itself. It returns false
	// while another member relays the list, which the caller passes to State.ObserveList.
	// If ReadsMembers is nil, Run always reads the list.
	ReadsMembers func() bool
}

// Registrar makes the calls that the decisions of State require. Its methods may be called
// concurrently.
type Registrar struct {
	cfg   Config
	lease atomic.Pointer[Lease]

	mu    sync.Mutex
	state *State

	heartbeatMu       sync.Mutex // serializes heartbeats
	version           storer.Version
	heartbeatValue    []byte
	heartbeatMember   Member
	heartbeatStart    time.Time // start of the first unresolved attempt
	heartbeatExpected storer.Version
}

// New returns a Registrar that has not joined yet.
func New(cfg Config) *Registrar {
	r := &Registrar{
		cfg:   cfg,
		state: NewState(cfg.Timing, cfg.Self),
	}
	r.lease.Store(&Lease{})
	return r
}

// Lease returns the lease of this member. It takes no lock.
func (r *Registrar) Lease() Lease { return *r.lease.Load() }

// Do calls f with the state, under the lock, and with the present time. f must not block.
func (r *Registrar) Do(f func(s *State, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state, time.Now())
	if lease := r.state.Lease; lease != *r.lease.Load() {
		r.lease.Store(&lease)
	}
}

// Fresh is State.Fresh for the present time.
func (r *Registrar) Fresh() bool {
	var fresh bool
	r.Do(func(s *State, now time.Time) { fresh = s.Fresh(now) })
	return fresh
}

// Heartbeat writes the record of this member once. The first heartbeat makes it a member.
func (r *Registrar) Heartbeat(ctx context.Context) error { return r.writeRecord(ctx, false) }

// Leave marks the record of this member as left; later heartbeats fail with ErrSuperseded.
// The caller must have stopped all work and returned its allowances. Leave returns
// ErrPending during a fenced change or a promise.
func (r *Registrar) Leave(ctx context.Context) error {
	var pending bool
	r.Do(func(s *State, now time.Time) { pending = s.Pending > 0 || now.Before(s.PromisedUntil) })
	if pending {
		return Error.Wrap(ErrPending)
	}
	return r.writeRecord(ctx, true)
}

// writeRecord writes the record once, or repeats a write whose outcome is not known.
func (r *Registrar) writeRecord(ctx context.Context, left bool) error {
	r.heartbeatMu.Lock()
	defer r.heartbeatMu.Unlock()
	var alreadyLeft bool
	r.Do(func(s *State, _ time.Time) { alreadyLeft = s.Self.Left })
	if alreadyLeft {
		return Error.Wrap(ErrSuperseded)
	}
	start := time.Now()
	if r.heartbeatValue == nil || r.heartbeatMember.Left != left {
		if err := r.prepareRecord(ctx, left); err != nil {
			return err
		}
	}
	if r.heartbeatStart.IsZero() {
		r.heartbeatStart = start
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
	defer cancel()
	version, err := r.cfg.Store.CompareAndSwap(ctx, storer.Write{
		Key:      r.heartbeatMember.Key(),
		Value:    r.heartbeatValue,
		Expected: r.heartbeatExpected,
	})
	r.Observe(start, err)
	if errors.Is(err, storer.ErrConflict) {
		return r.resolveRecord(ctx)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	r.finishRecord(version, start)
	return nil
}

// prepareRecord builds the next record. Before the first heartbeat it reads the version of
// the record that an earlier incarnation may have written.
func (r *Registrar) prepareRecord(ctx context.Context, left bool) error {
	if r.version == 0 {
		item, err := r.get(ctx, r.cfg.Self.Key())
		if err != nil {
			return err
		}
		r.version = item.Version
	}
	var m Member
	r.Do(func(s *State, _ time.Time) { m = s.Self })
	m.Counter++
	m.Left = left
	b, err := m.Encode()
	if err != nil {
		return err
	}
	r.heartbeatMember = m
	r.heartbeatValue = b
	r.heartbeatExpected = r.version
	r.heartbeatStart = time.Time{}
	return nil
}

// resolveRecord finds out why the record has another version than expected. If an earlier
// attempt took effect, the lease counts from the start of the first attempt.
func (r *Registrar) resolveRecord(ctx context.Context) error {
	item, err := r.get(ctx, r.heartbeatMember.Key())
	if err != nil {
		return err
	}
	if item.Version == 0 {
		return Error.Wrap(ErrSuperseded)
	}
	m, err := DecodeMember(item.Value)
	if err != nil {
		return err
	}
	if m.Incarnation == r.heartbeatMember.Incarnation && m.Counter == r.heartbeatMember.Counter && m.Left == r.heartbeatMember.Left {
		r.finishRecord(item.Version, r.heartbeatStart)
		return nil
	}
	var joined bool
	r.Do(func(s *State, _ time.Time) { joined = !s.Joined.IsZero() })
	sameIncarnation := m.Incarnation == r.heartbeatMember.Incarnation
	if m.Left && sameIncarnation || joined && !sameIncarnation {
		return Error.Wrap(ErrSuperseded)
	}
	// A delayed heartbeat was written first: that of an earlier incarnation, or the last
	// one before Leave.
	if sameIncarnation {
		r.Do(func(s *State, _ time.Time) { s.Self.Counter = max(s.Self.Counter, m.Counter) })
	}
	r.version = item.Version
	r.heartbeatValue = nil
	return Error.Wrap(storer.ErrConflict)
}

func (r *Registrar) finishRecord(version storer.Version, start time.Time) {
	r.version = version
	r.heartbeatValue = nil
	counter, left := r.heartbeatMember.Counter, r.heartbeatMember.Left
	r.Do(func(s *State, now time.Time) {
		s.Self.Counter = counter
		s.Self.Left = left
		s.ObserveHeartbeat(start, now)
	})
}

// Observe records the outcome of a call to the service that began at start; other
// components report theirs too. A conflict is an answer of the service, so it counts as a
// success.
func (r *Registrar) Observe(start time.Time, err error) {
	ok := err == nil || errors.Is(err, storer.ErrConflict)
	r.Do(func(s *State, _ time.Time) { s.ObserveCall(start, ok) })
}

func (r *Registrar) get(ctx context.Context, key string) (storer.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
	defer cancel()
	start := time.Now()
	item, err := r.cfg.Store.Get(ctx, key)
	r.Observe(start, err)
	if err != nil {
		return storer.Item{}, Error.Wrap(err)
	}
	return item, nil
}

// RefreshMembers reads the member list from the service.
func (r *Registrar) RefreshMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
	defer cancel()
	start := time.Now()
	items, err := r.cfg.Store.List(ctx, KeyPrefix)
	r.Observe(start, err)
	if err != nil {
		return Error.Wrap(err)
	}
	members := make([]Member, 0, len(items))
	for _, item := range items {
		m, err := DecodeMember(item.Value)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	r.Do(func(s *State, now time.Time) { s.ObserveList(members, start, now) })
	return nil
}

// Establish asks one known member after another to confirm this one until one does. It
// returns ErrNotEstablished if none does and this member may not be the first; see
// State.MayBeFirst.
func (r *Registrar) Establish(ctx context.Context) error {
	var may, done bool
	var known []Member
	var self Member
	r.Do(func(s *State, _ time.Time) {
		self, known, may = s.Self, s.Known(), s.MayEstablish()
		done = !s.EstablishedAt.IsZero()
	})
	if done {
		return nil
	}
	if !may {
		return Error.Wrap(ErrNotEstablished)
	}
	answers := map[string]ConfirmAnswer{}
	for _, m := range known {
		call, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
		a, err := r.cfg.Peers.ConfirmMember(call, m, ConfirmRequest{Member: self})
		cancel()
		if err != nil {
			continue
		}
		answers[m.Entry] = a
		if a.Confirmed {
			break
		}
	}
	r.Do(func(s *State, now time.Time) {
		done = s.MayBeFirst(answers)
		for _, a := range answers {
			done = done || a.Confirmed
		}
		if done {
			s.ObserveEstablished(now)
		}
	})
	if !done {
		return Error.Wrap(ErrNotEstablished)
	}
	return nil
}

// ServePromise answers a request of another member. It calls the service first if there
// was no recent call that shows whether the service can be reached.
func (r *Registrar) ServePromise(ctx context.Context, req PromiseRequest) PromiseAnswer {
	var probe bool
	r.Do(func(s *State, now time.Time) {
		probe = s.refusal(req, now) == ReasonReachable && now.Sub(s.LastSuccess) >= s.Timing.StalenessLimit
	})
	if probe {
		// Only the outcome of the call matters, and get records it.
		_, _ = r.get(ctx, r.cfg.Self.Key())
	}
	var answer PromiseAnswer
	r.Do(func(s *State, now time.Time) { answer = s.Promise(req, now) })
	return answer
}

// ServeConfirm answers a request of a new member.
func (r *Registrar) ServeConfirm(req ConfirmRequest) ConfirmAnswer {
	var answer ConfirmAnswer
	r.Do(func(s *State, now time.Time) { answer = s.Confirm(req, now) })
	return answer
}

// ExtendByPromises asks all members for a promise, and extends the freshness and the lease
// of this member if all of them give it. Otherwise it returns ErrNoPromise.
func (r *Registrar) ExtendByPromises(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
	defer cancel()
	var round *Round
	var ask []Member
	var req PromiseRequest
	r.Do(func(s *State, now time.Time) {
		round, ask = s.NewRound(now)
		req = PromiseRequest{
			Entry:       s.Self.Entry,
			Incarnation: s.Self.Incarnation,
			Revision:    s.Self.Revision,
		}
	})
	answers := make(chan PromiseAnswer)
	for !round.Done() {
		for _, m := range ask {
			go func() {
				a, err := r.cfg.Peers.RequestPromise(ctx, m, req)
				if err != nil {
					a = PromiseAnswer{}
				}
				select {
				case answers <- a:
				case <-ctx.Done():
				}
			}()
		}
		select {
		case a := <-answers:
			ask = round.Apply(a)
		case <-ctx.Done():
			return Error.Wrap(ErrNoPromise)
		}
	}
	var ok bool
	r.Do(func(s *State, now time.Time) { ok = s.Self.Revision == req.Revision && s.ObserveRound(round, now) })
	if !ok {
		return Error.Wrap(ErrNoPromise)
	}
	return nil
}
