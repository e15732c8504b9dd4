package membership

// Buckets is the number of parts of the table that a full exchange compares one by one.
const Buckets = 64

// SyncRequest starts a full exchange. It contains the digests of the sender's buckets.
type SyncRequest struct {
	From    string
	Buckets [Buckets]uint32
}
