package explainer

import (
	"fmt"
	"slices"
	"strings"
)

// findings are the delays and failures of a job in its timeline.
type findings struct {
	runsLost     int // with their target, or because a lease expired
	runsFailed   int
	runsStopped  int
	runsMovedOut int    // of runsStopped, because their availability zone was evacuated
	startsFailed int    // starts that were refused or whose outcome is unknown
	takeovers    int    // while the job was in progress
	transfers    int    // from one cell to another
	lostReason   string // reason of the last run that was lost
	waitedFor    string // what the job waited for last
	waitedMS     float64
	firstWaitMS  float64 // from acceptance to the first start
	stepWaitMS   float64 // sum over the steps of the wait for the first start
	runsSlowed   int     // by tasks beside them
	slowedBy     string  // kind of the neighbour that slowed down a run the most
	slowedFactor float64 // the greatest factor on a run
	handedOn     []handover
	handedInVain int // attempts that no neighbor served
}

// handover is a call about the job that a neighbor took over.
type handover struct {
	call, from, to string
}

// cause returns the likely cause of a job's outcome, as a sentence, and names the neighbors that
// took calls over.
func cause(events []Event) string {
	var f findings
	return f.outcome(events) + f.neighbors()
}

// outcome reads the timeline and returns the cause of the outcome, as a sentence.
func (f *findings) outcome(events []Event) string {
	var ended, rejected *Event
	for i := range events {
		e := &events[i]
		switch e.kind {
		case "job would end too late to be of use", "storing the job or its refusal failed":
			rejected = e
		case "job ended", "job cancelled":
			ended = e
		default:
			f.add(e)
		}
	}
	switch {
	case ended != nil && ended.kind == "job cancelled":
		return "a caller cancelled it."
	case ended != nil && text(ended.Fields["state"]) == "failed":
		return fmt.Sprintf("it failed: %s.", text(ended.Fields["reason"]))
	case ended != nil:
		f.stepWaitMS = number(ended, "waited_ms")
		return f.completion(number(ended, "took_ms"), number(ended, "objective_ms"))
	case rejected != nil && rejected.kind == "storing the job or its refusal failed":
		return fmt.Sprintf("it was not accepted: writing it to the store failed (%s).", text(rejected.Fields["error"]))
	case rejected != nil:
		return fmt.Sprintf("it was refused at once: new work of its pool waits %s ms, it takes %s ms itself, and its objective is %s ms (by a report %s ms old).",
			text(rejected.Fields["wait_ms"]), text(rejected.Fields["chain_ms"]), text(rejected.Fields["objective_ms"]), text(rejected.Fields["report_age_ms"]))
	}
	return "it has not ended in these logs; " + f.reason() + "."
}

func (f *findings) add(e *Event) {
	switch e.kind {
	case "takeover":
		f.takeovers++
	case "job transferred to another cell":
		if text(e.Fields["given"]) == "true" {
			f.transfers++
		}
	case "job started":
		f.firstWaitMS = number(e, "waited_ms")
	case "job step waiting":
		f.waitedFor, f.waitedMS = text(e.Fields["for"]), number(e, "waited_ms")
	case "run lost", "run missing from the target's list":
		f.lostReason = text(e.Fields["reason"])
	case "run stopped":
		if text(e.Fields["reason"]) == "availability zone evacuated" {
			f.runsMovedOut++
		}
	case "start refused or not confirmed":
		f.startsFailed++
	case "run slowed down by neighbours":
		f.runsSlowed++
		if factor := number(e, "factor"); factor > f.slowedFactor {
			f.slowedBy, f.slowedFactor = text(e.Fields["neighbour"]), factor
		}
	case "call handed to a neighbor":
		switch text(e.Fields["outcome"]) {
		case "unavailable", "outcome_unknown", "not_sent":
			f.handedInVain++
			return
		}
		h := handover{
			call: text(e.Fields["call"]),
			from: e.Source,
			to:   text(e.Fields["neighbor"]),
		}
		if !slices.Contains(f.handedOn, h) {
			f.handedOn = append(f.handedOn, h)
		}
	case "task waiting for another start":
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

// completion describes a job that is complete: in time, or how late and why.
func (f *findings) completion(tookMS, objectiveMS float64) string {
	if objectiveMS <= 0 || tookMS <= objectiveMS {
		return fmt.Sprintf("it was complete in time, after %.0f of %.0f ms.", tookMS, objectiveMS)
	}
	return fmt.Sprintf("it was complete %.0f ms late (%.0f ms, objective %.0f ms): %s.", tookMS-objectiveMS, tookMS, objectiveMS, f.reason())
}

// reason lists what delayed the job, the most serious first.
func (f *findings) reason() string {
	var reasons []string
	add := func(condition bool, format string, args ...any) {
		if condition {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	lost := f.lostReason
	if lost == "" {
		lost = "missing from the target's list of runs"
	}
	add(f.runsLost > 0, "%d runs were lost (%s)", f.runsLost, lost)
	add(f.takeovers > 0, "the owner was replaced meanwhile")
	add(f.transfers > 0, "it went to another cell %d times", f.transfers)
	add(f.runsFailed > 0, "%d runs failed", f.runsFailed)
	add(f.runsStopped > 0, "%d runs were stopped and started again", f.runsStopped)
	add(f.runsMovedOut > 0, "%d of its tasks left an evacuated availability zone", f.runsMovedOut)
	add(f.firstWaitMS >= minReportedWaitMS, "it waited %.0f ms for its first start", f.firstWaitMS)
	add(f.stepWaitMS >= minReportedWaitMS && f.stepWaitMS > f.firstWaitMS, "its steps waited %.0f ms in total for their first starts", f.stepWaitMS)
	add(f.waitedFor != "", "a step waited for %s, %.0f ms after it was due", f.waitedFor, f.waitedMS)
	add(f.runsSlowed > 0, "%d runs were slowed down by tasks beside them (%.1f times, %s)", f.runsSlowed, f.slowedFactor, f.slowedBy)
	add(f.startsFailed > 0, "%d starts were not carried out", f.startsFailed)
	if len(reasons) == 0 {
		return "the logs show no delay; its tasks ran longer than estimated"
	}
	return strings.Join(reasons, "; ")
}

// neighbors names the daemons that took calls over, as sentences.
func (f *findings) neighbors() string {
	var b strings.Builder
	for _, h := range f.handedOn {
		fmt.Fprintf(&b, " Neighbor %s took a call over (%s) from %s, which the store turned away.", h.to, h.call, h.from)
	}
	if len(f.handedOn) == 0 && f.handedInVain > 0 {
		fmt.Fprintf(&b, " No neighbor served it when the store turned a daemon away (attempts: %d).", f.handedInVain)
	}
	return b.String()
}

// minReportedWaitMS is the shortest wait for a start that is reported as a reason. A start
// takes a few milliseconds when targets have room.
const minReportedWaitMS = 100

func number(e *Event, name string) float64 {
	n, ok := e.Fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}
