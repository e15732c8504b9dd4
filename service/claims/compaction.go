package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/claim"
	"azuredyke.dev/azuredyke/service/ownership"
)

// compactionMessage is the result of replacing the stored batches with indexes from up to, but not including, to.
type compactionMessage struct {
	from, to int
	// merged is the batch that replaces them; its key is empty if they were only deleted.
	merged storedBatch
	err    error
}

// startCompaction starts a call that deletes expired batches or merges small ones, and reports whether a call was needed.
func (s *Shard) startCompaction(ctx context.Context, now time.Time) bool {
	hold, confirmed := s.currentHold(now)
	if !confirmed {
		return false
	}
	batches := make([]claim.Batch, 0, len(s.stored))
	for _, b := range s.stored {
		batches = append(batches, b.Batch)
	}
	if n := claim.ExpiredCount(batches, s.options.Retention, now); n > 0 {
		s.replaceBatches(ctx, hold.Revision, 0, n, nil)
		return true
	}
	from, to := claim.MergeRange(batches, now)
	if from == to {
		return false
	}
	var records []claim.Record
	for _, b := range s.stored[from:to] {
		records = append(records, b.records...)
	}
	s.replaceBatches(ctx, hold.Revision, from, to, claim.Merge(records, from == 0))
	return true
}

// replaceBatches starts a transaction that stores the records under the key of the last batch and deletes the other
// batches. Without records it deletes all of them.
func (s *Shard) replaceBatches(ctx context.Context, ownerRevision int64, from, to int, records []claim.Record) {
	old := append([]storedBatch(nil), s.stored[from:to]...)
	txn := backing.Txn{Conditions: []backing.Condition{
		{Key: ownership.OwnerKey(s.resource), ModRevision: ownerRevision},
	}}
	last := old[len(old)-1].key
	var value []byte
	for _, b := range old {
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: b.key, ModRevision: b.revision})
		if b.key != last || len(records) == 0 {
			txn.Writes = append(txn.Writes, backing.Write{Key: b.key, Delete: true})
		}
	}
	if len(records) > 0 {
		var err error
		if value, err = encodeBatch(records); err != nil {
			s.recordFailure("failed to encode a merged batch", err)
			return
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: last, Value: value})
	}
	s.startCall(ctx, func(ctx context.Context) shardMessage {
		m := compactionMessage{from: from, to: to}
		result, err := s.kv.Commit(ctx, txn)
		switch {
		case err != nil:
			m.err = err
		case !result.Committed:
			m.err = Error.New("the batches or the owner record were changed concurrently")
		case len(records) > 0:
			m.merged = newStoredBatch(last, result.Revision, len(value), records)
		}
		return m
	})
}

func (m compactionMessage) apply(s *Shard) {
	s.callRunning = false
	if m.err != nil {
		// The transaction may have been committed, so the list of batches must be read before the next compaction.
		s.reloadNeeded = true
		s.recordFailure("failed to compact batches; reading the stored batches again", m.err)
		return
	}
	var kept []storedBatch
	kept = append(kept, s.stored[:m.from]...)
	if m.merged.key != "" {
		kept = append(kept, m.merged)
	}
	s.log.Debug("batches compacted", zap.Int("batches", m.to-m.from))
	s.stored = append(kept, s.stored[m.to:]...)
}
