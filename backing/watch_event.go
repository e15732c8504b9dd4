package backing

// WatchEvent is one change of a key. For a deletion, only Entry.Key and Entry.ModRevision are set.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
}
