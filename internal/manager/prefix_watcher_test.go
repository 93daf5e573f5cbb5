package manager

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// forgetfulStore loses its history while a call waits for changes.
type forgetfulStore struct {
	storer.TransactionalStore
	keeps time.Duration // how long it has the history
	scans int
}

func (s *forgetfulStore) Scan(context.Context, string) (storer.Listing, error) {
	s.scans++
	return storer.Listing{
		Revision: 1,
	}, nil
}

func (s *forgetfulStore) WatchPrefix(context.Context, string, storer.Version, time.Duration) (storer.Changes, error) {
	time.Sleep(s.keeps)
	return storer.Changes{}, fmt.Errorf("compacted: %w", storer.ErrHistoryLost)
}

// Guards against daemons that read whole prefixes without pause while the store can't tell them
// changes, and against a pause after a single loss, in which changes would be missed.
func TestLostHistoryIsScannedAgainWithPauses(t *testing.T) {
	tests := []struct {
		keeps time.Duration
		want  int // scans within 3 s
	}{
		{0, 20},
		{100 * time.Millisecond, 20},
		{watchRetryDelay, 20},
		{time.Second, 3},
	}
	for _, test := range tests {
		t.Run(test.keeps.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				store := &forgetfulStore{
					keeps: test.keeps,
				}
				w := newPrefixWatcher(watcherConfig{
					Store:  store,
					Logger: hclog.NewNullLogger(),
					Clock:  func() time.Duration { return time.Since(began) },
					Prefix: "op/",
					Apply:  func([]storer.Event, bool) {},
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second-time.Millisecond)
				defer cancel()
				if err := w.run(ctx); err != nil || store.scans != test.want {
					t.Errorf("%d scans, %v; want %d", store.scans, err, test.want)
				}
			})
		})
	}
}
