package manager_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// isAcceptance reports whether a transaction stores the document of the job.
func isAcceptance(tx storer.Transaction, id string) bool {
	return len(tx.Puts) > 0 && tx.Puts[0].Key == jobkeeper.DocumentKey("fleet", id)
}

// isMark reports whether a transaction stores a record of the job without a document.
func isMark(tx storer.Transaction, id string) bool {
	return len(tx.Puts) == 1 && tx.Puts[0].Key == jobkeeper.ProgressKey(id)
}

// Guards against a job that runs although its cancellation was answered, because the write that
// accepts it takes effect later.
func TestCancelledJobIsNotAcceptedByALateWrite(t *testing.T) {
	tests := []struct {
		name string
		// fault happens to writes while the job is cancelled.
		fault func(tx storer.Transaction) (before, after error)
	}{
		{
			name: "store answers",
		},
		{
			name: "answer to the cancellation is lost",
			fault: func(tx storer.Transaction) (before, after error) {
				if isMark(tx, "x") {
					return nil, storer.ErrOutcomeUnknown
				}
				return nil, nil
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newInstallation(t)
				a, stopA := i.start("a")
				defer stopA()
				b, stopB := i.start("b")
				defer stopB()
				time.Sleep(time.Second)
				var late []storer.Transaction
				i.store.setFault(func(call string, tx storer.Transaction) (before, after error) {
					if call == "commit" && isAcceptance(tx, "x") {
						late = append(late, tx)
						return storer.ErrOutcomeUnknown, nil
					}
					return nil, nil
				})
				if r := a.Front().Submit(t.Context(), call("k1", "x", smallJob())); r.Verdict != manager.VerdictUnknown {
					t.Fatalf("verdict is %s, want outcome_unknown", r.Verdict)
				}
				i.store.setFault(func(call string, tx storer.Transaction) (before, after error) {
					if call == "commit" && tt.fault != nil {
						return tt.fault(tx)
					}
					return nil, nil
				})
				if r := b.Front().Cancel(t.Context(), call("k1", "x", nil)); r.Verdict != manager.VerdictNoJob {
					t.Fatalf("cancel: verdict is %s (%s), want no_job", r.Verdict, r.Reason)
				}
				i.store.setFault(nil)
				for _, tx := range late {
					if _, err := i.store.Memory.Commit(t.Context(), tx); !errors.Is(err, storer.ErrConflict) {
						t.Errorf("a late write gets %v, want a conflict", err)
					}
				}
				if r := a.Front().Submit(t.Context(), call("k1", "x", smallJob())); r.Verdict != manager.VerdictNotRun {
					t.Errorf("repeat: verdict is %s, want not_run", r.Verdict)
				}
				if r := a.Front().State(t.Context(), call("k1", "x", nil)); r.Verdict != manager.VerdictNoJob {
					t.Errorf("state: verdict is %s, want no_job", r.Verdict)
				}
				time.Sleep(3 * time.Second)
				if n := len(i.targets.startCounts()); n != 0 {
					t.Errorf("%d tasks of the cancelled job started", n)
				}
			})
		})
	}
}

// Guards against a cancellation that is answered "no such job" while the job is being accepted.
func TestJobThatIsAcceptedDuringItsCancellationIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, m, stop := newServingInstallation(t)
		defer stop()
		var late storer.Transaction
		i.store.setFault(func(call string, tx storer.Transaction) (before, after error) {
			switch {
			case call != "commit":
			case isAcceptance(tx, "x"):
				late = tx
				return storer.ErrOutcomeUnknown, nil
			case isMark(tx, "x") && len(late.Puts) > 0:
				if _, err := i.store.Memory.Commit(t.Context(), late); err != nil {
					t.Error(err)
				}
				late = storer.Transaction{}
			}
			return nil, nil
		})
		m.Front().Submit(t.Context(), call("k1", "x", smallJob()))
		if r := m.Front().Cancel(t.Context(), call("k1", "x", nil)); r.Verdict != manager.VerdictOK {
			t.Errorf("cancel: verdict is %s (%s), want ok", r.Verdict, r.Reason)
		}
		time.Sleep(time.Second)
		if r := m.Front().State(t.Context(), call("k1", "x", nil)); r.State != jobkeeper.StateCancelled {
			t.Errorf("state is %s (%s), want cancelled", r.State, r.Verdict)
		}
	})
}
