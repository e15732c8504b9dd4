package gather

import "slices"

// Relays returns the ids of the relays among the nodes of one data centre, the primary relay first.
func Relays(nodes []string) []string {
	sorted := slices.Sorted(slices.Values(nodes))
	return sorted[:min(RelaysPerDataCentre, len(sorted))]
}
