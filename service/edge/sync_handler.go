package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/transport/peer"
)

// kindSync is the kind of the question for changes of the store.
const kindSync = "edge.sync"

// handleSync answers other nodes' questions for changes; it is called before the hub runs. A question waits for a change as
// long as the asker says.
func handleSync(hub *peer.Hub, known *latest.Value[*Knowledge], view mailbox.Mailbox[viewMessage]) {
	peer.Handle(hub, kindSync, 0, func(ctx context.Context, _ string, q syncRequest) (syncReply, error) {
		waitForChange(ctx, known, q)
		return mailbox.Call(ctx, view, func(reply chan<- syncReply) viewMessage {
			return syncMessage{since: q.Since, reply: reply}
		})
	})
}

// waitForChange returns once something after the asked revision is known, or the wait is over.
func waitForChange(ctx context.Context, known *latest.Value[*Knowledge], q syncRequest) {
	timer := time.NewTimer(time.Duration(q.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		k, changed := known.Watch()
		if k.Position > q.Since {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
