package orchestrator_test

import (
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

// Guards against steps that find no approved target and pass for a sign that the pool has no room,
// so that no other step of the pool starts.
func TestStepsThatNeedNoAdviceStartBesideOnesThatAreApprovedNowhere(t *testing.T) {
	conf := testConfiguration()
	checked := conf.Queues["quotes"]
	checked.Name, checked.AdviceRequired = "checked", true
	conf.Queues[checked.Name] = checked
	tests := []struct {
		name    string
		blocked *jobkeeper.Job
		crashed bool // it crashed a target before, so that it starts on trial
	}{
		{
			name:    "tasks that end",
			blocked: testJob("blocked", "schools", 1000, 2),
		},
		{
			name:    "long-running tasks",
			blocked: longRunningJob("blocked", 2, 0),
		},
		{
			name:    "on trial",
			blocked: longRunningJob("blocked", 1, 0),
			crashed: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorldWithTargets(t, 4)
			w.conf = conf
			tt.blocked.Queue = checked.Name
			tt.blocked.Steps[0].PerTarget = 0
			tt.blocked.Steps[0].Needs = cores(1)
			other := testJob("other", "schools", 300, 6)
			if tt.crashed {
				for _, id := range []string{"blocked", "other"} {
					w.stored[id] = &jobkeeper.Progress{
						State: jobkeeper.StateRunning,
						Tasks: []jobkeeper.TaskRecord{{
							CrashedRuns: []uint64{1},
						}},
					}
				}
			}
			w.takeOver()
			w.run(500 * time.Millisecond)
			w.submit(tt.blocked)
			approveNowhere := func() {
				for _, q := range w.engine.AdviceRequests() {
					w.engine.HandleAdvice(q, map[string]string{}, time.Minute, w.now, nil)
				}
			}
			w.runUntil(500*time.Millisecond, func() bool {
				approveNowhere()
				return false
			})
			w.submit(other)
			if !w.runUntil(10*time.Second, func() bool {
				approveNowhere()
				return w.state("other") == jobkeeper.StateComplete
			}) {
				t.Errorf("the job that needs no advice is %s", w.state("other"))
			}
			if on := w.runningOn("blocked.0.0.0"); on != "" {
				t.Errorf("the job that needs advice runs on %s", on)
			}
			w.verify()
		})
	}
}
