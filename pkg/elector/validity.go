package elector

import (
	"sync/atomic"
	"time"
)

// leaseValidity is the period in which the owner may act on its lease. The fields are times on
// the clock of Config, in ns.
type leaseValidity struct {
	expiry  atomic.Int64
	renewed atomic.Int64
}

func newLeaseValidity(sentAt, ttl time.Duration) *leaseValidity {
	v := &leaseValidity{}
	v.extend(sentAt, ttl)
	return v
}

// extend makes the lease valid for ttl, less clockDrift, from sentAt, which is taken before
// the call that granted or renewed it.
func (v *leaseValidity) extend(sentAt, ttl time.Duration) {
	v.renewed.Store(int64(sentAt))
	v.expiry.Store(int64(sentAt) + int64(float64(ttl)*(1-clockDrift)))
}

func (v *leaseValidity) until() time.Duration { return time.Duration(v.expiry.Load()) }

func (v *leaseValidity) renewedAt() time.Duration { return time.Duration(v.renewed.Load()) }
