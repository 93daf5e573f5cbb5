package journaler

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// Shards is the number of shard documents of an installation.
	Shards = 64
	// maxUnknownAge is the largest age of an identity that is accepted without a record. It is
	// below minIdentityRetention by twice the allowed clock difference of 60 s, so that an
	// identity whose record was dropped is not accepted again.
	maxUnknownAge = 9 * time.Minute
	maxFuture     = 60 * time.Second
)

// ParseIdentity parses the identity of a request. It returns ErrBadIdentity unless text
// is a UUIDv7.
func ParseIdentity(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, Error.Wrap(ErrBadIdentity)
	}
	return id, nil
}

// IdentityTime returns the creation time that a UUIDv7 contains.
func IdentityTime(id uuid.UUID) time.Time {
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// CheckNew returns nil if a request whose identity has no record may run, and otherwise
// ErrBadIdentity or, for an identity that is older than 9 min, ErrIdentityExpired.
func CheckNew(id uuid.UUID, now time.Time) error {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Error.Wrap(ErrBadIdentity)
	}
	age := now.Sub(IdentityTime(id))
	if age < -maxFuture {
		return Error.Wrap(ErrBadIdentity)
	}
	if age > maxUnknownAge {
		return Error.Wrap(ErrIdentityExpired)
	}
	return nil
}

// ShardOf returns the number of the shard that holds the record of an identity.
func ShardOf(id uuid.UUID) int { return int(xxhash.Sum64(id[:]) % Shards) }

// OwnerOf returns the owner of a shard among the live members by rendezvous
// hashing, or "" without members.
func OwnerOf(shard int, members []string) string {
	var owner string
	var best uint64
	for _, m := range members {
		score := xxhash.Sum64String(m + "/" + ShardKey(shard))
		if owner == "" || score > best || (score == best && m < owner) {
			owner, best = m, score
		}
	}
	return owner
}
