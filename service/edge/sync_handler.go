package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/transport/peer"
)

// kindSync is the call kind of sync requests.
const kindSync = "edge.sync"

// handleSync installs the handler of other nodes' sync requests. It must be called before the hub runs. The handler waits
// for a change as long as the request allows.
func handleSync(hub *peer.Hub, cluster *latest.Value[*clusterState], view mailbox.Mailbox[viewMessage]) {
	peer.Handle(hub, kindSync, 0, func(ctx context.Context, _ string, request syncRequest) (syncReply, error) {
		start := bootclock.Now()
		waitForChange(ctx, cluster, request)
		waited := bootclock.Now().Sub(start)
		reply, err := mailbox.Call(ctx, view, func(reply chan<- syncReply) viewMessage {
			return syncMessage{request: request, reply: reply}
		})
		reply.WaitedMillis = waited.Milliseconds()
		reply.splitRevisions()
		return reply, err
	})
}

// waitForChange waits until this node has a change after the requested revision, the request's wait is over or ctx ends.
func waitForChange(ctx context.Context, cluster *latest.Value[*clusterState], request syncRequest) {
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		state, changed := cluster.Watch()
		if state.Revision > request.since(state.Revision) {
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
