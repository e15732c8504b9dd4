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
	// Incarnation grows with each change that the member makes to its record, also across restarts.
	Incarnation uint64
	State       State
	// ConfigRevision is the last known revision in force. It changes too often to spread as a change of the record, so it
	// is learnt from the member's own messages and from full exchanges.
	ConfigRevision int64
	Holdings       []message.Holding
	// Brief marks a record that carries only the id, the incarnation and the state, for members that know the rest.
	Brief bool
}

// supersedes reports whether m is newer than other.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// brief returns the record without what other members know.
func (m Member) brief() Member {
	return Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State, Brief: true}
}

// Approximate encoded sizes in bytes, without strings.
const (
	recordSize  = 32
	holdingSize = 12
)

// size is the approximate encoded size in bytes.
func (m Member) size() int {
	n := recordSize + len(m.ID) + len(m.Address) + len(m.DataCentre) + len(m.Region)
	for _, h := range m.Holdings {
		n += holdingSize + len(h.Resource)
	}
	return n
}

// sameHoldings reports whether both records hold the same resources with the same fences.
func (m Member) sameHoldings(other Member) bool {
	return slices.EqualFunc(m.Holdings, other.Holdings, func(a, b message.Holding) bool {
		return a.Resource == b.Resource && a.Fence == b.Fence
	})
}
