package backing

// RangeResult is the result of KV.Range.
type RangeResult struct {
	Entries []Entry
	// Revision is the revision of the store at which the entries were read.
	Revision int64
}
