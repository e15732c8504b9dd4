package claims

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// ownerLookupInterval is the interval between two lookups of a shard's owner while no owner is known.
const ownerLookupInterval = 100 * time.Millisecond

// Client sends claims to the owners of their shards, on this node or on other nodes. It implements gateway.Claimer.
type Client struct {
	shards *ShardManager
	peers  Peers
}

// NewClient returns a Client. With nil peers it uses only the shards of this node.
func NewClient(shards *ShardManager, peers Peers) *Client {
	return &Client{shards: shards, peers: peers}
}

// Claim returns once the claim is durable or refused. It waits until the shard has an owner or ctx ends. The reply is
// ClaimUnavailable when ctx ends first or the call to another node fails; the error is always nil.
func (c *Client) Claim(ctx context.Context, r message.ClaimRequest) (message.ClaimReply, error) {
	name := shardName(r.Key)
	for {
		shards, changed := c.shards.current.Watch()
		if shard, ok := shards[name]; ok {
			return shard.Claim(ctx, r), nil
		}
		if c.peers != nil {
			if holding, ok := c.peers.Owner(name); ok {
				reply, err := c.peers.Claim(ctx, holding, r)
				if err != nil {
					return unavailableReply(outageRetryAfter), nil
				}
				return reply, nil
			}
		}
		if !waitForOwnerChange(ctx, changed) {
			return unavailableReply(outageRetryAfter), nil
		}
	}
}

// Settle reports the end of a claim to the owner of its shard. Until ctx ends, it waits for the shard to have an owner and
// retries failed calls to other nodes.
func (c *Client) Settle(ctx context.Context, s message.ClaimSettle) error {
	name := shardName(s.Key)
	for {
		shards, changed := c.shards.current.Watch()
		if shard, ok := shards[name]; ok {
			return shard.Settle(ctx, s)
		}
		if c.peers != nil {
			if holding, ok := c.peers.Owner(name); ok && c.peers.Settle(ctx, holding, s) == nil {
				return nil
			}
		}
		if !waitForOwnerChange(ctx, changed) {
			return Error.New("no owner of %s accepted the settlement: %w", name, ctx.Err())
		}
	}
}

// waitForOwnerChange returns when changed is closed, after ownerLookupInterval or when ctx ends, and reports whether ctx
// is still active.
func waitForOwnerChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(ownerLookupInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
