package registrar

import (
	"fmt"
	"sort"
	"time"
)

// Seen is what a member knows about another one. All times are on the observer's
// monotonic clock.
type Seen struct {
	Member    Member
	Since     time.Time // when this counter was first seen, or a later reset
	Replaced  time.Time // when this incarnation was first seen as it is (running or left)
	Listed    bool      // its VM was in the platform's list at some time
	GoneSince time.Time // when its VM was first missing from the list; zero while listed
	Report    time.Time // last report message
	Revision  uint64    // newest revision that it reported
}

// Right bounds the use of allowances. Term grows whenever the right had run out
// before it was extended: another member may have reclaimed the allowances of an
// earlier term, so each must be confirmed in its ledger before it is used again.
type Right struct {
	Until time.Time
	Term  uint64
}

// Valid tells whether work may be started or renewed at now.
func (r Right) Valid(now time.Time) bool { return r.Term > 0 && now.Before(r.Until) }

// State is the membership as one member knows it.
type State struct {
	Timing Timing
	Self   Member

	Others    map[string]*Seen // by entry name; not the own one
	ListStart time.Time        // start of the last member list read
	Confirmed map[string]time.Time

	Joined        time.Time // when the own record was first written; zero before
	EstablishedAt time.Time // zero while not established

	Proof time.Time // start of the read or promise round that last proved the head
	Right Right

	LastSuccess time.Time // start of the last successful call to the service
	LastFailure time.Time // start of the last failed one

	PromisedUntil time.Time
	Pending       int // fenced changes that are under way or unresolved
}

// NewState returns the state of a member that has not joined yet.
func NewState(t Timing, self Member) *State {
	return &State{
		Timing:    t,
		Self:      self,
		Others:    map[string]*Seen{},
		Confirmed: map[string]time.Time{},
	}
}

// ObserveCall records a call to the service that began at start.
func (s *State) ObserveCall(start time.Time, ok bool) {
	if ok && start.After(s.LastSuccess) {
		s.LastSuccess = start
	}
	if !ok && start.After(s.LastFailure) {
		s.LastFailure = start
	}
}

// ObserveHeartbeat records that the own heartbeat which started at start took effect.
func (s *State) ObserveHeartbeat(start, now time.Time) {
	if s.Joined.IsZero() {
		s.Joined = now
	}
	s.extendRight(start.Add(s.Timing.HolderTimeout), now)
}

func (s *State) extendRight(until, now time.Time) {
	if !until.After(s.Right.Until) {
		return
	}
	if !s.Right.Valid(now) {
		s.Right.Term++
	}
	s.Right.Until = until
}

// ObserveList records a member list that was read between start and now. A list
// that was read earlier than the last one is ignored.
func (s *State) ObserveList(members []Member, start, now time.Time) {
	if start.Before(s.ListStart) {
		return
	}
	s.ListStart = start
	present := map[string]bool{}
	for _, m := range members {
		if m.Entry != s.Self.Entry {
			present[m.Entry] = true
			s.observeMember(m, now)
		}
	}
	for entry := range s.Others {
		at, confirmed := s.Confirmed[entry]
		if !present[entry] && (!confirmed || at.Before(start)) {
			delete(s.Others, entry)
		}
	}
	for entry, at := range s.Confirmed {
		if at.Before(start) {
			delete(s.Confirmed, entry)
		}
	}
}

func (s *State) observeMember(m Member, now time.Time) {
	o := s.Others[m.Entry]
	switch {
	case o == nil:
		s.Others[m.Entry] = &Seen{
			Member:   m,
			Since:    now,
			Replaced: now,
		}
		return
	case o.Member.Incarnation != m.Incarnation:
		*o = Seen{
			Since:    now,
			Replaced: now,
		}
	case o.Member.Left != m.Left:
		o.Replaced = now
	case o.Member.Counter != m.Counter:
		o.resetClocks(now)
	}
	o.Member = m
}

// resetClocks starts the observation of the member anew.
func (o *Seen) resetClocks(now time.Time) {
	o.Since = now
	if !o.GoneSince.IsZero() {
		o.GoneSince = now
	}
}

// ObserveVMs records the platform's list of VM addresses. A list without the own
// VM is older than this process and proves nothing.
func (s *State) ObserveVMs(listed map[string]bool, now time.Time) {
	if !listed[s.Self.Address] {
		return
	}
	for _, o := range s.Others {
		switch {
		case listed[o.Member.Address]:
			o.Listed = true
			o.GoneSince = time.Time{}
		case o.GoneSince.IsZero():
			o.GoneSince = now
		}
	}
}

// ObserveReport records a report message of another member.
func (s *State) ObserveReport(entry string, incarnation, revision uint64, now time.Time) {
	o := s.Others[entry]
	if o == nil || o.Member.Incarnation != incarnation {
		return
	}
	o.Report = now
	o.Revision = max(o.Revision, revision)
}

// Live returns the sorted names of the members with a recent report, itself included.
func (s *State) Live(now time.Time) []string {
	names := []string{s.Self.Entry}
	for entry, o := range s.Others {
		if !o.Report.IsZero() && now.Sub(o.Report) < s.Timing.ReportTimeout {
			names = append(names, entry)
		}
	}
	sort.Strings(names)
	return names
}

// Known returns the members that are not marked as left, sorted by name, without itself.
func (s *State) Known() []Member {
	var members []Member
	for _, o := range s.Others {
		if !o.Member.Left {
			members = append(members, o.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Entry < members[j].Entry })
	return members
}

// expired tells whether the last list showed the counter unchanged for long enough.
func (s *State) expired(o *Seen) bool {
	return s.ListStart.Sub(o.Since) >= s.Timing.ExpireAfter()
}

// Gone tells whether the VM of a member has left the platform's list for good. The
// list lags for new VMs too, so absence counts early only after the VM was listed.
func (s *State) Gone(entry string) bool {
	o := s.Others[entry]
	if o == nil || o.GoneSince.IsZero() {
		return false
	}
	if s.expired(o) {
		return true
	}
	wait := s.Timing.ReplacedAfter()
	return o.Listed && s.ListStart.Sub(o.GoneSince) >= wait
}

// Reclaimable tells whether no work of the holder can run any more, as of the last
// member list. The caller must have read the ledger before that list.
func (s *State) Reclaimable(entry string, incarnation uint64) bool {
	if s.EstablishedAt.IsZero() {
		return false
	}
	if entry == s.Self.Entry {
		return incarnation != s.Self.Incarnation && s.ListStart.Sub(s.Joined) >= s.Timing.ReplacedAfter()
	}
	o := s.Others[entry]
	if o == nil {
		// A record is deleted one hour after its member left.
		return s.ListStart.Sub(s.EstablishedAt) >= s.Timing.ExpireAfter()
	}
	replaced := s.ListStart.Sub(o.Replaced) >= s.Timing.ReplacedAfter()
	if o.Member.Incarnation != incarnation {
		return replaced
	}
	return o.Member.Left && replaced || s.expired(o) || s.Gone(entry)
}

// ObserveEstablished records that the member is established. Observation starts
// anew: until now others could extend their rights without asking this member.
func (s *State) ObserveEstablished(now time.Time) {
	if !s.EstablishedAt.IsZero() {
		return
	}
	s.EstablishedAt = now
	for _, o := range s.Others {
		o.resetClocks(now)
	}
}

// Epoch describes what Reclaimable depends on. A sweep of the ledgers is due when it
// has changed since the last one.
func (s *State) Epoch() string {
	var parts []string
	for entry, o := range s.Others {
		settled := s.ListStart.Sub(o.Replaced) >= s.Timing.ReplacedAfter()
		gone := s.expired(o) || s.Gone(entry)
		parts = append(parts, fmt.Sprintf("%s/%x/%t/%t/%t", entry, o.Member.Incarnation, o.Member.Left, settled, gone))
	}
	sort.Strings(parts)
	own := s.ListStart.Sub(s.Joined) >= s.Timing.ReplacedAfter()
	absent := s.ListStart.Sub(s.EstablishedAt) >= s.Timing.ExpireAfter()
	return fmt.Sprint(parts, own, absent)
}

// MayEstablish tells whether the member qualifies to be confirmed: its record was
// written before it read the member list and proved the head.
func (s *State) MayEstablish() bool {
	return !s.Joined.IsZero() && !s.ListStart.Before(s.Joined) && !s.Proof.Before(s.Joined)
}
