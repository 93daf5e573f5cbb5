package configurer_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

func ExampleCommitter_Commit() {
	c := configurer.Committer{
		Store: storer.NewMemory(),
		View:  configurer.NewView(nil),
	}
	change := configurer.Change{
		ID:     "first-change",
		Author: "ann",
		Edits: []configurer.Edit{{
			Path: "teams/craie",
			Text: "weight = 2\nlimit = 40\n",
		}},
	}
	revision, err := c.Commit(context.Background(), change)
	fmt.Println(revision, err)

	change.ID = "second-change"
	_, err = c.Commit(context.Background(), change)
	fmt.Println(errors.Is(err, configurer.ErrConflict), err)

	state := c.View.Current()
	fmt.Println(state.Tree.Teams["craie"].Limit, state.Fresh(time.Now()))
	// Output:
	// 1 <nil>
	// true configurer: document version conflict: teams/craie: has version first-change, expected no document
	// 40 true
}
