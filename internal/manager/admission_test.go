package manager

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/predictor"
)

// Guards against refusals that rest on nothing, and against jobs that are accepted although their
// owner has said that they can't be of use. Objective: 1.6 times the critical path, and 600 ms.
func TestAdmissionByTheReportOfTheOwner(t *testing.T) {
	long := predictor.Summary{
		Queue:     "quotes",
		Weight:    1000,
		MeanX:     7, // 1.1 s
		MeanY:     9, // 8.1 s
		VarianceX: 0.2,
	}
	tests := []struct {
		name    string
		report  *cellReport // nil for none
		age     time.Duration
		refused bool
	}{
		{
			name: "no report",
		},
		{
			name:   "nothing waits",
			report: &cellReport{},
		},
		{
			name: "late work waits, but none on time",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue:        "quotes",
					ExpectedWait: time.Minute,
				}},
			},
		},
		{
			name: "work on time waits for long",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue:        "quotes",
					ExpectedWait: time.Minute,
					OnTimeWait:   20 * time.Second,
				}},
			},
			refused: true,
		},
		{
			name: "the team has reached its limit",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue: "quotes",
					TeamWaits: map[string]time.Duration{
						"schools": 20 * time.Second,
					},
				}},
			},
			refused: true,
		},
		{
			name: "another team has reached its limit",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue: "quotes",
					TeamWaits: map[string]time.Duration{
						"clubs": 20 * time.Second,
					},
				}},
			},
		},
		{
			name: "much was accepted since the report",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue:        "quotes",
					ExpectedWait: 4500 * time.Millisecond,
					OnTimeWait:   1500 * time.Millisecond,
					Inflow:       5,
				}},
			},
			age:     500 * time.Millisecond,
			refused: true,
		},
		{
			name: "the same, nothing was accepted since",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue:        "quotes",
					ExpectedWait: 4500 * time.Millisecond,
					OnTimeWait:   1500 * time.Millisecond,
				}},
			},
			age: 500 * time.Millisecond,
		},
		{
			name: "report of an owner that is gone",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue:        "quotes",
					ExpectedWait: time.Minute,
					OnTimeWait:   20 * time.Second,
				}},
			},
			age: maxReportAge + time.Second,
		},
		{
			name: "tasks take longer than their callers say, and so may the job",
			report: &cellReport{
				Queues: []orchestrator.QueueState{{
					Queue:        "quotes",
					ExpectedWait: 20 * time.Second,
					OnTimeWait:   5 * time.Second,
				}},
				Durations: []orchestrator.QueueDurations{{
					Tasks:   long,
					Longest: long,
				}},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			cfg := Config{
				Logger: hclog.NewNullLogger(),
				Clock:  func() time.Duration { return now },
			}
			view := newFleetView(cfg)
			if tt.report != nil {
				view.reports["cell"] = receivedReport{
					cellReport: *tt.report,
					at:         now - tt.age,
				}
			}
			c := &admissionControl{
				cfg:  cfg,
				view: view,
			}
			call := authorizedCall{
				conf: &storedConfiguration{
					Configuration: &Configuration{
						Engine: orchestrator.Configuration{
							Queues: map[string]orchestrator.Queue{
								"quotes": {
									StretchFactor: 1.6,
									TargetLatency: 600 * time.Millisecond,
								},
							},
						},
					},
				},
				route: Route{
					Queue: "quotes",
				},
				team: "schools",
			}
			job := &jobkeeper.Job{
				ID: "j1",
				Steps: []jobkeeper.Step{{
					Count:      8,
					EstimateMS: 1000,
				}},
			}
			retryAfter, refused := c.tooLate(call, job, "cell")
			if refused != tt.refused {
				t.Errorf("refused: %v, want %v", refused, tt.refused)
			}
			if refused && retryAfter <= 0 {
				t.Error("refused without a time to retry")
			}
		})
	}
}

// Guards against jobs that go to cells at random after an outage of the store, when all reports are
// old, although one cell has most of the pool.
func TestCellsWithOldReportsCountByTheirCapacity(t *testing.T) {
	now := time.Minute
	view := newFleetView(Config{
		Logger: hclog.NewNullLogger(),
		Clock:  func() time.Duration { return now },
	})
	for cell, millicores := range map[string]int64{
		"large": 1_600_000,
		"small": 400_000,
	} {
		view.reports[cell] = receivedReport{
			cellReport: cellReport{
				Pools: []poolReport{{
					Pool:       "desk",
					Millicores: millicores,
					BacklogMS:  60_000,
				}},
			},
			at: now - 2*maxReportAge,
		}
	}
	got := view.candidates([]string{"large", "small"}, "desk", "")
	if len(got) != 2 || got[0].Millicores != 1_600_000 || got[1].Millicores != 400_000 || got[0].Backlog != 0 {
		t.Errorf("got %+v, want the capacities that were reported last, without a backlog", got)
	}
}

// Some jobs that would be refused are accepted, so that wrong refusals show.
func TestFewJobsAreProbes(t *testing.T) {
	probes := 0
	for i := range 3200 {
		if isProbe(string(rune('a'+i%26)) + time.Duration(i).String()) {
			probes++
		}
	}
	if probes < 50 || probes > 150 {
		t.Errorf("%d of 3200 jobs are probes, want about 100", probes)
	}
}
