package ownership

import (
	"slices"
	"time"
)

// SettledAfter is how long a preferred node must have been a candidate before resources are handed over to it, so that a
// node that restarts repeatedly does not move them.
const SettledAfter = time.Minute

// HandOver returns a resource that a node should give to its preferred node, or "". A node gives resources away only
// while it holds more than its equal share, since each hand-over makes the endpoints of a cell cold.
func HandOver(node string, held []string, wanted int, candidates []string, since map[string]time.Time, now time.Time) string {
	if len(candidates) == 0 {
		return ""
	}
	share := (wanted + len(candidates) - 1) / len(candidates)
	if len(held) <= share {
		return ""
	}
	for _, resource := range slices.Sorted(slices.Values(held)) {
		preferred := Preferred(resource, candidates)
		from, known := since[preferred]
		if preferred != node && known && now.Sub(from) >= SettledAfter {
			return resource
		}
	}
	return ""
}
