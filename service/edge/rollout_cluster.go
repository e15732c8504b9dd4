package edge

import (
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/service/rollout"
)

// rolloutCluster implements rollout.Cluster by the node's view of the cluster.
type rolloutCluster struct {
	self    Member
	cluster *latest.Value[*clusterState]
}

// Watch implements rollout.Cluster.
func (c rolloutCluster) Watch() (*rollout.State, <-chan struct{}) {
	state, changed := c.cluster.Watch()
	s := &rollout.State{
		Fleet: state.Fleet, DataCentre: c.self.DataCentre, Rank: state.topology.rank, LocalNodes: []string{c.self.ID},
		NodesElsewhere: map[string]int{}, Holder: state.Decider,
	}
	for _, m := range state.Nodes {
		if m.DataCentre == c.self.DataCentre {
			s.LocalNodes = append(s.LocalNodes, m.ID)
		} else {
			s.NodesElsewhere[m.DataCentre]++
		}
	}
	return s, changed
}
