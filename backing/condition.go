package backing

// Condition requires that the last write of a key has the revision ModRevision, or that the key does not exist if
// ModRevision is 0.
type Condition struct {
	Key         string
	ModRevision int64
}
