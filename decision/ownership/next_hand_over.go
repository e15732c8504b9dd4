package ownership

import (
	"slices"
	"time"
)

// SettlingTime is the time for which a preferred node must have been a candidate before resources are handed over to it, so
// that a node that restarts repeatedly does not cause repeated hand-overs.
const SettlingTime = time.Minute

// NextHandOver returns a resource in held that the node should hand over to the preferred node of the resource, or "" if there
// is none. The total argument is the number of all resources, and candidateSince holds the time at which each node became a
// candidate. A node hands over resources only while it holds more than an equal share, since the endpoints of a cell start
// cold after each hand-over.
func NextHandOver(
	node string, held []string, total int, candidates []string, candidateSince map[string]time.Time, now time.Time,
) string {
	if len(candidates) == 0 {
		return ""
	}
	share := (total + len(candidates) - 1) / len(candidates)
	if len(held) <= share {
		return ""
	}
	for _, resource := range slices.Sorted(slices.Values(held)) {
		preferred := Preferred(resource, candidates)
		since, known := candidateSince[preferred]
		if preferred != node && known && now.Sub(since) >= SettlingTime {
			return resource
		}
	}
	return ""
}
