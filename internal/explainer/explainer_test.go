package explainer

import (
	"errors"
	"fmt"
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
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := Explain("a1", Input{
				Name:   "edge-1",
				Reader: strings.NewReader(test.log),
			})
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(r.Cause, test.want) {
				t.Errorf("cause is %q, want %q in it", r.Cause, test.want)
			}
		})
	}
}

// The lines of several processes make one timeline. Lines about other jobs, about targets
// that the job did not use, and from outside its time span are left out.
func TestTimelineJoinsProcesses(t *testing.T) {
	r, err := Explain("a1",
		Input{
			Name: "edge-1",
			Reader: strings.NewReader(line(20, "job taken", `"job":"a1"`) + "not JSON\n" + line(25, "job taken", `"job":"b2"`) +
				line(30, "job started", `"job":"a1","target":"i-1"`) + line(40, "target lost", `"target":"i-1"`) +
				line(41, "target lost", `"target":"i-2"`) + line(50, "run lost", `"task":"a1.0.0.0","target":"i-1"`) +
				line(60, "takeover", `"fence":3`)),
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
	want := []string{"edge-2 job accepted", "edge-1 job taken", "edge-1 job started", "edge-1 target lost", "edge-1 run lost"}
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
