package ownership

import "time"

// Holdings is what a node owns. It is immutable.
type Holdings struct {
	// ByResource maps each resource to the node's hold on it.
	ByResource map[string]Hold
	// ValidUntil is when the node's lease may lapse, on the node's monotonic clock.
	ValidUntil time.Time
}

// Confirmed reports whether the lease is certain to be valid. It must be asked at each decision, so that a node that was
// paused notices before it acts.
func (h Holdings) Confirmed(now time.Time) bool { return now.Before(h.ValidUntil) }
