package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// Guards against a request that stays queued past its deadline or is dropped early, as
// Expire skips the queues until the recorded earliest deadline has passed.
func TestExpireDropsExactlyTheExpiredRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newPool(4, Config{})
		now := start
		queued := map[int]time.Time{}
		tickets := map[int]Ticket{}
		seconds := rapid.IntRange(1, 20)
		for n := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"enqueue", "enqueue", "cancel", "next", "expire"}).Draw(rt, "step") {
			case "enqueue":
				r := request(
					rapid.SampledFrom([]string{"sales", "stock", "ledger"}).Draw(rt, "team"),
					rapid.SampledFrom([]configurer.Class{configurer.ClassUrgent, configurer.ClassInteractive, configurer.ClassDeferrable}).Draw(rt, "class"),
					slot,
				)
				r.Value = n
				r.Deadline = now.Add(time.Duration(seconds.Draw(rt, "left")) * time.Second)
				ticket, err := s.Enqueue(now, r)
				if err != nil {
					rt.Fatal(err)
				}
				queued[n] = r.Deadline
				tickets[n] = ticket
			case "cancel":
				n := rapid.IntRange(0, n).Draw(rt, "request")
				_, left := queued[n]
				if _, ok := s.Cancel(tickets[n]); ok != left {
					rt.Fatalf("request %d: cancelled %v, queued %v", n, ok, left)
				}
				delete(queued, n)
			case "next":
				if r, ok := s.Next(now, nil); ok {
					delete(queued, r.Value)
					s.Finish(r.Team, r.Resources)
				}
			case "expire":
				now = now.Add(time.Duration(seconds.Draw(rt, "passed")) * time.Second / 2)
				s.Expire(now, func(r Request[int]) {
					if _, ok := queued[r.Value]; !ok || r.Deadline.After(now) {
						rt.Fatalf("request %d was dropped %s before its deadline", r.Value, r.Deadline.Sub(now))
					}
					delete(queued, r.Value)
				})
				for n, deadline := range queued {
					if !deadline.After(now) {
						rt.Fatalf("request %d is queued %s after its deadline", n, now.Sub(deadline))
					}
				}
			}
		}
		if anyUnexpired(queued, now) {
			if _, ok := s.Next(now, nil); !ok {
				rt.Fatalf("%d requests are queued but none started", len(queued))
			}
		}
	})
}

func anyUnexpired(queued map[int]time.Time, now time.Time) bool {
	for _, deadline := range queued {
		if deadline.After(now) {
			return true
		}
	}
	return false
}
