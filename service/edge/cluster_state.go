package edge

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/service/rollout"
)

// clusterState is an immutable snapshot of the cluster, decoded from the node's copy of the store.
type clusterState struct {
	Fleet *fleet.Snapshot
	// Nodes lists the other nodes.
	Nodes []Member
	// OwnLease is the lease of this node's own entry; 0 if there is none, or if the entry differs from this node.
	OwnLease backing.LeaseID
	// topology assigns the relays among the other nodes and this node.
	topology topology
	// Decider is the node that may write the plans of roll-outs.
	Decider rollout.Holder
	// Revision is the store's revision up to which all changes are included.
	Revision int64
	// ConfirmedAt is the time on the boot clock at which the state was last known to be current.
	ConfirmedAt time.Time
}

// configurationVersion returns the version of the configuration in force; 0 if there is none.
func (s *clusterState) configurationVersion() int64 {
	if s.Fleet == nil || s.Fleet.Configuration == nil {
		return 0
	}
	return s.Fleet.Configuration.Version
}
