package supervisor

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
)

func TestFailedComponentRestartsAndSiblingGoesOn(t *testing.T) {
	cases := []struct {
		name string
		fail func() error
	}{
		{
			name: "error",
			fail: func() error { return errors.New("broken") },
		},
		{
			name: "panic",
			fail: func() error { panic("broken") },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			starts := make(chan struct{}, 10)
			var once sync.Once
			siblingStarts := make(chan struct{}, 10)
			tree := Start(Config{Logger: hclog.NewNullLogger()}, Component{
				Name: "root",
				Children: []Component{
					{
						Name: "sibling",
						Run: func(ctx context.Context) error {
							siblingStarts <- struct{}{}
							<-ctx.Done()
							return nil
						},
					},
					{
						Name: "fragile",
						Run: func(ctx context.Context) error {
							starts <- struct{}{}
							err := error(nil)
							once.Do(func() { err = c.fail() })
							if err != nil {
								return err
							}
							<-ctx.Done()
							return nil
						},
					},
				},
			})
			<-starts
			<-starts // the restart
			<-siblingStarts
			if err := tree.Stop(); err != nil {
				t.Fatal(err)
			}
			if n := len(siblingStarts); n != 0 {
				t.Fatalf("sibling was restarted %d times", n)
			}
		})
	}
}

func TestComponentsStopInReverseOrder(t *testing.T) {
	var mu sync.Mutex
	var stopped []string
	started := make(chan struct{}, 2)
	component := func(name string) Component {
		return Component{
			Name: name,
			Run: func(ctx context.Context) error {
				started <- struct{}{}
				<-ctx.Done()
				mu.Lock()
				defer mu.Unlock()
				stopped = append(stopped, name)
				return nil
			},
		}
	}
	tree := Start(Config{Logger: hclog.NewNullLogger()}, Component{
		Name:     "root",
		Children: []Component{component("first"), component("second")},
	})
	<-started
	<-started
	if err := tree.Stop(); err != nil {
		t.Fatal(err)
	}
	if len(stopped) != 2 || stopped[0] != "second" || stopped[1] != "first" {
		t.Fatalf("got %v, want second before first", stopped)
	}
}
