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

// Pacer is a Limiter that spaces writes evenly. All shards of an entry daemon share one.
type Pacer struct {
	mu   sync.Mutex
	rate float64 // writes per second; zero or less: no limit
	next time.Time
}

// SetRate changes the rate in writes per second for the waits that follow.
func (p *Pacer) SetRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = perSecond
}

// Wait implements Limiter.
func (p *Pacer) Wait(ctx context.Context) error {
	return sleep(ctx, p.reserve(time.Now()))
}

func (p *Pacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	delay := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(time.Second) / p.rate))
	return delay
}

func sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
