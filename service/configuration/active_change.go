package configuration

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// activeChange is a change in progress.
type activeChange struct {
	changer *Changer
	change  config.Change
	// unresolvedWrite is set after a write whose outcome is unknown. unresolvedHeadModRevision is the ModRevision of the head
	// that the write was conditional on. The write may still take effect until the head changes.
	unresolvedWrite           bool
	unresolvedHeadModRevision int64
}

// run tries the change on the newest head until the change is written or refused, or ctx ends.
func (a *activeChange) run(ctx context.Context) (AcceptedChange, error) {
	if err := ctx.Err(); err != nil {
		return AcceptedChange{}, newUnavailableError(err)
	}
	if err := config.CheckChange(a.change); err != nil {
		return AcceptedChange{}, a.refuse(a.changer.manager.Current().Load(), err)
	}
	for headMoves := 0; headMoves < maxChangeTries; {
		accepted, done, err := a.tryOnce(ctx)
		if done {
			return accepted, err
		}
		if err == nil {
			headMoves++
			continue
		}
		// The outcome of a write is unknown. Check again, even if the service cannot be read at the moment.
		select {
		case <-ctx.Done():
			return AcceptedChange{}, backing.ErrUnknownOutcome.Wrap(err)
		case <-time.After(outcomePollInterval):
		}
	}
	err := backing.ErrUnavailable.New("the configuration kept changing during %d tries", maxChangeTries)
	if a.unresolvedWrite {
		return AcceptedChange{}, backing.ErrUnknownOutcome.New("%s", err)
	}
	return AcceptedChange{}, err
}

// tryOnce makes one try and reports whether the change is done. When it is not done, the error is nil if the head has
// changed, and non-nil if the outcome of a write is unknown.
func (a *activeChange) tryOnce(ctx context.Context) (AcceptedChange, bool, error) {
	// The minimum is read before the store. A lower revision in the store is then never caused by a change that was made
	// between the two reads.
	minRevision := a.changer.manager.minStoredRevision()
	base, err := a.changer.store.load(ctx)
	if err != nil {
		return a.endFailedTry(err)
	}
	// The operation is read after the head. In the opposite order, a write of unknown outcome could take effect between the
	// two reads and be mistaken for another operator's change.
	op, err := a.changer.store.readOperation(ctx, a.change.OperationID)
	if err != nil {
		return a.endFailedTry(err)
	}
	if base.snapshot.Revision() < minRevision {
		return a.endFailedTry(&config.RestoredError{InForce: minRevision, Stored: base.snapshot.Revision()})
	}
	if op.Revision != 0 {
		return a.answerRepeated(ctx, base, op)
	}
	if a.unresolvedWrite && base.headModRevision != a.unresolvedHeadModRevision {
		a.unresolvedWrite = false
	}
	next, warnings, err := config.Evaluate(base.snapshot, a.change)
	if err != nil {
		if a.unresolvedWrite {
			return a.endFailedTry(err)
		}
		return AcceptedChange{}, true, a.refuse(base.snapshot, err)
	}
	committed, err := a.changer.store.write(ctx, base, next, a.change, time.Now())
	switch {
	case err != nil && !isDefinite(err):
		a.unresolvedWrite, a.unresolvedHeadModRevision = true, base.headModRevision
		return AcceptedChange{}, false, err
	case err != nil:
		return a.endFailedTry(err)
	case !committed:
		return AcceptedChange{}, false, nil
	}
	a.changer.log.Info("configuration change accepted", zap.Stringer("object", a.change.Ref),
		zap.Int64("revision", next.Revision()), zap.String("actor", a.change.Actor),
		zap.String("operation", a.change.OperationID))
	a.putInForce(ctx, next)
	return AcceptedChange{Revision: next.Revision(), Object: next.Get(a.change.Ref), Warnings: warnings}, true, nil
}

// endFailedTry returns the result of a try that changed nothing. The change is not done while the outcome of an earlier
// write is unknown.
func (a *activeChange) endFailedTry(err error) (AcceptedChange, bool, error) {
	if a.unresolvedWrite {
		return AcceptedChange{}, false, err
	}
	var restored *config.RestoredError
	if errors.As(err, &restored) {
		return AcceptedChange{}, true, err
	}
	return AcceptedChange{}, true, newUnavailableError(err)
}

// answerRepeated returns the result of an operation that has already been applied, by an earlier try or an earlier call.
func (a *activeChange) answerRepeated(ctx context.Context, base storedConfiguration, op operation) (AcceptedChange, bool, error) {
	requestFingerprint, err := fingerprint(a.change)
	if err != nil {
		return a.endFailedTry(err)
	}
	if requestFingerprint != op.Fingerprint {
		reused := &config.OperationReusedError{OperationID: a.change.OperationID, Revision: op.Revision}
		return AcceptedChange{}, true, a.refuse(base.snapshot, reused)
	}
	a.putInForce(ctx, base.snapshot)
	accepted := AcceptedChange{Revision: op.Revision, Object: base.snapshot.Get(a.change.Ref)}
	// The object may have changed since the operation; the audit record contains the object right after the operation.
	if e, err := a.changer.store.kv.Get(ctx, auditKey(op.Revision)); err == nil && e.ModRevision != 0 {
		if r, err := decodeAuditRecord(e.Key, e.Value); err == nil {
			accepted.Object = r.After
		}
	}
	return accepted, true, nil
}

// refuse adds a refusal to the audit trail and returns err.
func (a *activeChange) refuse(base *config.Snapshot, err error) error {
	a.changer.recorder.enqueue(newRefusalRecord(base, a.change, outcomeOf(err), err.Error(), time.Now()))
	return err
}

// putInForce puts a stored snapshot in force on this node, so that a change is in force here before its result reaches the
// operator. It returns once the Manager has processed the snapshot or ctx has ended.
func (a *activeChange) putInForce(ctx context.Context, s *config.Snapshot) {
	done := make(chan struct{})
	if a.changer.manager.Offer(ctx, Offer{Snapshot: s, Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// outcomeOf returns the outcome that the audit trail records for a change refused with err.
func outcomeOf(err error) string {
	var (
		invalid  *config.InvalidError
		notFound *config.NotFoundError
	)
	switch {
	case errors.As(err, &invalid):
		return OutcomeInvalid
	case errors.As(err, &notFound):
		return OutcomeNotFound
	default:
		return OutcomeConflict
	}
}
