package router

import "azuredyke.dev/azuredyke/common/message"

// senderMessage requests the sender to the owner of a grant. The reply is nil if the owner is not known. The reply channel
// needs a buffer of one.
type senderMessage struct {
	cell  string
	fence uint64
	// owner is set if the requester has the owner of the grant. Otherwise the recorded owner is used.
	owner message.Holding
	reply chan<- *sender
}

func (m senderMessage) apply(r *Router) {
	owner := m.owner
	if owner.Address == "" {
		owner = r.owners[m.cell]
	}
	if owner.Address == "" || owner.Fence != m.fence {
		m.reply <- nil
		return
	}
	m.reply <- r.ensureSender(owner)
}
