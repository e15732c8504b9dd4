package membership

// SyncReply answers a SyncRequest with the records of the buckets that differ.
type SyncReply struct {
	// Differing has one bit for each bucket whose records are all in Updates.
	Differing uint64
	Updates   []Member
	// More is set when further buckets differ but did not fit.
	More bool
}
