package edge

// syncRequest asks another node for the changes after a revision.
type syncRequest struct {
	Since int64 `cbor:"1,keyasint"`
	// WaitMillis is how long in milliseconds the reply may wait for a change.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
	// Unpacks is set if the node can decompress values. Nodes of earlier versions cannot.
	Unpacks bool `cbor:"3,keyasint,omitempty"`
	// TakesEntries is set if the reply may hold all entries in place of changes that the other node no longer keeps.
	TakesEntries bool `cbor:"4,keyasint,omitempty"`
}
