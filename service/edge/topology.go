package edge

import (
	"slices"

	"azuredyke.dev/azuredyke/decision/gather"
)

// topology is who relays for whom, as this node sees it.
type topology struct {
	// rank is that of this node among the relays of its data centre; -1 when it is none.
	rank int
	// version counts the changes of the nodes that are known.
	version int
	// relays are the other relays of the own data centre, in order.
	relays []Member
	// local are the other nodes of the own data centre, remote the relays of the other ones.
	local  []Member
	remote []Member
}

// newTopology works out the topology from the nodes that are known.
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
				t.remote = append(t.remote, m)
			case id != self.ID:
				t.relays = append(t.relays, m)
			}
		}
		if name == self.DataCentre {
			t.local = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == self.ID })
		}
	}
	return t
}
