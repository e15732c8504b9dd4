package router

import "azuredyke.dev/azuredyke/common/message"

// maxOwners bounds the recorded owners.
const maxOwners = 4096

// grantedMessage records the owner of a grant, so that reports reach this owner even after it has left the member table.
type grantedMessage struct {
	owner message.Holding
}

func (m grantedMessage) apply(r *Router) {
	if len(r.owners) >= maxOwners {
		clear(r.owners)
	}
	r.owners[m.owner.Resource] = m.owner
}
