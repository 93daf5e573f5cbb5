package emulator

import (
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// usageView is the usage as of one change.
type usageView struct {
	at       time.Time
	used     runner.Resources
	running  int
	draining bool
}

// recordUsage keeps the usage after a change and drops views that the lag has passed.
func (w *Worker) recordUsage() {
	now := time.Now()
	shown := now.Add(-w.usageLag())
	for len(w.usage) > 1 && !w.usage[1].at.After(shown) {
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
	shown := time.Now().Add(-lag)
	view := w.usage[0]
	for _, v := range w.usage[1:] {
		if v.at.After(shown) {
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

func valid(r runner.Resources) bool {
	return r.Slots >= 1 && r.CPUMillis >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0
}
