package orchestrator_test

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// testConfiguration has one queue on one pool, with two teams.
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

// cores returns resources of a number of cores.
func cores(n int64) jobkeeper.Resources {
	return jobkeeper.Resources{
		CPUMillis: n * 1000,
		MemoryMB:  n * 1000,
	}
}

// testJob returns a job with steps of the given widths, each after the one before.
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

// lastingJob returns a job of tasks that last, one a target, of which so many may be down.
func lastingJob(id string, count, mayMiss int) *jobkeeper.Job {
	return &jobkeeper.Job{
		ID:    id,
		Queue: "quotes",
		Team:  "schools",
		Pool:  "desk",
		Steps: []jobkeeper.Step{{
			Count:     count,
			Needs:     cores(2),
			PerTarget: 1,
			Lasting:   true,
			MayMiss:   mayMiss,
			Protected: mayMiss > 0,
		}},
	}
}

// gangJob returns a job of one step whose tasks work only together.
func gangJob(id, team string, durationMS int64, width int) *jobkeeper.Job {
	j := testJob(id, team, durationMS, width)
	j.Steps[0].Gang = true
	j.Steps[0].Checkpointing = true
	return j
}
