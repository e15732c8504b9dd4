package membership

import (
	"cmp"
	"slices"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/rendezvous"
)

// RelayCount is the number of relays of a data centre.
const RelayCount = 3

// Table is an immutable snapshot of a View.
type Table struct {
	self    Member
	members map[string]Member
	// present and alive are sorted by id.
	present []Member
	alive   []Member
	owners  map[string]message.Holding
	head    Head
}

// Table returns a snapshot of the view.
func (v *View) Table() *Table {
	t := &Table{
		self: v.self, members: make(map[string]Member, len(v.entries)+1), owners: map[string]message.Holding{}, head: v.head,
	}
	ids := make([]string, 0, len(v.entries)+1)
	ids = append(ids, v.self.ID)
	for id := range v.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	t.present, t.alive = make([]Member, 0, len(ids)), make([]Member, 0, len(ids))
	for _, id := range ids {
		if id == v.self.ID {
			t.add(v.self)
		} else {
			t.add(v.entries[id].member)
		}
	}
	return t
}

func (t *Table) add(m Member) {
	t.members[m.ID] = m
	if !m.State.Present() {
		return
	}
	t.present = append(t.present, m)
	if m.State == StateAlive {
		t.alive = append(t.alive, m)
	}
	for _, h := range m.Holdings {
		h.Node, h.Address = m.ID, m.Address
		if old, ok := t.owners[h.Resource]; !ok || h.Fence > old.Fence {
			t.owners[h.Resource] = h
		}
	}
}

// Self returns the node's own record.
func (t *Table) Self() Member { return t.self }

// Member returns the record of a member, including members that left or were removed.
func (t *Table) Member(id string) (Member, bool) {
	m, ok := t.members[id]
	return m, ok
}

// Alive returns the members in the state alive, sorted by id, including this node. The slice must not be modified.
func (t *Table) Alive() []Member { return t.alive }

// Present returns the members that are alive or suspect, sorted by id, including this node. The slice must not be
// modified.
func (t *Table) Present() []Member { return t.present }

// Owner returns the holding of a resource with the highest fence among the members that are alive or suspect.
func (t *Table) Owner(resource string) (message.Holding, bool) {
	h, ok := t.owners[resource]
	return h, ok
}

// NewestHead returns a member with the highest known configuration revision. If the member of the head is no longer present,
// NewestHead selects among the members that are alive or suspect. The revision is 0 if no revision is known.
func (t *Table) NewestHead() Head {
	if t.members[t.head.Node].State.Present() {
		return t.head
	}
	var best Head
	for _, m := range t.present {
		if m.ConfigRevision > best.Revision {
			best = Head{Revision: m.ConfigRevision, Node: m.ID, Address: m.Address}
		}
	}
	return best
}

// Relays returns the relays of a data centre: the RelayCount alive members with the highest rendezvous hashes, or all
// alive members if there are fewer.
func (t *Table) Relays(dataCentre string) []Member {
	var candidates []Member
	for _, m := range t.alive {
		if m.DataCentre == dataCentre {
			candidates = append(candidates, m)
		}
	}
	weight := func(m Member) uint64 { return rendezvous.Score("relay\x00"+dataCentre, m.ID) }
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return candidates[:min(RelayCount, len(candidates))]
}
