package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// recorderCapacity limits the queued refusals. Further refusals are dropped and logged, so that an answer to an operator
	// never waits for the key-value service.
	recorderCapacity = 64
	// recordTimeout limits one try to record a refusal.
	recordTimeout = 2 * time.Second
	// maxRecordTries limits the tries for one refusal. A try after one of unknown outcome may write a duplicate record.
	maxRecordTries = 5
	// recordRetryDelay is the wait after the first failed try; the wait doubles after each further try.
	recordRetryDelay = 200 * time.Millisecond
)

// refusalRecorder is the task that adds refused changes to the audit trail.
type refusalRecorder struct {
	log      *zap.Logger
	store    store
	refusals mailbox.Mailbox[AuditRecord]
}

func newRefusalRecorder(log *zap.Logger, s store) *refusalRecorder {
	return &refusalRecorder{log: log, store: s, refusals: mailbox.New[AuditRecord](recorderCapacity)}
}

// enqueue queues a refusal. It does not block, and drops the refusal with a log line when the queue is full.
func (r *refusalRecorder) enqueue(refusal AuditRecord) {
	if !r.refusals.TrySend(refusal) {
		r.log.Warn("refused change not recorded: queue is full", zap.String("operation", refusal.OperationID))
	}
}

// run records refusals until ctx ends.
func (r *refusalRecorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case refusal := <-r.refusals.Receive():
			if err := r.writeWithRetries(ctx, refusal); err != nil {
				r.log.Warn("refused change not recorded", zap.String("operation", refusal.OperationID), zap.Error(err))
			}
		}
	}
}

// writeWithRetries records one refusal, in up to maxRecordTries tries.
func (r *refusalRecorder) writeWithRetries(ctx context.Context, refusal AuditRecord) error {
	delay := recordRetryDelay
	for n := 1; ; n++ {
		tryCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := r.store.recordRefusal(tryCtx, refusal)
		cancel()
		if err == nil || n == maxRecordTries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
		delay *= 2
	}
}
