package manager

import (
	"context"
	"errors"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Cancel requests the end of a job. The verdict is ok when the request is stored or the job
// has ended. It is VerdictNoJob if there is no such job; none with this ID is accepted for markTTL
// then.
func (f *Front) Cancel(ctx context.Context, call Call) Result {
	return f.measure("cancel", func() Result { return f.serve(ctx, CallCancel, call, f.cancel) })
}

func (f *Front) cancel(ctx context.Context, call Call) Result {
	unanswered := false
	for range maxCommitAttempts {
		a, result := f.authorize(call)
		if result.Verdict != VerdictOK {
			return unknownIfUnanswered(result, unanswered)
		}
		if a.id == "" {
			return storedJob{}.result()
		}
		stored, err := f.readJob(ctx, call, a)
		if err != nil {
			f.cfg.Logger.Warn("job not cancelled", "job", a.id, "error", err)
			return unknownIfUnanswered(unavailable("store unavailable"), unanswered)
		}
		if !stored.unsettled && (stored.state == "" || stored.state.Ended()) {
			return stored.result()
		}
		err = f.commitCancel(ctx, call, a, stored)
		switch {
		case err == nil && stored.unsettled:
			f.cfg.Logger.Info("job withdrawn before it was accepted", "job", a.id, "queue", a.route.Queue)
			return stored.result()
		case err == nil:
			f.cfg.Logger.Info("cancellation stored", "job", a.id, "queue", a.route.Queue, "cell", stored.cell, "state", stored.state)
			return Result{
				Verdict: VerdictOK,
				State:   jobkeeper.StateCancelled,
			}
		case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrLeaseNotFound):
		case errors.Is(err, storer.ErrOutcomeUnknown):
			unanswered = true
			if f.mayHandOn(call) {
				return unknownIfUnanswered(Result{}, true)
			}
		default:
			f.cfg.Logger.Warn("job not cancelled", "job", a.id, "error", err)
			return unknownIfUnanswered(unavailable("store unavailable"), unanswered)
		}
	}
	return unknownIfUnanswered(Result{}, true)
}

// commitCancel stores the wish to cancel a job, or that it is not to be accepted. It returns
// storer.ErrConflict if the job has ended, has gone to another cell or was accepted meanwhile.
func (f *Front) commitCancel(ctx context.Context, call Call, a authorizedCall, stored storedJob) error {
	ctx, cancel := f.withStoreTimeout(ctx, call)
	defer cancel()
	if stored.unsettled {
		return f.admission.mark(ctx, a, jobkeeper.StateWithdrawn, stored.refusal)
	}
	cell := stored.cell
	document, err := f.cfg.Store.Read(ctx, jobkeeper.DocumentKey(cell, a.id))
	if err != nil {
		return err
	}
	if document.Version == 0 {
		return storer.ErrConflict
	}
	_, err = f.cfg.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{
			Key:     jobkeeper.DocumentKey(cell, a.id),
			Version: document.Version,
		}},
		Puts: []storer.Put{{
			Key:   jobkeeper.CancelKey(cell, a.id),
			Value: []byte(f.cfg.Name),
		}},
	})
	return err
}
