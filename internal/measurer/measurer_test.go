package measurer

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

var shortRun = Config{
	Duration: 4 * time.Minute,
	Seeds:    1,
	Load:     0.3,
}

// Guards against results that differ between runs of the same seed, requests that the
// counts of a run leave out, and output that leaves out a policy.
func TestRunIsRepeatableAndComplete(t *testing.T) {
	policies := Policies()[1:3]
	results, err := Run(context.Background(), shortRun, policies)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Run(context.Background(), shortRun, policies)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(results, again) {
		t.Fatal("two runs of the same seed differ")
	}
	for _, r := range results {
		started := 0
		for _, waits := range r.Waits {
			started += len(waits)
		}
		// Requests that were neither started nor refused were still queued at the end of the run.
		if waiting := r.Requests - started - r.Refused - r.Expired; waiting < -r.Expired || waiting > 2000 {
			t.Errorf("%s: %d requests, %d started, %d refused, %d expired", r.Policy, r.Requests, started, r.Refused, r.Expired)
		}
		if r.Moves == 0 || r.BufferVMs <= 0 || r.BufferVMs >= spareWorkers || r.Retried+r.Lost == 0 {
			t.Errorf("%s: no moves, no use of spare VMs or no loss: %d, %v, %d", r.Policy, r.Moves, r.BufferVMs, r.Retried+r.Lost)
		}
	}
	dir := filepath.Join(t.TempDir(), "out")
	if err := Export(dir, results); err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := WriteTables(&table, results); err != nil {
		t.Fatal(err)
	}
	csv, err := os.ReadFile(filepath.Join(dir, "waits.csv"))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range policies {
		if n := strings.Count(string(csv), "\n"+p.Name+",1,"); n != len(streams()) || !strings.Contains(table.String(), "\n"+p.Name+" ") {
			t.Errorf("%s has %d rows in waits.csv, want %d", p.Name, n, len(streams()))
		}
	}
	plots, err := filepath.Glob(filepath.Join(dir, "*.png"))
	if err != nil || len(plots) != len(Measures()) {
		t.Errorf("%d plots, %v; want %d", len(plots), err, len(Measures()))
	}
}

// Guards against accepting a configuration whose figures would mean nothing.
func TestRunRefusesBadConfig(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Duration = time.Second },
		func(c *Config) { c.Seeds = 0 },
		func(c *Config) { c.Load = 1.5 },
	} {
		cfg := shortRun
		change(&cfg)
		if _, err := Run(context.Background(), cfg, Policies()); err == nil {
			t.Errorf("%+v was accepted", cfg)
		}
	}
}

// Guards against a share error that ignores weights or demand.
func TestFairSharesFollowWeightAndDemand(t *testing.T) {
	tests := []struct {
		name    string
		demands []float64 // in the order of teams, which have the weights 4, 3, 2, 1, 1, 1
		want    []float64
	}{
		{"all ask for more", []float64{99, 99, 99, 99, 99, 99}, []float64{4, 3, 2, 1, 1, 1}},
		{"one asks for less", []float64{1, 99, 99, 99, 99, 99}, []float64{1, 4.125, 2.75, 1.375, 1.375, 1.375}},
		{"all ask for less", []float64{1, 1, 1, 0, 0, 0}, []float64{1, 1, 1, 0, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i, got := range fairShares(12, tt.demands) {
				if math.Abs(got-tt.want[i]) > 1e-9 {
					t.Errorf("team %d gets %v, want %v", i, got, tt.want[i])
				}
			}
		})
	}
	if got := shareError([]float64{12, 0, 0, 0, 0, 0}, []float64{99, 99, 99, 99, 99, 99}); math.Abs(got-8.0/12) > 1e-9 {
		t.Errorf("share error %v, want 2/3", got)
	}
}

// Guards against a workload without the alternating peaks that the policies are meant for.
func TestGeneratedDemandAlternates(t *testing.T) {
	perSecond := map[int][]int{}
	for i := range services() {
		perSecond[i] = make([]int, int(shortRun.Duration.Seconds())+1)
	}
	for _, a := range generate(shortRun, newSimulation(shortRun, Policies()[0], 1).rng) {
		perSecond[a.service][int(a.at.Seconds())]++
	}
	for i, s := range services() {
		mean := shortRun.Load * float64(s.workers*workerSlots) / meanDuration().Seconds()
		quiet, busy := 0, 0
		for _, n := range perSecond[i] {
			if float64(n) < mean/2 {
				quiet++
			}
			if float64(n) > 4*mean {
				busy++
			}
		}
		if seconds := len(perSecond[i]); quiet < seconds/2 || busy < seconds/10 {
			t.Errorf("%s: %d quiet and %d busy of %d seconds", s.name, quiet, busy, seconds)
		}
	}
}
