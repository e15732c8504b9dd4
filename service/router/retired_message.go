package router

import "maps"

// retiredMessage removes a sender that has been idle for retireAfter from the published senders.
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
