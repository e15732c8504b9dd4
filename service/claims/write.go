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

// unresolvedBatch is a batch whose write has not been confirmed. It is written again under the same key with the same
// content until it is known to be stored, so that a late write cannot add it twice.
type unresolvedBatch struct {
	key     string
	value   []byte
	records []claim.Record
}

// writeMessage is the result of writing a batch.
type writeMessage struct {
	// revision is that of the stored batch; it is 0 while the outcome is not known.
	revision int64
	err      error
}

// startWrite writes the unresolved batch, or the next one.
func (s *Shard) startWrite(ctx context.Context) {
	if s.writing == nil {
		records := s.set.Batch(batchBytes)
		value, err := encode(records)
		if err != nil {
			s.failed("batch not encoded", err)
			return
		}
		s.writing = &unresolvedBatch{key: batchKey(s.prefix(), s.fence, s.next), value: value, records: records}
		s.next++
	}
	batch := *s.writing
	hold, _ := s.hold(time.Now())
	s.call(ctx, func(ctx context.Context) shardMessage {
		revision, err := s.write(ctx, batch, hold.Revision)
		return writeMessage{revision: revision, err: err}
	})
}

// write stores a batch if the owner record is still the node's, and returns the revision of the stored batch.
func (s *Shard) write(ctx context.Context, batch unresolvedBatch, ownerRevision int64) (int64, error) {
	if ownerRevision == 0 {
		return 0, Error.New("the node does not own the shard")
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
		return 0, Error.New("the owner record has changed")
	case !bytes.Equal(stored.Value, batch.value):
		return 0, Error.New("key %s holds another batch", batch.key)
	}
	return stored.ModRevision, nil
}

func (m writeMessage) apply(s *Shard) {
	s.busy = false
	if m.err != nil {
		s.failed("batch not confirmed", m.err)
		return
	}
	if s.failures > 0 {
		s.log.Info("batch confirmed after failures", zap.Int("failures", s.failures))
	}
	s.failures = 0
	s.stored = append(s.stored, newStoredBatch(s.writing.key, m.revision, len(s.writing.value), s.writing.records))
	s.writing = nil
	for _, key := range s.set.Durable() {
		waiting := s.waiting[key]
		delete(s.waiting, key)
		for _, w := range waiting {
			w.apply(s)
		}
	}
}
