package ratelimit

import (
	"context"

	"azuredyke.dev/azuredyke/decision/limit"
)

// Peers calls the Managers of the other nodes.
type Peers interface {
	// Nodes returns all nodes, this one included.
	Nodes() []Node
	// Ask calls Manager.Decide on the node at an address.
	Ask(ctx context.Context, address string, q Question) (limit.Grant, error)
}
