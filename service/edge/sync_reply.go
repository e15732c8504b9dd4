package edge

import "azuredyke.dev/azuredyke/backing"

// syncReply is the answer to a syncRequest.
type syncReply struct {
	// Available is false if the node has not read the store yet or no longer keeps the requested changes.
	Available bool                 `cbor:"1,keyasint"`
	Revision  int64                `cbor:"2,keyasint"`
	Events    []backing.WatchEvent `cbor:"3,keyasint"`
	// AgeMillis is the time in milliseconds since the node's state was last confirmed to be current.
	AgeMillis int64 `cbor:"4,keyasint"`
	// WaitedMillis is the time in milliseconds for which the node waited for a change before it replied.
	WaitedMillis int64 `cbor:"5,keyasint,omitempty"`
	// Packed holds the large values of Events.
	Packed []packedValue `cbor:"6,keyasint,omitempty"`
	// Complete is set if Events holds all entries at Revision, so that entries without an event are deleted.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// Skips is set if Events may lack the changes of keys that were created and deleted after the requested revision.
	Skips bool `cbor:"8,keyasint,omitempty"`
}
