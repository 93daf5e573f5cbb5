package scheduler

import "time"

// Handle identifies an entry of a Queue; the zero Handle identifies none. A handle is no
// longer valid once its entry has left the queue, even if the entry's node is reused.
type Handle struct {
	index      int32
	generation uint32
}

// Queue is a bounded first-in first-out queue whose entries have deadlines.
// Push, Pop, Remove and PopExpired take O(log n) time. Memory is allocated only
// when the queue grows beyond its largest length so far.
type Queue[T any] struct {
	limit     int
	nodes     []node[T]
	free      []int32 // indices of the nodes without an entry
	head      int32   // index of the oldest entry, none when empty
	tail      int32
	deadlines []int32 // binary heap of node indices, earliest deadline first
}

type node[T any] struct {
	value      T
	deadline   time.Time
	prev       int32
	next       int32
	heapIndex  int32 // position in deadlines, none while the node is free
	generation uint32
}

const none = int32(-1)

// NewQueue returns an empty queue for at most limit entries.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit: limit,
		head:  none,
		tail:  none,
	}
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.deadlines) }

// Push appends an entry. It returns false when the queue is full.
func (q *Queue[T]) Push(value T, deadline time.Time) (Handle, bool) {
	if q.Len() >= q.limit {
		return Handle{}, false
	}
	i := q.allocate()
	n := &q.nodes[i]
	n.value = value
	n.deadline = deadline
	n.prev = q.tail
	n.next = none
	n.generation++
	if q.tail == none {
		q.head = i
	} else {
		q.nodes[q.tail].next = i
	}
	q.tail = i
	n.heapIndex = int32(len(q.deadlines))
	q.deadlines = append(q.deadlines, i)
	q.up(int(n.heapIndex))
	return Handle{
		index:      i,
		generation: n.generation,
	}, true
}

// Peek returns the oldest entry without removing it, nil when the queue is empty.
// The pointer is valid until the next Push.
func (q *Queue[T]) Peek() *T {
	if q.head == none {
		return nil
	}
	return &q.nodes[q.head].value
}

// Pop removes and returns the oldest entry.
func (q *Queue[T]) Pop() (value T, ok bool) {
	if q.head == none {
		return value, false
	}
	return q.remove(q.head), true
}

// PopExpired removes and returns the entry with the earliest deadline if that is not after now.
func (q *Queue[T]) PopExpired(now time.Time) (value T, ok bool) {
	if len(q.deadlines) == 0 || q.nodes[q.deadlines[0]].deadline.After(now) {
		return value, false
	}
	return q.remove(q.deadlines[0]), true
}

// earliestDeadline returns the earliest deadline of all entries.
func (q *Queue[T]) earliestDeadline() (time.Time, bool) {
	if len(q.deadlines) == 0 {
		return time.Time{}, false
	}
	return q.nodes[q.deadlines[0]].deadline, true
}

// Remove removes and returns the entry of the handle. It returns false if the entry has
// left the queue.
func (q *Queue[T]) Remove(h Handle) (value T, ok bool) {
	if h.generation == 0 || int(h.index) >= len(q.nodes) {
		return value, false
	}
	n := &q.nodes[h.index]
	if n.generation != h.generation || n.heapIndex == none {
		return value, false
	}
	return q.remove(h.index), true
}

// find returns the handle of the first of the oldest depth entries that matches.
func (q *Queue[T]) find(depth int, match func(*T) bool) (Handle, bool) {
	for i := q.head; i != none && depth > 0; i = q.nodes[i].next {
		n := &q.nodes[i]
		if match(&n.value) {
			return Handle{
				index:      i,
				generation: n.generation,
			}, true
		}
		depth--
	}
	return Handle{}, false
}

func (q *Queue[T]) allocate() int32 {
	if last := len(q.free) - 1; last >= 0 {
		i := q.free[last]
		q.free = q.free[:last]
		return i
	}
	q.nodes = append(q.nodes, node[T]{})
	return int32(len(q.nodes) - 1)
}

func (q *Queue[T]) remove(i int32) T {
	n := &q.nodes[i]
	if n.prev == none {
		q.head = n.next
	} else {
		q.nodes[n.prev].next = n.next
	}
	if n.next == none {
		q.tail = n.prev
	} else {
		q.nodes[n.next].prev = n.prev
	}
	last := len(q.deadlines) - 1
	at := int(n.heapIndex)
	q.swap(at, last)
	q.deadlines = q.deadlines[:last]
	if at < last {
		q.down(at)
		q.up(at)
	}
	value := n.value
	var zero T
	n.value = zero // keep no reference to a removed value
	n.heapIndex = none
	q.free = append(q.free, i)
	return value
}

func (q *Queue[T]) before(a, b int) bool {
	return q.nodes[q.deadlines[a]].deadline.Before(q.nodes[q.deadlines[b]].deadline)
}

func (q *Queue[T]) swap(a, b int) {
	q.deadlines[a], q.deadlines[b] = q.deadlines[b], q.deadlines[a]
	q.nodes[q.deadlines[a]].heapIndex = int32(a)
	q.nodes[q.deadlines[b]].heapIndex = int32(b)
}

func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.deadlines) {
			return
		}
		if child+1 < len(q.deadlines) && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			return
		}
		q.swap(i, child)
		i = child
	}
}
