package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Handover reaches the detached sessions of all nodes.
type Handover interface {
	// TakeOver ends the detached session of a generation at the node whose id has the given hash, and returns its grant.
	// False means that no grant could be had: the session has ended or the node is gone.
	TakeOver(ctx context.Context, node func(id string) bool, generation string) (message.Grant, bool)
}
