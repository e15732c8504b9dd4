package edge

import "time"

// peerChangesMessage carries what another node knows of the store.
type peerChangesMessage struct {
	reply syncReply
	// asked is when the other node was asked, on the boot clock; its age is counted from there, so that a slow answer
	// never looks newer than it is.
	asked time.Time
}

func (m peerChangesMessage) apply(v *view) {
	age := time.Duration(m.reply.AgeMillis) * time.Millisecond
	asOf := m.asked.Add(-age)
	if age <= maxRelayAge {
		// The other node hears the store, so entries that are removed from now on have not lapsed.
		v.regained()
	}
	v.take(v.mirror.Apply(m.reply.Events, m.reply.Position, asOf))
	v.publish()
}
