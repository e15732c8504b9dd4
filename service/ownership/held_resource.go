package ownership

import "azuredyke.dev/azuredyke/decision/ownership"

// heldResource is a resource that this node owns or is releasing.
type heldResource struct {
	ownership.Hold
	// recordMissing is set when the owner record was deleted, but no other owner is known.
	recordMissing bool
	// drained is set when the open grants of a resource that is being released have ended, or when a higher fence was seen.
	// The resource is then no longer published as a holding, and its owner record is being deleted.
	drained bool
	// releaseWaiters are closed when the node no longer holds the resource.
	releaseWaiters []chan struct{}
}

// notifyReleased closes the channels of the callers that wait for the release.
func (h *heldResource) notifyReleased() {
	for _, done := range h.releaseWaiters {
		close(done)
	}
	h.releaseWaiters = nil
}
