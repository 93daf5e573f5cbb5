package explainer

import (
	"fmt"
	"strings"
)

// finding is what the timeline says of one way in which a job can go wrong.
type finding struct {
	runsLost    int // with their target, or a lapsed lease
	runsFailed  int
	runsStopped int
	refused     int    // starts that a target did not carry out
	takeovers   int    // while the job was under way
	lost        string // why the last run was lost
	waitedFor   string // what the job waited for last
	waitedMS    float64
	startedMS   float64 // from its acceptance to its first start
	stepsMS     float64 // sum of what its steps waited for their first starts
}

// cause names the likely cause of a job's outcome in a sentence.
func cause(events []Event) string {
	var f finding
	var ended, rejected *Event
	for i := range events {
		e := &events[i]
		switch e.Message {
		case "job is of no more use", "job not stored":
			rejected = e
		case "job ended", "job cancelled":
			ended = e
		default:
			f.take(e)
		}
	}
	switch {
	case ended != nil && ended.Message == "job cancelled":
		return "a caller cancelled it."
	case ended != nil && text(ended.Fields["state"]) == "failed":
		return fmt.Sprintf("it failed: %s.", text(ended.Fields["reason"]))
	case ended != nil:
		f.stepsMS = number(ended, "waited_ms")
		return f.duration(number(ended, "took_ms"), number(ended, "objective_ms"))
	case rejected != nil && rejected.Message == "job not stored":
		return fmt.Sprintf("it was not accepted: the store did not take it (%s).", text(rejected.Fields["error"]))
	case rejected != nil:
		return fmt.Sprintf("it was refused at once: new work of its pool waits %s ms, it takes %s ms itself, and its objective is %s ms (by a report %s ms old).",
			text(rejected.Fields["wait_ms"]), text(rejected.Fields["chain_ms"]), text(rejected.Fields["objective_ms"]), text(rejected.Fields["report_age_ms"]))
	}
	return "it has not ended in these logs; " + f.reason() + "."
}

func (f *finding) take(e *Event) {
	switch e.Message {
	case "takeover":
		f.takeovers++
	case "job started":
		f.startedMS = number(e, "waited_ms")
	case "job waits":
		f.waitedFor, f.waitedMS = text(e.Fields["for"]), number(e, "waited_ms")
	case "run lost", "run not listed":
		f.lost = text(e.Fields["reason"])
	case "start not carried out":
		f.refused++
	case "task to start again":
		switch text(e.Fields["how"]) {
		case "failed":
			f.runsFailed++
		case "stopped":
			f.runsStopped++
		default:
			f.runsLost++
		}
	}
}

// duration explains a job that is complete.
func (f *finding) duration(tookMS, objectiveMS float64) string {
	if objectiveMS <= 0 || tookMS <= objectiveMS {
		return fmt.Sprintf("it was complete in time, after %.0f of %.0f ms.", tookMS, objectiveMS)
	}
	return fmt.Sprintf("it was complete %.0f ms late (%.0f ms, objective %.0f ms): %s.", tookMS-objectiveMS, tookMS, objectiveMS, f.reason())
}

// reason lists what held a job up, the gravest first.
func (f *finding) reason() string {
	var reasons []string
	add := func(condition bool, format string, args ...any) {
		if condition {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	lost := f.lost
	if lost == "" {
		lost = "not on the target's list"
	}
	add(f.runsLost > 0, "%d runs were lost (%s)", f.runsLost, lost)
	add(f.takeovers > 0, "the owner was replaced meanwhile")
	add(f.runsFailed > 0, "%d runs failed", f.runsFailed)
	add(f.runsStopped > 0, "%d runs were stopped and started again", f.runsStopped)
	add(f.startedMS >= waitShown, "it waited %.0f ms for its first start", f.startedMS)
	add(f.stepsMS >= waitShown && f.stepsMS > f.startedMS, "its steps waited %.0f ms in all for their first starts", f.stepsMS)
	add(f.waitedFor != "", "a step waited for %s, %.0f ms after it was due", f.waitedFor, f.waitedMS)
	add(f.refused > 0, "%d starts were not carried out", f.refused)
	if len(reasons) == 0 {
		return "nothing in the logs held it up; its tasks ran longer than estimated"
	}
	return strings.Join(reasons, "; ")
}

// waitShown is the shortest wait for the first start that counts as a reason, in
// milliseconds: a start takes a few of them with room free.
const waitShown = 100

func number(e *Event, name string) float64 {
	n, ok := e.Fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}
