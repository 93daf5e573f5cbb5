package manager

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

// Guards against a team that starves others with the work that it has handed in, and against
// daemons that together accept far more than an owner can hold before it reports.
func TestFullCellsTakeNoJobs(t *testing.T) {
	const limit = 32 << 20
	job := func(team string, specBytes int) *jobkeeper.Job {
		return &jobkeeper.Job{
			ID:   "j",
			Team: team,
			Spec: strings.Repeat("s", specBytes),
			Steps: []jobkeeper.Step{{
				Count: 1,
			}},
		}
	}
	small := job("schools", 0)
	bytes := orchestrator.HeldForWaitingJob(small)
	tests := []struct {
		name     string
		held     map[string]int64 // by team, in the report
		accepted int64            // small jobs since then
		job      *jobkeeper.Job
		full     bool
	}{
		{
			name: "nothing held",
			job:  small,
		},
		{
			name: "half held by others",
			held: map[string]int64{"clubs": limit / 2},
			job:  small,
		},
		{
			name: "half held by the team",
			held: map[string]int64{"schools": limit / 2},
			job:  small,
			full: true,
		},
		{
			name: "half held by the team, a quarter by others",
			held: map[string]int64{"schools": limit / 2, "clubs": limit / 4},
			job:  job("hotels", 0),
		},
		{
			name: "little room and a small job",
			held: map[string]int64{"clubs": limit - 64*bytes},
			job:  small,
		},
		{
			name: "little room and a large job",
			held: map[string]int64{"clubs": limit - 64*bytes},
			job:  job("schools", 100),
			full: true,
		},
		{
			name:     "an eighth of the room accepted",
			accepted: limit / 8 / bytes,
			job:      small,
			full:     true,
		},
		{
			name:     "less than an eighth of the room accepted",
			accepted: limit/8/bytes - 1,
			job:      small,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Hour
			cfg := Config{
				Logger:    hclog.NewNullLogger(),
				Clock:     func() time.Duration { return now },
				WorkBytes: limit,
			}
			view := newFleetView(cfg)
			report := func() {
				view.reports["cell"] = receivedReport{
					cellReport: cellReport{
						HeldBytes: tt.held,
					},
					at: now,
				}
			}
			report()
			c := newCapacityControl(cfg, view)
			c.full("cell", tt.job)
			for range tt.accepted {
				c.add("cell", small)
			}
			if got := c.full("cell", tt.job); got != tt.full {
				t.Errorf("full is %t, want %t", got, tt.full)
			}
			now += time.Minute
			if got := c.full("cell", tt.job); got != tt.full {
				t.Errorf("without a new report, full is %t after a minute, want %t", got, tt.full)
			}
			for range 2 {
				now += acceptedPeriod
				report()
				c.full("cell", tt.job)
			}
			if got, want := c.full("cell", tt.job), tt.full && tt.accepted == 0; got != want {
				t.Errorf("two reports later, full is %t, want %t", got, want)
			}
		})
	}
}
