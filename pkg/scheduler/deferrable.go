package scheduler

import (
	"math"
	"time"
)

// Load is the input of a StartPolicy.
type Load struct {
	Utilisation float64       // largest used fraction over all resources of the pool; 1 if one is used up
	Waited      time.Duration // since the request was queued
	Left        time.Duration // until its deadline
}

// StartPolicy decides whether a deferrable request may start now.
type StartPolicy interface {
	MayStart(Load) bool
}

// UtilisationThreshold starts deferrable work while the utilisation of the pool is less
// than Below. Work that has Reserve or less left to its deadline starts in any case.
type UtilisationThreshold struct {
	Below   float64 // fraction of the pool
	Reserve time.Duration
}

// MayStart implements StartPolicy.
func (p UtilisationThreshold) MayStart(l Load) bool {
	return l.Left <= p.Reserve || l.Utilisation < p.Below
}

// CongestionPrice starts deferrable work when the price of the pool is at most what
// the request pays. The price follows CA-NFS (Batsakis et al.):
// P(u) = Max (Base^u - 1) / (Base - 1). What a request pays rises linearly
// from Floor when it is queued to Max at its deadline.
type CongestionPrice struct {
	Max   float64
	Base  float64 // k in the paper; up to 1 the price is linear
	Floor float64
}

// Price returns the price at a utilisation of 0 to 1.
func (p CongestionPrice) Price(utilisation float64) float64 {
	u := min(max(utilisation, 0), 1)
	if p.Base <= 1 {
		return p.Max * u // the limit of the formula as Base approaches 1
	}
	return p.Max * (math.Pow(p.Base, u) - 1) / (p.Base - 1)
}

// MayStart implements StartPolicy.
func (p CongestionPrice) MayStart(l Load) bool {
	spent := 1.0
	if total := l.Waited + l.Left; total > 0 {
		spent = min(max(float64(l.Waited)/float64(total), 0), 1)
	}
	return p.Price(l.Utilisation) <= p.Floor+(p.Max-p.Floor)*spent
}
