package gateway

import (
	"time"

	"azuredyke.dev/azuredyke/common/settings"
)

// Options configures a Server.
type Options struct {
	// NodeID names this node.
	NodeID string
	Limits settings.Limits
	// StallAfter is the shortest time without a part after which a stream is resumed.
	StallAfter time.Duration
	// FirstTokenTimeout is the time to the first part after which an attempt counts as stalled.
	FirstTokenTimeout time.Duration
	// ClaimTimeout is the longest time that a caller waits for a claim.
	ClaimTimeout time.Duration
	// ClaimRetention is how long a claim is kept. A key that carries an older time is refused.
	ClaimRetention time.Duration
}
