package membership

// Buckets is the number of parts of the table that are compared one by one in a full exchange.
const Buckets = 64

// SyncRequest starts a full exchange.
type SyncRequest struct {
	From    string
	Buckets [Buckets]uint32
}
