package membership

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"
)

// entry is what a View knows about another member.
type entry struct {
	member Member
	// since is when the state was learnt.
	since time.Time
	// own is set when this node's own probe failed.
	own bool
	// knowsMe is the incarnation of this node that the member has.
	knowsMe uint64
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxh3.HashString(id) % Buckets) }

// recordHash is the part of a record in the digests; 0 for members that are not present, since nodes forget them at
// different times.
func recordHash(m Member) uint32 {
	if !m.State.Present() {
		return 0
	}
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 64), m.Incarnation)
	b = append(b, byte(m.State))
	return uint32(xxh3.Hash(append(b, m.ID...)))
}
