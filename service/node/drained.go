package node

import (
	"context"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/decision/ownership"
)

// drained returns once a resource that admits nothing new may be handed over: a claim shard when its records are durable, a
// cell when its last grant has started or lapsed.
func (n *Node) drained(ctx context.Context, resource string) error {
	if strings.HasPrefix(resource, ownership.ClaimShardPrefix) {
		return n.shards.Drain(ctx, resource)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(n.settings.Dispatch.StartWithin):
		return nil
	}
}
