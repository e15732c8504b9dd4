package membership

import (
	"context"
	"slices"
	"strings"
	"sync"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// HandleProbe merges a probe by another member and returns the answer. An error means that ctx ended first.
func (a *Agent) HandleProbe(ctx context.Context, m membership.Message) (membership.Message, error) {
	return mailbox.Call(ctx, a.messages, func(reply chan<- membership.Message) taskMessage {
		return probeMessage{message: m, reply: reply}
	})
}

// HandlePush queues changes that another member pushed. The changes are dropped when the mailbox is full, since the next
// full exchange transfers them again.
func (a *Agent) HandlePush(m membership.Message) { a.messages.TrySend(pushMessage{message: m}) }

// HandleSync returns the reply to a full exchange that another member started. An error means that ctx ended first.
func (a *Agent) HandleSync(ctx context.Context, r membership.SyncRequest) (membership.SyncReply, error) {
	return mailbox.Call(ctx, a.messages, func(reply chan<- membership.SyncReply) taskMessage {
		return syncMessage{request: r, reply: reply}
	})
}

// HandleIndirectProbe probes the target on behalf of another member, and reports whether the target answered. The probe
// carries no updates, so it does not wait for this task.
func (a *Agent) HandleIndirectProbe(ctx context.Context, target membership.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, a.options.ProbeTimeout)
	defer cancel()
	answer, err := a.transport.Probe(ctx, target.Address, membership.Message{From: a.options.Self.ID})
	return err == nil && answer.From == target.ID
}

// Leave announces that this node leaves. It returns when the notified members have answered, after twice the probe
// timeout, or when ctx ends. The node must not own any resource at that time. An error means that ctx ended before the
// announcement was sent.
func (a *Agent) Leave(ctx context.Context) error {
	messages, err := mailbox.Call(ctx, a.messages, func(reply chan<- map[string]membership.Message) taskMessage {
		return leaveMessage{reply: reply}
	})
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*a.options.ProbeTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for address, m := range messages {
		sending.Go(func() { _, _ = a.transport.Probe(ctx, address, m) })
	}
	sending.Wait()
	return nil
}

// holdingList returns the holdings ordered by resource.
func holdingList(h ownership.Holdings) []message.Holding {
	out := make([]message.Holding, 0, len(h.ByResource))
	for resource, hold := range h.ByResource {
		out = append(out, message.Holding{Resource: resource, Fence: hold.Fence})
	}
	slices.SortFunc(out, func(a, b message.Holding) int { return strings.Compare(a.Resource, b.Resource) })
	return out
}
