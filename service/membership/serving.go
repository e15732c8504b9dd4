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

// Answer serves a probe by another member.
func (t *Task) Answer(ctx context.Context, m membership.Message) (membership.Message, error) {
	return mailbox.Call(ctx, t.messages, func(reply chan<- membership.Message) taskMessage {
		return probeMessage{message: m, reply: reply}
	})
}

// Accept takes changes that another member pushed. They are dropped when the mailbox is full, since the next full
// exchange repairs that.
func (t *Task) Accept(m membership.Message) { t.messages.TrySend(pushMessage{message: m}) }

// Exchange serves a full exchange.
func (t *Task) Exchange(ctx context.Context, r membership.SyncRequest) (membership.SyncReply, error) {
	return mailbox.Call(ctx, t.messages, func(reply chan<- membership.SyncReply) taskMessage {
		return syncMessage{request: r, reply: reply}
	})
}

// Relay probes a member for another one and reports whether it answered. The probe carries no table, so that it works
// without this task.
func (t *Task) Relay(ctx context.Context, target membership.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, t.options.ProbeTimeout)
	defer cancel()
	answer, err := t.transport.Probe(ctx, target.Address, membership.Message{From: t.options.Self.ID})
	return err == nil && answer.From == target.ID
}

// Leave announces that this node ends, and returns when some members have confirmed it or ctx ends. The node must not
// own anything any more.
func (t *Task) Leave(ctx context.Context) error {
	messages, err := mailbox.Call(ctx, t.messages, func(reply chan<- map[string]membership.Message) taskMessage {
		return leaveMessage{reply: reply}
	})
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*t.options.ProbeTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for address, m := range messages {
		sending.Go(func() { _, _ = t.transport.Probe(ctx, address, m) })
	}
	sending.Wait()
	return nil
}

// holdingList returns what the node owns, ordered by resource.
func holdingList(h ownership.Holdings) []message.Holding {
	out := make([]message.Holding, 0, len(h.ByResource))
	for resource, hold := range h.ByResource {
		out = append(out, message.Holding{Resource: resource, Fence: hold.Fence})
	}
	slices.SortFunc(out, func(a, b message.Holding) int { return strings.Compare(a.Resource, b.Resource) })
	return out
}
