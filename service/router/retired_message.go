package router

import "maps"

// retiredMessage says that a sender has had nothing to deliver for a while.
type retiredMessage struct {
	sender *sender
}

func (m retiredMessage) apply(r *Router) {
	next := maps.Clone(r.senders.Load())
	if next[m.sender.owner.Address] == m.sender {
		delete(next, m.sender.owner.Address)
		r.senders.Publish(next)
	}
}
