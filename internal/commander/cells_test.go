package commander

import (
	"fmt"
	"os"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
)

func Example_printCells() {
	if err := printCells(os.Stdout, manager.Status{
		Revision:      812,
		Configuration: 7,
		Cells: []manager.CellStatus{
			{
				Cell:    "c0-0",
				Zones:   []string{"north", "west"},
				Owner:   "edge-north-1",
				Fence:   640,
				Targets: 183,
				Current: true,
				Queues: []manager.QueueStatus{{
					Queue:          "quotes",
					Waiting:        12,
					ExpectedWaitMS: 800,
				}},
				Pools: []manager.PoolStatus{{
					Pool:      "desk",
					Cores:     1216,
					BacklogMS: 350,
				}},
			},
			{
				Cell:    "c1-0",
				Zones:   []string{"south"},
				Targets: 166,
			},
		},
		Waves: []manager.WaveStatus{{
			Number:     3,
			VMs:        178,
			Maintained: 41,
			MaxDown:    66,
		}},
		Evacuations: []orchestrator.ZoneRuns{{
			Zone: "west",
			Runs: 14,
		}},
		Problems: []string{"control/roster/c1-0: cbor: unexpected \"break\" code"},
	}); err != nil {
		fmt.Println(err)
	}
	// Output:
	// revision 812, configuration 7
	//
	// CELL  ZONES       OWNER         FENCE  TARGETS  CONFIGURATION
	// c0-0  north,west  edge-north-1  640    183      current
	// c1-0  south       -             0      166      earlier or unknown
	//
	// CELL  POOL  CORES  BACKLOG
	// c0-0  desk  1216   350ms
	//
	// CELL  QUEUE   WAITING JOBS  EXPECTED WAIT
	// c0-0  quotes  12            800ms
	//
	// WAVE  MAINTAINED  MAX DOWN  STATE
	// 3     41 of 178   66        running
	//
	// EVACUATED ZONE  RUNS LEFT
	// west            14
	//
	// problem: control/roster/c1-0: cbor: unexpected "break" code
}

func Example_printJob() {
	if err := printJob(os.Stdout, manager.JobStatus{
		ID:       "5c0e7a21d94b36f8",
		Cell:     "c0-0",
		Queue:    "quotes",
		Team:     "schools",
		State:    jobkeeper.StateRunning,
		Done:     3,
		Failures: 1,
	}); err != nil {
		fmt.Println(err)
	}
	// Output:
	// job                  5c0e7a21d94b36f8
	// state                running
	// queue                quotes
	// team                 schools
	// cell                 c0-0
	// tasks done           3
	// tasks with failures  1
}
