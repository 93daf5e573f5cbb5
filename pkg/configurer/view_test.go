package configurer

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Guards against a peer whose tree or history differs from that of the sender after a delta,
// whatever revision the peer had before.
func TestDeltaLeadsAnyPeerToTheSameTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCommitter(storer.NewMemory())
		var peers []*View
		for i := range rapid.OneOf(rapid.IntRange(1, 9), rapid.IntRange(HistoryRevisions+1, 90)).Draw(rt, "changes") {
			path := fmt.Sprintf("teams/t%d", rapid.IntRange(0, 9).Draw(rt, "team"))
			doc, err := c.View.Document(path)
			change := put(fmt.Sprintf("change-%d", i), path, doc.Version, teamText(i+1))
			if err == nil && rapid.Bool().Draw(rt, "remove") {
				change.Edits[0].Remove = true
				change.Edits[0].Text = ""
			}
			if _, err := c.Commit(t.Context(), change); err != nil {
				rt.Fatal(err)
			}
			peer := NewView(nil)
			if err := peer.Apply(c.View.Since(0, time.Now()), time.Now()); err != nil {
				rt.Fatal(err)
			}
			peers = append(peers, peer)
		}
		for _, peer := range peers {
			if err := peer.Apply(c.View.Since(peer.Current().Tree.Revision, time.Now()), time.Now()); err != nil {
				rt.Fatal(err)
			}
			if got, want := peer.Current().Tree, c.View.Current().Tree; !reflect.DeepEqual(got, want) {
				rt.Fatalf("got %+v, want %+v", got, want)
			}
			if got, want := peer.History(""), c.View.History(""); !reflect.DeepEqual(got, want) {
				rt.Fatalf("history %v, want %v", got, want)
			}
		}
	})
}

// Guards against a peer that keeps a removed document because its revision left the history.
func TestPeerOlderThanTheHistoryDropsRemovedDocuments(t *testing.T) {
	c := newCommitter(storer.NewMemory())
	mustCommit(t, c, put("change-1", "teams/a", "", teamText(1)))
	peer := NewView(nil)
	if err := peer.Apply(c.View.Since(0, time.Now()), time.Now()); err != nil {
		t.Fatal(err)
	}
	removal := put("change-2", "teams/a", "change-1", "")
	removal.Edits[0].Remove = true
	mustCommit(t, c, removal)
	for i := range HistoryRevisions {
		mustCommit(t, c, put(fmt.Sprintf("other-change-%d", i), fmt.Sprintf("teams/t%d", i), "", teamText(1)))
	}
	if err := peer.Apply(c.View.Since(1, time.Now()), time.Now()); err != nil {
		t.Fatal(err)
	}
	if _, ok := peer.Current().Tree.Teams["a"]; ok {
		t.Error("the peer still has the removed team")
	}
}

// Guards against a peer that goes back to an older revision or mixes revisions when deltas
// come late, twice or from two senders.
func TestDeltasInAnyOrderNeverRevert(t *testing.T) {
	c := newCommitter(storer.NewMemory())
	trees := map[uint64]*Tree{0: c.View.Current().Tree}
	var deltas []Delta
	for i := range 12 {
		path := fmt.Sprintf("teams/t%d", i%3)
		doc, err := c.View.Document(path)
		change := put(fmt.Sprintf("change-%d", i), path, doc.Version, teamText(i+1))
		if err == nil && i%4 == 3 {
			change.Edits[0].Remove = true
			change.Edits[0].Text = ""
		}
		mustCommit(t, c, change)
		tree := c.View.Current().Tree
		trees[tree.Revision] = tree
		for from := range tree.Revision {
			deltas = append(deltas, c.View.Since(from, time.Now()))
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		peer := NewView(nil)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(deltas)-1), 1, 40).Draw(rt, "deltas") {
			before := peer.Current().Tree.Revision
			err := peer.Apply(deltas[i], time.Now())
			if err != nil && !errors.Is(err, ErrOlderRevision) && !errors.Is(err, ErrDeltaBase) {
				rt.Fatal(err)
			}
			tree := peer.Current().Tree
			if tree.Revision < before || !reflect.DeepEqual(tree, trees[tree.Revision]) {
				rt.Fatalf("from revision %d to %+v", before, tree)
			}
		}
	})
}

// Guards against a view that goes back to an older revision or applies a delta to the wrong
// base.
func TestViewRefusesOtherRevisions(t *testing.T) {
	c := newCommitter(storer.NewMemory())
	mustCommit(t, c, put("change-1", "teams/a", "", teamText(1)))
	old := c.View.Since(0, time.Now())
	mustCommit(t, c, put("change-2", "teams/a", "change-1", teamText(2)))
	if err := c.View.Apply(old, time.Now()); !errors.Is(err, ErrOlderRevision) {
		t.Errorf("got %v, want %v", err, ErrOlderRevision)
	}
	if err := c.View.Refresh(t.Context(), storer.NewMemory()); !errors.Is(err, ErrOlderRevision) {
		t.Errorf("empty store: got %v, want %v", err, ErrOlderRevision)
	}
	if err := NewView(nil).Apply(c.View.Since(1, time.Now()), time.Now()); !errors.Is(err, ErrDeltaBase) {
		t.Errorf("got %v, want %v", err, ErrDeltaBase)
	}
	if got := c.View.Current().Tree.Teams["a"].Weight; got != 2 {
		t.Errorf("weight %d, want 2", got)
	}
}

// Guards against a proof that counts as more recent than the start of the read.
func TestFreshnessCountsFromTheStartOfTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory()
		relay := newCommitter(store)
		if _, ok := relay.View.Current().Age(time.Now()); ok || relay.View.Current().Fresh(time.Now()) {
			t.Error("a view without proof has an age")
		}
		mustCommit(t, relay, put("change-1", "teams/a", "", teamText(1)))
		time.Sleep(time.Second)
		sent := time.Now()
		time.Sleep(300 * time.Millisecond)
		delta := relay.View.Since(0, time.Now())
		time.Sleep(200 * time.Millisecond)
		peer := NewView(nil)
		if err := peer.Apply(delta, sent); err != nil {
			t.Fatal(err)
		}
		if age, _ := peer.Current().Age(time.Now()); age != 1800*time.Millisecond {
			t.Errorf("age %v, want the relay's 1.3s and the 500ms of the poll", age)
		}
		// An older proof does not replace a newer one.
		if err := peer.Apply(Delta{Revision: 1, Proved: true, Age: time.Minute}, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1200 * time.Millisecond)
		if !peer.Current().Fresh(time.Now()) {
			t.Error("stale at 3s")
		}
		time.Sleep(time.Nanosecond)
		if peer.Current().Fresh(time.Now()) {
			t.Error("fresh after 3s")
		}
		peer.Confirm(0, time.Now())
		if peer.Current().Fresh(time.Now()) {
			t.Error("fresh by proof of another revision")
		}
		begin := time.Now()
		version, err := peer.Watch(t.Context(), store, 0, time.Second)
		if err != nil || !peer.Current().FreshAsOf.Equal(begin) {
			t.Errorf("proof %v, want %v: %v", peer.Current().FreshAsOf, begin, err)
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			_, _ = relay.Commit(t.Context(), put("change-2", "teams/b", "", teamText(1)))
		}()
		if _, err := peer.Watch(t.Context(), store, version, time.Minute); err != nil || peer.Current().Tree.Revision != 2 {
			t.Errorf("revision %d after the watch: %v", peer.Current().Tree.Revision, err)
		}
	})
}

// Guards against invalid documents that are accepted, or whose error does not name the problem.
func TestInvalidDocumentsAreNamed(t *testing.T) {
	hash := strings.Repeat("0", 64)
	cases := []struct {
		name, path, text, want string
	}{
		{name: "unknown key", path: "teams/a", text: "weight = 1\nlimit = 1\nquota = 2", want: "teams/a: quota: unknown key; want a documented key"},
		{name: "upper case", path: "teams/a", text: "weight = 1\nLimit = 1", want: "Limit: unknown key"},
		{name: "missing limit", path: "teams/a", text: "weight = 1", want: "teams/a: limit: missing"},
		{name: "limit too great", path: "teams/a", text: "weight = 1\nlimit = 100001", want: "limit: got 100001; want an integer from 0 to 100000"},
		{name: "negative limit", path: "teams/a", text: "weight = 1\nlimit = -1", want: "limit: got -1"},
		{name: "wrong type", path: "teams/a", text: "weight = \"1\"\nlimit = 1", want: "teams/a: weight: line 1: "},
		{name: "not TOML", path: "teams/a", text: "weight == 1", want: "line 1"},
		{name: "secret instead of hash", path: "teams/a", text: "weight = 1\nlimit = 1\nkeys = [{id = \"k123\", sha256 = \"sesame\"}]", want: "keys[0].sha256: got 6 characters"},
		{name: "key id twice", path: "teams/a", text: "weight = 1\nlimit = 1\nkeys = [{id = \"k123\", sha256 = \"" + hash + "\"}, {id = \"k123\", sha256 = \"" + hash + "\"}]", want: "is also in teams/a; want an id that is unique over all teams"},
		{name: "unknown pool", path: "queues/q", text: "pool = \"none\"\nclass = \"urgent\"", want: "queues/q: pool: pool \"none\" does not exist"},
		{name: "unknown class", path: "queues/q", text: "pool = \"none\"\nclass = \"soon\"", want: "class: got \"soon\""},
		{name: "unknown pool of a wave", path: "waves/w", text: "pool = \"none\"\nstate = \"running\"", want: "waves/w: pool"},
		{name: "integer delay", path: "policy", text: "move_delay = 0", want: "move_delay: got Integer; want a string"},
		{name: "not a number", path: "policy", text: "weight_moves = nan", want: "weight_moves: got NaN"},
		{name: "invalid path", path: "teams/A b", text: "", want: "unknown path"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCommitter(storer.NewMemory())
			_, err := c.Commit(t.Context(), put("change-1", tc.path, "", tc.text))
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// Guards against a panic, and against accepted text that peers then reject.
func FuzzCheckDocument(f *testing.F) {
	f.Add("teams/a", teamText(1))
	f.Add("pools/p", "region = \"r\"\nmax_unavailable = 2\n")
	f.Add("queues/q", "pool = \"p\"\nclass = \"urgent\"\n[resources]\nslots = 2\n")
	f.Add("waves/w", "pool = \"p\"\nstate = \"paused\"\n")
	f.Add("policy", "move_delay = \"5s\"\nweight_moves = 1.5\n")
	f.Fuzz(func(t *testing.T, path, text string) {
		err := CheckDocument(path, text)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Error(err)
			}
			return
		}
		if _, problems := parseDocument(path, text, false); len(problems) > 0 {
			t.Errorf("peers reject an accepted document: %v", problems)
		}
	})
}
