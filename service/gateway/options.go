package gateway

import (
	"time"

	"azuredyke.dev/azuredyke/common/settings"
)

// Options configures a Server.
type Options struct {
	// NodeID is the id of this node.
	NodeID string
	Limits settings.Limits
	// StallAfter is the minimum time without a part after which a stream counts as stalled and is resumed.
	StallAfter time.Duration
	// FirstTokenTimeout is the time without a first part after which a connection counts as stalled.
	FirstTokenTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// ClaimRetention is the time for which claims are kept. An idempotency key with an older timestamp is refused.
	ClaimRetention time.Duration
}
