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
	// changerCapacity limits the queued changes. Further callers block until there is room or their context ends.
	changerCapacity = 16
	// changeTimeout limits one change, so that a stalled key-value service does not block the queued changes for ever. It
	// is above the 6 s in which most unknown outcomes can be resolved, and below the timeout of azuredykectl.
	changeTimeout = 10 * time.Second
	// maxChangeTries limits the tries of one change while other nodes keep changing other objects.
	maxChangeTries = 8
	// outcomePollInterval is the time between two checks for the outcome of a write whose answer was lost.
	outcomePollInterval = 100 * time.Millisecond
)

// Changer is the task that makes the changes that operators request on this node, one at a time.
type Changer struct {
	log      *zap.Logger
	store    store
	manager  *Manager
	recorder *refusalRecorder
	requests mailbox.Mailbox[changeRequest]
}

// NewChanger returns a Changer that writes to kv and puts accepted changes in force through manager.
func NewChanger(log *zap.Logger, kv backing.KV, manager *Manager) *Changer {
	s := newStore(kv)
	return &Changer{
		log: log, store: s, manager: manager, recorder: newRefusalRecorder(log, s),
		requests: mailbox.New[changeRequest](changerCapacity),
	}
}

// Change makes a change and returns once it is known to have taken effect and is in force on this node. The error is a
// *config.ConflictError, *config.NotFoundError, *config.InvalidError, *config.OperationReusedError,
// *config.RestoredError, backing.ErrUnavailable or backing.ErrUnknownOutcome. After backing.ErrUnknownOutcome the caller
// must send the change again with the same operation id. All other errors mean that nothing was changed.
func (c *Changer) Change(ctx context.Context, change config.Change) (AcceptedChange, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply, started := make(chan changeReply, 1), make(chan struct{})
	r := changeRequest{ctx: ctx, change: change, started: started, reply: reply}
	if err := c.requests.Send(ctx, r); err != nil {
		return AcceptedChange{}, newUnavailableError(err)
	}
	select {
	case r := <-reply:
		return r.accepted, r.err
	case <-ctx.Done():
	}
	select {
	case <-started:
		return AcceptedChange{}, backing.ErrUnknownOutcome.Wrap(ctx.Err())
	default:
		// The Changer checks ctx before it starts the change, so nothing is changed.
		return AcceptedChange{}, newUnavailableError(ctx.Err())
	}
}

// RecordRefusal records in the audit trail a change that was refused before it reached the Changer. It does not block.
func (c *Changer) RecordRefusal(change config.Change, outcome, detail string) {
	c.recorder.enqueue(newRefusalRecord(c.manager.Current().Load(), change, outcome, detail, time.Now()))
}

// Audit returns the newest audit records that match a query, newest first.
func (c *Changer) Audit(ctx context.Context, q AuditQuery) ([]AuditRecord, error) {
	records, err := c.store.readAudit(ctx, q)
	if err != nil {
		return nil, newUnavailableError(err)
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
			close(r.started)
			a := activeChange{changer: c, change: r.change}
			accepted, err := a.run(r.ctx)
			r.reply <- changeReply{accepted: accepted, err: err}
		}
	}
}
