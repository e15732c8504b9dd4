// Package rendezvous implements rendezvous hashing: all nodes with the same members make the same choice, and adding or
// removing a member reassigns only the keys of that member.
package rendezvous

import (
	"github.com/zeebo/xxh3"
)

// First returns the member with the highest hash for a key, or an empty string when there are no members. Ties go to the
// member that is first in lexical order.
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
