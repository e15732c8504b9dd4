package configuration

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
)

const (
	// changerCapacity bounds the waiting changes; callers block beyond it until their context ends.
	changerCapacity = 16
	// changeTimeout bounds one change, so that a stalled key-value service does not hold up the changes behind it for
	// ever. It is above the 6 s in which most unknown outcomes can be resolved, and below the time-out of azuredykectl.
	changeTimeout = 10 * time.Second
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
	recorder *recorder
	requests mailbox.Mailbox[changeRequest]
}

// NewChanger returns a Changer.
func NewChanger(log *zap.Logger, kv backing.KV, keeper *Keeper) *Changer {
	s := newStore(kv)
	return &Changer{
		log: log, store: s, keeper: keeper, recorder: newRecorder(log, s),
		requests: mailbox.New[changeRequest](changerCapacity),
	}
}

// Change makes a change and returns once it is known to have taken effect and is in force on this node. The error is a
// *config.ConflictError, *config.NotFoundError, *config.InvalidError, *config.OperationReusedError,
// *config.RestoredError, or one of the classes of package platform; backing.ErrUnknownOutcome means that the same
// operation id must be asked again, and all others that nothing was changed.
func (c *Changer) Change(ctx context.Context, change config.Change) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply, taken := make(chan changeReply, 1), make(chan struct{})
	r := changeRequest{ctx: ctx, change: change, taken: taken, reply: reply}
	if err := c.requests.Send(ctx, r); err != nil {
		return Accepted{}, unavailable(err)
	}
	select {
	case r := <-reply:
		return r.accepted, r.err
	case <-ctx.Done():
	}
	select {
	case <-taken:
		return Accepted{}, backing.ErrUnknownOutcome.Wrap(ctx.Err())
	default:
		// The Changer will see that ctx has ended, and leave the change alone.
		return Accepted{}, unavailable(ctx.Err())
	}
}

// Refused adds a change to the audit trail that was refused before it reached the Changer. It returns at once.
func (c *Changer) Refused(change config.Change, outcome, detail string) {
	c.recorder.record(newRefusalRecord(c.keeper.Current().Load(), change, outcome, detail, time.Now()))
}

// Audit returns the newest audit records that match a query, newest first.
func (c *Changer) Audit(ctx context.Context, q AuditQuery) ([]AuditRecord, error) {
	records, err := c.store.audit(ctx, q)
	if err != nil {
		return nil, unavailable(err)
	}
	return records, nil
}

// Run makes changes until ctx ends.
func (c *Changer) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { c.recorder.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.requests.Receive():
			close(r.taken)
			a := attempt{changer: c, change: r.change}
			accepted, err := a.run(r.ctx)
			r.reply <- changeReply{accepted: accepted, err: err}
		}
	}
}
