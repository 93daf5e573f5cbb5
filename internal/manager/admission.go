package manager

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/sequencer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// markTTL is how long a mark stays in the store. A delayed write or repeat of an earlier
	// attempt arrives within seconds.
	markTTL = time.Minute
	// maxWaitAge bounds the time for which a reported wait is extrapolated: the inflow is an
	// average over 0.6 s.
	maxWaitAge = 600 * time.Millisecond
)

// admissionControl refuses jobs that would end too late to be of use to their callers, and marks
// the IDs of jobs that are not to be accepted.
//
// A refusal promises that the job never runs, and so does the cancellation of a job that is not
// stored. An earlier attempt may have been stored without an answer, or its write may still
// arrive. So a mark is stored first, under the key that acceptance checks.
type admissionControl struct {
	cfg  Config
	view *fleetView

	mu        sync.Mutex
	lease     storer.LeaseID
	grantedAt time.Duration
}

// tooLate reports whether a job would end too late to be of use if the cell ran it, and after
// which time to repeat the request.
func (c *admissionControl) tooLate(a authorizedCall, job *jobkeeper.Job, cell string) (time.Duration, bool) {
	if job.Scheduled() || job.LongRunning() {
		return 0, false
	}
	report, age, ok := c.view.report(cell)
	if !ok {
		return 0, false
	}
	state := report.queue(a.route.Queue)
	criticalPath := report.durations(a.route.Queue).CriticalPath(job)
	objective := a.conf.Engine.Queues[a.route.Queue].Objective(criticalPath)
	age = min(age, maxWaitAge)
	onTimeWait := max(state.OnTimeWait, state.TeamWaits[a.team])
	arrival := sequencer.Arrival{
		Chain:      criticalPath,
		Objective:  objective,
		Wait:       sequencer.WaitAt(max(state.ExpectedWait, onTimeWait), age, state.Inflow),
		OnTimeWait: sequencer.WaitAt(onTimeWait, age, state.Inflow),
		Jitter:     retryJitter(job.ID),
	}
	useful, retryAfter := sequencer.Admit(arrival)
	if !useful && isProbe(job.ID) {
		job.Probe = true
		useful = true
		c.cfg.Logger.Info("job accepted to check the prediction that it ends too late", "job", job.ID, "queue", a.route.Queue, "cell", cell)
	}
	if !useful {
		c.cfg.Logger.Info("job would end too late to be of use", "job", job.ID, "queue", a.route.Queue, "team", a.team, "cell", cell,
			"wait_ms", arrival.Wait.Milliseconds(), "on_time_wait_ms", arrival.OnTimeWait.Milliseconds(), "inflow", state.Inflow,
			"reported_wait_ms", state.ExpectedWait.Milliseconds(), "report_age_ms", age.Milliseconds(), "chain_ms", criticalPath.Milliseconds(), "estimated_chain_ms", job.CriticalPathMS(),
			"objective_ms", objective.Milliseconds(), "retry_after_ms", retryAfter.Milliseconds())
	}
	return retryAfter, !useful
}

// refuse reports whether a job is not accepted, and returns the answer for its caller then.
func (f *Front) refuse(a authorizedCall, job *jobkeeper.Job, cell string) (answer Result, refused bool) {
	if f.capacity.full(cell, job) {
		f.cfg.Logger.Warn("job refused, accepted work takes the memory of the owner", "job", a.id, "queue", a.route.Queue, "team", a.team, "cell", cell)
		return Result{
			Verdict:    VerdictNotRun,
			Reason:     "too much accepted work waits",
			RetryAfter: fullRetryAfter + time.Duration(retryJitter(a.id)*float64(fullRetryAfter)),
		}, true
	}
	if retryAfter, tooLate := f.admission.tooLate(a, job, cell); tooLate {
		return Result{
			Verdict:    VerdictNotRun,
			Reason:     "the queue is too long for this job",
			RetryAfter: retryAfter,
		}, true
	}
	return Result{}, false
}

// mark stores that a job is refused or withdrawn. earlier is the version of an earlier refusal of
// the same job, or zero.
func (c *admissionControl) mark(ctx context.Context, a authorizedCall, state jobkeeper.State, earlier storer.Version) error {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return err
	}
	data, err := jobkeeper.EncodeProgress(&jobkeeper.Progress{
		State: state,
		Queue: a.route.Queue,
		Team:  a.team,
	})
	if err != nil {
		return err
	}
	_, err = c.cfg.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{
			{
				Key:     jobkeeper.ProgressKey(a.id),
				Version: earlier,
			},
		},
		Puts: []storer.Put{{
			Key:   jobkeeper.ProgressKey(a.id),
			Value: data,
			Lease: lease,
		}},
	})
	if errors.Is(err, storer.ErrLeaseNotFound) {
		c.mu.Lock()
		c.lease = 0
		c.mu.Unlock()
	}
	return err
}

// currentLease returns a lease that lasts for at least half of markTTL.
func (c *admissionControl) currentLease(ctx context.Context) (storer.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	if c.lease != 0 && now-c.grantedAt < markTTL/2 {
		return c.lease, nil
	}
	lease, _, err := c.cfg.Store.GrantLease(ctx, markTTL)
	if err != nil {
		return 0, err
	}
	c.lease = lease
	c.grantedAt = now
	return lease, nil
}

// probeInterval is the number of jobs that would be refused of which one is accepted, so that the
// share of wrong refusals is known.
const probeInterval = 32

// isProbe reports whether a job that would be refused is accepted. It depends only on the job ID, so
// that each attempt of its caller has the same answer.
func isProbe(id string) bool {
	h := fnv.New32a()
	h.Write([]byte("probe " + id))
	return h.Sum32()%probeInterval == 0
}

// retryJitter returns a number in [0, 1) that depends only on the job ID.
func retryJitter(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}
