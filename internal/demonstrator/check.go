package demonstrator

import (
	"sort"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/internal/generator"
)

// Summary is the last line of the demo. It is counted from what callers received and
// workers ran, not from what entry daemons report.
type Summary struct {
	generator.Counts
	RanTwice    int `json:"ran_twice"`     // non-idempotent requests (POST) that ran more than once
	OverLimit   int `json:"over_limit"`    // starts that took a team above its upper limit
	FalseNotRun int `json:"false_not_run"` // requests that were refused as not run, but ran
	Runs        int `json:"runs"`
}

// OK reports whether no request was lost, run twice, answered wrongly, run above a team's
// limit or refused as not run although it ran. Unknown outcomes are allowed.
func (s Summary) OK() bool {
	return s.Lost == 0 && s.RanTwice == 0 && s.WrongAnswer == 0 && s.OverLimit == 0 && s.FalseNotRun == 0
}

// Summarize compares the outcomes of the requests with the runs of the workers. Limits are
// slots by team.
func Summarize(counts generator.Counts, ended []generator.CompletedRequest, runs []emulator.Run, limits map[string]int) Summary {
	s := Summary{
		Counts:    counts,
		OverLimit: overLimit(runs, limits),
	}
	times := map[string]int{}
	for _, run := range runs {
		if run.Segment == 0 {
			s.Runs++
			times[run.Identity]++
		}
	}
	for _, e := range ended {
		n := times[e.Identity]
		if n > 1 && e.Stream.Method == "POST" {
			s.RanTwice++
		}
		if n > 0 && e.Outcome == generator.OutcomeNotRun {
			s.FalseNotRun++
		}
	}
	return s
}

// event is the start or the end of a run.
type event struct {
	at    int64
	slots int
}

// overLimit counts the starts after which a team had more slots running than its limit.
func overLimit(runs []emulator.Run, limits map[string]int) int {
	events := map[string][]event{}
	for _, run := range runs {
		if run.Team == "" {
			continue
		}
		events[run.Team] = append(events[run.Team], event{
			at:    run.StartNS,
			slots: run.Slots,
		})
		if run.EndNS != 0 {
			events[run.Team] = append(events[run.Team], event{
				at:    run.EndNS,
				slots: -run.Slots,
			})
		}
	}
	over := 0
	for team, list := range events {
		sort.Slice(list, func(i, j int) bool {
			if list[i].at != list[j].at {
				return list[i].at < list[j].at
			}
			return list[i].slots < list[j].slots
		})
		running := 0
		for _, e := range list {
			running += e.slots
			if e.slots > 0 && running > limits[team] {
				over++
			}
		}
	}
	return over
}
