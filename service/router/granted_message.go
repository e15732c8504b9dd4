package router

import "azuredyke.dev/azuredyke/common/message"

// maxOwners bounds the remembered owners.
const maxOwners = 4096

// grantedMessage remembers the owner of a grant, whose reports must reach it even when the member table no longer names
// it.
type grantedMessage struct {
	owner message.Holding
}

func (m grantedMessage) apply(r *Router) {
	if len(r.owners) >= maxOwners {
		clear(r.owners)
	}
	r.owners[m.owner.Resource] = m.owner
}
