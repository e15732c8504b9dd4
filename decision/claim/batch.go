package claim

import "time"

// Batch describes one stored batch of records.
type Batch struct {
	// Bytes is the stored size.
	Bytes int
	// Newest is the time of the newest record.
	Newest time.Time
}

const (
	// mergeAfter is the age from which batches are merged. It is longer than a lost write may take to arrive, so that such
	// a write cannot bring back a batch that was merged and deleted.
	mergeAfter = time.Minute
	// mergeAtLeast is the number of batches that are worth a write.
	mergeAtLeast = 48
	// mergeAtMost bounds the writes of one transaction, of which the key-value service takes 100.
	mergeAtMost = 64
	// maxMergedBytes bounds a merged batch; the key-value service takes values up to 1 MB.
	maxMergedBytes = 900 << 10
	// FullBytes is the size from which a batch is not merged again, so that its records need not be kept for that. At 5
	// claims a second and a retention of 24 h this leaves about 100 batches in a shard.
	FullBytes = 64 << 10
)

// ToMerge returns the half-open range of batches, oldest first, that should become one; it is empty when there is none.
// Batches that are full are left alone, so that a record is not rewritten for ever.
func ToMerge(batches []Batch, now time.Time) (from, to int) {
	for from < len(batches) {
		total := 0
		to = from
		for to < len(batches) && to-from < mergeAtMost {
			b := batches[to]
			if b.Bytes >= FullBytes || total+b.Bytes > maxMergedBytes || now.Sub(b.Newest) < mergeAfter {
				break
			}
			total += b.Bytes
			to++
		}
		if to-from >= mergeAtLeast {
			return from, to
		}
		from = to + 1
	}
	return 0, 0
}

// Expired returns how many of the batches, oldest first, hold nothing within the retention, at most one transaction's
// worth.
func Expired(batches []Batch, retention time.Duration, now time.Time) int {
	n := 0
	for n < len(batches) && n < mergeAtMost && now.Sub(batches[n].Newest) > retention {
		n++
	}
	return n
}
