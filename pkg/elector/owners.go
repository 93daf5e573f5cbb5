package elector

import (
	"sync"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Owners is what a daemon knows of the owners of all resources. One watch of the store feeds it
// for all Electors of the daemon, so that the calls of a daemon do not grow with the number of
// resources.
type Owners struct {
	mu      sync.Mutex
	items   map[string]storer.Item // by key
	loaded  bool
	changed chan struct{} // closed and replaced at each change
}

// NewOwners returns an Owners that knows nothing until the first call of Apply.
func NewOwners() *Owners {
	return &Owners{
		items:   map[string]storer.Item{},
		changed: make(chan struct{}),
	}
}

// Apply processes changes of the keys that hold the names of owners. If full is true, events
// holds all of these keys.
func (o *Owners) Apply(events []storer.Event, full bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if full {
		clear(o.items)
		o.loaded = true
	}
	for _, event := range events {
		if event.Deleted {
			delete(o.items, event.Item.Key)
			continue
		}
		o.items[event.Item.Key] = event.Item
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// owner returns the item under a key, which has version zero if nobody is the owner, and a
// channel that closes at the next change. known is false before the first full state.
func (o *Owners) owner(key string) (item storer.Item, known bool, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.items[key], o.loaded, o.changed
}
