package registrar

import "time"

// PromiseRequest asks a member to promise that it cannot reach the service either
// and that it commits no configuration change, reclaims no allowance and counts no
// member as expired for the validity of the promise.
type PromiseRequest struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Revision    uint64 `cbor:"3,keyasint"` // newest revision the asker knows
}

// Reasons for refusing a promise.
const (
	ReasonNotEstablished = "not_established"
	ReasonReachable      = "service_reachable"
	ReasonNewer          = "newer_revision"
	ReasonPending        = "change_pending"
	ReasonUnknownMember  = "unknown_member"
)

// PromiseAnswer is the answer to PromiseRequest. Members names every member that the
// giver knows: the asker needs the promise of each of them too.
type PromiseAnswer struct {
	Granted bool     `cbor:"1,keyasint"`
	Reason  string   `cbor:"2,keyasint,omitempty"`
	Members []Member `cbor:"3,keyasint,omitempty"`
}

// Promise decides on a request and records the promise if it is given.
func (s *State) Promise(r PromiseRequest, now time.Time) PromiseAnswer {
	if reason := s.refusal(r, now); reason != "" {
		return PromiseAnswer{Reason: reason}
	}
	if until := now.Add(s.Timing.PromiseHold()); until.After(s.PromisedUntil) {
		s.PromisedUntil = until
	}
	// The promise extends the right of the asker like a heartbeat.
	s.Others[r.Entry].resetClocks(now)
	return PromiseAnswer{
		Granted: true,
		Members: s.Known(),
	}
}

func (s *State) refusal(r PromiseRequest, now time.Time) string {
	o := s.Others[r.Entry]
	switch {
	case s.EstablishedAt.IsZero():
		return ReasonNotEstablished
	case o == nil || o.Member.Left || o.Member.Incarnation != r.Incarnation:
		return ReasonUnknownMember
	case s.Pending > 0:
		return ReasonPending
	case s.Self.Revision > r.Revision:
		return ReasonNewer
	case !s.Unreachable(now):
		return ReasonReachable
	}
	return ""
}

// Unreachable tells whether a call of the last 3 s failed and none of them succeeded.
// A member that made no call knows nothing about the service.
func (s *State) Unreachable(now time.Time) bool {
	recent := now.Add(-s.Timing.StalenessLimit)
	return s.LastFailure.After(recent) && !s.LastSuccess.After(recent)
}

// Begin starts a fenced change: a configuration write, a reclaim, or marking a
// member as gone. End must follow once the outcome is known. Configuration writes
// need no established member.
func (s *State) Begin(established bool, now time.Time) error {
	if established && s.EstablishedAt.IsZero() {
		return Error.Wrap(ErrNotEstablished)
	}
	if now.Before(s.PromisedUntil) {
		return Error.Wrap(ErrPromised)
	}
	s.Pending++
	return nil
}

// End ends a fenced change whose outcome is known.
func (s *State) End() { s.Pending-- }

// ConfirmRequest asks an established member to confirm a new one.
type ConfirmRequest struct {
	Member Member `cbor:"1,keyasint"`
}

// ConfirmAnswer is the answer to ConfirmRequest.
type ConfirmAnswer struct {
	Confirmed   bool   `cbor:"1,keyasint"`
	Established bool   `cbor:"2,keyasint"` // whether the answering member is established
	Incarnation uint64 `cbor:"3,keyasint"` // of the answering member
}

// Confirm decides whether a new member is established. While a promise is
// outstanding the answer is no, since that promise did not name the new member.
// From now on every promise of this member names the new one.
func (s *State) Confirm(r ConfirmRequest, now time.Time) ConfirmAnswer {
	a := ConfirmAnswer{
		Established: !s.EstablishedAt.IsZero(),
		Incarnation: s.Self.Incarnation,
	}
	if now.Before(s.PromisedUntil) || r.Member.Left || r.Member.Entry == s.Self.Entry {
		return a
	}
	s.observeMember(r.Member, now)
	s.Confirmed[r.Member.Entry] = now
	a.Confirmed = a.Established
	return a
}

// Founding tells whether there is no established member at all, so that this one may
// be the first: every known member answered that it is not established. Otherwise
// members that start at the same time would wait for each other forever. An
// established member has a record, hence it is known and would have answered.
func (s *State) Founding(answers map[string]ConfirmAnswer) bool {
	for _, m := range s.Known() {
		a, ok := answers[m.Entry]
		if s.Gone(m.Entry) {
			continue
		}
		if !ok || a.Established || a.Incarnation != m.Incarnation {
			return false
		}
	}
	return true
}

// Round is one attempt to obtain the promises of all members.
type Round struct {
	Start  time.Time
	self   string
	asked  map[string]bool
	open   int
	failed bool
}

// NewRound begins a round and returns the members to ask.
func (s *State) NewRound(now time.Time) (*Round, []Member) {
	r := &Round{
		Start: now,
		self:  s.Self.Entry,
		asked: map[string]bool{},
	}
	return r, r.add(s.Known())
}

func (r *Round) add(members []Member) []Member {
	var ask []Member
	for _, m := range members {
		if m.Entry == r.self || m.Left || r.asked[m.Entry] {
			continue
		}
		r.asked[m.Entry] = true
		r.open++
		ask = append(ask, m)
	}
	return ask
}

// Apply records an answer and returns the further members to ask. A member that
// did not answer counts as a refusal.
func (r *Round) Apply(a PromiseAnswer) []Member {
	r.open--
	if !a.Granted {
		r.failed = true
		return nil
	}
	return r.add(a.Members)
}

// Done tells whether no answer is awaited, and Complete whether all promised.
func (r *Round) Done() bool { return r.failed || r.open == 0 }

// Complete tells whether every member gave its promise.
func (r *Round) Complete() bool { return !r.failed && r.open == 0 }

// ObserveRound applies a round that ended at now. The own member must not be able
// to reach the service, must be established and must have no change under way.
func (s *State) ObserveRound(r *Round, now time.Time) bool {
	if !r.Complete() || s.EstablishedAt.IsZero() || s.Pending > 0 || !s.Unreachable(now) {
		return false
	}
	if now.Sub(r.Start) >= s.Timing.StalenessLimit {
		return false
	}
	s.prove(r.Start)
	if s.Right.Valid(now) {
		s.extendRight(r.Start.Add(s.Timing.StalenessLimit), now)
	}
	return true
}

// ObserveHead records a proof that revision was the head at some time after start.
// A proof that began before the own record was written counts for nothing, because
// the writer of a change could not know this member.
func (s *State) ObserveHead(start time.Time, revision uint64) {
	if revision < s.Self.Revision || s.Joined.IsZero() || start.Before(s.Joined) {
		return
	}
	s.Self.Revision = revision
	s.prove(start)
}

func (s *State) prove(start time.Time) {
	if start.After(s.Proof) {
		s.Proof = start
	}
}

// Fresh tells whether keyed work may be admitted at now.
func (s *State) Fresh(now time.Time) bool {
	return !s.Proof.IsZero() && now.Sub(s.Proof) <= s.Timing.StalenessLimit
}

// Change is a committed configuration change whose acceptance is awaited.
type Change struct {
	Revision  uint64
	Committed time.Time // when its writer learned that it was committed
}

// Missing returns the members that may still use a configuration older than the
// change; the change is in force when there are none. Before the member list was
// read again after the commit, a member unknown to the writer may use an older one,
// which is reported as ErrPending.
func (s *State) Missing(c Change, now time.Time) ([]string, error) {
	if s.lostRight(c, now) {
		return nil, nil
	}
	if !s.ListStart.After(c.Committed) {
		return nil, Error.Wrap(ErrPending)
	}
	var missing []string
	for _, m := range s.Known() {
		if s.Others[m.Entry].Revision < c.Revision {
			missing = append(missing, m.Entry)
		}
	}
	return missing, nil
}

// lostRight tells whether every member without the change has lost the right to use
// an older configuration. Before this member was established, others could extend
// theirs without it.
func (s *State) lostRight(c Change, now time.Time) bool {
	if s.EstablishedAt.IsZero() {
		return false
	}
	from := c.Committed
	if s.EstablishedAt.After(from) {
		from = s.EstablishedAt
	}
	return now.Sub(from) >= s.Timing.LoseRightAfter()
}
