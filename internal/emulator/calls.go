package emulator

import (
	"sync"
	"time"
)

// The kinds that count all reads and all writes of the key-value service. Each call also counts
// under its own kind. The sums are needed because the service limits reads and writes in total.
const (
	KindAllReads  = "all_reads"
	KindAllWrites = "all_writes"
)

// CallCount describes the calls of one kind.
type CallCount struct {
	Total uint64 `json:"total"`
	// LastSecond is the number of calls in the last full second.
	LastSecond uint64 `json:"last_second"`
	// MaxPerSecond is the largest number of calls in one second of Unix time.
	MaxPerSecond uint64 `json:"max_per_second"`
	// InProgress is the number of calls in progress.
	InProgress int `json:"waiting"`
}

// calls counts calls per kind and second.
type calls struct {
	mu    sync.Mutex
	kinds map[string]*callCounter
}

type callCounter struct {
	total    uint64
	second   int64 // Unix time in seconds that current counts
	current  uint64
	previous uint64
	largest  uint64
	waiting  int
}

func newCalls() *calls {
	return &calls{kinds: map[string]*callCounter{}}
}

// begin counts a call and returns the function that marks its end.
func (c *calls) begin(kind string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		k = &callCounter{}
		c.kinds[kind] = k
	}
	k.advance(time.Now().Unix())
	k.total++
	k.current++
	k.largest = max(k.largest, k.current)
	k.waiting++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		k.waiting--
	}
}

func (c *calls) counts() map[string]CallCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now().Unix()
	counts := make(map[string]CallCount, len(c.kinds))
	for kind, k := range c.kinds {
		k.advance(now)
		counts[kind] = CallCount{
			Total:        k.total,
			LastSecond:   k.previous,
			MaxPerSecond: k.largest,
			InProgress:   k.waiting,
		}
	}
	return counts
}

func (k *callCounter) advance(second int64) {
	if second == k.second {
		return
	}
	k.previous = 0
	if second == k.second+1 {
		k.previous = k.current
	}
	k.second = second
	k.current = 0
}
