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
	// maxUnknownAge bounds the age of an identity that may still be accepted. It
	// is below minIdentityRetention by twice the allowed clock difference of 60 s.
	maxUnknownAge = 9 * time.Minute
	maxFuture     = 60 * time.Second
)

// ParseIdentity reads the identity of a request.
func ParseIdentity(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, Error.Wrap(ErrBadIdentity)
	}
	return id, nil
}

// IdentityTime returns the creation time in a UUIDv7.
func IdentityTime(id uuid.UUID) time.Time {
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// CheckNew tells whether an identity without a record may be run.
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

// ShardOf returns the shard of an identity.
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
