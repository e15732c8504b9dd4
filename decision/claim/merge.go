package claim

import "azuredyke.dev/azuredyke/common/message"

// Merge returns the records that have the same effect as the given ones: the last of each key, in order. A release is
// dropped when no record before the given ones exists, which oldest says, since it has nothing to end then.
func Merge(records []Record, oldest bool) []Record {
	last := make(map[message.ClaimKey]int, len(records))
	for i, r := range records {
		if at, ok := last[r.Key]; ok && r.Kind == KindReleased && records[at].Attempt != r.Attempt {
			// A release of another attempt than the one that holds the claim has no effect.
			continue
		}
		last[r.Key] = i
	}
	merged := make([]Record, 0, len(last))
	for i, r := range records {
		if last[r.Key] != i || oldest && r.Kind == KindReleased {
			continue
		}
		merged = append(merged, r)
	}
	return merged
}
