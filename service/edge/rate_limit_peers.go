package edge

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/limit"
	"azuredyke.dev/azuredyke/service/ratelimit"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of messages about the limits of endpoints between nodes.
const (
	kindRateAsk   = "edge.rate_ask"
	kindRateLimit = "edge.rate_limit"
)

// rateLimitPeers implements ratelimit.Peers. Limits take the way of the load: a node sends them to the relays of its data centre, and a
// relay sends those that are new to it to the nodes of its data centre and to the other relays.
type rateLimitPeers struct {
	hub     *peer.Hub
	self    Member
	cluster *latest.Value[*clusterState]
}

// Nodes implements ratelimit.Peers.
func (p rateLimitPeers) Nodes() []ratelimit.Node {
	others := p.cluster.Load().Nodes
	nodes := make([]ratelimit.Node, 0, len(others)+1)
	nodes = append(nodes, ratelimit.Node{ID: p.self.ID})
	for _, m := range others {
		nodes = append(nodes, ratelimit.Node{ID: m.ID, Address: m.Address})
	}
	return nodes
}

// Ask implements ratelimit.Peers.
func (p rateLimitPeers) Ask(ctx context.Context, address string, q ratelimit.Question) (limit.Grant, error) {
	return peer.Call[ratelimit.Question, limit.Grant](ctx, p.hub, address, kindRateAsk, q)
}

// Announce sends a limit to the other nodes without blocking. The notice may be lost.
func (p rateLimitPeers) Announce(l ratelimit.Limit) {
	notifyAll(p.hub, p.cluster.Load().topology.noticeReceivers(), kindRateLimit, l)
}

// handleRateLimits installs the handlers for messages about limits of other nodes. It must be called before the hub runs.
func handleRateLimits(hub *peer.Hub, manager *ratelimit.Manager, dispatcher mailbox.Mailbox[dispatcherMessage]) {
	peer.Handle(hub, kindRateAsk, 0, func(ctx context.Context, from string, q ratelimit.Question) (limit.Grant, error) {
		return manager.Decide(ctx, from, q), nil
	})
	peer.HandleNotice(hub, kindRateLimit, func(_ context.Context, _ string, l ratelimit.Limit) {
		dispatcher.TrySend(othersRateLimitMessage{limit: l})
	})
}
