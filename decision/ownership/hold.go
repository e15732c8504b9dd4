package ownership

import "time"

// Hold is a node's ownership of one resource.
type Hold struct {
	// Fence is the fencing token; it grows with each owner.
	Fence uint64
	// ActiveFrom is when the grants of the owner before can no longer start.
	ActiveFrom time.Time
	// Revision is the key-value service's revision of the owner record, for conditions of writes that only the owner may
	// make. It changes without the fence when the record is written again after its lease had lapsed.
	Revision int64
	// Releasing says that the resource is being handed over: nothing new is admitted.
	Releasing bool
}
