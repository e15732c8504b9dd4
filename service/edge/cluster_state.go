package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// clusterState is an immutable snapshot of the cluster, decoded from the node's copy of the store.
type clusterState struct {
	Fleet *fleet.Snapshot
	// Nodes lists the other nodes.
	Nodes []Member
	// topology assigns the relays among the other nodes and this node.
	topology topology
	// Revision is the store's revision up to which all changes are included.
	Revision int64
	// ConfirmedAt is the time on the boot clock at which the state was last known to be current.
	ConfirmedAt time.Time
}
