package ownership

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

// Options configures a Keeper.
type Options struct {
	NodeID string
	// Address is the peer address of the node.
	Address       string
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	// StartWithin is how long grants of an owner before may still start.
	StartWithin time.Duration
	// CallTimeout bounds each call to the key-value service.
	CallTimeout time.Duration
	// Members holds the ids of the live members; without it the node is the only one.
	Members *latest.Value[[]string]
	// Drained returns once the open grants of a resource that is marked as releasing have started or ended, or when ctx
	// ends. Without it, a released resource waits for StartWithin, and nothing is handed over to balance the nodes.
	Drained func(ctx context.Context, resource string) error
}
