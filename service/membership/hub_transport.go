package membership

import (
	"context"

	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of messages on the wire.
const (
	kindProbe    = "member.probe"
	kindIndirect = "member.indirect"
	kindSync     = "member.sync"
	kindPush     = "member.push"
)

// HubTransport implements Transport over the connections of a peer.Hub.
type HubTransport struct {
	Hub *peer.Hub
}

// Probe implements Transport.
func (h HubTransport) Probe(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	r, err := peer.Call[wireMessage, wireMessage](ctx, h.Hub, address, kindProbe, toWireMessage(m))
	return r.message(), err
}

// Indirect implements Transport.
func (h HubTransport) Indirect(ctx context.Context, address string, target membership.Target) (bool, error) {
	return peer.Call[membership.Target, bool](ctx, h.Hub, address, kindIndirect, target)
}

// Sync implements Transport.
func (h HubTransport) Sync(ctx context.Context, address string, r membership.SyncRequest) (membership.SyncReply, error) {
	q := wireSyncRequest{From: r.From, Buckets: r.Buckets[:]}
	reply, err := peer.Call[wireSyncRequest, wireSyncReply](ctx, h.Hub, address, kindSync, q)
	return membership.SyncReply{
		Differing: reply.Differing, Updates: fromWireMembers(reply.Updates), More: reply.More,
	}, err
}

// Push implements Transport.
func (h HubTransport) Push(address string, m membership.Message) {
	peer.Notify(h.Hub, address, kindPush, toWireMessage(m))
}

// RegisterHandlers registers the handlers for messages of other nodes. It must be called before the hub runs.
func RegisterHandlers(hub *peer.Hub, a *Agent) {
	peer.Handle(hub, kindProbe, 0, func(ctx context.Context, _ string, q wireMessage) (wireMessage, error) {
		answer, err := a.HandleProbe(ctx, q.message())
		return toWireMessage(answer), err
	})
	peer.Handle(hub, kindIndirect, 0, func(ctx context.Context, _ string, q membership.Target) (bool, error) {
		return a.HandleIndirectProbe(ctx, q), nil
	})
	peer.Handle(hub, kindSync, 0, func(ctx context.Context, _ string, q wireSyncRequest) (wireSyncReply, error) {
		if len(q.Buckets) != membership.Buckets {
			return wireSyncReply{}, Error.New("sync request has %d buckets, want %d", len(q.Buckets), membership.Buckets)
		}
		reply, err := a.HandleSync(ctx, membership.SyncRequest{From: q.From, Buckets: [membership.Buckets]uint32(q.Buckets)})
		return wireSyncReply{Differing: reply.Differing, Updates: toWireMembers(reply.Updates), More: reply.More}, err
	})
	peer.HandleNotice(hub, kindPush, func(_ context.Context, _ string, q wireMessage) { a.HandlePush(q.message()) })
}
