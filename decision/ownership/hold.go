package ownership

import "time"

// Hold is a node's ownership of one resource.
type Hold struct {
	// Fence is the fencing token; it grows with each owner.
	Fence uint64
	// ActiveFrom is when the grants of the owner before can no longer start.
	ActiveFrom time.Time
}
