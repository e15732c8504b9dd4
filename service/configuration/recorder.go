package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// recorderCapacity bounds the refusals that wait to be recorded; more are dropped and logged, since a refusal is never
	// held up by the key-value service.
	recorderCapacity = 64
	// recordTimeout bounds one try to record a refusal.
	recordTimeout = 2 * time.Second
	// recordTries bounds the tries for one refusal. A try whose outcome is unknown may leave a second record of it.
	recordTries = 5
	// recordDelay is the wait after the first failed try; it doubles with each.
	recordDelay = 200 * time.Millisecond
)

// recorder is the task that adds refused changes to the audit trail.
type recorder struct {
	log      *zap.Logger
	store    store
	refusals mailbox.Mailbox[AuditRecord]
}

func newRecorder(log *zap.Logger, s store) *recorder {
	return &recorder{log: log, store: s, refusals: mailbox.New[AuditRecord](recorderCapacity)}
}

// record hands over a refusal and returns at once.
func (r *recorder) record(refusal AuditRecord) {
	if !r.refusals.TrySend(refusal) {
		r.log.Warn("refused change not recorded, too many are waiting", zap.String("operation", refusal.OperationID))
	}
}

// run records refusals until ctx ends.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case refusal := <-r.refusals.Receive():
			if err := r.write(ctx, refusal); err != nil {
				r.log.Warn("refused change not recorded", zap.String("operation", refusal.OperationID), zap.Error(err))
			}
		}
	}
}

// write tries to record one refusal.
func (r *recorder) write(ctx context.Context, refusal AuditRecord) error {
	delay := recordDelay
	for n := 1; ; n++ {
		tryCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := r.store.recordRefusal(tryCtx, refusal)
		cancel()
		if err == nil || n == recordTries {
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
