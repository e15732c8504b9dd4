package membership

import (
	"context"

	"azuredyke.dev/azuredyke/decision/membership"
)

// Transport sends messages to the Agents of other nodes. Every call returns when its context ends.
type Transport interface {
	// Probe sends a message and returns the answer.
	Probe(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	// Indirect asks the node at the address to probe the target, and reports whether the target answered.
	Indirect(ctx context.Context, address string, target membership.Target) (bool, error)
	// Sync sends the bucket digests of this node's table and returns the records of buckets that differ.
	Sync(ctx context.Context, address string, r membership.SyncRequest) (membership.SyncReply, error)
	// Push sends a message without an answer. The message may be lost.
	Push(address string, m membership.Message)
}
