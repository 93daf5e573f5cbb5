package manager_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// evacuationBound is how long after an acknowledged request a daemon in touch with the store may
// still start tasks: well below the seconds that operators are promised.
const evacuationBound = time.Second

// startRecorder records when tasks start on targets of a zone, the first letter of a target's ID.
type startRecorder struct {
	*fakeFleet
	mu     sync.Mutex
	starts map[string][]time.Time
}

func (r *startRecorder) Order(ctx context.Context, o orchestrator.Order) (orchestrator.Outcome, int64, error) {
	if o.Kind == orchestrator.KindStart {
		r.mu.Lock()
		zone := o.Target.ID[:1]
		r.starts[zone] = append(r.starts[zone], time.Now())
		r.mu.Unlock()
	}
	return r.fakeFleet.Order(ctx, o)
}

// between returns the number of starts in a zone within a period.
func (r *startRecorder) between(zone string, from, until time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.starts[zone] {
		if at.After(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// newZonedInstallation returns an installation with two targets in each of the zones a and b, in
// one cell, or in two if divided is true.
func newZonedInstallation(t *testing.T, divided bool) (*installation, *startRecorder) {
	i, fleet := newDividedInstallation(t)
	if !divided {
		i.cells.CellTargets = 100
	}
	r := &startRecorder{
		fakeFleet: fleet,
		starts:    map[string][]time.Time{},
	}
	i.client = r
	return i, r
}

// startLoad submits a job of eight tasks each 100 ms until the function that it returns is called.
func (i *installation) startLoad(m *manager.Manager) (stop func()) {
	ctx, cancel := context.WithCancel(i.t.Context())
	var submitting sync.WaitGroup
	submitting.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			j := smallJob()
			j.Steps[0].Count = 8
			j.Steps[0].Needs.CPUMillis = 2000
			m.Front().Submit(ctx, call("k1", fmt.Sprintf("load%d", n), j))
			time.Sleep(100 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		submitting.Wait()
	}
}

func (i *installation) evacuate(zone string) time.Time {
	i.t.Helper()
	i.put("operators/evacuate/"+zone, "")
	return time.Now()
}

func (i *installation) takeBack(zone string) time.Time {
	i.t.Helper()
	if _, err := i.store.Memory.Commit(i.t.Context(), storer.Transaction{
		Removals: []string{"operators/evacuate/" + zone},
	}); err != nil {
		i.t.Fatal(err)
	}
	return time.Now()
}

// Guards against starts in an evacuated zone beyond the bound, with one owner and with one in the
// evacuated zone, and against a zone that is not used again.
func TestEvacuatedZoneGetsNoStartsUntilItIsTakenBack(t *testing.T) {
	for _, divided := range []bool{false, true} {
		t.Run(fmt.Sprintf("divided %v", divided), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, r := newZonedInstallation(t, divided)
				m, stop := i.startBoth()
				defer stop()
				defer i.startLoad(m)()
				time.Sleep(2 * time.Second)
				began := i.evacuate("b")
				time.Sleep(6 * time.Second)
				ended := i.takeBack("b")
				time.Sleep(4 * time.Second)
				if n := r.between("b", began.Add(-time.Second), began); n == 0 {
					t.Error("no starts in the zone before its evacuation")
				}
				if n := r.between("b", began.Add(evacuationBound), ended); n != 0 {
					t.Errorf("%d starts in the evacuated zone", n)
				}
				if n := r.between("a", began.Add(evacuationBound), ended); n < 20 {
					t.Errorf("%d starts in the other zone, want its share of the load", n)
				}
				if n := r.between("b", ended, ended.Add(4*time.Second)); n == 0 {
					t.Error("no starts in the zone after it was taken back")
				}
			})
		})
	}
}

// Guards against a request that comes or goes unnoticed while the store can't be reached.
func TestEvacuationDuringAnOutageHoldsFromTheReturnOfTheStore(t *testing.T) {
	tests := []struct {
		name   string
		before bool // the zone is evacuated before the outage, and taken back in it
		lost   bool // the store no longer has the history of the outage
	}{
		{
			name: "request comes",
		},
		{
			name:   "request goes",
			before: true,
		},
		{
			name: "request comes, history lost",
			lost: true,
		},
		{
			name:   "request goes, history lost",
			before: true,
			lost:   true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, r := newZonedInstallation(t, false)
				m, stop := i.startBoth()
				defer stop()
				defer i.startLoad(m)()
				time.Sleep(time.Second)
				if tt.before {
					i.evacuate("b")
					time.Sleep(time.Second)
				}
				i.store.setFault(func(string, storer.Transaction) (before, after error) {
					return errors.New("store is down"), nil
				})
				time.Sleep(2 * time.Second)
				i.store.Memory.Commit(t.Context(), storer.Transaction{ //nolint:errcheck // checked by the outcome
					Puts: []storer.Put{{
						Key: "operators/evacuate/b",
					}},
				})
				if tt.before {
					i.takeBack("b")
				}
				time.Sleep(2 * time.Second)
				lost := 0
				if tt.lost {
					lost = 2 // one for each daemon
				}
				i.store.setFault(func(call string, _ storer.Transaction) (before, after error) {
					if call == "follow operators/" && lost > 0 {
						lost--
						return storer.ErrHistoryLost, nil
					}
					return nil, nil
				})
				back := time.Now()
				time.Sleep(8 * time.Second)
				n := r.between("b", back, back.Add(8*time.Second))
				if tt.before && n == 0 {
					t.Error("no starts in the zone that was taken back")
				}
				if !tt.before && n != 0 {
					t.Errorf("%d starts in the zone that was evacuated", n)
				}
			})
		})
	}
}

// Guards against a new owner that starts tasks in a zone which was evacuated while nobody owned the
// fleet.
func TestEvacuationDuringATakeoverHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, r := newZonedInstallation(t, false)
		m, stopA := i.start("a-1")
		time.Sleep(time.Second)
		i.submit(m, 20)
		stopA()
		began := i.evacuate("b")
		m, stopB := i.start("b-1")
		defer stopB()
		time.Sleep(20 * time.Second)
		i.checkComplete(m, 20)
		if n := r.between("b", began, time.Now()); n != 0 {
			t.Errorf("the new owner started %d tasks in the evacuated zone", n)
		}
	})
}

// Jobs that wait in a cell whose only zone is evacuated go to another cell, and new ones are not
// given to it.
func TestJobsOfAnEvacuatedCellRunInAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, r := newZonedInstallation(t, true)
		m, stop := i.startBoth()
		defer stop()
		i.submit(m, 60) // more than runs at once
		began := i.evacuate("b")
		time.Sleep(time.Millisecond) // the reports of the cells are older than the request
		for n := range 20 {
			id := fmt.Sprintf("new%d", n)
			m.Front().Submit(t.Context(), call("k1", id, smallJob()))
			if job, err := manager.ReadJob(t.Context(), i.store, id); err != nil || job.Cell != "c0-0" {
				t.Errorf("the cell of a new job is %q, %v, want that of the open zone", job.Cell, err)
			}
		}
		time.Sleep(20 * time.Second)
		i.checkComplete(m, 60)
		if n := r.between("b", began.Add(evacuationBound), time.Now()); n != 0 {
			t.Errorf("%d starts in the evacuated cell", n)
		}
	})
}

// An evacuation of all zones leaves jobs waiting, and of an unknown zone or a malformed key
// changes nothing.
func TestOddEvacuationsLoseNoJob(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
		want  jobkeeper.State
	}{
		{
			name:  "unknown zone",
			zones: []string{"nowhere"},
			want:  jobkeeper.StateComplete,
		},
		{
			name:  "no name",
			zones: []string{""},
			want:  jobkeeper.StateComplete,
		},
		{
			name:  "all zones",
			zones: []string{"a", "b"},
			want:  jobkeeper.StateQueued,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, _ := newZonedInstallation(t, true)
				i.vms = newFakeVMs("a", "b")
				m, stop := i.startBoth()
				defer stop()
				for _, zone := range tt.zones {
					i.put("operators/evacuate/"+zone, "{]")
				}
				time.Sleep(time.Second)
				i.submit(m, 1)
				time.Sleep(6 * time.Second)
				if r := m.Front().State(t.Context(), call("k1", "j0", nil)); r.State != tt.want {
					t.Errorf("the job is %s %s, want %s", r.Verdict, r.State, tt.want)
				}
				for _, zone := range tt.zones {
					i.takeBack(zone)
				}
				time.Sleep(6 * time.Second)
				i.checkComplete(m, 1)
			})
		})
	}
}

// Operators see which zones are evacuated and how many runs are left there.
func TestStatusShowsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, fleet := newZonedInstallation(t, true)
		for _, id := range []string{"a1", "a2", "b1", "b2"} {
			fleet.target(id).duration = 5 * time.Second
		}
		m, stop := i.startBoth()
		defer stop()
		i.submit(m, 8)
		time.Sleep(time.Second)
		i.evacuate("b")
		i.evacuate("nowhere")
		time.Sleep(time.Second)
		status := i.status()
		if len(status.Problems) > 0 || len(status.Evacuations) != 2 || status.Evacuations[0].Zone != "b" || status.Evacuations[0].Runs == 0 || status.Evacuations[1].Runs != 0 {
			t.Errorf("got %+v and the problems %s, want the zone b with runs, and the unknown zone", status.Evacuations, strings.Join(status.Problems, "; "))
		}
		time.Sleep(6 * time.Second)
		if status = i.status(); len(status.Evacuations) != 2 || status.Evacuations[0].Runs != 0 {
			t.Errorf("got %+v, want the zone b without runs", status.Evacuations)
		}
	})
}
