package registrar

import (
	"fmt"
	"sort"
	"time"
)

// Observation is what this member knows about another one. All times are on the monotonic
// clock of this process.
type Observation struct {
	Member         Member
	UnchangedSince time.Time // when this counter was first seen, or a later reset by resetClocks
	StatusSince    time.Time // when this incarnation was first seen, or when Left last changed
	Listed         bool      // whether its VM was ever in the platform's list
	GoneSince      time.Time // when its VM was first missing from the list; zero while listed
	Report         time.Time // last report message
	Revision       uint64    // newest revision that it reported
}

// Lease is the lease of a member: it may use its allowances, that is, start and renew work,
// only before Until. Heartbeats and rounds of promises extend it. Term grows when the lease
// is extended after it had expired: other members may have reclaimed the allowances in
// between, so each must be confirmed in its ledger before it is used again.
type Lease struct {
	Until time.Time
	Term  uint64
}

// Valid reports whether work may be started or renewed at now.
func (r Lease) Valid(now time.Time) bool { return r.Term > 0 && now.Before(r.Until) }

// State is the membership as one member knows it.
type State struct {
	Timing Timing
	Self   Member

	Others    map[string]*Observation // by entry name, without Self
	ListStart time.Time               // start of the last read of the member list
	Confirmed map[string]time.Time    // by entry name: when a new member asked to be confirmed

	Joined        time.Time // when the record of this member was first written; zero before
	EstablishedAt time.Time // zero while not established

	FreshAsOf time.Time // start of the last read or round that proved Self.Revision to be the head
	Lease     Lease

	LastSuccess time.Time // start of the last successful call to the service
	LastFailure time.Time // start of the last failed one

	PromisedUntil time.Time
	Pending       int // fenced changes that are under way or whose outcome is not known yet
}

// NewState returns the state of a member that has not joined yet.
func NewState(t Timing, self Member) *State {
	return &State{
		Timing:    t,
		Self:      self,
		Others:    map[string]*Observation{},
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

// ObserveHeartbeat records that a heartbeat of this member that began at start took effect.
func (s *State) ObserveHeartbeat(start, now time.Time) {
	if s.Joined.IsZero() {
		s.Joined = now
	}
	s.extendLease(start.Add(s.Timing.HolderTimeout), now)
}

func (s *State) extendLease(until, now time.Time) {
	if !until.After(s.Lease.Until) {
		return
	}
	if !s.Lease.Valid(now) {
		s.Lease.Term++
	}
	s.Lease.Until = until
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
		s.Others[m.Entry] = &Observation{
			Member:         m,
			UnchangedSince: now,
			StatusSince:    now,
		}
		return
	case o.Member.Incarnation != m.Incarnation:
		*o = Observation{
			UnchangedSince: now,
			StatusSince:    now,
		}
	case o.Member.Left != m.Left:
		o.StatusSince = now
	case o.Member.Counter != m.Counter:
		o.resetClocks(now)
	}
	o.Member = m
}

// resetClocks restarts the periods after which the member counts as expired or gone.
func (o *Observation) resetClocks(now time.Time) {
	o.UnchangedSince = now
	if !o.GoneSince.IsZero() {
		o.GoneSince = now
	}
}

// ObserveVMs records the platform's list of VM addresses. It ignores a list without the VM
// of this member, which is older than this process.
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

// Live returns the sorted names of the members with a recent report, including this one.
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

// Known returns the other members that are not marked as left, sorted by name.
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

// expired reports whether the counter was unchanged for ExpireAfter up to the last member
// list.
func (s *State) expired(o *Observation) bool {
	return s.ListStart.Sub(o.UnchangedSince) >= s.Timing.ExpireAfter()
}

// Gone reports whether the VM of a member has left the platform's list for good. The list
// may also lag behind for new VMs, so if the VM was never listed, the member counts as gone
// only after its heartbeat has expired too.
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

// Reclaimable reports whether no work of that incarnation of the entry daemon can run any
// more, as of the last member list. The caller must have read the ledger before that list.
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
	replaced := s.ListStart.Sub(o.StatusSince) >= s.Timing.ReplacedAfter()
	if o.Member.Incarnation != incarnation {
		return replaced
	}
	return o.Member.Left && replaced || s.expired(o) || s.Gone(entry)
}

// ObserveEstablished records that this member is established. It restarts the observation
// of the others, which could extend their leases without asking this member until now.
func (s *State) ObserveEstablished(now time.Time) {
	if !s.EstablishedAt.IsZero() {
		return
	}
	s.EstablishedAt = now
	for _, o := range s.Others {
		o.resetClocks(now)
	}
}

// Epoch returns a string that changes when the result of Reclaimable may change. A sweep of
// the ledgers is due when it differs from that of the last sweep.
func (s *State) Epoch() string {
	var parts []string
	for entry, o := range s.Others {
		settled := s.ListStart.Sub(o.StatusSince) >= s.Timing.ReplacedAfter()
		gone := s.expired(o) || s.Gone(entry)
		parts = append(parts, fmt.Sprintf("%s/%x/%t/%t/%t", entry, o.Member.Incarnation, o.Member.Left, settled, gone))
	}
	sort.Strings(parts)
	formerSelfReclaimable := s.ListStart.Sub(s.Joined) >= s.Timing.ReplacedAfter()
	absentReclaimable := s.ListStart.Sub(s.EstablishedAt) >= s.Timing.ExpireAfter()
	return fmt.Sprint(parts, formerSelfReclaimable, absentReclaimable)
}

// MayEstablish reports whether this member may ask to be confirmed: it has read the member
// list and proved the head after its record was written.
func (s *State) MayEstablish() bool {
	return !s.Joined.IsZero() && !s.ListStart.Before(s.Joined) && !s.FreshAsOf.Before(s.Joined)
}
