package ejector

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func names(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	return ids
}

// Guards against a fault of the application or network that ejects most of a pool, also while
// the pool shrinks, and against ejections that last longer than the maximum.
func TestEjectionsStayWithinTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "targets")
		e := New(Config{})
		e.SetTargets(start, names(n))
		now := start
		ejectedAt := map[string]time.Time{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
			if rapid.IntRange(0, 49).Draw(t, "shrink") == 0 {
				n = rapid.IntRange(1, n).Draw(t, "left")
				e.SetTargets(now, names(n))
			}
			id := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "target"))
			if e.Record(now, id, rapid.IntRange(0, 4).Draw(t, "failed") == 0) {
				ejectedAt[id] = now
			}
			ejected := 0
			for _, id := range names(n) {
				if !e.Ejected(now, id) {
					continue
				}
				ejected++
				if now.Sub(ejectedAt[id]) >= DefaultMax {
					t.Fatalf("target %s is ejected for %v", id, now.Sub(ejectedAt[id]))
				}
			}
			if limit := n * 3 / 10; ejected > limit || ejected != e.Count(now) {
				t.Fatalf("%d of %d targets ejected, count %d, want at most %d", ejected, n, e.Count(now), limit)
			}
		}
	})
}

// Guards against failing targets that stay in use, and healthy ones that are ejected.
func TestRecordEjectsUnhealthyTargets(t *testing.T) {
	tests := []struct {
		name    string
		results string // + success, - failure
		want    bool
	}{
		{"four in a row", "----", false},
		{"five in a row", "-----", true},
		{"success between", "----+----", false},
		{"half of the window", "-+-+-+-+-+-+-+-+-+-+", false},
		{"over half of the window", "--+-+-+-+-+-+-+-+-+-+-+-", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New(Config{})
			e.SetTargets(start, names(10))
			for _, r := range tt.results {
				e.Record(start, "0", r == '+')
			}
			if got := e.Ejected(start, "0"); got != tt.want {
				t.Fatalf("ejected %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against ejections that do not double, do not end, or do not start again at the first
// length after a healthy period.
func TestEjectionTimeDoubles(t *testing.T) {
	e := New(Config{})
	e.SetTargets(start, names(10))
	now := start
	for range DefaultConsecutive {
		e.Record(now, "0", false)
	}
	for _, want := range []time.Duration{5, 10, 20, 40, 80, 80} {
		end := now.Add(want * time.Second)
		if !e.Ejected(end.Add(-1), "0") || e.Ejected(end, "0") {
			t.Fatalf("the ejection does not last %d s", want)
		}
		now = end
		e.Record(now, "0", false)
	}
	now = now.Add(DefaultMax)
	e.Record(now, "0", true)
	now = now.Add(DefaultMax)
	for range DefaultConsecutive {
		e.Record(now, "0", false)
	}
	if e.Ejected(now.Add(DefaultBase), "0") {
		t.Fatal("a target that was healthy for a long time is ejected for longer than DefaultBase")
	}
}

// Guards against a cap that keeps the most unhealthy targets in use.
func TestAtTheCapTheLeastUnhealthyAreUsed(t *testing.T) {
	e := New(Config{})
	e.SetTargets(start, names(4))
	for range 5 {
		e.Record(start, "0", true)
	}
	for range 5 {
		e.Record(start, "0", false)
	}
	for range 5 {
		e.Record(start, "1", false)
	}
	if e.Ejected(start, "0") || !e.Ejected(start, "1") {
		t.Fatal("the target with half of its requests failed is ejected instead of the one that fails all")
	}
	for range 5 {
		e.Record(start, "2", true)
	}
	for range 5 {
		e.Record(start, "2", false)
	}
	if e.Ejected(start, "2") || !e.Ejected(start, "1") {
		t.Fatal("a less unhealthy target took the place of the one that fails all")
	}
}
