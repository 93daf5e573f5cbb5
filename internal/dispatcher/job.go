package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/placer"
	"github.com/comfreyford/comfreyford/pkg/scheduler"
)

// JobDescription describes accepted work to its caller.
type JobDescription struct {
	Identity string            `json:"identity"`
	State    journaler.State   `json:"state"`
	Verdict  journaler.Verdict `json:"verdict,omitempty"`
	// MayHaveRun tells whether a job without a result may have run.
	MayHaveRun bool `json:"may_have_run"`
	Starts     int  `json:"starts"`
}

// Job returns the state or the result of accepted work, or cancels it. The caller closes the
// result's body.
func (d *Dispatcher) Job(ctx context.Context, r JobRequest) Result {
	if !d.beginRequest() {
		return NotRun(ReasonDraining, "this entry daemon is shutting down")
	}
	defer d.running.Done()
	id, err := journaler.ParseIdentity(r.Identity)
	if err != nil {
		return NotRun(ReasonBadIdentity, "want a UUIDv7")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerRetries*ownerRetryDelay)
	return withCleanup(d.callOwner(ctx, id, r.Hops, func(owner string) Result {
		if owner != d.cfg.Entry {
			return d.cfg.Peers.ForwardJob(ctx, owner, r)
		}
		return d.jobAsOwner(ctx, id, r)
	}), cancel)
}

func (d *Dispatcher) jobAsOwner(ctx context.Context, id uuid.UUID, r JobRequest) Result {
	var record journaler.Record
	var err error
	if r.Action == JobCancel {
		record, err = d.cfg.Journal.Cancel(ctx, id, r.Team)
	} else {
		record, err = d.cfg.Journal.Lookup(ctx, id, r.Team)
	}
	switch {
	case errors.Is(err, journaler.ErrNotFound), errors.Is(err, journaler.ErrWrongTeam):
		return NotRun(ReasonUnknownJob, "no record of this identity; records are kept for 10 minutes after the end")
	case err != nil:
		return d.journalErrorResult(err, r.Action == JobCancel)
	case r.Action == JobResult && record.State == journaler.StateDone:
		return d.storedResult(ctx, record)
	case r.Action == JobResult && record.State.Final():
		return d.resultFromRecord(ctx, record)
	case r.Action == JobResult:
		return jobStateResult(record, http.StatusAccepted)
	default:
		return jobStateResult(record, http.StatusOK)
	}
}

func jobStateResult(r journaler.Record, status int) Result {
	content, err := json.Marshal(JobDescription{
		Identity:   r.ID.String(),
		State:      r.State,
		Verdict:    r.Verdict,
		MayHaveRun: r.Ran,
		Starts:     r.Starts,
	})
	if err != nil {
		return Unknown(ReasonJournalUnavailable, err.Error())
	}
	return Result{
		Outcome:     OutcomeDone,
		Status:      status,
		ContentType: "application/json",
		Body:        io.NopCloser(bytes.NewReader(append(content, '\n'))),
	}
}

// Place implements journaler.Dispatcher: it waits for a slot for a job.
func (d *Dispatcher) Place(ctx context.Context, job journaler.Job) (journaler.Placement, error) {
	queue, ok := d.cfg.Tree().Queues[job.Request.Queue]
	if !ok {
		return journaler.Placement{}, Error.Wrap(journaler.ErrCannotRun)
	}
	need := placer.Need{}
	need.Resources = queue.Resources
	need.Slots = max(1, need.Slots)
	need.Connections = 1
	p := d.pool(queue.Pool)
	if p.mustWaitForCalm(job) {
		return journaler.Placement{}, Error.Wrap(errNotCalm)
	}
	g, err := p.acquire(ctx, job.Request.Team, queue.Class, need, time.UnixMilli(job.Request.DeadlineMS))
	if errors.Is(err, scheduler.ErrNeverFits) && p.sizesKnown() {
		return journaler.Placement{}, Error.Wrap(journaler.ErrCannotRun)
	}
	if err != nil {
		return journaler.Placement{}, err
	}
	return journaler.Placement{
		Name:      g.target.vm.Name,
		Target:    checkpointableTarget{Target: g.target.client, grant: g},
		Pool:      p.name,
		Resources: need.Resources,
		Release:   g.release,
	}, nil
}

// AcquireAllowance implements journaler.Dispatcher: it waits for allowance for a task that
// was started by another entry daemon and is adopted here.
func (d *Dispatcher) AcquireAllowance(ctx context.Context, job journaler.Job) (func(ended bool), error) {
	team := job.Request.Team
	if team == "" {
		return func(bool) {}, nil
	}
	// The record does not contain the number of slots; it is a setting of the queue.
	queue, ok := d.cfg.Tree().Queues[job.Request.Queue]
	if !ok {
		return nil, Error.New("allowance of an adopted task: no queue %q", job.Request.Queue)
	}
	slots := max(1, queue.Resources.Slots)
	if err := d.cfg.Holder.AcquireWait(ctx, team, slots); err != nil {
		return nil, Error.Wrap(err)
	}
	return func(ended bool) { d.releaseAllowance(team, slots, ended) }, nil
}

// sizesKnown tells whether the pool has targets and the size of each is known. Only then can a
// request that is larger than all of them be refused for good.
func (p *pool) sizesKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.total.Slots == 0 {
			return false
		}
	}
	return len(p.members) > 0
}
