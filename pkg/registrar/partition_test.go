package registrar

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelMember is a member in the partition model. Its clock runs rate times as fast as
// model time.
type modelMember struct {
	state *State
	rate  float64
	store bool // whether it can reach the service
	link  map[int]bool
	round *Round
	asks  []Member

	change     *Change // change that it committed and that is not in force yet
	committing uint64  // revision of a commit under way; zero if none
	base       uint64
}

// partitionModel simulates members, one key-value service and the links between them.
type partitionModel struct {
	t       *rapid.T
	epoch   time.Time
	elapsed time.Duration
	members []*modelMember
	records map[string]Member
	head    uint64
	inForce uint64
	nextInc uint64
}

func (p *partitionModel) clock(i int) time.Time {
	return p.epoch.Add(time.Duration(float64(p.elapsed) * p.members[i].rate))
}

func (p *partitionModel) start(i int) {
	p.nextInc++
	s := p.members[i]
	s.state = NewState(DefaultTiming(), Member{
		Entry:       fmt.Sprint("e", i),
		Incarnation: p.nextInc,
		Address:     fmt.Sprint("a", i),
	})
	s.round, s.change, s.committing = nil, nil, 0
}

func (p *partitionModel) call(i int) bool {
	s := p.members[i]
	s.state.ObserveCall(p.clock(i), s.store)
	return s.store
}

func (p *partitionModel) refresh(i int) {
	s, now := p.members[i], p.clock(i)
	if !p.call(i) {
		return
	}
	m := s.state.Self
	if r := p.records[m.Entry]; r.Incarnation > m.Incarnation {
		return
	}
	m.Counter++
	s.state.Self = m
	p.records[m.Entry] = m
	s.state.ObserveHeartbeat(now, now)
	var list []Member
	for _, r := range p.records {
		list = append(list, r)
	}
	s.state.ObserveList(list, now, now)
}

func (p *partitionModel) readHead(i int) {
	if p.call(i) {
		p.members[i].state.ObserveHead(p.clock(i), p.head)
	}
}

func (p *partitionModel) establish(i int) {
	s := p.members[i]
	if !s.state.MayEstablish() || !s.state.EstablishedAt.IsZero() {
		return
	}
	confirmed := false
	answers := map[string]ConfirmAnswer{}
	for _, m := range s.state.Known() {
		if j := p.index(m.Entry); s.link[j] {
			answers[m.Entry] = p.members[j].state.Confirm(ConfirmRequest{Member: s.state.Self}, p.clock(j))
			confirmed = confirmed || answers[m.Entry].Confirmed
		}
	}
	if confirmed || s.state.MayBeFirst(answers) {
		s.state.ObserveEstablished(p.clock(i))
	}
}

func (p *partitionModel) index(entry string) int {
	return slices.IndexFunc(p.members, func(s *modelMember) bool { return s.state.Self.Entry == entry })
}

// stepRound starts a round of promises if none is under way, and asks its next member.
func (p *partitionModel) stepRound(i int) {
	s, now := p.members[i], p.clock(i)
	if s.round == nil {
		s.round, s.asks = s.state.NewRound(now)
	}
	if len(s.asks) > 0 {
		j := p.index(s.asks[0].Entry)
		s.asks = s.asks[1:]
		var a PromiseAnswer
		if s.link[j] {
			p.call(j)
			a = p.members[j].state.Promise(PromiseRequest{
				Entry:       s.state.Self.Entry,
				Incarnation: s.state.Self.Incarnation,
				Revision:    s.state.Self.Revision,
			}, p.clock(j))
		}
		s.asks = append(s.asks, s.round.Apply(a)...)
	}
	if s.round.Done() {
		s.state.ObserveRound(s.round, now)
		s.round = nil
	}
}

// stepCommit starts a commit, or lets the one under way take effect.
func (p *partitionModel) stepCommit(i int) {
	s, now := p.members[i], p.clock(i)
	if s.committing == 0 {
		if s.state.Joined.IsZero() || s.state.Begin(false, now) != nil {
			return
		}
		s.base = s.state.Self.Revision
		s.committing = s.base + 1
		return
	}
	if !p.call(i) {
		return // the outcome stays unknown and the change pending
	}
	if p.head == s.base {
		p.head = s.committing
		s.state.ObserveHead(now, p.head)
		s.change = &Change{
			Revision:  s.committing,
			Committed: now,
		}
	}
	s.committing = 0
	s.state.End()
}

func (p *partitionModel) report(i int) {
	for j, s := range p.members {
		if j != i && s.link[i] {
			self := p.members[i].state.Self
			s.state.ObserveReport(self.Entry, self.Incarnation, self.Revision, p.clock(j))
		}
	}
}

func (p *partitionModel) check() {
	for i, s := range p.members {
		if s.change == nil {
			continue
		}
		missing, err := s.state.Missing(*s.change, p.clock(i))
		if err == nil && len(missing) == 0 {
			p.inForce = max(p.inForce, s.change.Revision)
			s.change = nil
		}
	}
	for i, s := range p.members {
		if s.state.Fresh(p.clock(i)) && s.state.Self.Revision < p.inForce {
			p.t.Fatalf("e%d uses revision %d after %d was reported in force at %v", i, s.state.Self.Revision, p.inForce, p.elapsed)
		}
	}
}

// TestNoMemberUsesSupersededConfiguration guards against partitions in which a member
// still admits keyed work under a configuration older than the one in force.
func TestNoMemberUsesSupersededConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &partitionModel{
			t:       t,
			epoch:   time.Unix(1000, 0),
			records: map[string]Member{},
			head:    1,
		}
		n := rapid.IntRange(2, 4).Draw(t, "members")
		for i := range n {
			s := &modelMember{
				rate:  rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate"),
				store: true,
				link:  map[int]bool{},
			}
			for j := range n {
				s.link[j] = j != i
			}
			p.members = append(p.members, s)
			p.start(i)
		}
		anyMember := rapid.IntRange(0, n-1)
		for range rapid.IntRange(30, 150).Draw(t, "steps") {
			i := anyMember.Draw(t, "member")
			op := rapid.SampledFrom([]string{"wait", "wait", "refresh", "head", "establish", "round", "round", "round", "commit", "report", "service", "service", "outage", "link", "restart", "all"}).Draw(t, "op")
			switch op {
			case "wait":
				p.elapsed += time.Duration(rapid.SampledFrom([]int{1, 100, 600, 1500, 3000, 3100, 3600}).Draw(t, "ms")) * time.Millisecond
			case "refresh":
				p.refresh(i)
			case "head":
				p.readHead(i)
			case "establish":
				p.establish(i)
			case "round":
				p.stepRound(i)
			case "commit":
				p.stepCommit(i)
			case "report":
				p.report(i)
			case "service":
				p.members[i].store = !p.members[i].store
			case "outage":
				for _, s := range p.members {
					s.store = false
				}
			case "link":
				j := anyMember.Draw(t, "other")
				p.members[i].link[j] = !p.members[i].link[j] && i != j
				p.members[j].link[i] = p.members[i].link[j]
			case "restart":
				p.start(i)
			case "all":
				for j := range p.members {
					p.refresh(j)
					p.readHead(j)
					p.establish(j)
				}
			}
			p.check()
		}
	})
}

// newStateWithOther returns the state of an established member that has just read a list
// with one other member.
func newStateWithOther(now time.Time) *State {
	s := NewState(DefaultTiming(), Member{
		Entry:       "a",
		Incarnation: 1,
		Address:     "a:1",
	})
	s.ObserveHeartbeat(now, now)
	s.ObserveHead(now, 1)
	s.ObserveList([]Member{other(1)}, now, now)
	s.ObserveEstablished(now)
	return s
}

func other(counter uint64) Member {
	return Member{
		Entry:       "b",
		Incarnation: 2,
		Address:     "b:1",
		Counter:     counter,
	}
}

// TestReclaimWaitsUntilWorkHasEnded guards against a reclaim while work of a lost holder
// may still run.
func TestReclaimWaitsUntilWorkHasEnded(t *testing.T) {
	t0 := time.Unix(1000, 0)
	replaced := other(1)
	replaced.Incarnation = 3
	left := other(1)
	left.Left = true
	cases := []struct {
		name   string
		event  func(s *State, now time.Time)
		seen   Member
		vm     bool
		after  time.Duration
		expect bool
	}{
		{"counter not unchanged for long enough", nil, other(1), true, 81799 * time.Millisecond, false},
		{"counter unchanged for long enough", nil, other(1), true, 81800 * time.Millisecond, true},
		{"heartbeat seen", nil, other(2), true, 200 * time.Second, false},
		{"replaced too recently", func(s *State, now time.Time) { s.ObserveList([]Member{replaced}, now, now) }, replaced, true, 21199 * time.Millisecond, false},
		{"replaced long enough ago", func(s *State, now time.Time) { s.ObserveList([]Member{replaced}, now, now) }, replaced, true, 21200 * time.Millisecond, true},
		{"left", func(s *State, now time.Time) { s.ObserveList([]Member{left}, now, now) }, left, true, 21200 * time.Millisecond, true},
		{"VM gone", nil, other(1), false, 21200 * time.Millisecond, true},
		{"VM gone but heartbeat seen", nil, other(2), false, 21200 * time.Millisecond, false},
		{"VM never listed", func(s *State, _ time.Time) { s.Others["b"].Listed = false }, other(1), false, 30 * time.Second, false},
		{"promise given later", func(s *State, now time.Time) {
			s.ObserveCall(now, false)
			s.Promise(PromiseRequest{Entry: "b", Incarnation: 2, Revision: 1}, now.Add(time.Second))
		}, other(1), true, 81900 * time.Millisecond, false},
		{"not established", func(s *State, _ time.Time) { s.EstablishedAt = time.Time{} }, other(1), true, 200 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStateWithOther(t0)
			s.ObserveVMs(map[string]bool{"a:1": true, "b:1": true}, t0)
			if c.event != nil {
				c.event(s, t0)
			}
			s.ObserveVMs(map[string]bool{"a:1": true, "b:1": c.vm}, t0)
			end := t0.Add(c.after)
			s.ObserveList([]Member{c.seen}, end, end)
			if got := s.Reclaimable("b", 2); got != c.expect {
				t.Fatalf("reclaimable after %v: got %t", c.after, got)
			}
		})
	}
}

// TestPromiseRefusals guards against a promise from a member that may be unable to keep it.
func TestPromiseRefusals(t *testing.T) {
	t0 := time.Unix(1000, 0)
	cases := []struct {
		name   string
		event  func(s *State)
		reason string
	}{
		{"granted", func(*State) {}, ""},
		{"not established", func(s *State) { s.EstablishedAt = time.Time{} }, ReasonNotEstablished},
		{"service reachable", func(s *State) { s.ObserveCall(t0, true) }, ReasonReachable},
		{"no call made", func(s *State) { s.LastFailure = time.Time{} }, ReasonReachable},
		{"change under way", func(s *State) { s.Pending = 1 }, ReasonPending},
		{"newer revision", func(s *State) { s.Self.Revision = 2 }, ReasonNewerRevision},
		{"requester replaced", func(s *State) { s.Others["b"].Member.Incarnation = 9 }, ReasonUnknownMember},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStateWithOther(t0.Add(-time.Minute))
			s.ObserveCall(t0, false)
			c.event(s)
			a := s.Promise(PromiseRequest{Entry: "b", Incarnation: 2, Revision: 1}, t0)
			if a.Reason != c.reason || a.Granted != (c.reason == "") {
				t.Fatalf("got %+v, want reason %q", a, c.reason)
			}
			if a.Granted && !errors.Is(s.Begin(false, t0.Add(3*time.Second)), ErrPromised) {
				t.Fatal("a change may begin while the promise is valid")
			}
			if a.Granted && s.Confirm(ConfirmRequest{Member: Member{Entry: "c", Incarnation: 5}}, t0).Confirmed {
				t.Fatal("a new member was confirmed while the promise is valid")
			}
		})
	}
}

// TestInsufficientPromiseRoundsAreRejected guards against freshness that is extended
// although a promise is missing, too late or contradicted by this member.
func TestInsufficientPromiseRoundsAreRejected(t *testing.T) {
	t0 := time.Unix(1000, 0)
	grant := PromiseAnswer{Granted: true}
	cases := []struct {
		name   string
		answer PromiseAnswer
		took   time.Duration
		event  func(s *State)
		fresh  bool
	}{
		{"all promised", grant, time.Second, func(*State) {}, true},
		{"refused", PromiseAnswer{}, time.Second, func(*State) {}, false},
		{"another member named", PromiseAnswer{Granted: true, Members: []Member{{Entry: "c", Incarnation: 4}}}, time.Second, func(*State) {}, false},
		{"answer too late", grant, 3 * time.Second, func(*State) {}, false},
		{"own change under way", grant, time.Second, func(s *State) { s.Pending = 1 }, false},
		{"not established", grant, time.Second, func(s *State) { s.EstablishedAt = time.Time{} }, false},
		{"service reachable", grant, time.Second, func(s *State) { s.ObserveCall(t0.Add(time.Second), true) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStateWithOther(t0.Add(-time.Minute))
			r, _ := s.NewRound(t0)
			r.Apply(c.answer)
			now := t0.Add(c.took)
			s.ObserveCall(now, false)
			c.event(s)
			if got := s.ObserveRound(r, now); got != c.fresh || s.Fresh(now) != c.fresh {
				t.Fatalf("extended %t, fresh %t", got, s.Fresh(now))
			}
			if s.Fresh(t0.Add(s.Timing.StalenessLimit + 1)) {
				t.Fatal("the promises count for longer than the members keep them")
			}
		})
	}
}

// TestNewMemberIgnoresEarlierObservations guards against a member that relies on what it
// observed before others knew it: a proof of the head, an unchanged heartbeat counter of a
// holder, a member list.
func TestNewMemberIgnoresEarlierObservations(t *testing.T) {
	t0 := time.Unix(1000, 0)
	s := NewState(DefaultTiming(), Member{Entry: "a", Incarnation: 1, Address: "a:1"})
	s.ObserveHead(t0, 1)
	s.ObserveHeartbeat(t0.Add(time.Second), t0.Add(2*time.Second))
	s.ObserveHead(t0.Add(time.Second), 1)
	if s.Fresh(t0.Add(2 * time.Second)) {
		t.Fatal("a proof from before the record of the member was written counts")
	}
	joined := t0.Add(2 * time.Second)
	s.ObserveList([]Member{other(1)}, joined, joined)
	if s.MayEstablish() {
		t.Fatal("the member may be established without a proof of the head")
	}
	s.ObserveHead(joined, 1)
	if !s.MayEstablish() {
		t.Fatal("the member may not be established although it has read the list and proved the head")
	}
	for name, a := range map[string]map[string]ConfirmAnswer{
		"no answer":         {},
		"established":       {"b": {Established: true, Incarnation: 2}},
		"other incarnation": {"b": {Incarnation: 3}},
	} {
		if s.MayBeFirst(a) {
			t.Fatalf("the member may be the first established one although for b there is: %s", name)
		}
	}
	if !s.MayBeFirst(map[string]ConfirmAnswer{"b": {Incarnation: 2}}) {
		t.Fatal("the member may not be the first established one although b is not established")
	}
	c := Change{Revision: 2, Committed: joined.Add(-1)}
	later := joined.Add(80 * time.Second)
	if missing, err := s.Missing(c, later); err != nil || len(missing) != 1 {
		t.Fatalf("missing %v, %v although others may extend their freshness without this member", missing, err)
	}
	s.ObserveEstablished(later)
	end := later.Add(10 * time.Second)
	s.ObserveList([]Member{other(1)}, end, end)
	if s.Reclaimable("b", 2) {
		t.Fatal("the unchanged counter from before the member was established counts")
	}
	if missing, err := s.Missing(c, later.Add(time.Second)); err != nil || len(missing) != 1 {
		t.Fatalf("missing %v, %v", missing, err)
	}
	if missing, err := s.Missing(c, later.Add(3530*time.Millisecond)); err != nil || len(missing) != 0 {
		t.Fatalf("missing %v, %v after no member can be fresh any more", missing, err)
	}
}
