package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/forwarder"
)

func neighbor(zone string, n int) forwarder.Neighbor {
	return forwarder.Neighbor{
		Name:    fmt.Sprintf("%s-%d", zone, n),
		Zone:    zone,
		Address: fmt.Sprintf("%s-%d:7001", zone, n),
	}
}

func newRouter(neighbors ...forwarder.Neighbor) *forwarder.Router {
	r := forwarder.New(forwarder.Config{
		Name: "a-1",
		Zone: "a",
	})
	r.SetNeighbors(neighbors)
	return r
}

const (
	start = time.Hour
	left  = 3 * time.Second // time until the caller's deadline
)

func ExampleRouter() {
	r := forwarder.New(forwarder.Config{
		Name: "a-1",
		Zone: "a",
	})
	r.SetNeighbors([]forwarder.Neighbor{
		{
			Name:    "b-1",
			Zone:    "b",
			Address: "10.2.0.1:7001",
		},
		{
			Name:    "a-2",
			Zone:    "a",
			Address: "10.1.0.2:7001",
		},
	})
	r.StoreFailed(time.Second)
	fmt.Println(r.Unserved(2 * time.Second))
	a, ok := r.Next(nil, 3*time.Second, 2*time.Second)
	fmt.Println(a.Name, a.Timeout, ok)
	// Output:
	// true
	// a-2 1s true
}

func TestNeighborThatIsChosen(t *testing.T) {
	tests := []struct {
		name      string
		neighbors []forwarder.Neighbor
		failed    []string
		tried     []string
		left      time.Duration
		after     time.Duration // since the failures
		want      string        // name; empty for none
		timeout   time.Duration
	}{
		{
			name: "none is known",
			left: left,
		},
		{
			name:      "own zone first",
			neighbors: []forwarder.Neighbor{neighbor("b", 1), neighbor("a", 2)},
			left:      left,
			want:      "a-2",
			timeout:   time.Second,
		},
		{
			name:      "itself is left out",
			neighbors: []forwarder.Neighbor{neighbor("a", 1)},
			left:      left,
		},
		{
			name:      "other zone if those of the own one have failed",
			neighbors: []forwarder.Neighbor{neighbor("b", 1), neighbor("a", 2)},
			failed:    []string{"a-2:7001"},
			left:      left,
			want:      "b-1",
			timeout:   time.Second,
		},
		{
			name:      "all have failed",
			neighbors: []forwarder.Neighbor{neighbor("b", 1), neighbor("a", 2)},
			failed:    []string{"a-2:7001", "b-1:7001"},
			left:      left,
		},
		{
			name:      "a failed one is tried again after its pause",
			neighbors: []forwarder.Neighbor{neighbor("a", 2)},
			failed:    []string{"a-2:7001"},
			after:     300 * time.Millisecond,
			left:      left,
			want:      "a-2",
			timeout:   time.Second,
		},
		{
			name:      "the pause grows with each failure",
			neighbors: []forwarder.Neighbor{neighbor("a", 2)},
			failed:    []string{"a-2:7001", "a-2:7001"},
			after:     300 * time.Millisecond,
			left:      left,
		},
		{
			name:      "not the same one twice",
			neighbors: []forwarder.Neighbor{neighbor("a", 2)},
			tried:     []string{"a-2:7001"},
			left:      left,
		},
		{
			name:      "two attempts at most",
			neighbors: []forwarder.Neighbor{neighbor("a", 2), neighbor("a", 3), neighbor("a", 4)},
			tried:     []string{"a-2:7001", "a-3:7001"},
			left:      left,
		},
		{
			name:      "the deadline bounds the attempt",
			neighbors: []forwarder.Neighbor{neighbor("a", 2)},
			left:      350 * time.Millisecond,
			want:      "a-2",
			timeout:   300 * time.Millisecond,
		},
		{
			name:      "the deadline is too close",
			neighbors: []forwarder.Neighbor{neighbor("a", 2)},
			left:      150 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(tt.neighbors...)
			for _, address := range tt.failed {
				r.NeighborFailed(address, start)
			}
			a, ok := r.Next(tt.tried, tt.left, start+tt.after)
			if a.Name != tt.want || a.Timeout != tt.timeout || ok != (tt.want != "") {
				t.Errorf("got %q with %s, %v; want %q with %s", a.Name, a.Timeout, ok, tt.want, tt.timeout)
			}
		})
	}
}

// The load: the store is away for all, and each call of 20 a second looks for a neighbor for a
// minute. The calls that are handed on in vain must stay few, and one neighbor must not get all calls
// that are served.
func TestOutageForAllCausesFewAttempts(t *testing.T) {
	r := newRouter(neighbor("a", 2), neighbor("a", 3), neighbor("b", 1), neighbor("b", 2))
	r.StoreFailed(start)
	attempts := 0
	for now := start; now < start+time.Minute; now += 50 * time.Millisecond {
		var tried []string
		for {
			a, ok := r.Next(tried, left, now)
			if !ok {
				break
			}
			attempts++
			tried = append(tried, a.Address)
			r.NeighborFailed(a.Address, now)
		}
	}
	if attempts > 40 { // one each two seconds, and the first ones
		t.Errorf("%d attempts in a minute without a served neighbor", attempts)
	}
	r.StoreServed(start + time.Minute)
	counts := map[string]int{}
	for range 30 {
		a, ok := r.Next(nil, left, start+time.Minute)
		if !ok {
			t.Fatal("no neighbor after the return of the store")
		}
		counts[a.Name]++
	}
	if counts["a-2"] != 15 || counts["a-3"] != 15 {
		t.Errorf("calls by neighbor are %v, want them spread over the own zone", counts)
	}
}

// A single failed call, as in a burst of refusals, must not send the next ones to a neighbor.
func TestCallsAreHandedOnWithoutATryOnlyWhileTheStoreFails(t *testing.T) {
	r := newRouter(neighbor("a", 2))
	tests := []struct {
		name string
		do   func()
		at   time.Duration
		want bool
	}{
		{
			name: "before the first call",
			at:   start,
		},
		{
			name: "after the first failure",
			do:   func() { r.StoreFailed(start) },
			at:   start,
		},
		{
			name: "after failures for some time",
			do:   func() { r.StoreFailed(start + 150*time.Millisecond) },
			at:   start + 200*time.Millisecond,
			want: true,
		},
		{
			name: "after the answer to a call from before the failures",
			do:   func() { r.StoreServed(start - time.Millisecond) },
			at:   start + 300*time.Millisecond,
			want: true,
		},
		{
			name: "after a success",
			do:   func() { r.StoreServed(start + 400*time.Millisecond) },
			at:   start + time.Second,
		},
	}
	for _, tt := range tests {
		if tt.do != nil {
			tt.do()
		}
		if got := r.Unserved(tt.at); got != tt.want {
			t.Errorf("%s: unserved is %v, want %v", tt.name, got, tt.want)
		}
	}
}

// The sample stays small however many daemons there are, and keeps those of the own zone.
func TestNeighborsAreBounded(t *testing.T) {
	var all []forwarder.Neighbor
	for i := range 500 {
		all = append(all, neighbor("b", i))
	}
	seen := map[string]bool{}
	r := newRouter(all...)
	for range 100 {
		a, _ := r.Next(nil, left, start)
		seen[a.Name] = true
	}
	if len(seen) != forwarder.MaxNeighbors {
		t.Errorf("%d neighbors are used, want %d", len(seen), forwarder.MaxNeighbors)
	}
	if a, _ := newRouter(append(all, neighbor("a", 2))...).Next(nil, left, start); a.Name != "a-2" {
		t.Errorf("the call goes to %s, want the neighbor of the own zone", a.Name)
	}
}

// A daemon that is served through neighbors counts as served for a while after each call.
func TestServedThroughNeighbors(t *testing.T) {
	r := newRouter(neighbor("a", 2))
	if r.ServedWithin(time.Second, start) {
		t.Error("served before any call")
	}
	r.NeighborServed("a-2:7001", start)
	if !r.ServedWithin(time.Second, start+900*time.Millisecond) || r.ServedWithin(time.Second, start+2*time.Second) {
		t.Error("want served for a second after the call and not longer")
	}
}
