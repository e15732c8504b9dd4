package router

import "azuredyke.dev/azuredyke/common/message"

// senderMessage asks for the sender to the owner of a grant. The reply is nil when the owner is not known; its channel has
// room for one.
type senderMessage struct {
	cell  string
	fence uint64
	// owner is set when the sender knows it.
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
	m.reply <- r.senderTo(owner)
}
