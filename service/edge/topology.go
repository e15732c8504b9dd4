package edge

import (
	"slices"

	"azuredyke.dev/azuredyke/decision/gather"
)

// topology is the assignment of relays to nodes from this node's point of view.
type topology struct {
	// rank is the rank of this node among the relays of its data centre; -1 if it is not a relay.
	rank int
	// version counts the changes of the set of nodes.
	version int
	// dataCentres is the number of data centres with nodes.
	dataCentres int
	// localRelays are the other relays of this node's data centre, by rank.
	localRelays []Member
	// localNodes are the other nodes of this node's data centre.
	localNodes []Member
	// remoteRelays are the relays of the other data centres.
	remoteRelays []Member
}

// newTopology returns the topology of this node and the other nodes.
func newTopology(self Member, others []Member) topology {
	byDataCentre := map[string][]Member{self.DataCentre: {self}}
	for _, m := range others {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	t := topology{rank: -1, dataCentres: len(byDataCentre)}
	for name, members := range byDataCentre {
		for rank, m := range relaysOf(members) {
			switch {
			case name != self.DataCentre:
				t.remoteRelays = append(t.remoteRelays, m)
			case m.ID == self.ID:
				t.rank = rank
			default:
				t.localRelays = append(t.localRelays, m)
			}
		}
		if name == self.DataCentre {
			t.localNodes = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == self.ID })
		}
	}
	return t
}

// noticeReceivers returns the nodes to which this node sends notices for the whole fleet: from a relay, the nodes of its data centre and
// the relays of the other ones, and from any other node its relays.
func (t topology) noticeReceivers() []Member {
	if t.rank < 0 {
		return t.localRelays
	}
	return slices.Concat(t.localNodes, t.remoteRelays)
}

// relaysOf returns the relays among the nodes of one data centre, by rank.
func relaysOf(members []Member) []Member {
	candidates := make([]gather.RelayCandidate, len(members))
	for i, m := range members {
		candidates[i] = gather.RelayCandidate{ID: m.ID, Capacity: m.Capacity}
	}
	var relays []Member
	for _, c := range gather.Relays(candidates) {
		relays = append(relays, members[slices.IndexFunc(members, func(m Member) bool { return m.ID == c.ID })])
	}
	return relays
}
