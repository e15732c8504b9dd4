package ownership

import "time"

// Holdings is the set of resources that a node owns. It is immutable.
type Holdings struct {
	// ByResource maps each resource to the node's hold on it.
	ByResource map[string]Hold
	// ValidUntil is the earliest time at which the node's lease can lapse, on the node's monotonic clock.
	ValidUntil time.Time
}

// Confirmed reports whether the lease is certain to be valid. It must be called for each decision, so that a node that was
// paused does not act on a lapsed lease.
func (h Holdings) Confirmed(now time.Time) bool { return now.Before(h.ValidUntil) }
