package retrier

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

var start = time.Unix(0, 0)

// Guards against retry storms: more retries in any interval than the stated bound,
// and against budgets of different teams or pools that mix.
func TestRetriesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{})
		rng := rand.New(rand.NewPCG(1, 2))
		keys := []Key{{Team: "a", Pool: "x"}, {Team: "b", Pool: "x"}, {Team: "a", Pool: "y"}}
		type event struct {
			at    time.Time
			first int
			retry int
		}
		events := map[Key][]event{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "passed")) * time.Millisecond)
			k := rapid.SampledFrom(keys).Draw(t, "key")
			e := event{at: now, first: rapid.IntRange(0, 100).Draw(t, "first")}
			for range e.first {
				r.FirstAttempt(now, k)
			}
			for range rapid.IntRange(0, 40).Draw(t, "retries") {
				if _, err := r.Retry(now, k, 1, now.Add(time.Hour), rng); err == nil {
					e.retry++
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "prune") == 0 {
				r.Prune(now, time.Second)
			}
			events[k] = append(events[k], e)
		}
		for k, list := range events {
			for i := range list {
				first, retry := 0, 0
				for _, e := range list[i:] {
					first += e.first
					retry += e.retry
					bound := 0.1*float64(first) + e.at.Sub(list[i].at).Seconds() + 1
					if i > 0 {
						bound += DefaultMaxSavedRetries
					}
					if float64(retry) > bound+1e-6 {
						t.Fatalf("%v: %d retries, bound %.2f", k, retry, bound)
					}
				}
			}
		}
	})
}

// Guards against budgets that refuse retries which their share and rate allow.
func TestBudgetAllowsItsShare(t *testing.T) {
	r := New(Config{})
	rng := rand.New(rand.NewPCG(1, 2))
	k := Key{Team: "a", Pool: "x"}
	allowed := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r.FirstAttempt(now, k)
		if _, err := r.Retry(now, k, 1, now.Add(time.Hour), rng); err == nil {
			allowed++
		}
	}
	if allowed != 109 { // 10% of 1000 and one for each of 9.99 s
		t.Fatalf("%d retries allowed, want 109", allowed)
	}
}

// Guards against retries that start after the deadline and against delays that
// grow without bound or do not grow.
func TestRetryKeepsDeadlineAndBackoff(t *testing.T) {
	tests := []struct {
		name    string
		attempt int
		limit   time.Duration
	}{
		{"first", 1, 50 * time.Millisecond},
		{"third", 3, 200 * time.Millisecond},
		{"capped", 1000, 5 * time.Second},
	}
	r := New(Config{MinRunTime: time.Millisecond})
	rng := rand.New(rand.NewPCG(1, 2))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var longest time.Duration
			for range 1000 {
				longest = max(longest, r.Delay(tt.attempt, rng))
			}
			if longest > tt.limit || longest < tt.limit*9/10 {
				t.Fatalf("longest of 1000 delays %v, want slightly less than %v", longest, tt.limit)
			}
		})
	}
	if _, err := r.Retry(start, Key{}, 1, start.Add(time.Millisecond), rng); !errors.Is(err, ErrDeadline) {
		t.Fatalf("got %v, want %v", err, ErrDeadline)
	}
}

func ExampleDeadline() {
	now := time.Unix(0, 0).UTC()
	fmt.Println(Deadline(now, 0, configurer.ClassInteractive).Format(time.TimeOnly))
	fmt.Println(Deadline(now, 0, configurer.ClassDeferrable).Format(time.TimeOnly))
	fmt.Println(Deadline(now, 2*time.Second, configurer.ClassUrgent).Format(time.TimeOnly))
	// Output:
	// 00:00:30
	// 01:00:00
	// 00:00:02
}
