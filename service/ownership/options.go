package ownership

import "time"

// Options configures a Keeper.
type Options struct {
	NodeID string
	// Address is the peer address of the node.
	Address       string
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	// StartWithin is how long grants of an owner before may still start.
	StartWithin time.Duration
	// CallTimeout bounds one round of calls to the key-value service.
	CallTimeout time.Duration
}
