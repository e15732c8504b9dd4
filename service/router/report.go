package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
)

// handOverTimeout bounds the wait for room in a sender after the caller has given up.
const handOverTimeout = 5 * time.Second

// Report tells the owner of a cell what happened to a grant. Reports to another node are delivered later, in order and
// with retries for as long as the owner may need them; only reports of progress may be dropped. A report waits for room
// until ctx ends, and is lost then.
func (r *Router) Report(ctx context.Context, report message.GrantReport) error {
	find, _ := r.cells()
	if own, ok := find(report.Cell); ok {
		return own.Report(ctx, report)
	}
	if r.options.Hub == nil {
		return nil
	}
	owner, ok := r.options.Members.Load().Owner(report.Cell)
	switch {
	case ok && owner.Fence > report.Fence:
		// The grant's owner has been replaced, and the next one counts running work by load reports.
		return nil
	case !ok || owner.Fence < report.Fence:
		owner = message.Holding{}
	}
	return r.handOver(ctx, report.Cell, report.Fence, owner, item{
		cell: report.Cell, fence: report.Fence, report: &report,
	})
}

// handOver gives an item to the sender of its owner.
func (r *Router) handOver(ctx context.Context, name string, fence uint64, owner message.Holding, i item) error {
	o, ok := r.senders.Load()[owner.Address]
	if !ok {
		var err error
		o, err = mailbox.Call(ctx, r.messages, func(reply chan<- *sender) routerMessage {
			return senderMessage{cell: name, fence: fence, owner: owner, reply: reply}
		})
		if err != nil {
			return Error.Wrap(err)
		}
		if o == nil {
			r.log.Debug("report of a grant dropped, since its owner is not known", zap.String("cell", name))
			return nil
		}
	}
	if i.progress() {
		o.items.TrySend(i)
		return nil
	}
	return Error.Wrap(o.items.Send(ctx, i))
}

// Flush waits until every report that was handed over has been delivered or is no longer needed, or ctx ends. A node that
// stops calls it before Run ends.
func (r *Router) Flush(ctx context.Context) error {
	for _, o := range r.senders.Load() {
		flushed := make(chan struct{})
		if err := o.items.Send(ctx, item{flushed: flushed}); err != nil {
			return Error.Wrap(err)
		}
		select {
		case <-flushed:
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}
