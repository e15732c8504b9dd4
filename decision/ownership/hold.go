package ownership

import "time"

// Hold is a node's ownership of one resource.
type Hold struct {
	// Fence is the fencing token. It increases with each change of the owner.
	Fence uint64
	// ActiveFrom is the time from which grants of the previous owner can no longer start.
	ActiveFrom time.Time
	// Revision is the revision of the owner record in the key-value service, the condition of writes that only the owner may
	// make. It changes without the fence when the record is written again after the lease lapsed.
	Revision int64
	// Releasing is set while the resource is being handed over. New work is then refused.
	Releasing bool
}
