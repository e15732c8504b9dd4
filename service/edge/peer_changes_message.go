package edge

import "time"

// peerChangesMessage carries another node's reply to a sync request.
type peerChangesMessage struct {
	reply syncReply
	// requestedAt is the time of the request on the boot clock. The age in the reply counts from that time, so a slow
	// reply never looks newer than it is.
	requestedAt time.Time
	origin      changeOrigin
}

func (m peerChangesMessage) apply(v *view) {
	age := time.Duration(m.reply.AgeMillis) * time.Millisecond
	asOf := m.requestedAt.Add(-age)
	if age <= maxRelayAge {
		// The other node reaches the store, so later deletions are real ones and not lapsed leases.
		v.storeAnswered()
	}
	v.applyEvents(m.origin, v.mirror.Apply(m.reply.Events, m.reply.Revision, asOf))
	v.publish()
}
