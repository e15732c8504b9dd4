package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Message returns the next message to a member, with the changes that still spread.
func (v *View) Message(to string) Message {
	m := Message{
		From: v.self.ID, Incarnation: v.self.Incarnation, Revision: v.self.ConfigRevision, Head: v.head, Digest: v.digest(),
	}
	knowsMe := false
	if e, ok := v.entries[to]; ok {
		m.KnownIncarnation, m.KnownState = e.member.Incarnation, e.member.State
		knowsMe = e.knowsMe == v.self.Incarnation
	}
	m.Updates = v.updates(to, knowsMe)
	return m
}

// Receive applies a message and reports whether it brought something that should be passed on at once.
func (v *View) Receive(now time.Time, m Message) bool {
	urgent := v.raiseHead(m.Head)
	for _, u := range m.Updates {
		urgent = v.merge(now, u) || urgent
	}
	if m.KnownIncarnation != 0 {
		v.refute(m.KnownIncarnation, m.KnownState)
	}
	if e, ok := v.entries[m.From]; ok {
		e.knowsMe = m.KnownIncarnation
		if e.member.Incarnation == m.Incarnation {
			v.noteRevision(e, m.Revision)
		}
	}
	return urgent
}

// updates returns the changes that were sent least often, up to the bound in bytes. The own record comes first when the
// recipient lacks it.
func (v *View) updates(to string, knowsMe bool) []Member {
	var out []Member
	left := v.params.MessageBytes
	if !knowsMe {
		out = append(out, v.self)
		left -= v.self.size()
	}
	changes := make([]change, 0, len(v.spreading))
	for id, sent := range v.spreading {
		if id != to && (id != v.self.ID || knowsMe && v.self.State == StateLeft) {
			changes = append(changes, change{id: id, sent: sent})
		}
	}
	slices.SortFunc(changes, change.compare)
	limit := spreadFactor * int(math.Ceil(math.Log10(float64(len(v.entries)+2))))
	for _, c := range changes {
		m := v.record(c.id)
		if size := m.size(); size <= left || len(out) == 0 {
			out = append(out, m)
			left -= size
			if v.spreading[c.id]++; c.sent+1 >= limit {
				delete(v.spreading, c.id)
			}
		}
		if left < recordSize {
			break
		}
	}
	return out
}

// record returns what is sent about a member. Members that are no longer alive are known to the others, so a brief record
// is enough.
func (v *View) record(id string) Member {
	m := v.self
	if id != m.ID {
		m = v.entries[id].member
	}
	if m.State != StateAlive {
		return m.brief()
	}
	return m
}

// digest summarises the records of the members that are present.
func (v *View) digest() uint64 {
	b := make([]byte, 0, Buckets*4)
	for _, sum := range v.buckets {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return xxh3.Hash(b)
}
