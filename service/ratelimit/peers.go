package ratelimit

import (
	"context"

	"azuredyke.dev/azuredyke/decision/limit"
)

// Peers calls the Managers of the other nodes.
type Peers interface {
	// Nodes returns the ids of all nodes with their peer addresses; the address of this node is empty.
	Nodes() map[string]string
	// Ask calls Manager.Decide on the node at an address.
	Ask(ctx context.Context, address string, q Question) (limit.Grant, error)
}
