package node

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/service/claims"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of claim messages.
const (
	kindClaim       = "claim.request"
	kindClaimSettle = "claim.settle"
	// claimHandlers bounds the claims of other nodes that wait at this node. It covers one second at a rate of 2,500
	// claims/s over all shards.
	claimHandlers = 4096
)

// claimCall sends a claim to the owner of a shard.
type claimCall struct {
	Holding message.Holding
	Request message.ClaimRequest
}

// settleCall sends the end of a claim to the owner of a shard.
type settleCall struct {
	Holding message.Holding
	Settle  message.ClaimSettle
}

// claimPeers calls the claim shards of other nodes over the peer links.
type claimPeers struct {
	hub   *peer.Hub
	table *latest.Value[*membership.Table]
}

// Owner implements claims.Peers.
func (p claimPeers) Owner(resource string) (message.Holding, bool) {
	t := p.table.Load()
	h, ok := t.Owner(resource)
	return h, ok && h.Node != t.Self().ID
}

// Claim implements claims.Peers.
func (p claimPeers) Claim(ctx context.Context, h message.Holding, r message.ClaimRequest) (message.ClaimReply, error) {
	return peer.Call[claimCall, message.ClaimReply](ctx, p.hub, h.Address, kindClaim, claimCall{Holding: h, Request: r})
}

// Settle implements claims.Peers.
func (p claimPeers) Settle(ctx context.Context, h message.Holding, s message.ClaimSettle) error {
	_, err := peer.Call[settleCall, bool](ctx, p.hub, h.Address, kindClaimSettle, settleCall{Holding: h, Settle: s})
	return err
}

// handleClaims registers the handlers for claim messages of other nodes.
func handleClaims(hub *peer.Hub, manager *claims.ShardManager) {
	peer.Handle(hub, kindClaim, claimHandlers, func(ctx context.Context, _ string, c claimCall) (message.ClaimReply, error) {
		return manager.Claim(ctx, c.Holding, c.Request), nil
	})
	peer.Handle(hub, kindClaimSettle, claimHandlers, func(ctx context.Context, _ string, c settleCall) (bool, error) {
		return true, manager.Settle(ctx, c.Holding, c.Settle)
	})
}
