package gather

import "slices"

// Relays returns the ids of the nodes that are relays among those of one data centre, the first in charge.
func Relays(nodes []string) []string {
	sorted := slices.Sorted(slices.Values(nodes))
	return sorted[:min(RelaysPerDataCentre, len(sorted))]
}
