package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/correlator"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

const (
	// crashCalm is how long before the loss of a target the pool must have been calm for it to
	// be held against the request. For further losses than maxLostAttempts, after a wait for
	// calm, it is trialCalm.
	crashCalm = 10 * time.Second
	trialCalm = 3 * time.Second
	// maxCalmWait is how long crashes may go on before requests no longer wait for their end.
	// Jobs wait longer, until deferrableReserve before their deadlines.
	maxCalmWait = 90 * time.Second
	// sameCrash is the time within which losses of one target have one cause.
	sameCrash = targetSilence
	// maxUncalmFailures is the number of failed attempts of a job from which it starts only
	// while its pool is calm.
	maxUncalmFailures = 2
)

var errNotCalm = errors.New("waiting until the pool has no other crashes")

// crashes are the crashes of the targets of a pool, as this entry daemon sees them. The work is
// the identity of a job, or another unique name of a request.
type crashes struct {
	*correlator.Memory[string]
	start time.Time // zero of its times
}

func newCrashes() crashes {
	c := crashes{
		start: time.Now(),
	}
	c.Memory = correlator.New(func(work string) bool { return c.Crashes(work) >= maxLostAttempts })
	return c
}

// recordCrash records that the target was lost while it ran the work, which is empty if it was
// found not to answer.
func (p *pool) recordCrash(m *member, work string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.crashes.start)
	if m.crash == nil || now-m.crash.At >= sameCrash {
		m.crash = &correlator.Crash[string]{
			At: now,
		}
		p.crashes.Record(m.crash)
	}
	if work != "" && !slices.Contains(m.crash.Causes, work) {
		m.crash.Causes = append(m.crash.Causes, work)
	}
}

// recordSilence records the crash of a target that no longer answers.
func (p *pool) recordSilence(t *target) {
	p.mu.Lock()
	m := p.members[t.vm.Name]
	p.mu.Unlock()
	if m != nil && m.target == t && t.usable() {
		p.recordCrash(m, "")
	}
}

// recordLoss records the crash of a target if an attempt was lost with it.
func (g *grant) recordLoss(ctx context.Context, work string, err error) {
	if err != nil && ctx.Err() == nil && !errors.Is(err, runner.ErrNotRun) {
		g.pool.recordCrash(g.member, work)
	}
}

// untilCalm returns how long the work has to wait until its pool has been calm for some time, or
// its crashes have gone on for patience.
func (p *pool) untilCalm(work string, calm, patience time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.crashes.start)
	return p.crashes.CalmAt(work, now, calm, patience) - now
}

// mustWaitForCalm reports whether a job has failed so often that it may not start while targets
// crash for other reasons: it could be lost with them, and would be given up.
func (p *pool) mustWaitForCalm(job journaler.Job) bool {
	left := time.Until(time.UnixMilli(job.Request.DeadlineMS))
	if job.Failures < maxUncalmFailures || left < maxCalmWait {
		return false
	}
	return p.untilCalm(job.ID.String(), crashCalm, max(maxCalmWait, left-deferrableReserve)) > 0
}

// heldAgainst returns the number of lost attempts of which the request is likely to be the cause.
func (a *attempts) heldAgainst() int {
	p := a.p.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i, l := range a.lost {
		calm := crashCalm
		if i >= maxLostAttempts {
			calm = trialCalm
		}
		if !l.beside && !p.crashes.Coincides(a.id, l.at.Sub(p.crashes.start), calm) {
			n++
		}
	}
	return n
}

// exhausted tells whether the request has lost so many targets that it is not tried again. It
// waits until other crashes of the same moment are known.
func (a *attempts) exhausted(ctx context.Context) bool {
	if len(a.lost) < maxLostAttempts {
		return false
	}
	if len(a.lost) >= maxLostTargets {
		return true
	}
	sleeper.Sleep(ctx, correlator.SettleTime)
	return a.heldAgainst() >= maxLostAttempts
}

// awaitCalm waits until the pool has no other crashes, but not longer than half of the time that
// the request has left.
func (a *attempts) awaitCalm(ctx context.Context) bool {
	end := time.Now().Add(time.Until(a.p.Deadline) / 2)
	for len(a.lost) >= maxLostAttempts {
		wait := min(a.p.pool.untilCalm(a.id, trialCalm, maxCalmWait), time.Until(end))
		if wait <= 0 {
			break
		}
		if !sleeper.Sleep(ctx, wait) {
			return false
		}
	}
	return true
}
