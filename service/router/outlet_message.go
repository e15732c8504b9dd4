package router

import "azuredyke.dev/azuredyke/common/message"

// outletMessage asks for the outlet to the owner of a grant. The reply is nil when the owner is not known; its channel has
// room for one.
type outletMessage struct {
	cell  string
	fence uint64
	// owner is set when the sender knows it.
	owner message.Holding
	reply chan<- *outlet
}

func (m outletMessage) apply(r *Router) {
	owner := m.owner
	if owner.Address == "" {
		owner = r.owners[m.cell]
	}
	if owner.Address == "" || owner.Fence != m.fence {
		m.reply <- nil
		return
	}
	m.reply <- r.outletTo(owner)
}
