package claim

import (
	"slices"

	"azuredyke.dev/azuredyke/common/message"
)

// Merge returns the records that have the same effect as the given ones, in order: the last claim or outcome of each key
// that was not released, and the releases that end a claim from before the given records. There are none of the latter
// when oldest says that no earlier records exist.
func Merge(records []Record, oldest bool) []Record {
	live := make(map[message.ClaimKey]int, len(records))
	earlier := map[message.ClaimKey][]int{}
	for i, r := range records {
		at, ok := live[r.Key]
		switch {
		case r.Kind != KindReleased:
			live[r.Key] = i
		case ok && records[at].Attempt == r.Attempt:
			delete(live, r.Key)
		case !ok && !oldest:
			earlier[r.Key] = append(earlier[r.Key], i)
		}
	}
	var kept []int
	for _, i := range live {
		kept = append(kept, i)
	}
	for key, releases := range earlier {
		if _, ok := live[key]; !ok {
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
