package scheduler

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against lost, duplicated or reordered entries, against a queue that grows beyond
// its limit, and against stale handles that remove a later entry in the same node.
func TestQueueBehavesLikeABoundedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			value    int
			deadline time.Time
			handle   Handle
		}
		const limit = 8
		q := NewQueue[int](limit)
		var model []entry
		var stale []Handle
		start := time.Unix(0, 0)
		drop := func(i int) {
			stale = append(stale, model[i].handle)
			model = slices.Delete(model, i, i+1)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				deadline := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second)
				h, ok := q.Push(step, deadline)
				if ok != (len(model) < limit) {
					t.Fatalf("push accepted %v at length %d", ok, len(model))
				}
				if ok {
					model = append(model, entry{step, deadline, h})
				}
			case 2:
				v, ok := q.Pop()
				if ok != (len(model) > 0) || ok && v != model[0].value {
					t.Fatalf("pop gave %d, %v; want the head of %v", v, ok, model)
				}
				if ok {
					drop(0)
				}
			case 3:
				if len(model) > 0 {
					i := rapid.IntRange(0, len(model)-1).Draw(t, "entry")
					if v, ok := q.Remove(model[i].handle); !ok || v != model[i].value {
						t.Fatalf("remove gave %d, %v; want %d", v, ok, model[i].value)
					}
					drop(i)
				}
			case 4:
				now := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")) * time.Second)
				for v, ok := q.PopExpired(now); ok; v, ok = q.PopExpired(now) {
					i := slices.IndexFunc(model, func(e entry) bool { return e.value == v })
					if i < 0 || model[i].deadline.After(now) {
						t.Fatalf("%d expired at %v", v, now)
					}
					drop(i)
				}
				for _, e := range model {
					if !e.deadline.After(now) {
						t.Fatalf("%d did not expire at %v", e.value, now)
					}
				}
			}
			for _, h := range stale {
				if _, ok := q.Remove(h); ok {
					t.Fatal("the handle of a removed entry removed another entry")
				}
			}
			if q.Len() != len(model) {
				t.Fatalf("length %d, want %d", q.Len(), len(model))
			}
		}
	})
}
