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
	// minMergeAge is the age from which batches are merged. It exceeds the longest delay of a lost write, so that a late
	// write cannot recreate a batch that was merged and deleted.
	minMergeAge = time.Minute
	// minMergeBatches is the smallest number of batches that justifies the write of a merged one.
	minMergeBatches = 48
	// maxTransactionBatches bounds the batches in one transaction; the key-value service accepts 100 writes.
	maxTransactionBatches = 64
	// maxMergedBytes bounds a merged batch; the key-value service accepts values up to 1 MB.
	maxMergedBytes = 900 << 10
	// FullBatchBytes is the size from which a batch is not merged again, so its records need not stay in memory. At 5 claims
	// per second and a retention of 24 h a shard then has about 100 batches.
	FullBatchBytes = 64 << 10
)

// MergeRange returns the half-open range of the batches, sorted oldest first, to merge into one batch. The range is empty
// if no merge is due. Full batches are skipped, so that a record is not rewritten without end.
func MergeRange(batches []Batch, now time.Time) (from, to int) {
	for from < len(batches) {
		total := 0
		to = from
		for to < len(batches) && to-from < maxTransactionBatches {
			b := batches[to]
			if b.Bytes >= FullBatchBytes || total+b.Bytes > maxMergedBytes || now.Sub(b.Newest) < minMergeAge {
				break
			}
			total += b.Bytes
			to++
		}
		if to-from >= minMergeBatches {
			return from, to
		}
		from = to + 1
	}
	return 0, 0
}

// ExpiredCount returns the number of batches, sorted oldest first, whose records are all older than the retention. It returns
// at most the number that fits in one transaction.
func ExpiredCount(batches []Batch, retention time.Duration, now time.Time) int {
	n := 0
	for n < len(batches) && n < maxTransactionBatches && now.Sub(batches[n].Newest) > retention {
		n++
	}
	return n
}
