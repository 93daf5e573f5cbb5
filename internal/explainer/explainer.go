// Package explainer builds the timeline of one job from the logs of any number of daemons
// and names the likely cause of its outcome.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("explainer")

// ErrUnknownJob means that no line of the logs names the job.
var ErrUnknownJob = errors.New("no line names the job")

// maxLine bounds a line of a log, in bytes. Longer lines are skipped and counted.
const maxLine = 1 << 20

// Input is the log of one process, or of several if a word before each line names the
// process.
type Input struct {
	Name   string
	Reader io.Reader
}

// Event is a log line about the job, or about daemons or targets while it was in progress.
type Event struct {
	At      time.Time
	Source  string // process that wrote the line
	Message string // as logged
	Fields  map[string]any
	Context bool // the line names no job

	kind string // Message in the words of this release
}

// Report is the timeline of a job and the cause of its outcome.
type Report struct {
	Job     string
	Events  []Event   // in the order of their times
	Cause   string    // of the outcome, in one sentence
	Skipped int       // lines that could not be parsed
	First   time.Time // earliest line of all logs
	Last    time.Time // latest line of all logs
}

// contextMessages are messages about daemons and targets that matter to every job in
// progress.
var contextMessages = []string{
	"ownership acquired", "ownership ended", "takeover", "takeover complete", "orders to targets and VMs paused or resumed",
	"this daemon is no longer the owner", "owner returned an error", "watching the store failed, trying again", "watching the store works again",
	"target failed to list its runs", "target lists its runs again", "target may have restarted", "target had not restarted", "target restarted", "target crashed", "target may have crashed", "target had not crashed", "target no longer runs on its VM", "target ejected after task failures",
	"availability zone evacuated", "availability zone taken back",
}

// earlierMessages maps messages of earlier releases to those of this release, so that logs of
// both are explained.
var earlierMessages = map[string]string{
	"job is of no more use": "job would end too late to be of use",
	"job not stored":        "storing the job or its refusal failed",
	"deposed":               "this daemon is no longer the owner",
	"owner gives up":        "owner returned an error",
	"decisions paused":      "orders to targets and VMs paused or resumed",
	"target left out":       "target ejected after task failures",
	"target ended":          "target no longer runs on its VM",
	"job waits":             "job step waiting",
	"task to start again":   "task waiting for another start",
	"run not listed":        "run missing from the target's list",
	"start not carried out": "start refused or not confirmed",
	"store lost":            "watching the store failed, trying again",
	"store regained":        "watching the store works again",
	"target lost":           "target failed to list its runs",
	"target regained":       "target lists its runs again",
}

// Explain reads the logs and reports on the job. The error wraps ErrUnknownJob and names the
// period that the logs cover if no line names the job. Errors of the readers are returned.
func Explain(job string, inputs ...Input) (*Report, error) {
	r := &Report{Job: job}
	var others []Event
	for _, in := range inputs {
		if err := r.read(in, &others); err != nil {
			return nil, Error.New("%s: %w", in.Name, err)
		}
	}
	if len(r.Events) == 0 {
		return nil, Error.New("job %s: %w; the logs cover %s to %s, %d lines are not readable", job, ErrUnknownJob,
			r.First.Format(time.RFC3339Nano), r.Last.Format(time.RFC3339Nano), r.Skipped)
	}
	sortEvents(r.Events)
	r.addContext(others)
	r.Cause = cause(r.Events)
	return r, nil
}

func sortEvents(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
}

// read reads one log. Lines that do not name the job but may matter to it go to others.
func (r *Report) read(in Input, others *[]Event) error {
	lines := bufio.NewReaderSize(in.Reader, maxLine)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.Skipped++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = lines.ReadSlice('\n')
			}
			line = nil
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			r.add(in.Name, text, others)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *Report) add(source string, line []byte, others *[]Event) {
	event, ok := parse(source, line)
	if !ok {
		r.Skipped++
		return
	}
	if r.First.IsZero() || event.At.Before(r.First) {
		r.First = event.At
	}
	if event.At.After(r.Last) {
		r.Last = event.At
	}
	switch {
	case event.names(r.Job):
		r.Events = append(r.Events, event)
	case slices.Contains(contextMessages, event.kind):
		event.Context = true
		*others = append(*others, event)
	}
}

// parse decodes a line. If words precede the JSON object, the last one names the process.
func parse(source string, line []byte) (Event, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Event{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Event{}, false
	}
	if words := strings.Fields(string(line[:start])); len(words) > 0 {
		source = words[len(words)-1]
	}
	at, err := time.Parse(time.RFC3339Nano, text(fields["@timestamp"]))
	if err != nil {
		return Event{}, false
	}
	event := Event{
		At:      at,
		Source:  source,
		Message: text(fields["@message"]),
		Fields:  map[string]any{},
	}
	event.kind = event.Message
	if today, ok := earlierMessages[event.Message]; ok {
		event.kind = today
	}
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") {
			event.Fields[name] = value
		}
	}
	return event, event.Message != ""
}

// names reports whether the line is about the job or one of its tasks.
func (e *Event) names(job string) bool {
	if text(e.Fields["job"]) == job {
		return true
	}
	switch task := e.Fields["task"].(type) {
	case string:
		return strings.HasPrefix(task, job+".")
	case map[string]any:
		return text(task["Job"]) == job
	}
	return false
}

// addContext adds what happened to the daemons, and to the targets that the job ran on,
// while it was under way.
func (r *Report) addContext(others []Event) {
	targets, cells := map[string]bool{}, map[string]bool{}
	for _, e := range r.Events {
		targets[text(e.Fields["target"])] = true
		if cell := e.cell(); cell != "" {
			cells[cell] = true
		}
	}
	first, last := r.Events[0].At, r.Events[len(r.Events)-1].At
	for _, e := range others {
		target, ofTarget := e.Fields["target"]
		if e.At.Before(first) || e.At.After(last) || ofTarget && !targets[text(target)] {
			continue
		}
		if cell := e.cell(); cell != "" && len(cells) > 0 && !cells[cell] {
			continue // of an owner that has nothing to do with the job
		}
		r.Events = append(r.Events, e)
	}
	sortEvents(r.Events)
}

// ownerKeyPrefix precedes the cell in the keys that elections log.
const ownerKeyPrefix = "control/owner/"

// cell returns the cell that the line is about, or "".
func (e *Event) cell() string {
	if cell, ok := strings.CutPrefix(text(e.Fields["key"]), ownerKeyPrefix); ok {
		return cell
	}
	return text(e.Fields["cell"])
}

// Write prints the timeline, the cause and the number of skipped lines.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	start := r.Events[0].At
	for _, e := range r.Events {
		mark := " "
		if e.Context {
			mark = "|"
		}
		fmt.Fprintf(&b, "%9.3f s %s %-20s %s", e.At.Sub(start).Seconds(), mark, e.Source, e.Message)
		for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
			if name != "job" {
				fmt.Fprintf(&b, " %s=%s", name, text(e.Fields[name]))
			}
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "\njob %s, first seen %s\ncause: %s\n", r.Job, start.Format(time.RFC3339Nano), r.Cause)
	if r.Skipped > 0 {
		fmt.Fprintf(&b, "%d lines were not readable\n", r.Skipped)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// text formats the value of a field.
func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprintf("%.10g", v)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
