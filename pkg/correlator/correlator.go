// Package correlator tells the crashes of targets that a piece of work may have caused from those
// that only coincide with it.
//
// Targets crash for reasons of their own, often several in a row, so that repeated losses of a
// target alone don't show that the work on it crashes targets. A Memory holds the crashes of one
// pool. A crash coincides with others if the pool was not calm before and after it.
//
// A Memory does no I/O, reads no clock and is not safe for concurrent use. Times are those of any
// monotonic clock.
package correlator

import (
	"slices"
	"time"
)

const (
	// SettleTime is how long after a crash others count as simultaneous.
	SettleTime = time.Second
	// memory is how long crashes are remembered, maxCrashes how many of them.
	memory     = 2 * time.Minute
	maxCrashes = 256
)

// Crash is a crash of a target, with the work that may have caused it.
type Crash[W comparable] struct {
	At     time.Duration
	Causes []W
}

// CausedBy reports whether the work may have caused the crash.
func (c *Crash[W]) CausedBy(work W) bool {
	return slices.Contains(c.Causes, work)
}

// Memory holds the latest crashes of the targets of one pool.
type Memory[W comparable] struct {
	explains func(W) bool
	crashes  []*Crash[W] // by time
}

// New returns a Memory without crashes. explains reports whether a piece of work is likely to be
// the cause of the crashes that it may have caused. It may call the methods of the Memory.
func New[W comparable](explains func(W) bool) *Memory[W] {
	return &Memory[W]{
		explains: explains,
	}
}

// Record adds a crash that is not earlier than the last one. Its causes may be added to later.
func (m *Memory[W]) Record(c *Crash[W]) {
	m.crashes = slices.DeleteFunc(m.crashes, func(old *Crash[W]) bool { return c.At-old.At > memory })
	m.crashes = append(m.crashes[max(0, len(m.crashes)-maxCrashes+1):], c)
}

// Crashes returns the number of remembered crashes that the work may have caused.
func (m *Memory[W]) Crashes(work W) int {
	n := 0
	for _, c := range m.crashes {
		if c.CausedBy(work) {
			n++
		}
	}
	return n
}

// others returns the times of the crashes in which the work had no part and that nothing else
// explains, until the given time.
func (m *Memory[W]) others(work W, until time.Duration) []time.Duration {
	var others []time.Duration
	for _, c := range m.crashes {
		if c.At <= until && !c.CausedBy(work) && !slices.ContainsFunc(c.Causes, m.explains) {
			others = append(others, c.At)
		}
	}
	return others
}

// Coincides reports whether the pool was not calm around a crash under the work: whether others
// happened less than calm before it or until SettleTime after it.
func (m *Memory[W]) Coincides(work W, at, calm time.Duration) bool {
	others := m.others(work, at+SettleTime)
	return len(others) > 0 && others[len(others)-1] > at-calm
}

// CalmAt returns when the pool has been calm for the given time, as far as the work is concerned,
// or when the crashes have gone on for patience; zero if no other crash is remembered.
func (m *Memory[W]) CalmAt(work W, now, calm, patience time.Duration) time.Duration {
	others := m.others(work, now)
	if len(others) == 0 {
		return 0
	}
	last := len(others) - 1
	first := last
	for first > 0 && others[first]-others[first-1] <= calm {
		first--
	}
	return min(others[last]+calm, others[first]+patience)
}
