package manager

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyford/comfreyford/internal/sleeper"
)

const (
	// maxStall is how long an owner whose lease is renewed may be unable to act until it gives up the
	// ownership. It is far longer than a slow store takes for a call.
	maxStall = 6 * time.Second
	// stallCheck is the time between two checks.
	stallCheck = 500 * time.Millisecond
	// stalledDelay is how much longer a daemon that gave up waits before it competes again, so that another one
	// can take over.
	stalledDelay = 3 * time.Second
)

// errStalled means that the owner renewed its lease and could not act.
var errStalled = errors.New("the owner can't act")

// progress notes that the owner has acted or got something it needs from the store.
func (o *owner) progress() { o.progressAt.Store(int64(o.cfg.Clock())) }

// stalledFor returns the time since the owner last acted or read a part of what it needs to.
func (o *owner) stalledFor() time.Duration {
	latest := o.progressAt.Load()
	for _, w := range []*prefixWatcher{o.operatorWatch, o.intakeWatch, o.registrationWatch} {
		latest = max(latest, w.pageAt.Load())
	}
	return o.cfg.Clock() - time.Duration(latest)
}

// giveUpIfStalled ends the ownership if the owner can't act for maxStall although the store renews
// its lease: the reads of another daemon may succeed. Without a configuration none could act.
func (o *owner) giveUpIfStalled(ctx context.Context) {
	for sleeper.Sleep(ctx, stallCheck) {
		if o.settings.current() == nil || !o.leaseValid() {
			o.progress()
			continue
		}
		if stalled := o.stalledFor(); stalled > maxStall {
			o.logger.Warn("ownership given up, the owner can't act", "stalled_ms", stalled.Milliseconds(), "jobs_age_ms", o.intakeWatch.age().Milliseconds(),
				"targets_age_ms", o.registrationWatch.age().Milliseconds(), "configuration_age_ms", o.operatorWatch.age().Milliseconds())
			o.fail(errStalled)
			return
		}
	}
}
