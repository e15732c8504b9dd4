package edge

// syncRequest asks another node for what changed after a revision.
type syncRequest struct {
	Since int64 `cbor:"1,keyasint"`
	// WaitMillis is how long the answer may wait for a change.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
}
