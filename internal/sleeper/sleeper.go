// Package sleeper sleeps until a duration has passed or a context is done.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
