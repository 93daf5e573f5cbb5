package explainer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// line returns a line of a log, written ms milliseconds after a fixed start.
func line(ms int, message, fields string) string {
	at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"@level":"info","@message":%q,"@timestamp":%q%s}`+"\n", message, at.Format(time.RFC3339Nano), fields)
}

// rewordings are the messages that earlier releases logged in other words, followed by the
// words of this release.
var rewordings = []string{
	"job is of no more use", "job would end too late to be of use",
	"job not stored", "storing the job or its refusal failed",
	"deposed", "this daemon is no longer the owner",
	"owner gives up", "owner returned an error",
	"decisions paused", "orders to targets and VMs paused or resumed",
	"target left out", "target ejected after task failures",
	"target ended", "target no longer runs on its VM",
	"job taken", "job loaded",
	"job waits", "job step waiting",
	"task to start again", "task waiting for another start",
	"run not listed", "run missing from the target's list",
	"start not carried out", "start refused or not confirmed",
	"store lost", "watching the store failed, trying again",
	"store regained", "watching the store works again",
	"target lost", "target failed to list its runs",
	"target regained", "target lists its runs again",
}

// reword replaces messages of earlier releases in a log by those of this release. offset is
// the first line and step the distance between the lines in which it does.
func reword(log string, offset, step int) string {
	lines := strings.SplitAfter(log, "\n")
	for n := offset; n < len(lines); n += step {
		for i := 0; i < len(rewordings); i += 2 {
			lines[n] = strings.Replace(lines[n], fmt.Sprintf(`"@message":%q`, rewordings[i]), fmt.Sprintf(`"@message":%q`, rewordings[i+1]), 1)
		}
	}
	return strings.Join(lines, "")
}

// The cases have the messages of earlier releases. Each has the same cause with those of this
// release and with a mixture of both.
func TestCauses(t *testing.T) {
	accepted := line(0, "job accepted", `"job":"a1"`)
	ended := func(took int) string {
		return line(took, "job ended", fmt.Sprintf(`"job":"a1","state":"complete","took_ms":%d,"objective_ms":1000`, took))
	}
	tests := []struct {
		name string
		log  string
		want string
	}{
		{
			name: "in time",
			log:  accepted + ended(900),
			want: "complete in time, after 900 of 1000 ms",
		},
		{
			name: "refused",
			log:  line(0, "job is of no more use", `"job":"a1","wait_ms":4000,"chain_ms":500,"objective_ms":1000,"report_age_ms":120`),
			want: "new work of its pool waits 4000 ms",
		},
		{
			name: "not stored",
			log:  line(0, "job not stored", `"job":"a1","error":"service unavailable"`),
			want: "writing it to the store failed (service unavailable)",
		},
		{
			name: "failed",
			log:  accepted + line(10, "job ended", `"job":"a1","state":"failed","reason":"task a1.0.0.0 failed i-3"`),
			want: "it failed: task a1.0.0.0 failed i-3",
		},
		{
			name: "neighbours",
			log: accepted + line(800, "run slowed down by neighbours", `"task":"a1.0.0.0","factor":1.4,"neighbour":"image index"`) +
				line(900, "run slowed down by neighbours", `"task":"a1.0.0.1","factor":2.1,"neighbour":"image batch"`) + ended(1500),
			want: "2 runs were slowed down by tasks beside them (2.1 times, image batch)",
		},
		{
			name: "taken over by a neighbor",
			log: "edge-1 " + line(0, "call handed to a neighbor", `"job":"a1","call":"submit","neighbor":"edge-3","outcome":"unavailable"`) +
				"edge-1 " + line(1, "call handed to a neighbor", `"job":"a1","call":"submit","neighbor":"edge-2","outcome":"ok"`) + "edge-2 " + accepted +
				"edge-1 " + line(50, "call handed to a neighbor", `"job":"a1","call":"state","neighbor":"edge-2","outcome":"ok"`) +
				"edge-1 " + line(90, "call handed to a neighbor", `"job":"a1","call":"state","neighbor":"edge-2","outcome":"ok"`) + ended(900),
			want: "after 900 of 1000 ms. Neighbor edge-2 took a call over (submit) from edge-1, which the store turned away." +
				" Neighbor edge-2 took a call over (state) from edge-1, which the store turned away.",
		},
		{
			name: "taken over by no neighbor",
			log: "edge-1 " + line(0, "call handed to a neighbor", `"job":"a1","call":"submit","neighbor":"edge-3","outcome":"unavailable"`) +
				"edge-1 " + line(1, "call handed to a neighbor", `"job":"a1","call":"submit","neighbor":"edge-2","outcome":"not_sent"`),
			want: "No neighbor served it when the store turned a daemon away (attempts: 2).",
		},
		{
			name: "cancelled",
			log:  accepted + line(10, "job cancelled", `"job":"a1"`),
			want: "a caller cancelled it",
		},
		{
			name: "late because of a lost target",
			log: accepted + line(5, "job started", `"job":"a1","target":"i-1","waited_ms":5`) +
				line(20, "run lost", `"task":{"Job":"a1","Index":0},"target":"i-1","reason":"VM ended the target"`) +
				line(20, "task to start again", `"task":"a1.0.0.0","target":"i-1","how":"lapsed"`) + ended(1700),
			want: "700 ms late (1700 ms, objective 1000 ms): 1 runs were lost (VM ended the target)",
		},
		{
			name: "late because of a takeover and a wait",
			log: accepted + line(500, "takeover", `"fence":7`) + line(600, "job waits", `"job":"a1","for":"upper limit","waited_ms":600`) +
				line(700, "job started", `"job":"a1","target":"i-1","waited_ms":700`) + ended(2000),
			want: "the owner was replaced meanwhile; it waited 700 ms for its first start; a step waited for upper limit",
		},
		{
			name: "late because of waits between steps",
			log:  accepted + line(1700, "job ended", `"job":"a1","state":"complete","took_ms":1700,"objective_ms":1000,"waited_ms":650`),
			want: "its steps waited 650 ms in total for their first starts",
		},
		{
			name: "not ended",
			log:  accepted + line(3000, "job waits", `"job":"a1","for":"room","waited_ms":3000`),
			want: "it has not ended in these logs; a step waited for room, 3000 ms after it was due",
		},
		{
			name: "late because of a run that is not listed and a failed start",
			log: accepted + line(5, "start not carried out", `"task":"a1.0.0.0","target":"i-1","outcome":"refused"`) +
				line(5, "task to start again", `"task":"a1.0.0.0","target":"i-1","how":"stopped"`) +
				line(20, "run lost", `"task":"a1.0.0.1","target":"i-1","reason":"VM ended the target"`) +
				line(30, "run not listed", `"task":"a1.0.0.2","target":"i-2"`) +
				line(30, "task to start again", `"task":"a1.0.0.2","target":"i-2","how":"lapsed"`) +
				line(40, "task to start again", `"task":"a1.0.0.3","target":"i-2","how":"failed"`) + ended(1700),
			want: "700 ms late (1700 ms, objective 1000 ms): 1 runs were lost (missing from the target's list of runs); " +
				"1 runs failed; 1 runs were stopped and started again; 1 starts were not carried out.",
		},
	}
	explain := func(t *testing.T, log string) string {
		r, err := Explain("a1", Input{
			Name:   "edge-1",
			Reader: strings.NewReader(log),
		})
		if err != nil {
			t.Fatal(err)
		}
		return r.Cause
	}
	for _, test := range tests {
		earlier := explain(t, test.log)
		for _, log := range []struct{ name, text string }{
			{"earlier release", test.log},
			{"this release", reword(test.log, 0, 1)},
			{"mixture", reword(test.log, 0, 2)},
			{"other mixture", reword(test.log, 1, 2)},
		} {
			t.Run(test.name+"/"+log.name, func(t *testing.T) {
				got := explain(t, log.text)
				if !strings.Contains(got, test.want) {
					t.Errorf("cause is %q, want %q in it", got, test.want)
				}
				if got != earlier {
					t.Errorf("cause is %q, want %q as for the earlier release", got, earlier)
				}
			})
		}
	}
}

// Messages about daemons and targets are context in the words of both releases, and are
// printed as they were logged.
func TestContextInTheWordsOfBothReleases(t *testing.T) {
	context := []string{
		"ownership acquired", "ownership ended", "takeover", "takeover complete", "decisions paused", "deposed", "owner gives up",
		"store lost", "store regained", "target lost", "target regained", "target restarted", "target ended", "target left out",
	}
	var log string
	var want []string
	for _, message := range context {
		log += line(10, message, "")
		want = append(want, message)
		if i := slices.Index(rewordings, message); i >= 0 {
			log += line(10, rewordings[i+1], "")
			want = append(want, rewordings[i+1])
		}
	}
	r, err := Explain("a1", Input{
		Name:   "edge-1",
		Reader: strings.NewReader(line(0, "job accepted", `"job":"a1"`) + log + line(20, "job ended", `"job":"a1"`)),
	})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range r.Events {
		if e.Context {
			got = append(got, e.Message)
		}
	}
	if strings.Join(got, "; ") != strings.Join(want, "; ") {
		t.Errorf("context is %q, want %q", got, want)
	}
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	for _, message := range want {
		if !strings.Contains(b.String(), "| edge-1               "+message+"\n") {
			t.Errorf("%q is not in\n%s", message, b.String())
		}
	}
}

// The lines of several processes make one timeline. Lines about other jobs, about targets
// that the job did not use, and from outside its time span are left out.
func TestTimelineJoinsProcesses(t *testing.T) {
	log := line(20, "job taken", `"job":"a1"`) + "not JSON\n" + line(25, "job taken", `"job":"b2"`) +
		line(30, "job started", `"job":"a1","target":"i-1"`) + line(40, "target lost", `"target":"i-1"`) +
		line(41, "target lost", `"target":"i-2"`) + line(50, "run lost", `"task":"a1.0.0.0","target":"i-1"`) +
		line(60, "takeover", `"fence":3`)
	t.Run("earlier release", func(t *testing.T) {
		checkTimeline(t, log, []string{"edge-2 job accepted", "edge-1 job taken", "edge-1 job started", "edge-1 target lost", "edge-1 run lost"})
	})
	t.Run("this release", func(t *testing.T) {
		checkTimeline(t, reword(log, 0, 1), []string{"edge-2 job accepted", "edge-1 job loaded", "edge-1 job started", "edge-1 target failed to list its runs", "edge-1 run lost"})
	})
}

// checkTimeline explains the log of edge-1, and one of edge-2 which accepts the job.
func checkTimeline(t *testing.T, log string, want []string) {
	r, err := Explain("a1",
		Input{
			Name:   "edge-1",
			Reader: strings.NewReader(log),
		},
		Input{
			Name:   "-",
			Reader: strings.NewReader("  12.5 edge-2 " + line(10, "job accepted", `"job":"a1"`) + strings.Repeat("x", 2*maxLine) + "\n"),
		})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range r.Events {
		got = append(got, e.Source+" "+e.Message)
	}
	if strings.Join(got, "; ") != strings.Join(want, "; ") {
		t.Errorf("timeline is %q, want %q", got, want)
	}
	if r.Skipped != 2 {
		t.Errorf("%d lines skipped, want 2", r.Skipped)
	}
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"0.030 s | edge-1", "target=i-1", "2 lines were not readable"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in\n%s", want, b.String())
		}
	}
}

func TestUnknownJobReportsThePeriodOfTheLogs(t *testing.T) {
	_, err := Explain("c3", Input{
		Name:   "edge-1",
		Reader: strings.NewReader(line(0, "job accepted", `"job":"a1"`) + line(2000, "job ended", `"job":"a1"`)),
	})
	if !errors.Is(err, ErrUnknownJob) || !strings.Contains(err.Error(), "08:00:00Z") || !strings.Contains(err.Error(), "08:00:02Z") {
		t.Errorf("error is %v, want the period of the logs", err)
	}
}

// Arbitrary content neither makes Explain fail nor hides lines that can be parsed.
func FuzzExplain(f *testing.F) {
	f.Add(line(0, "job accepted", `"job":"a1"`))
	f.Add(`{"@message":7,"@timestamp":[],"task":{"Job":3}}` + "\n")
	f.Fuzz(func(t *testing.T, log string) {
		r, err := Explain("a1", Input{
			Name:   "edge-1",
			Reader: strings.NewReader(log + "\n" + line(0, "job accepted", `"job":"a1"`)),
		})
		if err != nil {
			t.Fatal(err)
		}
		if r.Cause == "" {
			t.Error("no cause")
		}
	})
}

// Each cell has an owner of its own: what happens to the owners of other cells does not matter
// to a job, and a job that goes to another cell is followed there.
func TestOwnersOfOtherCellsAreNoCause(t *testing.T) {
	late := line(1900, "job ended", `"job":"a1","cell":"c1-0","state":"complete","took_ms":1900,"objective_ms":1000`)
	tests := []struct {
		name  string
		lines string
		want  string
	}{
		{
			name:  "takeover of another cell",
			lines: line(0, "job loaded", `"job":"a1","cell":"c1-0"`) + line(100, "takeover", `"cell":"c0-0"`) + line(200, "ownership acquired", `"key":"control/owner/c0-0"`) + late,
			want:  "it was complete 900 ms late (1900 ms, objective 1000 ms): the logs show no delay; its tasks ran longer than estimated.",
		},
		{
			name:  "takeover of its cell",
			lines: line(0, "job loaded", `"job":"a1","cell":"c1-0"`) + line(100, "takeover", `"cell":"c1-0"`) + late,
			want:  "it was complete 900 ms late (1900 ms, objective 1000 ms): the owner was replaced meanwhile.",
		},
		{
			name: "takeover of the cell from which it came",
			lines: line(0, "job loaded", `"job":"a1","cell":"c0-0"`) + line(100, "takeover", `"cell":"c0-0"`) +
				line(900, "job transferred to another cell", `"job":"a1","cell":"c0-0","to":"c1-0","given":true`) + line(910, "job loaded", `"job":"a1","cell":"c1-0"`) + late,
			want: "it was complete 900 ms late (1900 ms, objective 1000 ms): the owner was replaced meanwhile; it went to another cell 1 times.",
		},
		{
			name:  "takeover in logs without cells",
			lines: line(0, "job loaded", `"job":"a1"`) + line(100, "takeover", "") + line(1900, "job ended", `"job":"a1","state":"complete","took_ms":1900,"objective_ms":1000`),
			want:  "it was complete 900 ms late (1900 ms, objective 1000 ms): the owner was replaced meanwhile.",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := Explain("a1", Input{
				Name:   "log",
				Reader: strings.NewReader(test.lines),
			})
			if err != nil {
				t.Fatal(err)
			}
			if r.Cause != test.want {
				t.Errorf("cause is %q, want %q", r.Cause, test.want)
			}
		})
	}
}
