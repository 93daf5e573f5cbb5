// Package authenticator generates the keys of teams and verifies the keys that
// callers send.
//
// Only the SHA-256 of a secret is stored. Generated secrets have 256 bits of randomness,
// so the request path does not need a slow password hash.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

const (
	// Header is the name of the header in which callers send their key as "<id>.<secret>".
	Header = "Comfreyford-Key"

	secretBytes = 32
	idBytes     = 8
	placeholder = "[redacted]"
)

// Error is the class of all errors of this package.
var Error = errs.Class("authenticator")

var (
	// ErrMalformed means that a header value is not a key.
	ErrMalformed = errors.New("malformed key, want <id>.<secret>")
	// ErrRefused means that the key id is unknown, the key was withdrawn or the secret is
	// wrong. The caller is not told which, so that it can't find out which ids exist.
	ErrRefused = errors.New("key refused")
)

var (
	idPattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{3,63}$`)
	secretPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{16,128}$`)
)

// Secret is the secret part of a key. Printing, logging or encoding it gives a placeholder.
type Secret struct {
	value string
}

// NewSecret wraps a secret that was read from a file or the environment.
func NewSecret(value string) Secret { return Secret{value: value} }

// String implements fmt.Stringer and returns a placeholder.
func (Secret) String() string { return placeholder }

// Format implements fmt.Formatter and writes a placeholder for all verbs and flags.
func (Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, placeholder) }

// MarshalText implements encoding.TextMarshaler and returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(placeholder), nil }

// Reveal returns the secret in clear text.
func (s Secret) Reveal() string { return s.value }

// SHA256 returns the hash of the secret as lower-case hexadecimal digits.
func (s Secret) SHA256() string {
	sum := sha256.Sum256([]byte(s.value))
	return hex.EncodeToString(sum[:])
}

// Matches reports in constant time whether hash is the SHA-256 of the secret.
func (s Secret) Matches(hash [sha256.Size]byte) bool {
	sum := sha256.Sum256([]byte(s.value))
	return subtle.ConstantTimeCompare(sum[:], hash[:]) == 1
}

// Credential is a key as callers send it: an id and a secret.
type Credential struct {
	ID     string
	Secret Secret
}

// Generate returns a new random key.
func Generate() Credential {
	id := make([]byte, idBytes)
	secret := make([]byte, secretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id)
	_, _ = rand.Read(secret)
	return Credential{
		ID:     "k" + hex.EncodeToString(id),
		Secret: NewSecret(base64.RawURLEncoding.EncodeToString(secret)),
	}
}

// HeaderValue returns the value of Header, with the secret in clear text.
func (c Credential) HeaderValue() string {
	return c.ID + "." + c.Secret.Reveal()
}

// ParseHeader parses a value of Header. Its error wraps ErrMalformed and does not contain any
// part of the value, which may be a secret.
func ParseHeader(value string) (Credential, error) {
	id, secret, ok := strings.Cut(value, ".")
	if !ok || !idPattern.MatchString(id) || !secretPattern.MatchString(secret) {
		return Credential{}, Error.Wrap(ErrMalformed)
	}
	return Credential{
		ID:     id,
		Secret: NewSecret(secret),
	}, nil
}

type indexEntry struct {
	team      string
	hash      [sha256.Size]byte
	withdrawn bool
}

// Index maps key ids to teams and hashes. It is immutable.
type Index struct {
	entries map[string]indexEntry
}

// NewIndex builds the index of the keys in a tree. Keys whose hash is malformed are left out,
// so they are refused.
func NewIndex(tree *configurer.Tree) *Index {
	x := &Index{entries: map[string]indexEntry{}}
	for team, doc := range tree.Teams {
		for _, key := range doc.Keys {
			hash, err := ParseHash(key.SHA256)
			if err != nil {
				continue
			}
			x.entries[key.ID] = indexEntry{
				team:      team,
				hash:      hash,
				withdrawn: key.Withdrawn,
			}
		}
	}
	return x
}

// ParseHash parses the hexadecimal SHA-256 of a secret.
func ParseHash(text string) ([sha256.Size]byte, error) {
	var hash [sha256.Size]byte
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, Error.New("not a SHA-256: got %d characters; want 64 hexadecimal digits", len(text))
	}
	copy(hash[:], raw)
	return hash, nil
}

// Verify returns the team of the key, or an error that wraps ErrRefused.
func (x *Index) Verify(c Credential) (team string, err error) {
	// The secret is compared for unknown ids too, so that timing does not reveal which ids exist.
	e, ok := x.entries[c.ID]
	if !c.Secret.Matches(e.hash) || !ok || e.withdrawn {
		return "", Error.Wrap(ErrRefused)
	}
	return e.team, nil
}
