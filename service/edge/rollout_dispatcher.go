package edge

import (
	"context"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// rolloutDispatcher implements rollout.Dispatcher.
type rolloutDispatcher struct {
	messages mailbox.Mailbox[dispatcherMessage]
}

// Progress implements rollout.Dispatcher.
func (r rolloutDispatcher) Progress(ctx context.Context) ([]dispatch.RolloutProgress, error) {
	return mailbox.Call(ctx, r.messages, func(reply chan<- []dispatch.RolloutProgress) dispatcherMessage {
		return rolloutProgressMessage{reply: reply}
	})
}

// SetStopped implements rollout.Dispatcher.
func (r rolloutDispatcher) SetStopped(service string, orderRevision int64, stopped bool) {
	r.messages.TrySend(rolloutStopMessage{service: service, revision: orderRevision, stopped: stopped})
}
