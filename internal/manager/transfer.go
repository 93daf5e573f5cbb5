package manager

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// transferRound is the time between two rounds of transfers.
	transferRound = 200 * time.Millisecond
	// maxTransfers bounds the jobs of one round.
	maxTransfers = 8
	// transferAdvantage is by how much the backlog of another cell has to be shorter for a job
	// that could also start here.
	transferAdvantage = time.Second
)

// pendingTransfer is a transfer whose outcome is unknown. It is tried again until the store
// tells: the transaction may still take effect, and then another cell runs the job.
type pendingTransfer struct {
	transfer    orchestrator.Transfer
	transaction storer.Transaction
	to          string
	unanswered  bool // an attempt got no answer
}

// transferJobs gives jobs that can't start in this cell, or that would start much sooner in
// another one, to another cell, until ctx ends. Changes of a job that are being written
// meanwhile and its transfer exclude each other by the version of its record.
func (o *owner) transferJobs(ctx context.Context) {
	var pending []pendingTransfer
	for sleeper.Sleep(ctx, transferRound) {
		if !o.leaseValid() {
			continue
		}
		var undecided []pendingTransfer
		for _, p := range append(pending, o.newTransfers()...) {
			if !o.commitTransfer(ctx, &p) {
				undecided = append(undecided, p)
			}
		}
		pending = undecided
	}
}

// newTransfers begins the transfers of a round.
func (o *owner) newTransfers() []pendingTransfer {
	var candidates []orchestrator.Transfer
	var own []orchestrator.PoolLoad
	o.locked(func() {
		now := o.cfg.Clock()
		candidates = o.engine.TransferCandidates(maxTransfers, now)
		own = o.engine.PoolLoads(now)
	})
	var transfers []pendingTransfer
	for _, t := range candidates {
		to, ok := o.destination(t, own)
		if !ok {
			continue
		}
		if p, begun := o.beginTransfer(t, to); begun {
			transfers = append(transfers, p)
		}
	}
	return transfers
}

// destination picks the cell that a job goes to; ok is false if it stays.
func (o *owner) destination(t orchestrator.Transfer, own []orchestrator.PoolLoad) (cell string, ok bool) {
	conf, _, _ := o.settings.state()
	homes := o.layout.Homes(t.Job.Team, conf.Engine.Teams[t.Job.Team].Limit)
	homes = slices.DeleteFunc(homes, func(c string) bool { return c == o.cell })
	homes = o.layout.OpenCells(homes, o.settings.evacuatedZones())
	var here time.Duration
	for _, load := range own {
		if load.Pool == t.Pool {
			here = load.Backlog
		}
	}
	rack := jobRack(t.Job)
	candidates := slices.DeleteFunc(o.view.candidates(homes, t.Pool, rack), func(c partitioner.Candidate) bool {
		return c.Millicores == 0 || o.capacity.full(c.Cell, t.Job) || !t.Stranded && c.Backlog+transferAdvantage > here
	})
	i := partitioner.Choose(candidates, [2]float64{rand.Float64(), rand.Float64()})
	if i < 0 {
		return "", false
	}
	return candidates[i].Cell, true
}

// jobRack returns the rack that holds the data of a job, or "".
func jobRack(j *jobkeeper.Job) string {
	for _, s := range j.Steps {
		if s.Rack != "" {
			return s.Rack
		}
	}
	return ""
}

// beginTransfer keeps a job from starting here and prepares its transfer. begun is false if the
// job has changed meanwhile.
func (o *owner) beginTransfer(t orchestrator.Transfer, to string) (p pendingTransfer, begun bool) {
	transaction, err := o.transferTransaction(t, to)
	if err != nil {
		o.logger.Error("encoding a job for another cell failed", "job", t.Job.ID, "error", err)
		return p, false
	}
	o.locked(func() { begun = o.engine.BeginTransfer(t) })
	return pendingTransfer{
		transfer:    t,
		transaction: transaction,
		to:          to,
	}, begun
}

// transferTransaction returns the write that gives a job to another cell. It fails if this
// daemon is no longer the owner, or if the job has changed or was cancelled.
func (o *owner) transferTransaction(t orchestrator.Transfer, to string) (storer.Transaction, error) {
	job := *t.Job
	job.Transfers++
	document, err := jobkeeper.EncodeJob(&job)
	if err != nil {
		return storer.Transaction{}, err
	}
	t.Progress.Cell = to
	progress, err := jobkeeper.EncodeProgress(t.Progress)
	if err != nil {
		return storer.Transaction{}, err
	}
	w := o.newFencedTransaction()
	w.Conditions = append(w.Conditions,
		storer.Condition{
			Key:     jobkeeper.DocumentKey(o.cell, job.ID),
			Version: t.Created,
		},
		storer.Condition{
			Key:     jobkeeper.ProgressKey(job.ID),
			Version: t.Version,
		},
		storer.Condition{
			Key: jobkeeper.CancelKey(o.cell, job.ID),
		})
	w.Puts = []storer.Put{
		{
			Key:   jobkeeper.DocumentKey(to, job.ID),
			Value: document,
		},
		{
			Key:   jobkeeper.ProgressKey(job.ID),
			Value: progress,
		},
	}
	w.Removals = []string{jobkeeper.DocumentKey(o.cell, job.ID)}
	return w, nil
}

// commitTransfer writes a transfer and passes the result to the engine. It returns false if the
// outcome is unknown.
func (o *owner) commitTransfer(ctx context.Context, p *pendingTransfer) (decided bool) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := o.cfg.Store.Commit(call, p.transaction)
	id := p.transfer.Job.ID
	var conflict *storer.ConflictError
	given := err == nil
	switch {
	case errors.As(err, &conflict):
		o.checkOwner(conflict)
		// An earlier attempt without an answer removed the document of this cell.
		given = conflict.Find(jobkeeper.DocumentKey(o.cell, id)).Version == 0
	case err != nil && (p.unanswered || errors.Is(err, storer.ErrOutcomeUnknown)):
		p.unanswered = true
		return false
	}
	if given {
		o.capacity.add(p.to, p.transfer.Job)
	}
	o.logger.Info("job transferred to another cell", "job", id, "queue", p.transfer.Job.Queue, "to", p.to, "stranded", p.transfer.Stranded, "given", given, "error", err)
	o.locked(func() { o.engine.EndTransfer(id, given, o.cfg.Clock()) })
	return true
}
