package membership

// wireSyncReply is the encoded form of a membership.SyncReply.
type wireSyncReply struct {
	Differing uint64       `cbor:"1,keyasint,omitempty"`
	Updates   []wireMember `cbor:"2,keyasint,omitempty"`
	More      bool         `cbor:"3,keyasint,omitempty"`
}
