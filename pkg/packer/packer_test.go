package packer_test

import (
	"testing"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/packer"
)

func cores(n int64) jobkeeper.Resources {
	return jobkeeper.Resources{
		CPUMillis: n * 1000,
		MemoryMB:  n * 1000,
	}
}

func target(id string, used int64) packer.Target {
	return packer.Target{
		ID:       id,
		Rack:     "r1",
		Labels:   []string{"a", "r1"},
		Capacity: cores(32),
		Used:     cores(used),
		Slowdown: 1,
		Idle:     used == 0,
	}
}

func with(t packer.Target, change func(*packer.Target)) packer.Target {
	change(&t)
	return t
}

func TestChoose(t *testing.T) {
	step := jobkeeper.Step{
		Needs: cores(4),
	}
	request := func(change func(*packer.Request)) packer.Request {
		own := step
		r := packer.Request{
			Step:         &own,
			RemoteFactor: 1.5,
			MaxSlowdown:  2.5,
		}
		change(&r)
		return r
	}
	plain := request(func(*packer.Request) {})
	tests := []struct {
		name    string
		request packer.Request
		targets []packer.Target
		want    string
	}{
		{"no target", plain, nil, ""},
		{"tightest gap", plain, []packer.Target{target("empty", 0), target("half", 16), target("nearly full", 28)}, "nearly full"},
		{"gap too small", plain, []packer.Target{target("full", 29), target("half", 16)}, "half"},
		{"closed", plain, []packer.Target{with(target("x", 16), func(v *packer.Target) { v.Closed = true })}, ""},
		{"too slow", plain, []packer.Target{with(target("x", 16), func(v *packer.Target) { v.Slowdown = 3 })}, ""},
		{"slow target only if no other is eligible", plain, []packer.Target{with(target("slow", 28), func(v *packer.Target) { v.Slowdown = 2 }), target("healthy", 0)}, "healthy"},
		{"label", request(func(r *packer.Request) { r.Step.Label = "b" }), []packer.Target{target("x", 0)}, ""},
		{"spread", request(func(r *packer.Request) { r.Step.PerTarget = 1 }), []packer.Target{with(target("has one", 28), func(v *packer.Target) { v.SameStep = 1 }), target("none", 0)}, "none"},
		{"rack of the data", request(func(r *packer.Request) { r.Step.Rack = "r2" }), []packer.Target{target("near full", 28), with(target("data", 0), func(v *packer.Target) { v.Rack = "r2" })}, "data"},
		{"another rack if the data's is full", request(func(r *packer.Request) { r.Step.Rack = "r2" }), []packer.Target{target("other", 0), with(target("data", 30), func(v *packer.Target) { v.Rack = "r2" })}, "other"},
		{"best-effort tasks reserve no processors", request(func(r *packer.Request) { r.Step.BestEffort = true }), []packer.Target{with(target("x", 0), func(v *packer.Target) { v.Used.CPUMillis = 32000 })}, "x"},
		{"best-effort tasks avoid latency-sensitive ones", request(func(r *packer.Request) { r.Step.BestEffort = true }), []packer.Target{with(target("latency-sensitive", 16), func(v *packer.Target) { v.LatencySensitive = 2 }), target("other", 16)}, "other"},
		{"neighbours that slow it down are avoided", plain, []packer.Target{with(target("disturbed", 28), func(v *packer.Target) { v.Interference = 1 }), target("empty", 0)}, "empty"},
		{"a small loss opens no idle target", plain, []packer.Target{with(target("disturbed", 16), func(v *packer.Target) { v.Interference = 0.1 }), target("empty", 0)}, "disturbed"},
		{"neighbours that slow it down are better than a wait", plain, []packer.Target{with(target("disturbed", 16), func(v *packer.Target) { v.Interference = 2 }), target("full", 30)}, "disturbed"},
		{"latency-sensitive tasks avoid best-effort ones", request(func(r *packer.Request) { r.Step.TailLatencyTargetMS = 50 }), []packer.Target{with(target("best-effort", 16), func(v *packer.Target) { v.BestEffort = 2 }), target("other", 16)}, "other"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if i := packer.Choose(test.request, test.targets); i >= 0 {
				got = test.targets[i].ID
			}
			if got != test.want {
				t.Errorf("chose %q, want %q", got, test.want)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	var targets []packer.Target
	for i := range 64 {
		targets = append(targets, target("t", int64(i%28)))
	}
	step := jobkeeper.Step{
		Needs: cores(4),
	}
	for b.Loop() {
		packer.Choose(packer.Request{
			Step:         &step,
			RemoteFactor: 1.5,
		}, targets)
	}
}
