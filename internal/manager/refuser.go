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
	// reportAge is the greatest age of the owner's report on which a refusal may rest.
	reportAge = 5 * time.Second
	// refusalTTL is how long a refusal stays in the store: a write of an earlier attempt
	// that is still under way arrives within seconds.
	refusalTTL = time.Minute
)

// refuser turns away jobs that can be of no use to their callers any more.
//
// A refusal says that the job never runs. An earlier attempt may have been stored
// without an answer, or its write may still arrive, so a refusal is written first,
// in the place where acceptance looks for it.
type refuser struct {
	cfg    Config
	queues *queueBoard

	mu        sync.Mutex
	lease     storer.LeaseID
	grantedAt time.Duration
}

// hopeless reports whether a job can't be useful, and when to come back.
func (r *refuser) hopeless(a admission, job *jobkeeper.Job) (time.Duration, bool) {
	if job.Scheduled() || job.Lasting() {
		return 0, false
	}
	state, age := r.queues.state(a.route.Queue)
	if age > reportAge {
		return 0, false
	}
	chain := time.Duration(job.Chain()) * time.Millisecond
	objective := a.conf.Engine.Queues[a.route.Queue].Objective(chain)
	ok, retryAfter := sequencer.Admit(sequencer.Arrival{
		Chain:     chain,
		Objective: objective,
		Wait:      max(0, state.Wait-age),
		Spread:    spread(job.ID),
	})
	if !ok {
		r.cfg.Logger.Info("job is of no more use", "job", job.ID, "queue", a.route.Queue, "team", a.team,
			"wait_ms", state.Wait.Milliseconds(), "report_age_ms", age.Milliseconds(), "chain_ms", chain.Milliseconds(),
			"objective_ms", objective.Milliseconds(), "retry_after_ms", retryAfter.Milliseconds())
	}
	return retryAfter, !ok
}

// refuse writes a refusal. earlier is the revision of an earlier one.
func (r *refuser) refuse(ctx context.Context, a admission, earlier storer.Version) error {
	lease, err := r.currentLease(ctx)
	if err != nil {
		return err
	}
	data, err := jobkeeper.EncodeProgress(&jobkeeper.Progress{
		State: jobkeeper.StateRefused,
		Queue: a.route.Queue,
		Team:  a.team,
	})
	if err != nil {
		return err
	}
	_, err = r.cfg.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{
			{
				Key: jobkeeper.DocumentKey(a.id),
			},
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
		r.mu.Lock()
		r.lease = 0
		r.mu.Unlock()
	}
	return err
}

// currentLease returns a lease that lasts for at least half of refusalTTL.
func (r *refuser) currentLease(ctx context.Context) (storer.LeaseID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	if r.lease != 0 && now-r.grantedAt < refusalTTL/2 {
		return r.lease, nil
	}
	lease, _, err := r.cfg.Store.GrantLease(ctx, refusalTTL)
	if err != nil {
		return 0, err
	}
	r.lease = lease
	r.grantedAt = now
	return lease, nil
}

// spread returns a figure in [0, 1) that depends on the identity alone.
func spread(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}
