package configurer

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/storer"
)

const (
	headKey   = "config/head"
	docPrefix = "config/doc/"

	// HistoryRevisions is the maximum number of changes in the history that the head keeps.
	HistoryRevisions = 64
	// MaxDocuments bounds the number of documents in a tree.
	MaxDocuments = 2048

	// maxHistoryPaths bounds the number of paths in the history, which then has fewer
	// changes. Without it, large changes would let the head grow beyond
	// storer.MaxValueBytes, and no later change could be stored.
	maxHistoryPaths = 2048
)

// DocumentRef is the current version of a document in the head.
type DocumentRef struct {
	Version  string `cbor:"version" json:"version"`   // id of the change that wrote the document
	Revision uint64 `cbor:"revision" json:"revision"` // revision of that change
}

// HistoryEntry describes one committed change in the history.
type HistoryEntry struct {
	ID       string            `cbor:"id" json:"id"`
	Revision uint64            `cbor:"revision" json:"revision"`
	Author   string            `cbor:"author" json:"author"`
	Paths    []string          `cbor:"paths" json:"paths"`
	Replaced map[string]string `cbor:"replaced" json:"replaced,omitempty"` // path -> version before the change
	Digest   string            `cbor:"digest" json:"-"`                    // SHA-256 of the edits; detects reuse of the id
}

// head is the value of the key config/head.
type head struct {
	Revision  uint64                 `cbor:"revision"`
	Documents map[string]DocumentRef `cbor:"documents"`
	Recent    []HistoryEntry         `cbor:"recent"` // oldest first
}

func decodeHead(item storer.Item) (head, error) {
	h := head{Documents: map[string]DocumentRef{}}
	if item.Version == 0 {
		return h, nil
	}
	if err := cbor.Unmarshal(item.Value, &h); err != nil {
		return head{}, Error.New("%s: decode CBOR: %w", headKey, err)
	}
	if h.Documents == nil {
		h.Documents = map[string]DocumentRef{}
	}
	return h, nil
}

// entry returns the committed change with this id.
func (h head) entry(id string) (HistoryEntry, bool) {
	i := slices.IndexFunc(h.Recent, func(e HistoryEntry) bool { return e.ID == id })
	if i < 0 {
		return HistoryEntry{}, false
	}
	return h.Recent[i], true
}

// covers reports whether the history shows every change from the revision on.
func (h head) covers(revision uint64) bool {
	return h.Revision < revision || len(h.Recent) > 0 && h.Recent[0].Revision <= revision
}

// next returns the head after the change, and the entries that leave the history.
func (h head) next(c Change) (head, []HistoryEntry) {
	n := head{
		Revision:  h.Revision + 1,
		Documents: make(map[string]DocumentRef, len(h.Documents)+len(c.Edits)),
	}
	for path, ref := range h.Documents {
		n.Documents[path] = ref
	}
	entry := HistoryEntry{
		ID:       c.ID,
		Revision: n.Revision,
		Author:   c.Author,
		Replaced: map[string]string{},
		Digest:   c.digest(),
	}
	for _, edit := range c.Edits {
		entry.Paths = append(entry.Paths, edit.Path)
		if old, ok := n.Documents[edit.Path]; ok {
			entry.Replaced[edit.Path] = old.Version
		}
		if edit.Remove {
			delete(n.Documents, edit.Path)
			continue
		}
		n.Documents[edit.Path] = DocumentRef{
			Version:  c.ID,
			Revision: n.Revision,
		}
	}
	var dropped []HistoryEntry
	n.Recent, dropped = trim(append(slices.Clone(h.Recent), entry))
	return n, dropped
}

// trim splits a history, oldest first, into the entries that are kept and those that are
// dropped to stay within HistoryRevisions and maxHistoryPaths.
func trim(recent []HistoryEntry) (kept, dropped []HistoryEntry) {
	paths := 0
	first := len(recent)
	for first > 0 && len(recent)-first < HistoryRevisions {
		paths += len(recent[first-1].Paths)
		if paths > maxHistoryPaths {
			break
		}
		first--
	}
	return recent[first:], recent[:first]
}

func docKey(path, version string) string {
	return docPrefix + path + "/" + version
}
