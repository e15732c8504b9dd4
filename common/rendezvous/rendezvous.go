// Package rendezvous chooses members by rendezvous hashing: every node with the same members makes the same choice, and a
// member that comes or goes moves only its own share.
package rendezvous

import (
	"github.com/zeebo/xxh3"
)

// First returns the member with the highest hash for a key, the first by name of those that tie, or an empty string when there are no members.
func First(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := Score(key, m); best == "" || s > bestScore || s == bestScore && m < best {
			best, bestScore = m, s
		}
	}
	return best
}

// Score returns the hash of a member for a key.
func Score(key, member string) uint64 {
	return xxh3.HashString(key + "\x00" + member)
}
