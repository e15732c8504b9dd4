package backing

// CommitResult is the result of KV.Commit.
type CommitResult struct {
	// Committed is false when a condition did not hold and nothing was written.
	Committed bool
	// Revision is the revision of the store after the call.
	Revision int64
}
