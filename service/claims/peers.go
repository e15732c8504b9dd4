package claims

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Peers calls the claim shards of other nodes.
type Peers interface {
	// Owner returns the owner of a claim shard, and false if no other node is known to own it.
	Owner(resource string) (message.Holding, bool)
	// Claim calls ShardManager.Claim on the node of the holding.
	Claim(ctx context.Context, holding message.Holding, r message.ClaimRequest) (message.ClaimReply, error)
	// Settle calls ShardManager.Settle on the node of the holding.
	Settle(ctx context.Context, holding message.Holding, c message.ClaimSettle) error
}
