package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/claim"
	"azuredyke.dev/azuredyke/service/ownership"
)

// upkeepMessage is the result of replacing batches.
type upkeepMessage struct {
	from, to int
	// merged replaces the batches; without a key they were deleted.
	merged storedBatch
	err    error
}

// startUpkeep deletes expired batches or merges small ones, and reports whether there was anything to do.
func (s *Shard) startUpkeep(ctx context.Context, now time.Time) bool {
	hold, confirmed := s.hold(now)
	if !confirmed {
		return false
	}
	batches := make([]claim.Batch, 0, len(s.stored))
	for _, b := range s.stored {
		batches = append(batches, b.Batch)
	}
	if n := claim.Expired(batches, s.options.Retention, now); n > 0 {
		s.replace(ctx, hold.Revision, 0, n, nil)
		return true
	}
	from, to := claim.ToMerge(batches, now)
	if from == to {
		return false
	}
	var records []claim.Record
	for _, b := range s.stored[from:to] {
		records = append(records, b.records...)
	}
	s.replace(ctx, hold.Revision, from, to, claim.Merge(records, from == 0))
	return true
}

// replace puts the records in the place of the last of the batches, and deletes the others, in one transaction.
func (s *Shard) replace(ctx context.Context, ownerRevision int64, from, to int, records []claim.Record) {
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
		if value, err = encode(records); err != nil {
			s.failed("merged batch not encoded", err)
			return
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: last, Value: value})
	}
	s.call(ctx, func(ctx context.Context) shardMessage {
		m := upkeepMessage{from: from, to: to}
		result, err := s.kv.Commit(ctx, txn)
		switch {
		case err != nil:
			m.err = err
		case !result.Committed:
			m.err = Error.New("the batches or the owner record have changed")
		case len(records) > 0:
			m.merged = newStoredBatch(last, result.Revision, len(value), records)
		}
		return m
	})
}

func (m upkeepMessage) apply(s *Shard) {
	s.busy = false
	if m.err != nil {
		// The transaction may have taken effect, so the list must be read before the next one.
		s.reload = true
		s.failed("batches not merged", m.err)
		return
	}
	var kept []storedBatch
	kept = append(kept, s.stored[:m.from]...)
	if m.merged.key != "" {
		kept = append(kept, m.merged)
	}
	s.log.Debug("batches merged", zap.Int("batches", m.to-m.from))
	s.stored = append(kept, s.stored[m.to:]...)
}
