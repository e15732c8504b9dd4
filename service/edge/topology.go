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
	t := topology{rank: -1}
	for name, members := range byDataCentre {
		ids := make([]string, len(members))
		for i, m := range members {
			ids[i] = m.ID
		}
		relays := gather.Relays(ids)
		if name == self.DataCentre {
			t.rank = slices.Index(relays, self.ID)
		}
		for _, id := range relays {
			m := members[slices.IndexFunc(members, func(m Member) bool { return m.ID == id })]
			switch {
			case name != self.DataCentre:
				t.remoteRelays = append(t.remoteRelays, m)
			case id != self.ID:
				t.localRelays = append(t.localRelays, m)
			}
		}
		if name == self.DataCentre {
			t.localNodes = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == self.ID })
		}
	}
	return t
}
