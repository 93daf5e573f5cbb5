package measurer

import (
	"container/heap"
	"math"
	"time"
)

// events is the queue of the future events of a run, ordered by time and then by creation.
type events struct {
	list eventHeap
	seq  int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (e *events) add(at time.Duration, do func()) {
	e.seq++
	heap.Push(&e.list, event{
		at:  at,
		seq: e.seq,
		do:  do,
	})
}

// next returns the time of the next event, or the longest duration if there is none.
func (e *events) next() time.Duration {
	if len(e.list) == 0 {
		return math.MaxInt64
	}
	return e.list[0].at
}

func (e *events) pop() (time.Duration, func()) {
	v := heap.Pop(&e.list).(event)
	return v.at, v.do
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(v any) { *h = append(*h, v.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// mean accumulates an arithmetic mean; without values it is 0.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) {
	m.sum += v
	m.n++
}

func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}
