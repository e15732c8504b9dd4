package dispatcher

// FenceObserver is told that an endpoint refused the fencing token of a cell: another node owns the cell by now.
// StaleFence must not block.
type FenceObserver interface {
	StaleFence(resource string, fence uint64)
}
