// Package rendezvous chooses members by rendezvous hashing: every node with the same members makes the same choice, and a
// member that comes or goes moves only its own share.
package rendezvous

import (
	"github.com/zeebo/xxh3"
)

// First returns the member with the highest hash for a key, or an empty string when there are no members.
func First(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := Score(key, m); best == "" || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// Score returns the hash of a member for a key.
func Score(key, member string) uint64 {
	return xxh3.HashStringSeed(member, xxh3.HashString(key))
}
