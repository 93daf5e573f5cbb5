package configurer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	// CommitTimeout bounds one call of Commit.
	CommitTimeout = 4 * time.Second

	retryDelayMin = 5 * time.Millisecond
	retryDelayMax = 200 * time.Millisecond
	// cleanupTimeout bounds the deletion of old documents. Commit does it after the change
	// is stored, and a slow service must not delay the answer for long.
	cleanupTimeout = 500 * time.Millisecond
)

// Committer writes changes to the store.
type Committer struct {
	Store storer.Store
	View  *View // each commit updates it
	// BeforeHeadWrite is called before each write of the head. An error prevents the write;
	// otherwise done is called after the write has returned. An entry daemon uses
	// BeforeHeadWrite to keep a promise that it commits no change. If BeforeHeadWrite is nil,
	// every write is allowed.
	BeforeHeadWrite func() (done func(), err error)
}

// commitState is the state of the commit of one change.
type commitState struct {
	*Committer
	change Change
	// unresolved is the revision that a write of the head would have created whose outcome
	// is not known; zero if there is none.
	unresolved uint64
}

// Commit stores the change and returns its revision.
//
// Errors wrap ErrConflict (as *ConflictError), ErrInvalid (as *ValidationError),
// ErrChangeIDReused and ErrNotStored, after which nothing was stored, or
// ErrOutcomeUnknown. The call takes at most CommitTimeout.
func (c *Committer) Commit(ctx context.Context, change Change) (uint64, error) {
	if err := change.check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, CommitTimeout)
	defer cancel()
	a := &commitState{
		Committer: c,
		change:    change,
	}
	delay := retryDelayMin
	for {
		revision, done, err := a.attemptOnce(ctx)
		if done {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, a.outcomeError(err)
		case <-time.After(delay):
			delay = min(2*delay, retryDelayMax)
		}
	}
}

func (a *commitState) outcomeError(cause error) error {
	if a.unresolved != 0 {
		return Error.New("change %s: %w: %w", a.change.ID, ErrOutcomeUnknown, cause)
	}
	return Error.New("change %s: %w: %w", a.change.ID, ErrNotStored, cause)
}

// attemptOnce makes one attempt to commit the change on the present head. If done is false,
// err is the reason and the attempt may be repeated.
func (a *commitState) attemptOnce(ctx context.Context) (revision uint64, done bool, err error) {
	start := time.Now()
	item, err := a.Store.Get(ctx, headKey)
	if err != nil {
		return 0, false, err
	}
	h, docs, err := a.View.applyHead(ctx, a.Store, item, start)
	if err != nil {
		// Other errors than ErrInvalid are worth another attempt. For one, a document may be
		// missing because it left the history and was deleted after this head was read.
		return 0, errors.Is(err, ErrInvalid), err
	}
	if revision, ok, err := a.findStored(h, docs); ok || err != nil {
		return revision, true, err
	}
	if a.unresolved != 0 && h.Revision >= a.unresolved {
		if !h.covers(a.unresolved) {
			return 0, true, a.outcomeError(errors.New("the change may have left the history"))
		}
		a.unresolved = 0
	}
	if err := a.checkAgainst(h, docs); err != nil {
		return 0, true, err
	}
	if err := a.writeDocuments(ctx); err != nil {
		return 0, errors.Is(err, ErrChangeIDReused), err
	}
	return a.writeHead(ctx, h, item.Version, start)
}

// findStored looks for the change in the history and in the documents of the head, and
// returns its revision. A document still has its version after the change left the history.
func (a *commitState) findStored(h head, docs map[string]parsedDocument) (uint64, bool, error) {
	if entry, ok := h.entry(a.change.ID); ok {
		if entry.Digest != a.change.digest() {
			return 0, false, Error.New("change %s: %w", a.change.ID, ErrChangeIDReused)
		}
		return entry.Revision, true, nil
	}
	for _, e := range a.change.Edits {
		ref := h.Documents[e.Path]
		if ref.Version != a.change.ID {
			continue
		}
		if e.Remove || docs[e.Path].Text != e.Text {
			return 0, false, Error.New("change %s: %w", a.change.ID, ErrChangeIDReused)
		}
		return ref.Revision, true, nil
	}
	return 0, false, nil
}

// checkAgainst compares the expected versions with the head and validates the tree as it
// would be after the change.
func (a *commitState) checkAgainst(h head, docs map[string]parsedDocument) error {
	conflict := &ConflictError{}
	var problems []Problem
	after := maps.Clone(docs)
	if after == nil {
		after = map[string]parsedDocument{}
	}
	for _, e := range a.change.Edits {
		if actual := h.Documents[e.Path].Version; actual != e.Expected || e.Remove && actual == "" {
			conflict.Mismatches = append(conflict.Mismatches, Mismatch{
				Path:     e.Path,
				Expected: e.Expected,
				Actual:   actual,
			})
		}
		if e.Remove {
			delete(after, e.Path)
			continue
		}
		value, _ := parseDocument(e.Path, e.Text, true) // valid, as Commit has called check
		problems = append(problems, checkWithdrawn(e.Path, docs[e.Path].value, value)...)
		after[e.Path] = parsedDocument{value: value}
	}
	if len(conflict.Mismatches) > 0 {
		return Error.Wrap(conflict)
	}
	if len(after) > MaxDocuments {
		problems = append(problems, Problem{
			Path: "tree",
			Got:  fmt.Sprintf("%d documents", len(after)),
			Want: fmt.Sprintf("at most %d", MaxDocuments),
		})
	}
	return invalid(append(problems, checkReferences(buildTree(h.Revision+1, after))...))
}

// writeDocuments creates the documents of the change. It may be repeated: a document that
// exists with the same text counts as created.
func (a *commitState) writeDocuments(ctx context.Context) error {
	for _, e := range a.change.Edits {
		if e.Remove {
			continue
		}
		key := docKey(e.Path, a.change.ID)
		_, err := a.Store.CompareAndSwap(ctx, storer.Write{
			Key:   key,
			Value: []byte(e.Text),
		})
		if err == nil {
			continue
		}
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		item, err := a.Store.Get(ctx, key)
		if err != nil {
			return err
		}
		if !bytes.Equal(item.Value, []byte(e.Text)) {
			return Error.New("change %s: %s: %w", a.change.ID, e.Path, ErrChangeIDReused)
		}
	}
	return nil
}

func (a *commitState) writeHead(ctx context.Context, h head, version storer.Version, start time.Time) (uint64, bool, error) {
	next, dropped := h.next(a.change)
	value, err := cbor.Marshal(next)
	if err != nil {
		return 0, true, Error.Wrap(err)
	}
	if a.BeforeHeadWrite != nil {
		done, err := a.BeforeHeadWrite()
		if err != nil {
			return 0, false, err
		}
		defer done()
	}
	_, err = a.Store.CompareAndSwap(ctx, storer.Write{
		Key:      headKey,
		Value:    value,
		Expected: version,
	})
	switch {
	case err == nil:
		a.publish(h, next, start)
		a.cleanUp(ctx, dropped)
		return next.Revision, true, nil
	case errors.Is(err, storer.ErrTooLarge):
		return 0, true, Error.New("change %s: head of %d bytes: %w: %w", a.change.ID, len(value), ErrNotStored, err)
	case errors.Is(err, storer.ErrConflict):
		// This write has not taken effect. Whether an earlier one without an answer has
		// is found out from the next head.
	case errors.Is(err, storer.ErrUnavailable):
	default:
		a.unresolved = next.Revision
	}
	return 0, false, err
}

// publish updates the view to the new revision without another read.
func (a *commitState) publish(before, after head, start time.Time) {
	d := Delta{
		From:     before.Revision,
		Revision: after.Revision,
		Recent:   after.Recent[len(after.Recent)-1:],
		Proved:   true,
	}
	for _, e := range a.change.Edits {
		if e.Remove {
			d.Removed = append(d.Removed, e.Path)
			continue
		}
		d.Documents = append(d.Documents, Document{
			Path:     e.Path,
			Version:  a.change.ID,
			Revision: after.Revision,
			Text:     e.Text,
		})
	}
	// If another update has changed the view meanwhile, Apply may fail; the view then gets
	// the revision with its next read.
	_ = a.View.Apply(d, start)
}

// cleanUp deletes documents that left the history. Those that it fails to delete stay in
// the store unused.
func (a *commitState) cleanUp(ctx context.Context, dropped []HistoryEntry) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	for _, entry := range dropped {
		for path, version := range entry.Replaced {
			item, err := a.Store.Get(ctx, docKey(path, version))
			if err != nil || item.Version == 0 {
				continue
			}
			_ = a.Store.Delete(ctx, item.Key, item.Version)
		}
	}
}

// DocumentText returns the text of a document version that the head or the history names, or
// ErrNotFound.
func (c *Committer) DocumentText(ctx context.Context, path, version string) (string, error) {
	if _, _, err := SplitPath(path); err != nil {
		return "", err
	}
	item, err := c.Store.Get(ctx, docKey(path, version))
	if err != nil {
		return "", Error.Wrap(err)
	}
	if item.Version == 0 {
		return "", Error.New("%s version %s: %w", path, version, ErrNotFound)
	}
	return string(item.Value), nil
}
