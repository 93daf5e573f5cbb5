// Package sleeper waits for a time or the end of a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when ctx ends first.
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
