package jobkeeper_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
)

func ExampleTaskID() {
	id, err := jobkeeper.ParseTaskID("5c0e7a21d94b36f8.0.1.17")
	fmt.Println(id.Step, id.Index, err)
	fmt.Println(id)
	// Output:
	// 1 17 <nil>
	// 5c0e7a21d94b36f8.0.1.17
}

func job() *jobkeeper.Job {
	return &jobkeeper.Job{
		ID:    "a",
		Queue: "q",
		Steps: []jobkeeper.Step{
			{
				Count:      2,
				EstimateMS: 300,
				Needs: jobkeeper.Resources{
					CPUMillis: 2000,
				},
			},
			{
				Count:      1,
				EstimateMS: 500,
				After:      []int{0},
			},
			{
				Count:      1,
				EstimateMS: 700,
			},
		},
	}
}

func TestJobAndProgressRoundTrip(t *testing.T) {
	data, err := jobkeeper.EncodeJob(job())
	if err != nil {
		t.Fatal(err)
	}
	got, err := jobkeeper.DecodeJob(data)
	if err != nil || !reflect.DeepEqual(got, job()) {
		t.Errorf("document is %+v, %v", got, err)
	}
	p := &jobkeeper.Progress{
		State: jobkeeper.StateRunning,
		Tasks: []jobkeeper.TaskRecord{{
			Step:       1,
			FailedRuns: []uint64{7, 9},
		}},
	}
	data, err = jobkeeper.EncodeProgress(p)
	if err != nil {
		t.Fatal(err)
	}
	back, err := jobkeeper.DecodeProgress(data)
	if err != nil || !reflect.DeepEqual(back, p) {
		t.Errorf("progress is %+v, %v", back, err)
	}
}

func TestCriticalPaths(t *testing.T) {
	if got := job().CriticalPathsMS(); !reflect.DeepEqual(got, []int64{800, 500, 700}) {
		t.Errorf("critical paths are %v, want 800, 500, 700", got)
	}
	if got := job().CriticalPathMS(); got != 800 {
		t.Errorf("critical path is %d, want 800", got)
	}
}

func TestValidateNamesTheInvalidField(t *testing.T) {
	tests := []struct {
		name   string
		change func(*jobkeeper.Job)
		want   string
	}{
		{"no steps", func(j *jobkeeper.Job) { j.Steps = nil }, "steps"},
		{"no tasks", func(j *jobkeeper.Job) { j.Steps[1].Count = 0 }, "steps/1/count"},
		{"negative need", func(j *jobkeeper.Job) { j.Steps[0].Needs.MemoryMB = -1 }, "steps/0"},
		{"step after itself", func(j *jobkeeper.Job) { j.Steps[1].After = []int{1} }, "steps/1/after"},
		{"step after a later one", func(j *jobkeeper.Job) { j.Steps[0].After = []int{2} }, "steps/0/after"},
		{"long spec", func(j *jobkeeper.Job) { j.Spec = strings.Repeat("x", jobkeeper.MaxSpecBytes+1) }, "spec"},
		{"too many tasks", func(j *jobkeeper.Job) { j.Steps[0].Count, j.Steps[1].Count = jobkeeper.MaxTasks, 1 }, "tasks"},
		{"negative repeat", func(j *jobkeeper.Job) { j.Repeat = -1 }, "repeat"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := job()
			test.change(j)
			if err := j.Validate(); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error is %v, want one that names %s", err, test.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, err := jobkeeper.EncodeJob(job())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if j, err := jobkeeper.DecodeJob(data); err == nil {
			if err := j.Validate(); err != nil {
				t.Errorf("a decoded document is not valid: %v", err)
			}
			j.CriticalPathsMS()
		}
		jobkeeper.DecodeProgress(data) //nolint:errcheck // must not panic
	})
}

func FuzzParseTaskID(f *testing.F) {
	f.Add("a.0.1.2")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := jobkeeper.ParseTaskID(s)
		if err != nil {
			return
		}
		if again, err := jobkeeper.ParseTaskID(id.String()); err != nil || again != id {
			t.Errorf("%q is parsed and formatted as %v, parsed again: %v", s, again, err)
		}
	})
}
