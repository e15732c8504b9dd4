package claims

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Remote reaches the claim shards of other nodes.
type Remote interface {
	// Owner returns the known owner of a claim shard on another node.
	Owner(resource string) (message.Holding, bool)
	// Claim asks the node of the holding; it answers with its Shards.Claim.
	Claim(ctx context.Context, holding message.Holding, r message.ClaimRequest) (message.ClaimReply, error)
	// Settle tells the node of the holding; it calls its Shards.Settle.
	Settle(ctx context.Context, holding message.Holding, c message.ClaimSettle) error
}
