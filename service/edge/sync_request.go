package edge

// syncRequest asks another node for what changed after a revision.
type syncRequest struct {
	Since int64 `cbor:"1,keyasint"`
}
