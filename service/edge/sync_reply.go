package edge

import "azuredyke.dev/azuredyke/backing"

// syncReply is what a node tells another one of the store.
type syncReply struct {
	// Known is false when the node has read nothing or has forgotten what was asked for.
	Known    bool                 `cbor:"1,keyasint"`
	Position int64                `cbor:"2,keyasint"`
	Events   []backing.WatchEvent `cbor:"3,keyasint"`
	// AgeMillis is how long ago the node was last known to be up to date.
	AgeMillis int64 `cbor:"4,keyasint"`
}
