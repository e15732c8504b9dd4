package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/platform"
)

const (
	// changerCapacity bounds the waiting changes; callers block beyond it until their context ends.
	changerCapacity = 16
	// changeAttempts bounds the tries of one change while other nodes change other objects.
	changeAttempts = 8
	// resolveDelay is the wait between two looks for the outcome of a write whose answer was lost.
	resolveDelay = 100 * time.Millisecond
)

// Changer is the task that makes the changes which operators ask of this node, one at a time.
type Changer struct {
	log      *zap.Logger
	store    store
	keeper   *Keeper
	requests mailbox.Mailbox[changeRequest]
}

// NewChanger returns a Changer.
func NewChanger(log *zap.Logger, kv platform.KV, keeper *Keeper) *Changer {
	return &Changer{
		log: log, store: store{kv: kv}, keeper: keeper, requests: mailbox.New[changeRequest](changerCapacity),
	}
}

// Change makes a change and returns once it is known to have taken effect and is in force on this node. The error is a
// *config.ConflictError, *config.NotFoundError, *config.InvalidError, or one of the classes of package platform;
// platform.ErrUnknownOutcome means that the same operation id must be asked again.
func (c *Changer) Change(ctx context.Context, change config.Change) (Accepted, error) {
	r, err := mailbox.Call(ctx, c.requests, func(reply chan<- changeReply) changeRequest {
		return changeRequest{ctx: ctx, change: change, reply: reply}
	})
	if err != nil {
		return Accepted{}, platform.ErrUnknownOutcome.Wrap(err)
	}
	return r.accepted, r.err
}

// Audit returns the audit trail, oldest record first.
func (c *Changer) Audit(ctx context.Context) ([]AuditRecord, error) { return c.store.audit(ctx) }

// Run makes changes until ctx ends.
func (c *Changer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.requests.Receive():
			accepted, err := c.make(r.ctx, r.change)
			r.reply <- changeReply{accepted: accepted, err: err}
		}
	}
}

// make tries a change on the newest head until it is written or refused.
func (c *Changer) make(ctx context.Context, change config.Change) (Accepted, error) {
	for range changeAttempts {
		if revision, err := c.store.operation(ctx, change.OperationID); err != nil {
			return Accepted{}, platform.ErrUnavailable.Wrap(err)
		} else if revision != 0 {
			return c.alreadyAccepted(ctx, change, revision)
		}
		base, err := c.store.load(ctx)
		if err != nil {
			return Accepted{}, platform.ErrUnavailable.Wrap(err)
		}
		next, warnings, err := config.Evaluate(base.snapshot, change)
		if err != nil {
			return Accepted{}, err
		}
		committed, err := c.store.write(ctx, base, next, change, time.Now())
		if platform.ErrUnknownOutcome.Has(err) {
			committed, err = c.resolve(ctx, change.OperationID)
		}
		if err != nil {
			return Accepted{}, err
		}
		if committed {
			return c.accept(ctx, next, change, warnings)
		}
	}
	return Accepted{}, platform.ErrUnavailable.New("the configuration kept changing during %d tries", changeAttempts)
}

// accept puts an accepted snapshot in force on this node before the operator is told.
func (c *Changer) accept(ctx context.Context, next *config.Snapshot, change config.Change, warnings []config.Problem) (Accepted, error) {
	done := make(chan struct{})
	if err := c.keeper.Offer(ctx, Offer{Snapshot: next, Done: done}); err == nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	c.log.Info("configuration change accepted", zap.Stringer("object", change.Ref),
		zap.Int64("revision", next.Revision()), zap.String("actor", change.Actor),
		zap.String("operation", change.OperationID))
	return Accepted{Revision: next.Revision(), Object: next.Get(change.Ref), Warnings: warnings}, nil
}

// alreadyAccepted answers an operation id that was applied before.
func (c *Changer) alreadyAccepted(ctx context.Context, change config.Change, revision int64) (Accepted, error) {
	base, err := c.store.load(ctx)
	if err != nil {
		return Accepted{}, platform.ErrUnavailable.Wrap(err)
	}
	return Accepted{Revision: revision, Object: base.snapshot.Get(change.Ref)}, nil
}

// resolve finds out whether a write whose answer was lost took effect. The write cannot take effect later, because the
// next try compares the same head.
func (c *Changer) resolve(ctx context.Context, operationID string) (bool, error) {
	for {
		revision, err := c.store.operation(ctx, operationID)
		if err == nil {
			return revision != 0, nil
		}
		select {
		case <-ctx.Done():
			return false, platform.ErrUnknownOutcome.Wrap(ctx.Err())
		case <-time.After(resolveDelay):
		}
	}
}
