package backing

// RangeResult is the answer of KV.Range.
type RangeResult struct {
	Entries []Entry
	// Revision is the revision of the whole store at which the entries were read.
	Revision int64
}
