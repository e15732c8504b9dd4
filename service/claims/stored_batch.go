package claims

import (
	"fmt"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/claim"
)

// storedBatch is one batch of a shard in the key-value service.
type storedBatch struct {
	key      string
	revision int64
	claim.Batch
	// records is nil for a batch of claim.FullBatchBytes or more, which is not merged.
	records []claim.Record
}

// batchKey returns the key of a batch. Keys sort in the order in which the batches were written.
func batchKey(prefix string, fence, sequence uint64) string {
	return fmt.Sprintf("%s%016d-%012d", prefix, fence, sequence)
}

func newStoredBatch(key string, revision int64, bytes int, records []claim.Record) storedBatch {
	b := storedBatch{key: key, revision: revision, Batch: claim.Batch{Bytes: bytes, Newest: newestRecordTime(records)}}
	if bytes < claim.FullBatchBytes {
		b.records = records
	}
	return b
}

// readBatches decodes the entries of a shard and calls replay for each record in order.
func readBatches(entries []backing.Entry, replay func(claim.Record)) ([]storedBatch, error) {
	batches := make([]storedBatch, 0, len(entries))
	for _, e := range entries {
		records, err := decodeBatch(e.Value)
		if err != nil {
			return nil, Error.New("value of %s: %w", e.Key, err)
		}
		for _, r := range records {
			replay(r)
		}
		batches = append(batches, newStoredBatch(e.Key, e.ModRevision, len(e.Value), records))
	}
	return batches, nil
}

func newestRecordTime(records []claim.Record) (t time.Time) {
	for _, r := range records {
		if r.At.After(t) {
			t = r.At
		}
	}
	return t
}
