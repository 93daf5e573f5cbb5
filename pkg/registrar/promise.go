package registrar

import "time"

// PromiseRequest asks a member to state that it cannot reach the service either, and to
// promise that while the promise is valid it commits no configuration change, reclaims no
// allowance and marks no member as left.
type PromiseRequest struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Revision    uint64 `cbor:"3,keyasint"` // newest revision that the requester knows
}

// Reasons for refusing a promise.
const (
	ReasonNotEstablished = "not_established"
	ReasonReachable      = "service_reachable"
	ReasonNewerRevision  = "newer_revision"
	ReasonPending        = "change_pending"
	ReasonUnknownMember  = "unknown_member"
)

// PromiseAnswer is the answer to PromiseRequest. Reason is one of the Reason constants if
// the promise was refused. Members lists every member that the answering one knows; the
// requester needs the promise of each of them too.
type PromiseAnswer struct {
	Granted bool     `cbor:"1,keyasint"`
	Reason  string   `cbor:"2,keyasint,omitempty"`
	Members []Member `cbor:"3,keyasint,omitempty"`
}

// Promise decides on a request and records the promise if it is granted.
func (s *State) Promise(r PromiseRequest, now time.Time) PromiseAnswer {
	if reason := s.refusal(r, now); reason != "" {
		return PromiseAnswer{Reason: reason}
	}
	if until := now.Add(s.Timing.PromiseDuration()); until.After(s.PromisedUntil) {
		s.PromisedUntil = until
	}
	// The promise can extend the lease of the requester, as a heartbeat does.
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
		return ReasonNewerRevision
	case !s.Unreachable(now):
		return ReasonReachable
	}
	return ""
}

// Unreachable reports whether a call to the service failed and none succeeded within the
// staleness limit before now. It returns false if no call began in that time, because this
// member then does not know whether the service can be reached.
func (s *State) Unreachable(now time.Time) bool {
	recent := now.Add(-s.Timing.StalenessLimit)
	return s.LastFailure.After(recent) && !s.LastSuccess.After(recent)
}

// Begin starts a fenced change, which a promise forbids: a configuration write, a reclaim,
// or marking a member as left. It fails with ErrPromised during a promise, and with
// ErrNotEstablished if established is set but this member is not. The caller must call End
// once the outcome is known. Configuration writes do not require an established member.
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

// Confirm decides whether this member confirms a new one as established. It does not while
// a promise of this member is valid, since the answer to that request did not list the new
// member. All later promises of this member list it.
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

// MayBeFirst reports whether this member may be the first established one, which is the case
// if every known member answered that it is not established. Without this rule, members
// that start at the same time would wait for each other forever. An established member
// cannot be overlooked: it has a record, so it is known and must have answered.
func (s *State) MayBeFirst(answers map[string]ConfirmAnswer) bool {
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

// Round is one attempt to obtain the promises of all other members.
type Round struct {
	Start  time.Time
	self   string
	asked  map[string]bool
	open   int // answers still awaited
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

// add counts the members that were not asked yet as open and returns them.
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

// Apply records an answer and returns further members to ask. The caller passes the zero
// answer, which is a refusal, for a member that did not answer.
func (r *Round) Apply(a PromiseAnswer) []Member {
	r.open--
	if !a.Granted {
		r.failed = true
		return nil
	}
	return r.add(a.Members)
}

// Done reports whether the round has ended: a member refused, or all have answered.
func (r *Round) Done() bool { return r.failed || r.open == 0 }

// Complete reports whether every member gave its promise.
func (r *Round) Complete() bool { return !r.failed && r.open == 0 }

// ObserveRound applies a round that ended at now: it extends the proof of the head and a
// valid lease. It returns false and changes nothing if a promise is missing, if the round
// took too long, or if this member can reach the service, is not established or has a
// fenced change under way.
func (s *State) ObserveRound(r *Round, now time.Time) bool {
	if !r.Complete() || s.EstablishedAt.IsZero() || s.Pending > 0 || !s.Unreachable(now) {
		return false
	}
	if now.Sub(r.Start) >= s.Timing.StalenessLimit {
		return false
	}
	s.prove(r.Start)
	if s.Lease.Valid(now) {
		s.extendLease(r.Start.Add(s.Timing.StalenessLimit), now)
	}
	return true
}

// ObserveHead records a proof that revision was the head at some time after start. It
// ignores a proof that began before the record of this member was written, because the
// writer of a change could not know this member then.
func (s *State) ObserveHead(start time.Time, revision uint64) {
	if revision < s.Self.Revision || s.Joined.IsZero() || start.Before(s.Joined) {
		return
	}
	s.Self.Revision = revision
	s.prove(start)
}

func (s *State) prove(start time.Time) {
	if start.After(s.FreshAsOf) {
		s.FreshAsOf = start
	}
}

// Fresh reports whether the proof of the head is recent enough to admit keyed work at now.
func (s *State) Fresh(now time.Time) bool {
	return !s.FreshAsOf.IsZero() && now.Sub(s.FreshAsOf) <= s.Timing.StalenessLimit
}

// Change is a committed configuration change that is not known to be in force yet.
type Change struct {
	Revision  uint64
	Committed time.Time // when its writer learned that it was committed
}

// Missing returns the members that may still use a configuration older than the change;
// the change is in force when there are none. It returns ErrPending until the member list
// was read again after the commit, because a member unknown to the writer may still use an
// older configuration.
func (s *State) Missing(c Change, now time.Time) ([]string, error) {
	if s.staleUseEnded(c, now) {
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

// staleUseEnded reports whether so much time has passed that no member may use a
// configuration older than the change. The time counts only from when this member was
// established: before that, others could extend their freshness without its promise.
func (s *State) staleUseEnded(c Change, now time.Time) bool {
	if s.EstablishedAt.IsZero() {
		return false
	}
	from := c.Committed
	if s.EstablishedAt.After(from) {
		from = s.EstablishedAt
	}
	return now.Sub(from) >= s.Timing.StaleUseLimit()
}
