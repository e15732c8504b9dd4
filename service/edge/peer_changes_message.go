package edge

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// peerChangesMessage carries another node's reply to a sync request.
type peerChangesMessage struct {
	reply syncReply
	// requestedAt is the time of the request on the boot clock. The age in the reply counts from that time, so a slow
	// reply never looks newer than it is.
	requestedAt time.Time
	origin      changeOrigin
}

func (m peerChangesMessage) apply(v *view) {
	if m.reply.LostConfiguration != nil {
		v.applyEvents(m.origin, []backing.WatchEvent{*m.reply.LostConfiguration})
		v.publish()
	}
	if !m.reply.Available || v.isOutdated(m.reply.Revision) {
		return
	}
	age := time.Duration(m.reply.AgeMillis) * time.Millisecond
	asOf := m.requestedAt.Add(-age)
	if age <= maxRelayAge {
		// The other node reaches the store, so later deletions are real ones and not lapsed leases.
		v.storeAnswered()
	}
	if m.reply.Complete {
		v.beginEra(m.reply.Revision)
	}
	v.applyEvents(m.origin, m.update(v, asOf))
	v.publish()
}

// update brings the copy up to the reply's revision and returns the changes that were new.
func (m peerChangesMessage) update(v *view, asOf time.Time) []backing.WatchEvent {
	switch {
	case m.reply.Complete:
		entries := make([]backing.Entry, len(m.reply.Events))
		for i, e := range m.reply.Events {
			entries[i] = e.Entry
		}
		return v.mirror.Replace(entries, m.reply.Revision, asOf)
	case m.reply.Skips:
		return v.mirror.ApplySkipping(m.reply.Events, m.reply.Revision, asOf)
	default:
		return v.mirror.Apply(m.reply.Events, m.reply.Revision, asOf)
	}
}
