package sequencer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/sequencer"
)

// teamLoad is the load that a team offers: jobs of width tasks on one core for half a second.
type teamLoad struct {
	name     string
	weight   float64
	from, to time.Duration
	interval time.Duration // between two jobs
	width    int
}

// teamJob is a job in sharedPool.
type teamJob struct {
	simJob

	team     string
	excess   float64
	entitled bool
	started  bool
	lastEnds time.Duration // of the tasks that have started
}

// sharedPool plays teams on a pool in steps of sharedStep.
type sharedPool struct {
	cores    int64
	loads    []teamLoad
	byWeight bool
	// takeovers are the times at which the account is lost.
	takeovers []time.Duration
}

const (
	sharedStep     = 20 * time.Millisecond
	sharedDuration = 500 * time.Millisecond
	sharedDue      = 1400 * time.Millisecond // from arrival
)

// play returns the jobs by team.
func (p sharedPool) play(seed uint64, length time.Duration) map[string][]*teamJob {
	jobs := p.jobs(seed)
	weights := map[string]float64{}
	for _, l := range p.loads {
		weights[l.name] = 0
		if p.byWeight {
			weights[l.name] = l.weight
		}
	}
	var account sequencer.ShareAccount
	var running []*teamJob // by task
	var ends []time.Duration
	free := p.cores
	for now := time.Duration(0); now < length; now += sharedStep {
		if slices.Contains(p.takeovers, now) {
			account = sequencer.ShareAccount{}
		}
		used := map[string]int64{}
		for i := 0; i < len(running); {
			j := running[i]
			if ends[i] > now {
				used[j.team] += 1000
				i++
				continue
			}
			free++
			j.running--
			if j.running == 0 && j.waiting == 0 {
				j.ended = now
			}
			running, ends = slices.Delete(running, i, i+1), slices.Delete(ends, i, i+1)
		}
		account.Charge(used, now)
		for _, j := range p.order(jobs, weights, &account, now) {
			for j.waiting > 0 && free > 0 {
				j.waiting--
				j.running++
				j.started = true
				j.lastEnds = now + j.duration
				free--
				running, ends = append(running, j), append(ends, now+j.duration)
			}
		}
	}
	byTeam := map[string][]*teamJob{}
	for _, j := range jobs {
		byTeam[j.team] = append(byTeam[j.team], j)
	}
	return byTeam
}

func (p sharedPool) jobs(seed uint64) []*teamJob {
	r := rand.New(rand.NewPCG(seed, 7))
	var jobs []*teamJob
	for _, l := range p.loads {
		for at := l.from; at < l.to; at += time.Duration(float64(l.interval) * (0.5 + r.Float64())) {
			jobs = append(jobs, &teamJob{
				simJob: simJob{
					arrival:  at,
					due:      at + sharedDue,
					duration: sharedDuration,
					waiting:  l.width,
					cores:    1,
				},
				team: l.name,
			})
		}
	}
	return jobs
}

// order plans the jobs and returns those with waiting tasks in the order in which they are served.
func (p sharedPool) order(jobs []*teamJob, weights map[string]float64, account *sequencer.ShareAccount, now time.Duration) []*teamJob {
	var works []sequencer.Work
	var waiting []*teamJob
	for n, j := range jobs {
		if j.arrival > now || j.ended > 0 || !j.started && now > j.due {
			continue // its caller has left
		}
		works = append(works, sequencer.Work{
			ID:      fmt.Sprintf("%05d", n),
			Team:    j.team,
			Started: j.started,
			CoreMS:  int64(j.waiting+j.running) * j.duration.Milliseconds(),
			Chain:   j.chain(now),
			Due:     j.due - now,
		})
		if j.waiting > 0 {
			waiting = append(waiting, j)
		}
	}
	plan := sequencer.PlanByShare(works, sequencer.Capacity{
		Millicores: p.cores * 1000,
	}, weights, account)
	for n, j := range jobs {
		id := fmt.Sprintf("%05d", n)
		j.planned, j.excess, j.entitled = plan.Planned[id], plan.Excess[id], plan.Entitled[j.team]
	}
	slices.SortStableFunc(waiting, func(a, b *teamJob) int {
		return sequencer.Compare(a.candidate(now), b.candidate(now))
	})
	return waiting
}

// chain returns the time until all tasks have ended, if those that wait start at once.
func (j *teamJob) chain(now time.Duration) time.Duration {
	if j.waiting > 0 {
		return j.duration
	}
	return j.lastEnds - now
}

func (j *teamJob) candidate(now time.Duration) sequencer.Candidate {
	c := j.simJob.candidate(now)
	c.Excess, c.Entitled = j.excess, j.entitled
	return c
}

// onTime returns how many of the jobs that arrived within a time ended on time, and how many
// arrived.
func onTime(jobs []*teamJob, from, to time.Duration) (served, asked int) {
	for _, j := range jobs {
		if j.arrival < from || j.arrival >= to {
			continue
		}
		asked++
		if j.onTime() {
			served++
		}
	}
	return served, asked
}

func servedShare(jobs []*teamJob, from, to time.Duration) float64 {
	served, asked := onTime(jobs, from, to)
	return float64(served) / float64(asked)
}
