package configurer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// StalenessLimit is the maximum age of the proof that the tree is current for keyed work
	// to be admitted.
	StalenessLimit = 3 * time.Second
	// StaleUseLimit is the time without such a proof after which others may assume that a
	// member no longer uses an older revision: the limit, 1% clock drift and 500 ms.
	StaleUseLimit = StalenessLimit + StalenessLimit/100 + 500*time.Millisecond

	// maxSingleReads is the number of documents above which readTexts reads them by one list.
	maxSingleReads = 16
)

var (
	// ErrOlderRevision means that a delta was ignored because it leads to a smaller revision
	// than the current one.
	ErrOlderRevision = errors.New("older revision")
	// ErrDeltaBase means that a delta was ignored because it builds on another revision than
	// the current one.
	ErrDeltaBase = errors.New("delta builds on another revision")
)

// Delta contains the changes from one revision to a greater one. If both are equal, it only
// confirms that the revision is current.
type Delta struct {
	From      uint64         `cbor:"from"` // revision on which the delta builds; zero: it holds the whole tree
	Revision  uint64         `cbor:"revision"`
	Documents []Document     `cbor:"documents,omitempty"`
	Removed   []string       `cbor:"removed,omitempty"`
	Recent    []HistoryEntry `cbor:"recent,omitempty"` // history after From
	Proved    bool           `cbor:"known"`            // false: the sender never had proof that its revision is current
	Age       time.Duration  `cbor:"age"`              // age of the sender's proof
}

// CurrentTree is a tree and when it was last proved to be current.
type CurrentTree struct {
	Tree      *Tree
	FreshAsOf time.Time // start of the read that proved it, with a monotonic clock reading; zero: never proved
}

// Age returns how long ago the tree was proved to be current, and false if it never was.
func (s CurrentTree) Age(now time.Time) (time.Duration, bool) {
	if s.FreshAsOf.IsZero() {
		return 0, false
	}
	return now.Sub(s.FreshAsOf), true
}

// Fresh reports whether keyed work may be admitted under this tree.
func (s CurrentTree) Fresh(now time.Time) bool {
	age, ok := s.Age(now)
	return ok && age <= StalenessLimit
}

// snapshot is immutable. The tree and its proof are published together: a reader that
// combined an old tree with a new proof would admit work under a withdrawn key.
type snapshot struct {
	CurrentTree
	docs      map[string]parsedDocument
	recent    []HistoryEntry
	appliedAt time.Time // when the view got the revision
	// superseded is closed when the view gets a greater revision.
	superseded chan struct{}
}

// View holds the current tree of one process. Its revision never decreases.
type View struct {
	log     hclog.Logger
	mu      sync.Mutex // serialises updates
	current atomic.Pointer[snapshot]
}

// NewView returns a view with an empty tree of revision zero. A nil logger is allowed.
func NewView(log hclog.Logger) *View {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	v := &View{log: log}
	v.current.Store(&snapshot{
		CurrentTree: CurrentTree{Tree: buildTree(0, nil)},
		superseded:  make(chan struct{}),
	})
	return v
}

// Current returns the current tree and its proof. It takes no lock. Callers must not change
// the tree.
func (v *View) Current() CurrentTree {
	return v.current.Load().CurrentTree
}

// Await waits until the view has a greater revision than the given one. If ctx ends first,
// it returns the current state and an error.
func (v *View) Await(ctx context.Context, revision uint64) (CurrentTree, error) {
	for {
		s := v.current.Load()
		if s.Tree.Revision > revision {
			return s.CurrentTree, nil
		}
		select {
		case <-s.superseded:
		case <-ctx.Done():
			return s.CurrentTree, Error.Wrap(ctx.Err())
		}
	}
}

// Document returns one document, or ErrNotFound.
func (v *View) Document(path string) (Document, error) {
	doc, ok := v.current.Load().docs[path]
	if !ok {
		return Document{}, Error.New("%s: %w", path, ErrNotFound)
	}
	return doc.Document, nil
}

// Documents returns the current revision and its documents, sorted by path.
func (v *View) Documents() (uint64, []Document) {
	s := v.current.Load()
	docs := make([]Document, 0, len(s.docs))
	for _, path := range slices.Sorted(maps.Keys(s.docs)) {
		docs = append(docs, s.docs[path].Document)
	}
	return s.Tree.Revision, docs
}

// History returns the kept changes to the path, newest first; an empty path means all changes.
func (v *View) History(path string) []HistoryEntry {
	var entries []HistoryEntry
	for _, e := range slices.Backward(v.current.Load().recent) {
		if path == "" || slices.Contains(e.Paths, path) {
			entries = append(entries, e)
		}
	}
	return entries
}

// Since returns the delta for a peer that has the given revision, with the age of this
// view's proof at now.
func (v *View) Since(revision uint64, now time.Time) Delta {
	s := v.current.Load()
	d := Delta{
		From:     revision,
		Revision: s.Tree.Revision,
	}
	d.Age, d.Proved = s.Age(now)
	if revision >= s.Tree.Revision {
		d.From = s.Tree.Revision
		return d
	}
	if len(s.recent) == 0 || s.recent[0].Revision > revision+1 {
		// The history does not show all removals since the revision, so send the whole tree.
		d.From = 0
	}
	for _, path := range slices.Sorted(maps.Keys(s.docs)) {
		if doc := s.docs[path]; doc.Revision > d.From {
			d.Documents = append(d.Documents, doc.Document)
		}
	}
	removed := map[string]bool{}
	for _, e := range s.recent {
		if e.Revision <= d.From {
			continue
		}
		d.Recent = append(d.Recent, e)
		for _, path := range e.Paths {
			if _, ok := s.docs[path]; !ok {
				removed[path] = true
			}
		}
	}
	d.Removed = slices.Sorted(maps.Keys(removed))
	return d
}

// Apply updates the view by a delta from the store or a peer. start is when the request for
// the delta was sent.
//
// It returns ErrOlderRevision, ErrDeltaBase or a *ValidationError and keeps the current
// tree when the delta cannot be applied.
func (v *View) Apply(d Delta, start time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.current.Load()
	have := s.Tree.Revision
	if d.Revision < have {
		// A read that began before the view got its revision may well return an older one.
		if start.Add(-d.Age).After(s.appliedAt) {
			v.log.Error("ignored an older revision", "have", have, "received", d.Revision)
		}
		return Error.New("%w: have %d, received %d", ErrOlderRevision, have, d.Revision)
	}
	proof := time.Time{}
	if d.Proved && d.Age >= 0 {
		proof = start.Add(-d.Age)
	}
	if d.Revision == have {
		v.prove(s, proof)
		return nil
	}
	if d.From != 0 && d.From != have {
		return Error.New("%w: have %d, delta builds on %d", ErrDeltaBase, have, d.From)
	}
	next, err := s.apply(d)
	if err != nil {
		return err
	}
	next.FreshAsOf = proof
	// The older tree was current at some time after s.FreshAsOf and the newer one is current
	// later still, so s.FreshAsOf is valid for the newer one too.
	if s.FreshAsOf.After(proof) {
		next.FreshAsOf = s.FreshAsOf
	}
	v.current.Store(next)
	close(s.superseded)
	return nil
}

// Confirm records a proof that the head had this revision at the given time.
// A proof of another revision is ignored.
func (v *View) Confirm(revision uint64, proof time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.current.Load()
	if s.Tree.Revision == revision {
		v.prove(s, proof)
	}
}

func (v *View) prove(s *snapshot, proof time.Time) {
	if !proof.After(s.FreshAsOf) {
		return
	}
	next := *s
	next.FreshAsOf = proof
	v.current.Store(&next)
}

func (s *snapshot) apply(d Delta) (*snapshot, error) {
	docs := map[string]parsedDocument{}
	var recent []HistoryEntry
	if d.From != 0 {
		maps.Copy(docs, s.docs)
		recent = slices.Clone(s.recent)
	}
	for _, path := range d.Removed {
		delete(docs, path)
	}
	var problems []Problem
	for _, doc := range d.Documents {
		value, p := parseDocument(doc.Path, doc.Text, false)
		problems = append(problems, p...)
		docs[doc.Path] = parsedDocument{
			Document: doc,
			value:    value,
		}
	}
	if err := invalid(problems); err != nil {
		return nil, err
	}
	recent, _ = trim(append(recent, d.Recent...))
	return &snapshot{
		CurrentTree: CurrentTree{Tree: buildTree(d.Revision, docs)},
		docs:        docs,
		appliedAt:   time.Now(),
		superseded:  make(chan struct{}),
		recent:      recent,
	}, nil
}

// Refresh reads the head and updates the view.
func (v *View) Refresh(ctx context.Context, store storer.Store) error {
	start := time.Now()
	item, err := store.Get(ctx, headKey)
	if err != nil {
		return Error.Wrap(err)
	}
	_, _, err = v.applyHead(ctx, store, item, start)
	return err
}

// Watch waits until the version of the key of the head differs from known, or until wait has
// passed, and updates the view. It returns the version to pass to the next call.
func (v *View) Watch(ctx context.Context, store storer.Store, known storer.Version, wait time.Duration) (storer.Version, error) {
	start := time.Now()
	item, err := store.Watch(ctx, headKey, known, wait)
	if err != nil {
		return known, Error.Wrap(err)
	}
	if _, _, err := v.applyHead(ctx, store, item, start); err != nil {
		return known, err
	}
	return item.Version, nil
}

// applyHead updates the view by a head that was read from the store. It returns the head and
// its documents, which are older than the view if another update was faster.
func (v *View) applyHead(ctx context.Context, store storer.Store, item storer.Item, start time.Time) (head, map[string]parsedDocument, error) {
	h, err := decodeHead(item)
	if err != nil {
		return head{}, nil, err
	}
	s := v.current.Load()
	d, err := s.delta(ctx, store, h)
	if err != nil {
		return head{}, nil, err
	}
	if err := v.Apply(d, start); err != nil && !errors.Is(err, ErrDeltaBase) {
		return head{}, nil, err
	}
	// ErrDeltaBase means that a concurrent update has changed the view; the head is still valid.
	if d.Revision == s.Tree.Revision {
		return h, s.docs, nil
	}
	next, err := s.apply(d)
	if err != nil {
		return head{}, nil, err
	}
	return h, next.docs, nil
}

// delta reads the documents of the head that the snapshot lacks.
func (s *snapshot) delta(ctx context.Context, store storer.Store, h head) (Delta, error) {
	d := Delta{
		From:     s.Tree.Revision,
		Revision: h.Revision,
		Proved:   true,
	}
	if h.Revision <= s.Tree.Revision {
		return d, nil
	}
	var missing []string
	for _, path := range slices.Sorted(maps.Keys(h.Documents)) {
		if s.docs[path].Version != h.Documents[path].Version {
			missing = append(missing, path)
		}
	}
	texts, err := readTexts(ctx, store, h, missing)
	if err != nil {
		return Delta{}, err
	}
	for _, path := range missing {
		ref := h.Documents[path]
		d.Documents = append(d.Documents, Document{
			Path:     path,
			Version:  ref.Version,
			Revision: ref.Revision,
			Text:     texts[path],
		})
	}
	for path := range s.docs {
		if _, ok := h.Documents[path]; !ok {
			d.Removed = append(d.Removed, path)
		}
	}
	for _, e := range h.Recent {
		if e.Revision > d.From {
			d.Recent = append(d.Recent, e)
		}
	}
	return d, nil
}

// readTexts reads the texts of documents of the head, by path. More than maxSingleReads
// documents are read by one list, because each call counts towards the rate limits of the
// key-value service.
func readTexts(ctx context.Context, store storer.Store, h head, paths []string) (map[string]string, error) {
	items := map[string]storer.Item{}
	if len(paths) > maxSingleReads {
		list, err := store.List(ctx, docPrefix)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		for _, item := range list {
			items[item.Key] = item
		}
	}
	texts := map[string]string{}
	for _, path := range paths {
		key := docKey(path, h.Documents[path].Version)
		item, ok := items[key]
		if !ok {
			var err error
			if item, err = store.Get(ctx, key); err != nil {
				return nil, Error.Wrap(err)
			}
		}
		if item.Version == 0 {
			return nil, Error.New("%s: %w", key, ErrNotFound)
		}
		texts[path] = string(item.Value)
	}
	return texts, nil
}
