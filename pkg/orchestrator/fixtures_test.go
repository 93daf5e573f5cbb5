package orchestrator_test

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// testConfiguration returns a configuration with one queue, one pool and two teams; clubs
// has an upper limit of 8 cores.
func testConfiguration() orchestrator.Configuration {
	return orchestrator.Configuration{
		Queues: map[string]orchestrator.Queue{
			"quotes": {
				Name:          "quotes",
				Pool:          "desk",
				MaxAttempts:   4,
				StretchFactor: 1.6,
				TargetLatency: 600 * time.Millisecond,
			},
		},
		Teams: map[string]orchestrator.Team{
			"schools": {
				Name:   "schools",
				Weight: 50,
			},
			"clubs": {
				Name:   "clubs",
				Weight: 50,
				Limit: jobkeeper.Resources{
					CPUMillis: 8000,
				},
			},
		},
		Pools: map[string]orchestrator.Pool{
			"desk": {
				Name: "desk",
			},
		},
	}
}

// cores returns resources of n cores with 1 GB of memory each.
func cores(n int64) jobkeeper.Resources {
	return jobkeeper.Resources{
		CPUMillis: n * 1000,
		MemoryMB:  n * 1000,
	}
}

// testJob returns a job whose steps have the given numbers of tasks and run one after the
// other. Each task needs two cores.
func testJob(id, team string, durationMS int64, widths ...int) *jobkeeper.Job {
	j := &jobkeeper.Job{
		ID:    id,
		Queue: "quotes",
		Team:  team,
		Pool:  "desk",
	}
	for i, width := range widths {
		s := jobkeeper.Step{
			Count:      width,
			Needs:      cores(2),
			EstimateMS: durationMS,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// longRunningJob returns a job of long-running tasks, at most one per target. If maxDown is
// positive, it is their disruption budget.
func longRunningJob(id string, count, maxDown int) *jobkeeper.Job {
	return &jobkeeper.Job{
		ID:    id,
		Queue: "quotes",
		Team:  "schools",
		Pool:  "desk",
		Steps: []jobkeeper.Step{{
			Count:             count,
			Needs:             cores(2),
			PerTarget:         1,
			LongRunning:       true,
			MaxUnavailable:    maxDown,
			HasMaxUnavailable: maxDown > 0,
		}},
	}
}

// gangJob returns a job of one step whose tasks have to run at the same time.
func gangJob(id, team string, durationMS int64, width int) *jobkeeper.Job {
	j := testJob(id, team, durationMS, width)
	j.Steps[0].Gang = true
	j.Steps[0].Checkpointing = true
	return j
}

// taskOf returns the ID of a task of the first step of a job that runs once.
func taskOf(job string, index int) jobkeeper.TaskID {
	return jobkeeper.TaskID{
		Job: job,
		TaskKey: jobkeeper.TaskKey{
			Index: index,
		},
	}
}

// ownerConfig returns the configuration of the engine of an owner that takes over now.
func (w *world) ownerConfig() orchestrator.Config {
	return orchestrator.Config{
		Logger:           hclog.NewNullLogger(),
		Fence:            w.fence,
		AcquiredAt:       w.now,
		LeaseDuration:    worldLease,
		MaxLeaseDuration: worldMaxLease,
		StopTime:         200 * time.Millisecond,
		RemoteFactor:     1.5,
		Retention:        time.Minute,
		Roster:           w.roster,
		FirstOwner:       len(w.roster) == 0,
		Observer:         w.observer,
		VMOrderDelay:     w.vmOrderDelay,
		VMOrdersKnown:    w.vmOrdersKnown,
		RecentVMOrders:   w.recentVMOrders,

		IgnoreInterference: w.ignoreInterference,
	}
}
