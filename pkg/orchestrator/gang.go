package orchestrator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/packer"
)

// startGang places all tasks of a step or none.
func (e *Engine) startGang(p *pool, g group, views []packer.Target, now time.Duration) bool {
	step := g.step.step
	waiting := g.step.waitingTasks(now)
	if len(waiting) < len(g.step.tasks) || e.unanswered > 0 && e.unanswered+len(waiting) > maxUnanswered {
		return true
	}
	if !e.gangWithinLimit(g.step) {
		e.waits(g, p, waitLimit, now)
		return true
	}
	original := append([]packer.Target(nil), views...)
	chosen := make([]int, 0, len(waiting))
	rack := ""
	for _, t := range waiting {
		i := e.choose(g.step, t, rack, views, now)
		if i < 0 {
			copy(views, original)
			return false
		}
		if step.SameRack {
			rack = views[i].Rack
		}
		place(&views[i], step)
		chosen = append(chosen, i)
	}
	run := e.nextRun()
	for n, t := range waiting {
		e.launch(t, p.targets[chosen[n]], run, now)
	}
	return true
}

// gangWithinLimit reports whether the team may have a whole gang running. Only the last
// task may cross the limit: unlike a single large task, a gang can cross it by far.
func (e *Engine) gangWithinLimit(s *stepState) bool {
	limit := e.conf.Teams[s.job.doc.Team].Limit
	used := e.usage[s.job.doc.Team]
	if e.blocked {
		used = used.Plus(e.uncertainUsage(s.job.doc.Team))
	}
	return fitsLimit(used.Plus(s.step.Needs.Times(int64(len(s.tasks)-1))), limit)
}

// running reports whether a task of the step has a run.
func (s *stepState) running() bool {
	for _, t := range s.tasks {
		if len(t.attempts) > 0 {
			return true
		}
	}
	return false
}

// dissolve stops what runs of a gang that has lost a member, or of which an earlier
// owner started only a part: it would hold its targets without working.
func (e *Engine) dissolve(s *stepState, now time.Duration) {
	for _, t := range s.tasks {
		if t.uncertain {
			return // its run may be found on a target that is not listed yet
		}
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			e.stop(a, now, "gang incomplete")
		}
	}
}

// save keeps a checkpoint. One of any member stands for the whole gang, and all have to
// start from the same one.
func (t *task) save(checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !t.step.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint = checkpoint
	}
}

// noteFailure notes that a run failed; of a gang it counts for each member. It returns
// false if that was known.
func (t *task) noteFailure(run uint64) bool {
	if !t.step.step.Gang {
		return t.fail(run)
	}
	news := false
	for _, member := range t.step.tasks {
		news = member.fail(run) || news
	}
	return news
}
