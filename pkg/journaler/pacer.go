package journaler

import (
	"context"
	"sync"
	"time"
)

// Limiter bounds the writes of a process. Wait returns when one write may be made.
type Limiter interface {
	Wait(ctx context.Context) error
}

// WriteLimiter is a Limiter that spaces writes evenly. All shards of an entry daemon share
// one.
type WriteLimiter struct {
	mu   sync.Mutex
	rate float64 // writes per second; zero or less: no limit
	next time.Time
}

// SetRate changes the rate in writes per second for the waits that follow.
func (l *WriteLimiter) SetRate(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = perSecond
}

// Wait implements Limiter.
func (l *WriteLimiter) Wait(ctx context.Context) error {
	return sleep(ctx, l.reserve(time.Now()))
}

func (l *WriteLimiter) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	if l.next.Before(now) {
		l.next = now
	}
	delay := l.next.Sub(now)
	l.next = l.next.Add(time.Duration(float64(time.Second) / l.rate))
	return delay
}

func sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	over := make(chan struct{}) // not a channel timer, see Shard.run
	timer := time.AfterFunc(d, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
