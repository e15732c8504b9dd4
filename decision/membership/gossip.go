package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Message returns the next message to a member, including pending updates.
func (v *View) Message(to string) Message {
	m := Message{
		From: v.self.ID, Incarnation: v.self.Incarnation, Revision: v.self.ConfigRevision, Head: v.head, Digest: v.digest(),
	}
	hasSelf := false
	if e, ok := v.entries[to]; ok {
		m.KnownIncarnation, m.KnownState = e.member.Incarnation, e.member.State
		hasSelf = e.ackedIncarnation == v.self.Incarnation
	}
	m.Updates = v.updates(to, hasSelf)
	return m
}

// Receive applies a message and reports whether it contained a change that should be passed on at once.
func (v *View) Receive(now time.Time, m Message) bool {
	urgent := v.raiseHead(m.Head)
	for _, u := range m.Updates {
		urgent = v.merge(now, u) || urgent
	}
	if m.KnownIncarnation != 0 {
		v.refute(m.KnownIncarnation, m.KnownState)
	}
	if e, ok := v.entries[m.From]; ok {
		e.ackedIncarnation = m.KnownIncarnation
		if e.member.Incarnation == m.Incarnation {
			v.raiseRevision(e, m.Revision)
		}
	}
	return urgent
}

// updates returns the pending updates that were sent least often, up to Params.MessageBytes. If the recipient does not
// have the node's own record, that record comes first.
func (v *View) updates(to string, hasSelf bool) []Member {
	var out []Member
	remaining := v.params.MessageBytes
	if !hasSelf {
		out = append(out, v.self)
		remaining -= v.self.size()
	}
	candidates := make([]pendingUpdate, 0, len(v.pending))
	for id, sent := range v.pending {
		if id != to && (id != v.self.ID || hasSelf && v.self.State == StateLeft) {
			candidates = append(candidates, pendingUpdate{id: id, sent: sent})
		}
	}
	slices.SortFunc(candidates, pendingUpdate.compare)
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(len(v.entries)+2))))
	for _, c := range candidates {
		m := v.outgoingRecord(c.id)
		if size := m.size(); size <= remaining || len(out) == 0 {
			out = append(out, m)
			remaining -= size
			if v.pending[c.id]++; c.sent+1 >= limit {
				delete(v.pending, c.id)
			}
		}
		if remaining < recordOverheadBytes {
			break
		}
	}
	return out
}

// outgoingRecord returns the record of a member as it is sent. The record of a member that is not alive is brief, since
// the recipients have the rest of it.
func (v *View) outgoingRecord(id string) Member {
	m := v.self
	if id != m.ID {
		m = v.entries[id].member
	}
	if m.State != StateAlive {
		return m.brief()
	}
	return m
}

// digest returns a hash of the records of the members that are present.
func (v *View) digest() uint64 {
	b := make([]byte, 0, Buckets*4)
	for _, sum := range v.buckets {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return xxh3.Hash(b)
}
