package edge

import "azuredyke.dev/azuredyke/backing"

// syncReply is the answer to a syncRequest.
type syncReply struct {
	// Available is false if the node has not read the store yet or no longer keeps the requested changes.
	Available bool `cbor:"1,keyasint"`
	// Revision and the revisions in Events are numbers in the era of the reply on the wire, because nodes of earlier versions compare them
	// with the numbers that the store gives out.
	Revision int64                `cbor:"2,keyasint"`
	Events   []backing.WatchEvent `cbor:"3,keyasint"`
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
	// Era is the era of the node's copy of the store; 0 from a node of an earlier version.
	Era int64 `cbor:"9,keyasint,omitempty"`
	// LostConfiguration is the entry of the configuration in force at the node, if it is newer than that of the requesting node and the store
	// has lost it. It is set whether or not the changes are available.
	LostConfiguration *backing.WatchEvent `cbor:"10,keyasint,omitempty"`
}

// splitRevisions replaces the revisions by their numbers and sets the era. All events of a reply are of the same era: they follow a revision
// of that era, or are all entries of it.
func (r *syncReply) splitRevisions() {
	r.Era = backing.RevisionEra(r.Revision)
	r.convertRevisions(backing.RevisionNumber)
}

// joinRevisions reverts splitRevisions.
func (r *syncReply) joinRevisions() {
	r.convertRevisions(func(number int64) int64 { return backing.JoinRevision(r.Era, number) })
}

func (r *syncReply) convertRevisions(convert func(int64) int64) {
	r.Revision = convert(r.Revision)
	for i := range r.Events {
		e := &r.Events[i].Entry
		e.CreateRevision, e.ModRevision = convert(e.CreateRevision), convert(e.ModRevision)
	}
}
