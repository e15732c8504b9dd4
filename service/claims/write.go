package claims

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/claim"
	"azuredyke.dev/azuredyke/service/ownership"
)

// unresolvedBatch is a batch whose write has not been confirmed. The write is retried with the same key and the same
// value until the batch is known to be stored, so that a delayed write cannot add the batch twice.
type unresolvedBatch struct {
	key     string
	value   []byte
	records []claim.Record
}

// writeMessage is the result of writing a batch.
type writeMessage struct {
	// revision is the revision of the stored batch, or 0 if the batch is not known to be stored.
	revision int64
	err      error
}

// startWrite starts a write of the unresolved batch, or of the next batch if there is none.
func (s *Shard) startWrite(ctx context.Context) {
	if s.unresolved == nil {
		records := s.set.NextBatch(maxBatchBytes)
		value, err := encodeBatch(records)
		if err != nil {
			s.recordFailure("failed to encode a batch", err)
			return
		}
		s.unresolved = &unresolvedBatch{key: batchKey(s.prefix(), s.fence, s.nextSequence), value: value, records: records}
		s.nextSequence++
	}
	batch := *s.unresolved
	hold, _ := s.currentHold(time.Now())
	s.startCall(ctx, func(ctx context.Context) shardMessage {
		revision, err := s.write(ctx, batch, hold.Revision)
		return writeMessage{revision: revision, err: err}
	})
}

// write stores a batch if the owner record still has the given revision, and returns the revision of the stored batch.
// When the outcome of the transaction is unknown, or the transaction was not committed, it reads the batch back.
func (s *Shard) write(ctx context.Context, batch unresolvedBatch, ownerRevision int64) (int64, error) {
	if ownerRevision == 0 {
		return 0, Error.New("this node does not own the shard")
	}
	result, err := s.kv.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{
			{Key: ownership.OwnerKey(s.resource), ModRevision: ownerRevision}, {Key: batch.key},
		},
		Writes: []backing.Write{{Key: batch.key, Value: batch.value}},
	})
	if err == nil && result.Committed {
		return result.Revision, nil
	}
	if err != nil && !backing.ErrUnknownOutcome.Has(err) {
		return 0, err
	}
	stored, readErr := s.kv.Get(ctx, batch.key)
	switch {
	case readErr != nil:
		return 0, readErr
	case stored.ModRevision == 0 && err != nil:
		return 0, err
	case stored.ModRevision == 0:
		return 0, Error.New("the owner record was changed")
	case !bytes.Equal(stored.Value, batch.value):
		return 0, Error.New("key %s already holds a different batch", batch.key)
	}
	return stored.ModRevision, nil
}

func (m writeMessage) apply(s *Shard) {
	s.callRunning = false
	if m.err != nil {
		s.recordFailure("write of a batch not confirmed; retrying", m.err)
		return
	}
	if s.failures > 0 {
		s.log.Info("batch confirmed after failures", zap.Int("failures", s.failures))
	}
	s.failures = 0
	s.stored = append(s.stored, newStoredBatch(s.unresolved.key, m.revision, len(s.unresolved.value), s.unresolved.records))
	s.unresolved = nil
	for _, key := range s.set.MarkDurable() {
		waiting := s.waiting[key]
		delete(s.waiting, key)
		for _, w := range waiting {
			w.apply(s)
		}
	}
}
