package membership

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"
)

// entry is the state of another member in a View.
type entry struct {
	member Member
	// since is the time at which the member entered its state in this View.
	since time.Time
	// ownSuspicion is set when a probe by this node failed, as opposed to one by another member.
	ownSuspicion bool
	// ackedIncarnation is the incarnation of this node that the member reported last.
	ackedIncarnation uint64
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxh3.HashString(id) % Buckets) }

// recordHash returns the contribution of a record to the digests. It is 0 for members that are not present, since nodes
// delete their records at different times.
func recordHash(m Member) uint32 {
	if !m.State.Present() {
		return 0
	}
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 64), m.Incarnation)
	b = append(b, byte(m.State))
	return uint32(xxh3.Hash(append(b, m.ID...)))
}
