package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/transport/peer"
)

// asker asks other nodes for changes and hands them to the view.
type asker struct {
	hub  *peer.Hub
	view mailbox.Mailbox[viewMessage]
}

// ask returns what the other node answered, after the view has it.
func (a asker) ask(ctx context.Context, address string, since int64, wait time.Duration) (syncReply, error) {
	asked := bootclock.Now()
	call, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	reply, err := peer.Call[syncRequest, syncReply](call, a.hub, address, kindSync,
		syncRequest{Since: since, WaitMillis: wait.Milliseconds()})
	if err != nil || !reply.Known {
		return reply, err
	}
	return reply, a.view.Send(ctx, peerChangesMessage{reply: reply, asked: asked})
}
