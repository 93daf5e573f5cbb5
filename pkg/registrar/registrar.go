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

// Config constructs a Registrar.
type Config struct {
	Store  storer.Store
	Peers  Peers
	Self   Member // Incarnation must be random and not zero
	Timing Timing
	// ReadsMembers tells whether Run reads the member list itself. It is false while a
	// relay passes the list on, which goes to State.ObserveList. Nil means always.
	ReadsMembers func() bool
}

// Registrar carries out the decisions of State. Its methods may be called concurrently.
type Registrar struct {
	cfg   Config
	right atomic.Pointer[Right]

	mu    sync.Mutex
	state *State

	beatMu       sync.Mutex // serializes heartbeats
	version      storer.Version
	beatValue    []byte
	beatMember   Member
	beatStart    time.Time // start of the first unresolved attempt
	beatExpected storer.Version
}

// New returns a Registrar that has not joined yet.
func New(cfg Config) *Registrar {
	r := &Registrar{
		cfg:   cfg,
		state: NewState(cfg.Timing, cfg.Self),
	}
	r.right.Store(&Right{})
	return r
}

// Right returns the bounded right of the holder; it takes no lock.
func (r *Registrar) Right() Right { return *r.right.Load() }

// Do runs f on the state under the lock. f must not block.
func (r *Registrar) Do(f func(s *State, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state, time.Now())
	if right := r.state.Right; right != *r.right.Load() {
		r.right.Store(&right)
	}
}

// Fresh tells whether keyed work may be admitted now.
func (r *Registrar) Fresh() bool {
	var fresh bool
	r.Do(func(s *State, now time.Time) { fresh = s.Fresh(now) })
	return fresh
}

// Heartbeat writes the own record once. The first one joins.
func (r *Registrar) Heartbeat(ctx context.Context) error { return r.beat(ctx, false) }

// Leave marks the own record as left; later heartbeats fail. The caller must have
// stopped all work and handed back its allowances.
func (r *Registrar) Leave(ctx context.Context) error {
	var pending bool
	r.Do(func(s *State, now time.Time) { pending = s.Pending > 0 || now.Before(s.PromisedUntil) })
	if pending {
		return Error.Wrap(ErrPending)
	}
	return r.beat(ctx, true)
}

func (r *Registrar) beat(ctx context.Context, left bool) error {
	r.beatMu.Lock()
	defer r.beatMu.Unlock()
	var gone bool
	r.Do(func(s *State, _ time.Time) { gone = s.Self.Left })
	if gone {
		return Error.Wrap(ErrSuperseded)
	}
	start := time.Now()
	if r.beatValue == nil || r.beatMember.Left != left {
		if err := r.prepareBeat(ctx, left); err != nil {
			return err
		}
	}
	if r.beatStart.IsZero() {
		r.beatStart = start
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.CallTimeout)
	defer cancel()
	version, err := r.cfg.Store.CompareAndSwap(ctx, storer.Write{
		Key:      r.beatMember.Key(),
		Value:    r.beatValue,
		Expected: r.beatExpected,
	})
	r.Observe(start, err)
	if errors.Is(err, storer.ErrConflict) {
		return r.resolveBeat(ctx)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	r.finishBeat(version, start)
	return nil
}

// prepareBeat builds the next record. Before the first heartbeat it reads the
// version that an earlier incarnation left.
func (r *Registrar) prepareBeat(ctx context.Context, left bool) error {
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
	r.beatMember = m
	r.beatValue = b
	r.beatExpected = r.version
	r.beatStart = time.Time{}
	return nil
}

// resolveBeat finds out why the record has another version than expected. If an
// earlier attempt took effect, the right counts from the start of the first one.
func (r *Registrar) resolveBeat(ctx context.Context) error {
	item, err := r.get(ctx, r.beatMember.Key())
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
	if m.Incarnation == r.beatMember.Incarnation && m.Counter == r.beatMember.Counter && m.Left == r.beatMember.Left {
		r.finishBeat(item.Version, r.beatStart)
		return nil
	}
	var joined bool
	r.Do(func(s *State, _ time.Time) { joined = !s.Joined.IsZero() })
	own := m.Incarnation == r.beatMember.Incarnation
	if m.Left && own || joined && !own {
		return Error.Wrap(ErrSuperseded)
	}
	// A delayed heartbeat came first: of the earlier incarnation, or the one before Leave.
	if own {
		r.Do(func(s *State, _ time.Time) { s.Self.Counter = max(s.Self.Counter, m.Counter) })
	}
	r.version = item.Version
	r.beatValue = nil
	return Error.Wrap(storer.ErrConflict)
}

func (r *Registrar) finishBeat(version storer.Version, start time.Time) {
	r.version = version
	r.beatValue = nil
	counter, left := r.beatMember.Counter, r.beatMember.Left
	r.Do(func(s *State, now time.Time) {
		s.Self.Counter = counter
		s.Self.Left = left
		s.ObserveHeartbeat(start, now)
	})
}

// Observe records a call to the service by another component that began at start.
// A conflict is an answer of the service, so it counts as a success.
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

// RefreshMembers reads the member list.
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

// Establish asks the known members to confirm this one until one does.
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
		done = s.Founding(answers)
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

// ServePromise answers a request of another member. It calls the service first if
// no recent call tells whether it can be reached.
func (r *Registrar) ServePromise(ctx context.Context, req PromiseRequest) PromiseAnswer {
	var probe bool
	r.Do(func(s *State, now time.Time) {
		probe = s.refusal(req, now) == ReasonReachable && now.Sub(s.LastSuccess) >= s.Timing.StalenessLimit
	})
	if probe {
		// The outcome of the call is recorded; only that matters here.
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

// ExtendByPromises asks all members for a promise and extends freshness and right
// if every one gave it.
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
