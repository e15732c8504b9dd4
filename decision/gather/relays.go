package gather

import (
	"cmp"
	"slices"
	"strings"
)

// Relays returns the relays among the nodes of one data centre, the primary relay first. The nodes with the largest capacity
// become relays, because the load of a relay grows with the number of nodes in its data centre.
func Relays(nodes []RelayCandidate) []RelayCandidate {
	sorted := slices.SortedFunc(slices.Values(nodes), func(a, b RelayCandidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(a.ID, b.ID))
	})
	return sorted[:min(RelaysPerDataCentre, len(sorted))]
}
