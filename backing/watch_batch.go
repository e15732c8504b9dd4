package backing

// WatchBatch holds the events of one revision, in order.
type WatchBatch struct {
	Events   []WatchEvent
	Revision int64
	// Err is set in the last batch if the watch failed.
	Err error
}
