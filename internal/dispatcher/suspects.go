package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/placer"
)

const (
	// trialTime is the time from its start in which a suspected request shares its target with
	// no other one. Later it does so only where no target without one has room.
	trialTime = 500 * time.Millisecond
	// maxQueuedSuspects is the number of queued suspected requests of a team. The scheduler
	// looks only at the first requests of each queue, so more of them would block the others.
	maxQueuedSuspects = 2
)

var errSuspectsQueued = errors.New("enough suspected requests are queued")

// suspects are the requests of a pool that have lost an attempt. One that crashes its targets
// can't be told from those that ran beside it, so their next attempts are made on separate
// targets.
type suspects struct {
	queued  map[string]int  // by team
	running map[*grant]bool // their attempts
}

func (s *suspects) dequeue(team string) {
	s.queued[team]--
	if s.queued[team] == 0 {
		delete(s.queued, team)
	}
}

// targets returns the targets of the suspected requests that started after a time.
func (s *suspects) targets(after time.Time) []string {
	var names []string
	for g := range s.running {
		if g.start.After(after) {
			names = append(names, g.target.vm.Name)
		}
	}
	return names
}

// acquireSeparately is acquire for a request that has lost an attempt.
func (p *pool) acquireSeparately(ctx context.Context, team string, class configurer.Class, need placer.Need, deadline time.Time) (*grant, error) {
	w := newWaiter(team, class, need)
	w.suspect = true
	for {
		g, err := p.await(ctx, w, deadline)
		if !errors.Is(err, errSuspectsQueued) {
			return g, err
		}
		if !sleeper.Sleep(ctx, tickInterval) {
			return nil, Error.Wrap(ctx.Err())
		}
	}
}

// separateNeed returns the need of the request without the targets that it may not share with
// other suspected requests. The lock is held.
func (p *pool) separateNeed(need placer.Need, now time.Time) placer.Need {
	failed := need.Avoid
	for _, after := range []time.Time{{}, now.Add(-trialTime)} {
		need.Avoid = slices.Concat(failed, p.suspects.targets(after))
		if p.placer.Fits(&need) {
			break
		}
	}
	return need
}

// besideSuspect tells whether a suspected request started at the target of g later than g and
// less than trialTime ago. If the target has crashed, that request is the likelier cause.
func (p *pool) besideSuspect(g *grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := g.member.lastSuspect
	return last.After(g.start) && time.Since(last) < trialTime
}
