package orchestrator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// burstBesideClubs is a pool of 32 cores on which schools sends four times what it can do for four
// seconds, beside ten clubs that together ask for half of it. Each job has four tasks of 0.6 s on two
// cores, and an objective of 1.56 s.
type burstBesideClubs struct {
	*world
	submitted map[string]time.Duration
	took      map[string]time.Duration
	mostHeld  int // teams at the same time
}

const clubsInBurst = 10

func newBurstBesideClubs(t *testing.T, weighted bool) *burstBesideClubs {
	w := newWorldWithTargets(t, 4)
	w.conf.Teams = map[string]orchestrator.Team{}
	for _, name := range append(clubNames(), "schools") {
		team := orchestrator.Team{
			Name: name,
		}
		if weighted {
			team.Weight = 50
		}
		w.conf.Teams[name] = team
	}
	w.engine.Configure(w.conf)
	return &burstBesideClubs{
		world:     w,
		submitted: map[string]time.Duration{},
		took:      map[string]time.Duration{},
	}
}

func clubNames() []string {
	var names []string
	for i := range clubsInBurst {
		names = append(names, fmt.Sprintf("club-%d", i))
	}
	return names
}

// play plays the load for five seconds and goes on until all jobs have ended. The owner changes
// at the given time, if it is not zero.
func (b *burstBesideClubs) play(takeOverAt time.Duration) {
	const every = 50 * time.Millisecond
	clubs := clubNames()
	began, jobs := b.now, 0
	send := func(team string) {
		id := fmt.Sprintf("%s/%04d", team, jobs)
		b.submit(testJob(id, team, 600, 4))
		b.submitted[id] = b.now
		jobs++
	}
	for i := 0; i < 100 || len(b.submitted) > 0 && i < 2000; i++ {
		if i >= 10 && i < 90 { // 4.8 core-seconds each 50 ms
			send("schools")
		}
		if i < 100 && i%6 == 0 { // 16 cores
			send(clubs[i/6%clubsInBurst])
		}
		if takeOverAt > 0 && b.now-began == takeOverAt {
			b.takeOver()
		}
		b.run(every)
		for _, p := range b.engine.PoolStates(b.now) {
			b.mostHeld = max(b.mostHeld, p.HeldTeams)
		}
		for id, at := range b.submitted {
			if b.state(id) == jobkeeper.StateComplete {
				b.took[id] = b.now - at
				delete(b.submitted, id)
			}
		}
	}
}

// onTime returns the share of the jobs of a team that took no longer than their objective.
func (b *burstBesideClubs) onTime(team string) float64 {
	var served, asked float64
	for id, job := range b.jobs {
		if job.Team != team {
			continue
		}
		asked++
		if took, ended := b.took[id]; ended && took <= 1560*time.Millisecond {
			served++
		}
	}
	return served / asked
}

func (b *burstBesideClubs) worstClub() float64 {
	worst := 1.0
	for _, name := range clubNames() {
		worst = min(worst, b.onTime(name))
	}
	return worst
}

// The load: a large team bursts beside small ones.
func TestTeamsKeepTheirSharesBesideABurst(t *testing.T) {
	without := newBurstBesideClubs(t, false)
	without.play(0)
	with := newBurstBesideClubs(t, true)
	with.play(0)
	t.Logf("worst club %.2f with weights, %.2f without; schools %.2f and %.2f", with.worstClub(), without.worstClub(), with.onTime("schools"), without.onTime("schools"))
	if got := with.worstClub(); got < 0.95 {
		t.Errorf("%.2f of the jobs of the worst club are on time, want 0.95", got)
	}
	if with.worstClub() <= without.worstClub() {
		t.Errorf("%.2f of the jobs of the worst club are on time, %.2f without weights", with.worstClub(), without.worstClub())
	}
	if with.mostHeld != 1 || without.mostHeld != 0 {
		t.Errorf("%d teams were held to their shares, %d without weights, want 1 and 0", with.mostHeld, without.mostHeld)
	}
	if with.onTime("schools") == 0 {
		t.Error("nothing of schools is on time")
	}
	with.verify()
	without.verify()
}

// The next owner begins with an empty account.
func TestTeamsKeepTheirSharesBesideABurstWhileTheOwnerChanges(t *testing.T) {
	b := newBurstBesideClubs(t, true)
	b.play(2 * time.Second)
	t.Logf("worst club %.2f, schools %.2f", b.worstClub(), b.onTime("schools"))
	if got := b.worstClub(); got < 0.95 {
		t.Errorf("%.2f of the jobs of the worst club are on time, want 0.95", got)
	}
	b.verify()
}

// Refusals go by the reported waits: those of a team beyond its share are longer.
func TestOnlyTheTeamBeyondItsShareIsReportedToWait(t *testing.T) {
	b := newBurstBesideClubs(t, true)
	for i := range 40 {
		b.submit(testJob(fmt.Sprintf("schools/%04d", i), "schools", 600, 4))
		if i%8 == 0 {
			b.submit(testJob(fmt.Sprintf("club/%04d", i), clubNames()[i/8], 600, 4))
		}
	}
	b.run(200 * time.Millisecond)
	states := b.engine.QueueStates(b.now)
	if len(states) != 1 {
		t.Fatalf("got the states of %d queues, want 1", len(states))
	}
	var teams []string
	for team := range states[0].TeamWaits {
		teams = append(teams, team)
	}
	if !slices.Equal(teams, []string{"schools"}) {
		t.Errorf("waits of their own are reported for %v, want schools", teams)
	}
	if wait := states[0].TeamWaits["schools"]; wait <= states[0].OnTimeWait {
		t.Errorf("schools waits %s, the others %s", wait, states[0].OnTimeWait)
	}
}
