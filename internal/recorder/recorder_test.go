package recorder

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Guards against metrics in the operators' page that the daemon does not serve.
func TestPageServesEveryRecordedMetric(t *testing.T) {
	r, err := New()
	if err != nil {
		t.Fatal(err)
	}
	r.Request(Labels{
		Team:    "orders",
		Class:   "interactive",
		Outcome: "done",
	}, time.Millisecond)
	r.Wait("orders", "interactive", time.Millisecond)
	r.AddedLatency("interactive", time.Millisecond)
	r.Attempt("quotes", "done")
	r.Forward("no_allowance")
	r.StoreCall("get", "ok")
	r.Restart("membership")
	r.CallerRefused("callers", "memory")
	for _, m := range Table() {
		if m.Kind != KindGauge {
			continue
		}
		if err := r.RegisterGauge(m.Name, func() []Sample { return []Sample{{Value: 1}} }); err != nil {
			t.Fatal(err)
		}
	}
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page := w.Body.String()
	for _, m := range Table() {
		name := m.Exposed()
		if m.Kind == KindHistogram {
			name += "_bucket"
		}
		if !strings.Contains(page, "\n"+name+"{") && !strings.Contains(page, "\n"+name+" ") {
			t.Errorf("the page lacks %s", name)
		}
	}
	if !strings.Contains(page, `team="orders"`) {
		t.Error("the page has no histogram for the team")
	}
}

func TestJobMetricsPageNamesEveryMetric(t *testing.T) {
	r, err := NewForJobs()
	if err != nil {
		t.Fatal(err)
	}
	r.JobRequest("submit", "ok", time.Millisecond)
	r.ForwardedCall("submit", "ok")
	r.JobStarted("quotes", "schools", time.Millisecond)
	r.JobEnded("quotes", "", "complete", time.Second)
	r.JobPredicted("quotes", "useful", "on_time")
	r.TaskOrder("start", "ok")
	r.TaskEnd("desk", "done")
	r.VMsAhead("desk", 1)
	r.TaskKeptApart("desk")
	r.VMOrder("move", "ok")
	r.TaskKeptApart("desk")
	r.StoreDuration("commit", "ok", time.Millisecond)
	r.CallerRefused("callers", "memory")
	for _, m := range JobTable() {
		if m.Kind != KindGauge {
			continue
		}
		if err := r.RegisterGauge(m.Name, func() []Sample { return []Sample{{Value: 1}} }); err != nil {
			t.Fatal(err)
		}
	}
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(w.Body)
	if err != nil {
		t.Fatalf("the page does not parse: %v", err)
	}
	for _, m := range JobTable() {
		if families[m.Exposed()] == nil {
			t.Errorf("the page lacks %s", m.Exposed())
		}
	}
}
