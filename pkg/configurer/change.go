package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

const (
	// MaxDocumentBytes bounds one document.
	MaxDocumentBytes = 64 << 10
	// MaxEdits bounds the number of documents in one change.
	MaxEdits = 256

	maxAuthorBytes = 128
)

var (
	// ErrConflict means that a document of the change does not have the expected version;
	// nothing was stored.
	ErrConflict = errors.New("document version conflict")
	// ErrInvalid means that the change or the tree after it is not valid; nothing was stored.
	ErrInvalid = errors.New("invalid configuration")
	// ErrChangeIDReused means that another change has the same id; nothing was stored.
	ErrChangeIDReused = errors.New("change id was used for another change")
	// ErrOutcomeUnknown means that the change may or may not be stored. Committing it again
	// with the same id shows which.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotStored means that the key-value service did not accept the change in time;
	// nothing was stored.
	ErrNotStored = errors.New("not stored")
	// ErrNotFound means that the tree has no such document.
	ErrNotFound = errors.New("document not found")
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{7,63}$`)

// Edit replaces, creates or removes one document.
type Edit struct {
	Path     string `json:"path"`
	Expected string `json:"expected"` // version that the document must have; empty: it must be absent
	Text     string `json:"text,omitempty"`
	Remove   bool   `json:"remove,omitempty"`
}

// Change is a set of edits that take effect together.
type Change struct {
	ID     string `json:"id"` // unique; the same change may be committed again with the same id
	Author string `json:"author"`
	Edits  []Edit `json:"edits"`
}

// Mismatch is a document that does not have the version that an edit expected.
type Mismatch struct {
	Path     string `json:"path"`
	Expected string `json:"expected"`
	Actual   string `json:"actual"` // empty: the document is absent
}

// ConflictError lists all documents of a change that do not have the expected version. It
// wraps ErrConflict.
type ConflictError struct {
	Mismatches []Mismatch
}

// Error implements error.
func (e *ConflictError) Error() string {
	var lines []string
	for _, m := range e.Mismatches {
		lines = append(lines, fmt.Sprintf("%s: has %s, expected %s", m.Path, describeVersion(m.Actual), describeVersion(m.Expected)))
	}
	return ErrConflict.Error() + ": " + strings.Join(lines, "; ")
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

func describeVersion(version string) string {
	if version == "" {
		return "no document"
	}
	return "version " + version
}

// Problem is one reason why a document or a change is invalid.
type Problem struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	Got  string `json:"got"`
	Want string `json:"want"`
}

// String returns the path, the key, what is wrong and what is expected.
func (p Problem) String() string {
	location := p.Path
	if p.Key != "" {
		location += ": " + p.Key
	}
	return fmt.Sprintf("%s: %s; want %s", location, p.Got, p.Want)
}

// ValidationError lists all problems of a change. It wraps ErrInvalid.
type ValidationError struct {
	Problems []Problem
}

// Error implements error.
func (e *ValidationError) Error() string {
	var lines []string
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e *ValidationError) Unwrap() error { return ErrInvalid }

// invalid returns a ValidationError, or nil if there are no problems.
func invalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return Error.Wrap(&ValidationError{Problems: problems})
}

// digest returns a hash of the edits, which covers neither id nor author.
func (c Change) digest() string {
	h := sha256.New()
	for _, e := range c.Edits {
		fmt.Fprintf(h, "%q %q %q %t\n", e.Path, e.Expected, e.Text, e.Remove)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// check validates the change and each of its documents without regard to the present tree.
func (c Change) check() error {
	var problems []Problem
	add := func(path, key, got, want string) {
		problems = append(problems, Problem{
			Path: path,
			Key:  key,
			Got:  got,
			Want: want,
		})
	}
	if !changeIDPattern.MatchString(c.ID) {
		add("change", "id", fmt.Sprintf("got %q", c.ID), "8 to 64 letters, digits and hyphens")
	}
	if c.Author == "" || len(c.Author) > maxAuthorBytes {
		add("change", "author", fmt.Sprintf("got %d bytes", len(c.Author)), fmt.Sprintf("1 to %d bytes", maxAuthorBytes))
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		add("change", "edits", fmt.Sprintf("got %d", len(c.Edits)), fmt.Sprintf("1 to %d documents", MaxEdits))
	}
	seen := map[string]bool{}
	for _, e := range c.Edits {
		if seen[e.Path] {
			add(e.Path, "", "the path occurs twice", "each path once in a change")
		}
		seen[e.Path] = true
		if e.Remove {
			if e.Text != "" {
				add(e.Path, "", "a removal has a text", "no text")
			}
			continue
		}
		_, p := parseDocument(e.Path, e.Text, true)
		problems = append(problems, p...)
	}
	return invalid(problems)
}
