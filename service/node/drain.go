package node

import (
	"context"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/decision/ownership"
)

// waitUntilDrained waits until a resource that admits no new requests can be handed over. A claim shard is drained when its
// records are durable, a cell when its last grant has started or expired.
func (n *Node) waitUntilDrained(ctx context.Context, resource string) error {
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
