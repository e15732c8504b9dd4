package dispatcher

// FenceObserver is notified when an endpoint refused the fencing token of a cell, which means that another node owns the
// cell. FenceRefused must not block.
type FenceObserver interface {
	FenceRefused(resource string, fence uint64)
}
