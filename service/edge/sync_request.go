package edge

import "azuredyke.dev/azuredyke/backing"

// syncRequest asks another node for the changes after a revision.
type syncRequest struct {
	// Since is the number of the revision in its era.
	Since int64 `cbor:"1,keyasint"`
	// WaitMillis is how long in milliseconds the reply may wait for a change.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
	// Unpacks is set if the node can decompress values. Nodes of earlier versions cannot.
	Unpacks bool `cbor:"3,keyasint,omitempty"`
	// TakesEntries is set if the reply may hold all entries in place of changes that the other node no longer keeps.
	TakesEntries bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of the revision. Nodes of earlier versions send none.
	Era *int64 `cbor:"5,keyasint,omitempty"`
	// ConfigurationVersion is the version of the configuration in force at the sender; 0 if it has none.
	ConfigurationVersion int64 `cbor:"6,keyasint,omitempty"`
}

// newSyncRequest returns the request of a node with the given state for the changes after a revision.
func newSyncRequest(state *clusterState, since int64) syncRequest {
	era := backing.RevisionEra(since)
	return syncRequest{Since: backing.RevisionNumber(since), Era: &era, ConfigurationVersion: state.configurationVersion()}
}

// since returns the revision of a request to a node whose state has the given revision. A node of an earlier version does not know eras, so
// it counts as a node in the same one.
func (r syncRequest) since(own int64) int64 {
	if r.Era == nil {
		return backing.JoinRevision(backing.RevisionEra(own), r.Since)
	}
	return backing.JoinRevision(*r.Era, r.Since)
}

// takesEntries reports whether the reply may hold all entries in place of changes. A node in an earlier era needs them, and all nodes that
// know eras can apply them.
func (r syncRequest) takesEntries(own int64) bool {
	return r.TakesEntries || r.Era != nil && r.Since > 0 && *r.Era < backing.RevisionEra(own)
}
