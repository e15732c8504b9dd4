package membership

// wireSyncRequest is the encoded form of a membership.SyncRequest.
type wireSyncRequest struct {
	From    string   `cbor:"1,keyasint"`
	Buckets []uint32 `cbor:"2,keyasint"`
}
