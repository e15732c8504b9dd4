package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/transport/peer"
)

// syncClient fetches changes of the store from other nodes and sends them to the view.
type syncClient struct {
	hub  *peer.Hub
	view mailbox.Mailbox[viewMessage]
}

// fetch sends a request to the node at an address, which may wait for changes as long as the request says. timeout is the time that the
// reply may take beyond that. fetch returns the reply once the view's mailbox holds it. A reply of an earlier era than the request's has
// nothing to apply and counts as not available.
func (c syncClient) fetch(ctx context.Context, address string, request syncRequest, timeout time.Duration) (syncReply, error) {
	requestedAt := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMillis)*time.Millisecond+timeout)
	defer cancel()
	request.Unpacks = true
	reply, err := peer.Call[syncRequest, syncReply](callCtx, c.hub, address, kindSync, request)
	if err != nil {
		return reply, err
	}
	reply.joinRevisions()
	reply.Available = reply.Available && reply.Era >= *request.Era
	if !reply.Available && reply.LostConfiguration == nil {
		return reply, nil
	}
	if err := unpackValues(reply.Events, reply.Packed); err != nil {
		return syncReply{}, err
	}
	waited := time.Duration(reply.WaitedMillis) * time.Millisecond
	origin := changeOrigin{source: address, took: bootclock.Now().Sub(requestedAt) - waited}
	return reply, c.view.Send(ctx, peerChangesMessage{reply: reply, requestedAt: requestedAt, origin: origin})
}
