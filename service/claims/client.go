package claims

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// ownerInterval is how often the owner of a shard is looked up again while none is known.
const ownerInterval = 100 * time.Millisecond

// Client finds the owners of claim shards, on this node or on others. It implements gateway.Claimer.
type Client struct {
	shards *Shards
	remote Remote
}

// NewClient returns a Client. Without a remote, only this node's shards are asked.
func NewClient(shards *Shards, remote Remote) *Client { return &Client{shards: shards, remote: remote} }

// Claim returns once the claim is durable or refused. It waits for an owner until ctx ends.
func (c *Client) Claim(ctx context.Context, r message.ClaimRequest) (message.ClaimReply, error) {
	name := shardName(r.Key)
	for {
		shards, changed := c.shards.current.Watch()
		if shard, ok := shards[name]; ok {
			return shard.Claim(ctx, r), nil
		}
		if c.remote != nil {
			if holding, ok := c.remote.Owner(name); ok {
				reply, err := c.remote.Claim(ctx, holding, r)
				if err != nil {
					return unavailable(retryAfter), nil
				}
				return reply, nil
			}
		}
		if !wait(ctx, changed) {
			return unavailable(retryAfter), nil
		}
	}
}

// Settle hands the end of a claim to its owner. It waits for an owner until ctx ends, and tries again when the owner has
// changed.
func (c *Client) Settle(ctx context.Context, s message.ClaimSettle) error {
	name := shardName(s.Key)
	for {
		shards, changed := c.shards.current.Watch()
		if shard, ok := shards[name]; ok {
			return shard.Settle(ctx, s)
		}
		if c.remote != nil {
			if holding, ok := c.remote.Owner(name); ok && c.remote.Settle(ctx, holding, s) == nil {
				return nil
			}
		}
		if !wait(ctx, changed) {
			return Error.New("%s has no owner: %w", name, ctx.Err())
		}
	}
}

// wait returns after a change or an interval, and reports whether ctx goes on.
func wait(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(ownerInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
