package membership

import (
	"slices"

	"azuredyke.dev/azuredyke/common/message"
)

// Member is the record of one node.
type Member struct {
	ID string
	// Address is the peer address.
	Address    string
	DataCentre string
	Region     string
	// Incarnation grows with each change that the member makes to its record, also across restarts of the node.
	Incarnation uint64
	State       State
	// ConfigRevision is the last known configuration revision in force on the member. It changes too often to be sent as a
	// change of the record, so only the member's own messages and full exchanges update it.
	ConfigRevision int64
	Holdings       []message.Holding
	// Brief marks a record that contains only the id, the incarnation and the state, for recipients that have the rest.
	Brief bool
}

// supersedes reports whether m replaces other: by a higher incarnation or, in the same incarnation, a higher state.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// brief returns the record with only the id, the incarnation and the state.
func (m Member) brief() Member {
	return Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State, Brief: true}
}

// Approximate encoded sizes, without strings.
const (
	recordOverheadBytes  = 32
	holdingOverheadBytes = 12
)

// size returns the approximate encoded size in bytes.
func (m Member) size() int {
	n := recordOverheadBytes + len(m.ID) + len(m.Address) + len(m.DataCentre) + len(m.Region)
	for _, h := range m.Holdings {
		n += holdingOverheadBytes + len(h.Resource)
	}
	return n
}

// sameHoldings reports whether both records list the same resources with the same fences.
func (m Member) sameHoldings(other Member) bool {
	return slices.EqualFunc(m.Holdings, other.Holdings, func(a, b message.Holding) bool {
		return a.Resource == b.Resource && a.Fence == b.Fence
	})
}
