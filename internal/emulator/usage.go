package emulator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// usageView is the usage after a change.
type usageView struct {
	at       time.Time
	used     runner.Resources
	running  int
	draining bool
}

// recordUsage records the usage after a change and drops views that are too old to be
// reported.
func (w *Worker) recordUsage() {
	now := time.Now()
	asOf := now.Add(-w.usageLag())
	for len(w.usage) > 1 && !w.usage[1].at.After(asOf) {
		w.usage = w.usage[1:]
	}
	w.usage = append(w.usage, usageView{
		at:       now,
		used:     w.used,
		running:  w.running,
		draining: w.draining,
	})
}

func (w *Worker) usageLag() time.Duration {
	return time.Duration(w.faults.UsageLagMS) * time.Millisecond
}

func (w *Worker) reportUsage() runner.Usage {
	lag := w.usageLag()
	asOf := time.Now().Add(-lag)
	view := w.usage[0]
	for _, v := range w.usage[1:] {
		if v.at.After(asOf) {
			break
		}
		view = v
	}
	return runner.Usage{
		Total:    w.cfg.Total,
		Used:     view.used,
		Running:  view.running,
		Draining: view.draining,
		AgeMS:    lag.Milliseconds(),
	}
}

func validResources(r runner.Resources) bool {
	return r.Slots >= 1 && r.CPUMillis >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0
}
