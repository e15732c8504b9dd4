package node

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/service/gateway"
	"azuredyke.dev/azuredyke/transport/peer"
)

// kindTakeOver asks a node for the grant of a stream whose caller has reconnected to another node.
const kindTakeOver = "stream.take_over"

// takeOverReply answers kindTakeOver.
type takeOverReply struct {
	Grant message.Grant
	Found bool
}

// streamTakeover takes over detached streams, on this node and on other nodes over the peer links.
type streamTakeover struct {
	hub   *peer.Hub
	table *latest.Value[*membership.Table]
	local *gateway.DetachedSessions
}

// TakeOver implements gateway.StreamTakeover.
func (s streamTakeover) TakeOver(ctx context.Context, matches func(id string) bool, generation string) (message.Grant, bool) {
	t := s.table.Load()
	for _, m := range t.Present() {
		if !matches(m.ID) {
			continue
		}
		if m.ID == t.Self().ID {
			return s.local.TakeOver(ctx, generation)
		}
		reply, err := peer.Call[string, takeOverReply](ctx, s.hub, m.Address, kindTakeOver, generation)
		return reply.Grant, err == nil && reply.Found
	}
	return message.Grant{}, false
}

// handleTakeOver registers the handler for take-over requests of other nodes.
func handleTakeOver(hub *peer.Hub, d *gateway.DetachedSessions) {
	peer.Handle(hub, kindTakeOver, 0, func(ctx context.Context, _ string, generation string) (takeOverReply, error) {
		grant, found := d.TakeOver(ctx, generation)
		return takeOverReply{Grant: grant, Found: found}, nil
	})
}
