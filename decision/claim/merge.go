package claim

import (
	"slices"

	"azuredyke.dev/azuredyke/common/message"
)

// Merge returns the subset of the given records, in order, that has the same effect when it is replayed: the last claim or
// outcome of each key that was not released and, for a key without one, the releases of claims in earlier records. With
// fromStart, the given records are the first of the log, so there are no earlier claims and no releases are kept.
func Merge(records []Record, fromStart bool) []Record {
	current := make(map[message.ClaimKey]int, len(records))
	earlierReleases := map[message.ClaimKey][]int{}
	for i, r := range records {
		index, ok := current[r.Key]
		switch {
		case r.Kind != KindReleased:
			current[r.Key] = i
		case ok && records[index].Attempt == r.Attempt:
			delete(current, r.Key)
		case !ok && !fromStart:
			earlierReleases[r.Key] = append(earlierReleases[r.Key], i)
		}
	}
	var kept []int
	for _, i := range current {
		kept = append(kept, i)
	}
	for key, releases := range earlierReleases {
		if _, ok := current[key]; !ok {
			kept = append(kept, releases...)
		}
	}
	slices.Sort(kept)
	merged := make([]Record, 0, len(kept))
	for _, i := range kept {
		merged = append(merged, records[i])
	}
	return merged
}
