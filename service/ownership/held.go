package ownership

import "azuredyke.dev/azuredyke/decision/ownership"

// held is one resource of this node.
type held struct {
	ownership.Hold
	// detached says that the owner record is gone, although no other owner is known.
	detached bool
	// drained says that the open grants of a resource that is being released have ended. The resource is no longer
	// published as a holding, and its owner record is being deleted.
	drained bool
	// released are closed when the node no longer owns the resource.
	released []chan struct{}
}

// finish tells those who wait for the release.
func (h *held) finish() {
	for _, done := range h.released {
		close(done)
	}
	h.released = nil
}
