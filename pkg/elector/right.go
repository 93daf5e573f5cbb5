package elector

import (
	"sync/atomic"
	"time"
)

// right is the time until which an owner may act.
type right struct {
	end     atomic.Int64
	renewed atomic.Int64
}

func newRight(sentAt, ttl time.Duration) *right {
	r := &right{}
	r.extend(sentAt, ttl)
	return r
}

// extend starts the right anew from the moment before a successful call was sent.
func (r *right) extend(sentAt, ttl time.Duration) {
	r.renewed.Store(int64(sentAt))
	r.end.Store(int64(sentAt) + int64(float64(ttl)*(1-drift)))
}

func (r *right) until() time.Duration { return time.Duration(r.end.Load()) }

func (r *right) renewedAt() time.Duration { return time.Duration(r.renewed.Load()) }
