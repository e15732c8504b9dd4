package backing

// CommitResult is the answer of KV.Commit.
type CommitResult struct {
	// Committed is false when a condition did not hold; nothing was written then.
	Committed bool
	// Revision is the revision of the store after the call.
	Revision int64
}
