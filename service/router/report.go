package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
)

// cleanupTimeout bounds the steps that must complete even after the caller's context has ended: settling a placement
// request, releasing its grant, and queueing a cancellation.
const cleanupTimeout = 5 * time.Second

// Report sends a report on a grant to the owner of its cell. Reports to another node are queued and delivered in order,
// with retries for as long as the owner may need them. Only progress reports may be dropped. When the queue is full, Report
// waits for room; the report is lost if ctx ends first.
func (r *Router) Report(ctx context.Context, report message.GrantReport) error {
	find, _ := r.localCells()
	if local, ok := find(report.Cell); ok {
		return local.Report(ctx, report)
	}
	if r.options.Hub == nil {
		return nil
	}
	owner, ok := r.options.Members.Load().Owner(report.Cell)
	switch {
	case ok && owner.Fence > report.Fence:
		// The cell has a newer owner, which counts running requests by load reports.
		return nil
	case !ok || owner.Fence < report.Fence:
		owner = message.Holding{}
	}
	return r.enqueueDelivery(ctx, report.Cell, report.Fence, owner, delivery{
		cell: report.Cell, fence: report.Fence, report: &report,
	})
}

// enqueueDelivery queues a delivery at the sender to the owner.
func (r *Router) enqueueDelivery(ctx context.Context, name string, fence uint64, owner message.Holding, d delivery) error {
	s, ok := r.senders.Load()[owner.Address]
	if !ok {
		var err error
		s, err = mailbox.Call(ctx, r.messages, func(reply chan<- *sender) routerMessage {
			return senderMessage{cell: name, fence: fence, owner: owner, reply: reply}
		})
		if err != nil {
			return Error.Wrap(err)
		}
		if s == nil {
			r.log.Debug("grant report dropped: the owner of the grant is not known", zap.String("cell", name))
			return nil
		}
	}
	if d.isProgress() {
		s.deliveries.TrySend(d)
		return nil
	}
	return Error.Wrap(s.deliveries.Send(ctx, d))
}

// Flush waits until every queued report has been delivered or is no longer needed, or ctx ends. A node that stops calls
// Flush before it ends Run.
func (r *Router) Flush(ctx context.Context) error {
	for _, s := range r.senders.Load() {
		flushed := make(chan struct{})
		if err := s.deliveries.Send(ctx, delivery{flushed: flushed}); err != nil {
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
