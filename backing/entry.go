package backing

// Entry is one stored key.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	// ModRevision is the revision of the last write; it is 0 when the key does not exist.
	ModRevision int64
	Lease       LeaseID
}
