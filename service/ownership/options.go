package ownership

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

// Options configures a Manager.
type Options struct {
	NodeID string
	// Address is the peer address of the node.
	Address       string
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	// StartWithin is how long grants of a previous owner may still start.
	StartWithin time.Duration
	// CallTimeout bounds each call to the key-value service.
	CallTimeout time.Duration
	// Members holds the ids of the live members. If it is nil, this node is the only candidate.
	Members *latest.Value[[]string]
	// WaitDrained returns once the open grants of a resource that is marked as releasing have started or ended, or with an error
	// when ctx ends first. If it is nil, a release waits for StartWithin instead, and no resource is handed over to balance
	// the nodes.
	WaitDrained func(ctx context.Context, resource string) error
}
