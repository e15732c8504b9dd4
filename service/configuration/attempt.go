package configuration

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// attempt is the work on one change.
type attempt struct {
	changer *Changer
	change  config.Change
	// doubt is set after a write whose outcome is unknown; doubtHead is the head that the write was conditional on. The
	// write may still take effect as long as the head stays there.
	doubt     bool
	doubtHead int64
}

// run tries the change on the newest head until it is written or refused.
func (a *attempt) run(ctx context.Context) (Accepted, error) {
	if err := ctx.Err(); err != nil {
		return Accepted{}, unavailable(err)
	}
	if err := config.CheckChange(a.change); err != nil {
		return Accepted{}, a.refuse(a.changer.keeper.Current().Load(), err)
	}
	for moved := 0; moved < changeAttempts; {
		accepted, done, err := a.try(ctx)
		if done {
			return accepted, err
		}
		if err == nil {
			moved++
			continue
		}
		// The outcome of a write is unknown: look again, whether or not the service can be read now.
		select {
		case <-ctx.Done():
			return Accepted{}, backing.ErrUnknownOutcome.Wrap(err)
		case <-time.After(resolveDelay):
		}
	}
	err := backing.ErrUnavailable.New("the configuration kept changing during %d tries", changeAttempts)
	if a.doubt {
		return Accepted{}, backing.ErrUnknownOutcome.New("%s", err)
	}
	return Accepted{}, err
}

// try makes one try. It is not done without an error when the head moved, and with one when the outcome is unknown.
func (a *attempt) try(ctx context.Context) (Accepted, bool, error) {
	// Read before the store is, so that a lower revision there cannot come from a change made in between.
	floor := a.changer.keeper.floor()
	base, err := a.changer.store.load(ctx)
	if err != nil {
		return a.failed(err)
	}
	// The operation is looked up after the head was read. In the other order, a write of unknown outcome could land in
	// between and be taken for another operator's change.
	op, err := a.changer.store.operation(ctx, a.change.OperationID)
	if err != nil {
		return a.failed(err)
	}
	if base.snapshot.Revision() < floor {
		return a.failed(&config.RestoredError{InForce: floor, Stored: base.snapshot.Revision()})
	}
	if op.Revision != 0 {
		return a.repeated(ctx, base, op)
	}
	if a.doubt && base.headModRevision != a.doubtHead {
		a.doubt = false
	}
	next, warnings, err := config.Evaluate(base.snapshot, a.change)
	if err != nil {
		if a.doubt {
			return a.failed(err)
		}
		return Accepted{}, true, a.refuse(base.snapshot, err)
	}
	committed, err := a.changer.store.write(ctx, base, next, a.change, time.Now())
	switch {
	case err != nil && !definite(err):
		a.doubt, a.doubtHead = true, base.headModRevision
		return Accepted{}, false, err
	case err != nil:
		return a.failed(err)
	case !committed:
		return Accepted{}, false, nil
	}
	a.changer.log.Info("configuration change accepted", zap.Stringer("object", a.change.Ref),
		zap.Int64("revision", next.Revision()), zap.String("actor", a.change.Actor),
		zap.String("operation", a.change.OperationID))
	a.putInForce(ctx, next)
	return Accepted{Revision: next.Revision(), Object: next.Get(a.change.Ref), Warnings: warnings}, true, nil
}

// failed ends a try that changed nothing. While the outcome of an earlier write is unknown, it is no answer yet.
func (a *attempt) failed(err error) (Accepted, bool, error) {
	if a.doubt {
		return Accepted{}, false, err
	}
	var restored *config.RestoredError
	if errors.As(err, &restored) {
		return Accepted{}, true, err
	}
	return Accepted{}, true, unavailable(err)
}

// repeated answers an operation id that was applied before, by this attempt or an earlier call.
func (a *attempt) repeated(ctx context.Context, base stored, op operation) (Accepted, bool, error) {
	print, err := fingerprint(a.change)
	if err != nil {
		return a.failed(err)
	}
	if print != op.Fingerprint {
		reused := &config.OperationReusedError{OperationID: a.change.OperationID, Revision: op.Revision}
		return Accepted{}, true, a.refuse(base.snapshot, reused)
	}
	a.putInForce(ctx, base.snapshot)
	accepted := Accepted{Revision: op.Revision, Object: base.snapshot.Get(a.change.Ref)}
	// The object may have changed since; the audit record shows it as the operation left it.
	if e, err := a.changer.store.kv.Get(ctx, auditKey(op.Revision)); err == nil && e.ModRevision != 0 {
		if r, err := decodeRecord(e.Key, e.Value); err == nil {
			accepted.Object = r.After
		}
	}
	return accepted, true, nil
}

// refuse adds a refusal to the audit trail and returns its error.
func (a *attempt) refuse(at *config.Snapshot, err error) error {
	a.changer.recorder.record(newRefusalRecord(at, a.change, outcomeOf(err), err.Error(), time.Now()))
	return err
}

// putInForce puts a durable snapshot in force on this node before the operator is told.
func (a *attempt) putInForce(ctx context.Context, s *config.Snapshot) {
	done := make(chan struct{})
	if a.changer.keeper.Offer(ctx, Offer{Snapshot: s, Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// outcomeOf names the outcome of a refused change in the audit trail.
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
